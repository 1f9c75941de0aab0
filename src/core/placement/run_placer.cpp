#include "core/placement/run_placer.hpp"

#include "core/placement/log_fields.hpp"

#include <algorithm>
#include <iterator>
#include <optional>
#include <string>
#include <utility>
#include <variant>

namespace hickorylatch::core
{

namespace
{

// A fifth of the agents' shortest timeout: one lost confirmation does no harm.
constexpr auto confirm_interval = duration{std::chrono::milliseconds{100}};
// Tasks without a worker, or that wait for offers of room, look again this
// often. A worker without a reservation may have room by then.
constexpr auto retry_interval = duration{std::chrono::milliseconds{40}};

auto is_run(placed_task const& task, node_id agent, run_ref const& run) -> bool
{
    auto const has_run = task.m_state == task_state::placed ||
                         task.m_state == task_state::ending;
    return has_run && task.m_run == run.m_run && task.m_agent == agent;
}

} // namespace

run_placer::run_placer(run_placer_settings settings) : m_settings{settings}
{
    m_workers.set_spread_factor(m_settings.m_spread_factor);
}

auto run_placer::connected(node_id agent) -> void
{
    m_workers.connected(agent);
    auto& contact = m_agents[agent];
    m_going.erase({contact.m_gone_at, agent});
    contact.m_is_connected = true;
    contact.m_is_confirmed = false;
    contact.m_gone_at = never;
}

auto run_placer::disconnected(time_point now, node_id agent) -> void
{
    auto const found = m_agents.find(agent);
    if (found == m_agents.end() || !found->second.m_is_connected)
        return;
    m_workers.disconnected(now, agent);
    forget_reservations(agent);
    auto& contact = found->second;
    contact.m_is_connected = false;
    contact.m_gone_at =
        std::max(now, contact.m_confirmed_at +
                          runs_ended_after(m_settings.m_contact_timeout,
                                           m_settings.m_lease));
    m_going.emplace(contact.m_gone_at, agent);
}

auto run_placer::receive(time_point now, node_id from, message const& incoming,
                         configuration_version version, random_source& random,
                         effects& out) -> bool
{
    if (auto const* load = std::get_if<worker_load>(&incoming))
        on(now, from, *load, version, out);
    else if (auto const* ends = std::get_if<runs_ended>(&incoming))
    {
        if (!is_unconfirmed(from, ends->m_number))
            return true;
        for (auto const& end : ends->m_ends)
            take_end(now, from, end, random, out);
        confirm(from, ends->m_number);
    }
    else if (auto const* news = std::get_if<worker_announcement>(&incoming))
        on(now, from, *news, random, out);
    else if (auto const* offered = std::get_if<offer_room>(&incoming))
        on(now, from, *offered, out);
    else if (auto const* dropped = std::get_if<reservation_dropped>(&incoming))
    {
        if (auto* const job = find(dropped->m_job))
            job->forget_reservation(dropped->m_step, from);
    }
    else
        return false;
    return true;
}

auto run_placer::tick(time_point now, random_source& random, effects& out)
    -> void
{
    while (!m_going.empty() && m_going.begin()->first <= now)
    {
        auto const agent = m_going.begin()->second;
        m_going.erase(m_going.begin());
        lose_runs(
            now, agent, "no contact",
            [](placed_job const&, placed_task const&)
            {
                return true;
            },
            random, out);
        m_agents.erase(agent);
        m_gone.push_back(agent);
    }
    if (now < m_retry_at)
        return;
    m_retry_at = never;
    auto const unplaced = m_unplaced;
    for (auto const number : unplaced)
        carry_on(now, number, random, out);
}

auto run_placer::is_unconfirmed(node_id agent, std::uint64_t number) const
    -> bool
{
    auto const found = m_agents.find(agent);
    return found != m_agents.end() &&
           number > found->second.m_acknowledged_ends;
}

auto run_placer::confirm(node_id agent, std::uint64_t number) -> void
{
    auto const found = m_agents.find(agent);
    if (found != m_agents.end())
        found->second.m_acknowledged_ends =
            std::max(found->second.m_acknowledged_ends, number);
}

auto run_placer::add(placed_job job) -> void
{
    auto const number = job.number();
    m_jobs.emplace(number, std::move(job));
}

auto run_placer::plan(time_point now, std::uint64_t job, random_source& random)
    -> job_plan
{
    return m_planner.plan(now, m_jobs.at(job), random);
}

auto run_placer::drop(job_plan const& unwanted) -> void
{
    m_planner.drop(unwanted);
}

auto run_placer::carry_out(time_point now, std::uint64_t number,
                           job_plan&& wanted, effects& out) -> void
{
    auto& job = m_jobs.at(number);
    for (auto& [agent, order] : wanted.m_orders)
        send_order(job, agent, std::move(order), out);
    for (auto& [agent, reservation] : wanted.m_reservations)
    {
        job.reserved(reservation.m_step, agent, reservation.m_count);
        out.emplace_back(send{agent, reservation});
    }
    if (job.has_ready_tasks())
        retry_later(now, number);
    else
        m_unplaced.erase(number);
}

auto run_placer::carry_on(time_point now, std::uint64_t job,
                          random_source& random, effects& out) -> void
{
    if (!m_ended.contains(job))
        carry_out(now, job, plan(now, job, random), out);
}

auto run_placer::take_out(std::uint64_t number, effects& out)
    -> live_jobs::node_type
{
    auto const found = m_jobs.find(number);
    if (found == m_jobs.end())
        return {};
    withdraw(found->second, out);
    release(found->second, out);
    m_unplaced.erase(number);
    m_ended.erase(number);
    return m_jobs.extract(found);
}

auto run_placer::forget(std::uint64_t number) -> void
{
    for (auto& [agent, contact] : m_agents)
        contact.m_jobs.erase(number);
}

auto run_placer::remove(std::uint64_t number, effects& out) -> void
{
    if (take_out(number, out))
        forget(number);
}

auto run_placer::retire(std::uint64_t number, effects& out) -> bool
{
    auto taken = take_out(number, out);
    if (!taken)
        return false;
    if (!taken.mapped().has_runs())
    {
        forget(number);
        return false;
    }
    m_retired.insert(std::move(taken));
    return true;
}

auto run_placer::take_retired() -> std::vector<std::uint64_t>
{
    return std::exchange(m_retired_done, {});
}

auto run_placer::settle_retired(live_jobs::iterator job) -> void
{
    if (job->second.has_runs())
        return;
    m_retired_done.push_back(job->first);
    forget(job->first);
    m_retired.erase(job);
}

auto run_placer::take_outcomes() -> std::vector<placed_outcome>
{
    return std::exchange(m_outcomes, {});
}

auto run_placer::take_gone() -> std::vector<node_id>
{
    return std::exchange(m_gone, {});
}

auto run_placer::find(std::uint64_t job) -> placed_job*
{
    auto const found = m_jobs.find(job);
    return found == m_jobs.end() ? nullptr : &found->second;
}

auto run_placer::jobs() const -> live_jobs const&
{
    return m_jobs;
}

auto run_placer::workers() const -> worker_directory const&
{
    return m_workers;
}

auto run_placer::objective(placed_job const& job) const -> duration
{
    return m_planner.objective(job);
}

auto run_placer::next_deadline() const -> time_point
{
    return m_going.empty() ? m_retry_at
                           : std::min(m_retry_at, m_going.begin()->first);
}

auto run_placer::conclude(placed_job const& job, reason why) -> void
{
    m_ended.insert(job.number());
    m_unplaced.erase(job.number());
    m_outcomes.push_back({job.number(), why});
}

auto run_placer::on(time_point now, node_id from,
                    worker_announcement const& news, random_source& random,
                    effects& out) -> void
{
    m_workers.announce(now, from, news);
    forget_reservations(from);
    auto const found = m_agents.find(from);
    if (found == m_agents.end())
        return;
    found->second.m_worker = news.m_worker.m_name;
    for (auto const& run : news.m_runs)
    {
        auto const job = m_jobs.find(run.m_job);
        auto* const task =
            job == m_jobs.end() ? nullptr : job->second.find(run.m_task);
        if (task != nullptr && task->m_state == task_state::in_doubt)
            adopt(job->second, *task, from, run.m_run);
    }
    // What took these runs back was lost with an earlier link.
    auto unwanted = withdraw_runs{};
    std::ranges::copy_if(news.m_runs, std::back_inserter(unwanted.m_runs),
                         [this](run_ref const& run)
                         {
                             return m_retired.contains(run.m_job);
                         });
    if (!unwanted.m_runs.empty())
        out.emplace_back(send{from, std::move(unwanted)});
    // Orders that were lost with an earlier link are not listed.
    lose_runs(
        now, from, "order lost with its link",
        [&](placed_job const& job, placed_task const& task)
        {
            return (task.m_order <= news.m_last_order ||
                    task.m_order > m_workers.last_order(from)) &&
                   std::ranges::find(news.m_runs, job.ref(task)) ==
                       news.m_runs.end();
        },
        random, out);
}

auto run_placer::on(time_point now, node_id from, worker_load const& load,
                    configuration_version version, effects& out) -> void
{
    m_workers.update(now, from, load);
    auto const found = m_agents.find(from);
    if (found == m_agents.end())
        return;
    auto& contact = found->second;
    if (std::exchange(contact.m_is_confirmed, true) &&
        now - contact.m_confirmed_at < confirm_interval)
        return;
    contact.m_confirmed_at = now;
    out.emplace_back(send{
        from, contact_confirmed{load.m_sent_at, contact.m_acknowledged_ends,
                                version, whole_ms(load_interval())}});
}

auto run_placer::load_interval() const -> duration
{
    return duration{std::chrono::seconds{m_workers.size()}} /
           m_settings.m_loads_per_s;
}

auto run_placer::on(time_point now, node_id from, offer_room const& offered,
                    effects& out) -> void
{
    auto const found = m_jobs.find(offered.m_job);
    auto order = std::optional<order_runs>{};
    if (found != m_jobs.end())
    {
        found->second.offered(offered.m_step, from, offered.m_count);
        order = m_planner.fill(now, found->second, from, offered);
    }
    out.emplace_back(log_line{
        log_level::debug,
        "room_offered",
        {{"job",
          found == m_jobs.end() ? std::string{} : found->second.job().m_id},
         {"worker", std::string{m_workers.worker_name(from)}},
         {"offered", std::to_string(offered.m_count)},
         {"taken", std::to_string(order ? order->m_runs.size() : 0)}}});
    if (!order)
    {
        out.emplace_back(send{from, decline_room{offered.m_offer}});
        return;
    }
    send_order(found->second, from, std::move(*order), out);
    if (!found->second.has_ready_tasks())
        note_placed(now, found->second, out);
}

auto run_placer::note_placed(time_point now, placed_job& job, effects& out)
    -> void
{
    m_unplaced.erase(job.number());
    m_planner.observe_wait(now, job);
    release(job, out);
}

auto run_placer::take_end(time_point now, node_id agent, run_end const& end,
                          random_source& random, effects& out) -> bool
{
    if (auto const gone = m_retired.find(end.m_run.m_job);
        gone != m_retired.end())
    {
        auto* const ended = gone->second.find(end.m_run.m_task);
        if (ended != nullptr && is_run(*ended, agent, end.m_run))
            gone->second.came_back(*ended);
        settle_retired(gone);
        return false;
    }
    auto const job = m_jobs.find(end.m_run.m_job);
    if (job == m_jobs.end() || m_ended.contains(job->first))
        return false;
    auto* const task = job->second.find(end.m_run.m_task);
    if (task != nullptr && task->m_state == task_state::in_doubt)
        adopt(job->second, *task, agent, end.m_run.m_run);
    if (task == nullptr || !is_run(*task, agent, end.m_run))
        return false;
    if (end.m_outcome != run_outcome::refused)
        job->second.note_started();
    if (end.m_outcome == run_outcome::succeeded)
    {
        m_planner.observe(job->second, *task,
                          std::chrono::milliseconds{end.m_run_ms});
        succeed(now, job->second, *task, random, out);
        return true;
    }
    if (end.m_reason == reason::queue_full)
    {
        ++task->m_misses;
        m_workers.mark_full(agent);
    }
    out.emplace_back(
        log_line{log_level::info,
                 "run_came_back",
                 {{"job", job->second.job().m_id},
                  {"task", task_field(task->m_index)},
                  {"run", std::to_string(end.m_run.m_run)},
                  {"worker", std::string{m_workers.worker_name(agent)}},
                  {"outcome", std::string{to_string(end.m_outcome)}},
                  {"reason", std::string{to_string(end.m_reason)}},
                  {"ran_ms", std::to_string(end.m_run_ms)}}});
    job->second.came_back(*task);
    if (end.m_reason == reason::superseded)
    {
        conclude(job->second, reason::superseded);
        return true;
    }
    auto const has_failed = end.m_outcome == run_outcome::failed;
    if (has_failed || end.m_reason == reason::call_failed)
        task->m_avoided.push_back(agent);
    // Runs that were stopped without progress do not count.
    if (!has_failed || count_failure(job->second, *task))
        carry_on(now, job->first, random, out);
    return true;
}

auto run_placer::adopt(placed_job& job, placed_task& task, node_id agent,
                       std::uint32_t run) -> void
{
    task.m_run = run;
    // Orders count per link, and this one came on an earlier one.
    job.ordered(task, agent, 0);
    m_agents[agent].m_jobs.insert(job.number());
}

auto run_placer::succeed(time_point now, placed_job& job, placed_task& task,
                         random_source& random, effects& out) -> void
{
    job.succeeded(task);
    if (job.is_complete())
        conclude(job, reason::none);
    else
        carry_on(now, job.number(), random, out);
}

auto run_placer::count_failure(placed_job& job, placed_task& task) -> bool
{
    if (++task.m_failures < job.queue().m_failure_limit)
        return true;
    conclude(job, reason::call_failed);
    return false;
}

auto run_placer::hold_end(node_id agent, run_end const& end) -> void
{
    auto* const job = find(end.m_run.m_job);
    auto* const task = job == nullptr ? nullptr : job->find(end.m_run.m_task);
    if (task == nullptr)
        return;
    if (task->m_state == task_state::in_doubt)
        adopt(*job, *task, agent, end.m_run.m_run);
    if (is_run(*task, agent, end.m_run))
        task->m_state = task_state::ending;
}

auto run_placer::hold_task(task_end const& end) -> void
{
    auto* const job = find(end.m_job);
    auto* const task = job == nullptr ? nullptr : job->find(end.m_task);
    if (task == nullptr)
        return;
    // The run may have been ordered at an agent process that is gone.
    auto const is_gone = task->m_state == task_state::placed &&
                         !m_workers.is_connected(task->m_agent);
    if (task->m_state == task_state::in_doubt || is_gone)
        task->m_state = task_state::ending;
}

auto run_placer::settle_task(time_point now, task_end const& end,
                             random_source& random, effects& out) -> void
{
    auto const job = m_jobs.find(end.m_job);
    if (job == m_jobs.end() || m_ended.contains(end.m_job))
        return;
    auto* const task = job->second.find(end.m_task);
    if (task == nullptr || task->m_state == task_state::succeeded)
        return;
    if (end.m_has_succeeded && task->m_state == task_state::placed)
        out.emplace_back(
            send{task->m_agent, withdraw_runs{{job->second.ref(*task)}}});
    if (end.m_has_succeeded)
        return succeed(now, job->second, *task, random, out);
    if (task->m_state == task_state::ending)
        job->second.came_back(*task);
    if (count_failure(job->second, *task))
        carry_on(now, end.m_job, random, out);
}

auto run_placer::settle_doubts(time_point now, random_source& random,
                               effects& out) -> void
{
    for (auto& [number, job] : m_jobs)
    {
        job.settle_doubts();
        if (job.has_ready_tasks())
            carry_on(now, number, random, out);
    }
}

auto run_placer::send_order(placed_job& job, node_id agent, order_runs&& order,
                            effects& out) -> void
{
    for (auto const& run : order.m_runs)
    {
        auto& task = *job.find(run.m_task);
        task.m_run = run.m_run;
        job.ordered(task, agent, order.m_order);
    }
    m_agents[agent].m_jobs.insert(job.number());
    out.emplace_back(send{agent, std::move(order)});
}

auto run_placer::release(placed_job& job, effects& out) -> void
{
    for (auto const agent : job.take_reservations())
        out.emplace_back(send{agent, release_room{job.number()}});
}

auto run_placer::forget_reservations(node_id agent) -> void
{
    for (auto const number : m_unplaced)
        if (auto const job = m_jobs.find(number); job != m_jobs.end())
            job->second.forget_reservations(agent);
}

auto run_placer::withdraw(placed_job const& job, effects& out) -> void
{
    auto orders = std::map<node_id, withdraw_runs>{};
    for (auto const& task : job.tasks())
        if (task.m_state == task_state::placed)
            orders[task.m_agent].m_runs.push_back(job.ref(task));
    for (auto& [agent, order] : orders)
        out.emplace_back(send{agent, std::move(order)});
}

template <class Predicate>
auto run_placer::lose_runs(time_point now, node_id agent,
                           std::string_view cause, Predicate is_lost,
                           random_source& random, effects& out) -> void
{
    auto const& contact = m_agents.at(agent);
    auto const silence = now - contact.m_confirmed_at;
    // Jobs leave the set as they are settled.
    auto const jobs = contact.m_jobs;
    for (auto const number : jobs)
    {
        auto const retired = m_retired.find(number);
        auto const is_retired = retired != m_retired.end();
        auto const job = is_retired ? retired : m_jobs.find(number);
        if (!is_retired && job == m_jobs.end())
            continue;
        auto is_changed = false;
        for (auto& task : job->second.tasks())
        {
            if (task.m_state != task_state::placed || task.m_agent != agent ||
                !is_lost(job->second, task))
                continue;
            lose_run(job->second, task, cause, silence, out);
            is_changed = true;
        }
        if (is_retired)
            settle_retired(retired);
        else if (is_changed)
            carry_on(now, number, random, out);
    }
}

auto run_placer::lose_run(placed_job& job, placed_task& task,
                          std::string_view cause, duration silence,
                          effects& out) -> void
{
    out.emplace_back(log_line{log_level::warning,
                              "run_lost",
                              {{"job", job.job().m_id},
                               {"task", task_field(task.m_index)},
                               {"run", std::to_string(task.m_run)},
                               {"worker", m_agents.at(task.m_agent).m_worker},
                               {"cause", std::string{cause}},
                               {"silent_ms", ms_field(silence)}}});
    // Nobody has said that it was not started.
    job.note_started();
    job.came_back(task);
}

auto run_placer::retry_later(time_point now, std::uint64_t job) -> void
{
    m_unplaced.insert(job);
    m_retry_at = std::min(m_retry_at, now + retry_interval);
}

} // namespace hickorylatch::core
