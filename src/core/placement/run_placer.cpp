#include "core/placement/run_placer.hpp"

#include "core/placement/log_fields.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <optional>
#include <string>
#include <utility>
#include <variant>

namespace hickorylatch::core
{

namespace
{

// A fifth of the agents' shortest timeout, so that one lost confirmation does
// no harm.
constexpr auto confirm_interval = duration{std::chrono::milliseconds{100}};
// Interval at which tasks that have no worker or wait for an offer are planned
// again. A worker without a reservation may have room by then.
constexpr auto retry_interval = duration{std::chrono::milliseconds{40}};
// A worker may crash for its own reasons, so the first lost runs of a task must
// not end its job even if the failure limit of the queue is lower.
constexpr auto min_lost_run_limit = 3U;

constexpr auto max_queue_names = std::size_t{256};

auto is_run(placed_task const& task, node_id agent, run_ref const& run) -> bool
{
    auto const has_run = task.m_state == task_state::placed ||
                         task.m_state == task_state::end_pending;
    return has_run && task.m_run == run.m_run && task.m_agent == agent;
}

} // namespace

run_placer::run_placer(run_placer_settings settings) : m_settings{settings}
{
    m_workers.set_spread_factor(m_settings.m_spread_factor);
    if (m_settings.m_separates_interfering_tasks)
        m_workers.separate_interfering_tasks();
}

auto run_placer::connected(node_id agent) -> void
{
    m_workers.connected(agent);
    auto& contact = m_agents[agent];
    m_disconnected_agents.erase({contact.m_runs_end_at, agent});
    contact.m_is_connected = true;
    contact.m_is_confirmed = false;
    contact.m_runs_end_at = never;
}

auto run_placer::disconnected(time_point now, node_id agent) -> void
{
    auto const found = m_agents.find(agent);
    if (found == m_agents.end() || !found->second.m_is_connected)
        return;
    m_workers.disconnected(now, agent);
    erase_reservations(agent);
    auto& contact = found->second;
    contact.m_is_connected = false;
    contact.m_runs_end_at =
        std::max(now, contact.m_confirmed_at +
                          runs_ended_after(m_settings.m_contact_timeout,
                                           m_settings.m_lease));
    m_disconnected_agents.emplace(contact.m_runs_end_at, agent);
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
            apply_end(now, from, end, random, out);
        confirm(from, ends->m_number);
    }
    else if (auto const* announcement =
                 std::get_if<worker_announcement>(&incoming))
        on(now, from, *announcement, random, out);
    else if (auto const* offered = std::get_if<offer_room>(&incoming))
        on(now, from, *offered, out);
    else if (auto const* dropped = std::get_if<reservation_dropped>(&incoming))
    {
        if (auto* const job = find(dropped->m_job))
            job->erase_reservation(dropped->m_step, from);
    }
    else
        return false;
    return true;
}

auto run_placer::tick(time_point now, random_source& random, effects& out)
    -> void
{
    while (!m_disconnected_agents.empty() &&
           m_disconnected_agents.begin()->first <= now)
    {
        auto const agent = m_disconnected_agents.begin()->second;
        m_disconnected_agents.erase(m_disconnected_agents.begin());
        mark_runs_lost(
            now, agent, "no contact",
            [](placed_job const&, placed_task const&)
            {
                return true;
            },
            random, out);
        m_agents.erase(agent);
        m_lost_agents.push_back(agent);
    }
    if (now >= m_retry_at)
        retry_unplaced(now, random, out);
}

auto run_placer::retry_unplaced(time_point now, random_source& random,
                                effects& out) -> void
{
    m_retry_at = never;
    auto const unplaced = m_unplaced;
    for (auto const number : unplaced)
        place_ready_tasks(now, number, random, out);
}

auto run_placer::set_evacuations(time_point now, evacuations const& known,
                                 random_source& random, effects& out) -> void
{
    m_workers.set_evacuations(known);
    retry_unplaced(now, random, out);
}

auto run_placer::requires_evacuated(step_job const& job,
                                    std::string_view service) const -> bool
{
    return std::ranges::any_of(job.m_steps,
                               [&](job_step const& step)
                               {
                                   return m_workers.requires_evacuated(service,
                                                                       step);
                               });
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

auto run_placer::discard(job_plan const& discarded) -> void
{
    m_planner.discard(discarded);
}

auto run_placer::execute(time_point now, std::uint64_t number, job_plan&& plan,
                         effects& out) -> void
{
    auto& job = m_jobs.at(number);
    for (auto& [agent, order] : plan.m_orders)
        send_order(job, agent, std::move(order), out);
    for (auto& [agent, reservation] : plan.m_reservations)
    {
        job.add_reservation(reservation.m_step, agent, reservation.m_count);
        out.emplace_back(send{agent, reservation});
    }
    if (job.has_ready_tasks())
        schedule_retry(now, number);
    else
        m_unplaced.erase(number);
}

auto run_placer::place_ready_tasks(time_point now, std::uint64_t job,
                                   random_source& random, effects& out) -> void
{
    if (m_ended_jobs.contains(job))
        return;
    // A durable job is kept until its workers are restored. So is a job of
    // which a run may have started: it can't be answered as not run.
    if (auto const& ready = m_jobs.at(job);
        !ready.job().m_is_durable && !ready.may_have_started() &&
        requires_evacuated(ready.job(), ready.queue().m_service))
        return set_outcome(ready, reason::no_capacity);
    execute(now, job, plan(now, job, random), out);
}

auto run_placer::extract_job(std::uint64_t number, effects& out)
    -> job_map::node_type
{
    auto const found = m_jobs.find(number);
    if (found == m_jobs.end())
        return {};
    withdraw(found->second, out);
    release_reservations(found->second, out);
    m_unplaced.erase(number);
    m_ended_jobs.erase(number);
    return m_jobs.extract(found);
}

auto run_placer::erase_from_agents(std::uint64_t number) -> void
{
    for (auto& [agent, contact] : m_agents)
        contact.m_jobs.erase(number);
}

auto run_placer::remove(std::uint64_t number, effects& out) -> void
{
    if (extract_job(number, out))
        erase_from_agents(number);
}

auto run_placer::stop(std::uint64_t number, effects& out) -> bool
{
    auto extracted = extract_job(number, out);
    if (!extracted)
        return false;
    if (!extracted.mapped().has_runs())
    {
        erase_from_agents(number);
        return false;
    }
    m_stopping.insert(std::move(extracted));
    return true;
}

auto run_placer::take_stopped() -> std::vector<std::uint64_t>
{
    return std::exchange(m_stopped, {});
}

auto run_placer::erase_if_stopped(job_map::iterator job) -> void
{
    if (job->second.has_runs())
        return;
    m_stopped.push_back(job->first);
    erase_from_agents(job->first);
    m_stopping.erase(job);
}

auto run_placer::take_outcomes() -> std::vector<placement_outcome>
{
    return std::exchange(m_outcomes, {});
}

auto run_placer::take_lost_agents() -> std::vector<node_id>
{
    return std::exchange(m_lost_agents, {});
}

auto run_placer::find(std::uint64_t job) -> placed_job*
{
    auto const found = m_jobs.find(job);
    return found == m_jobs.end() ? nullptr : &found->second;
}

auto run_placer::jobs() const -> job_map const&
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
    return m_disconnected_agents.empty()
               ? m_retry_at
               : std::min(m_retry_at, m_disconnected_agents.begin()->first);
}

auto run_placer::set_outcome(placed_job const& job, reason why) -> void
{
    m_ended_jobs.insert(job.number());
    m_unplaced.erase(job.number());
    m_outcomes.push_back({job.number(), why});
}

auto run_placer::on(time_point now, node_id from,
                    worker_announcement const& announcement,
                    random_source& random, effects& out) -> void
{
    m_workers.announce(now, from, announcement);
    erase_reservations(from);
    auto const found = m_agents.find(from);
    if (found == m_agents.end())
        return;
    found->second.m_worker = announcement.m_worker.m_name;
    for (auto const& run : announcement.m_runs)
    {
        auto const job = m_jobs.find(run.m_job);
        auto* const task =
            job == m_jobs.end() ? nullptr : job->second.find(run.m_task);
        if (task != nullptr && task->m_state == task_state::in_doubt)
            assign_run(job->second, *task, from, run.m_run);
    }
    // The withdrawals of these runs were lost with an earlier link.
    auto withdrawn = withdraw_runs{};
    std::ranges::copy_if(announcement.m_runs,
                         std::back_inserter(withdrawn.m_runs),
                         [this](run_ref const& run)
                         {
                             return m_stopping.contains(run.m_job);
                         });
    if (!withdrawn.m_runs.empty())
        out.emplace_back(send{from, std::move(withdrawn)});
    // The announcement does not list orders that were lost with an earlier
    // link.
    mark_runs_lost(
        now, from, "order lost with its link",
        [&](placed_job const& job, placed_task const& task)
        {
            return (task.m_order <= announcement.m_last_order ||
                    task.m_order > m_workers.last_order(from)) &&
                   std::ranges::find(announcement.m_runs, job.ref(task)) ==
                       announcement.m_runs.end();
        },
        random, out);
}

auto run_placer::on(time_point now, node_id from, worker_load const& load,
                    configuration_version version, effects& out) -> void
{
    m_workers.update(now, from, load);
    update_interference(now, out);
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
        found->second.reduce_reservation(offered.m_step, from, offered.m_count);
        order = m_planner.fill_offer(now, found->second, from, offered);
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
        finish_placement(now, found->second, out);
}

auto run_placer::finish_placement(time_point now, placed_job& job, effects& out)
    -> void
{
    m_unplaced.erase(job.number());
    m_planner.observe_wait(now, job);
    release_reservations(job, out);
}

auto run_placer::apply_end(time_point now, node_id agent, run_end const& end,
                           random_source& random, effects& out) -> bool
{
    if (auto const stopping = m_stopping.find(end.m_run.m_job);
        stopping != m_stopping.end())
    {
        auto* const ended = stopping->second.find(end.m_run.m_task);
        if (ended != nullptr && is_run(*ended, agent, end.m_run))
            stopping->second.set_ready(*ended);
        erase_if_stopped(stopping);
        return false;
    }
    auto const job = m_jobs.find(end.m_run.m_job);
    if (job == m_jobs.end() || m_ended_jobs.contains(job->first))
        return false;
    auto* const task = job->second.find(end.m_run.m_task);
    if (task != nullptr && task->m_state == task_state::in_doubt)
        assign_run(job->second, *task, agent, end.m_run.m_run);
    if (task == nullptr || !is_run(*task, agent, end.m_run))
        return false;
    if (end.m_outcome != run_outcome::refused)
        job->second.set_may_have_started();
    if (end.m_outcome == run_outcome::succeeded)
    {
        m_planner.observe(job->second, *task,
                          std::chrono::milliseconds{end.m_run_ms});
        observe_interference(now, job->second, *task, end);
        complete_task(now, job->second, *task, random, out);
        return true;
    }
    if (end.m_reason == reason::queue_full)
    {
        ++task->m_full_refusals;
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
    job->second.set_ready(*task);
    if (end.m_reason == reason::superseded)
    {
        set_outcome(job->second, reason::superseded);
        return true;
    }
    auto const has_failed = end.m_outcome == run_outcome::failed;
    if (has_failed || end.m_reason == reason::call_failed)
        task->m_avoided_agents.push_back(agent);
    if (end.m_outcome == run_outcome::lapsed &&
        end.m_reason == reason::agent_lost &&
        !count_lost_run(job->second, *task, agent))
        return true;
    // Runs that were stopped because they hung do not count as failures.
    if (!has_failed || count_failure(job->second, *task))
        place_ready_tasks(now, job->first, random, out);
    return true;
}

auto run_placer::assign_run(placed_job& job, placed_task& task, node_id agent,
                            std::uint32_t run) -> void
{
    task.m_run = run;
    // Orders are numbered per link. The order of this run was not sent on
    // the current link, so it has no number there.
    job.set_placed(task, agent, 0);
    m_agents[agent].m_jobs.insert(job.number());
}

auto run_placer::observe_interference(time_point now, placed_job const& job,
                                      placed_task const& task,
                                      run_end const& end) -> void
{
    auto* const estimate = m_workers.interference();
    if (estimate == nullptr || !end.m_beside)
        return;
    auto const key = to_queue_key(job.queue().m_name);
    if (m_queue_names.size() < max_queue_names)
        m_queue_names.try_emplace(key, job.queue().m_name);
    estimate->observe(now,
                      {key, task.m_agent,
                       std::chrono::milliseconds{job.step(task).m_declared_ms},
                       std::chrono::milliseconds{end.m_run_ms}, *end.m_beside});
}

auto run_placer::update_interference(time_point now, effects& out) -> void
{
    auto* const estimate = m_workers.interference();
    if (estimate == nullptr)
        return;
    auto const changes = estimate->update(now);
    auto const name = [this](queue_key key)
    {
        auto const found = m_queue_names.find(key);
        return found == m_queue_names.end() ? std::to_string(key)
                                            : found->second;
    };
    for (auto const& each : changes)
        out.emplace_back(log_line{
            log_level::info,
            each.m_counts ? "interference_began" : "interference_ended",
            {{"queue", name(each.m_queue)},
             {"beside", name(each.m_beside)},
             {"factor_permille",
              std::to_string(std::lround(each.m_factor * 1'000))},
             {"error_permille",
              std::to_string(std::lround(each.m_log_error * 1'000))}}});
    if (!changes.empty())
        out.emplace_back(
            observe_metric{"hickorylatch_interfering_queue_pairs",
                           {},
                           static_cast<double>(estimate->pairs())});
}

auto run_placer::complete_task(time_point now, placed_job& job,
                               placed_task& task, random_source& random,
                               effects& out) -> void
{
    job.set_succeeded(task);
    if (job.is_complete())
        set_outcome(job, reason::none);
    else
        place_ready_tasks(now, job.number(), random, out);
}

auto run_placer::count_failure(placed_job& job, placed_task& task) -> bool
{
    if (++task.m_failures < job.queue().m_failure_limit)
        return true;
    set_outcome(job, reason::call_failed);
    return false;
}

auto run_placer::count_lost_run(placed_job& job, placed_task& task,
                                node_id agent) -> bool
{
    // A restarted worker is empty, so a single loss is no reason to avoid it.
    if (++task.m_lost_runs > 1)
        task.m_avoided_agents.push_back(agent);
    auto const limit =
        std::max(job.queue().m_failure_limit, min_lost_run_limit);
    // A durable job fails only by failed runs.
    if (job.job().m_is_durable || task.m_lost_runs < limit)
        return true;
    set_outcome(job, reason::agent_lost);
    return false;
}

auto run_placer::set_end_pending(node_id agent, run_end const& end) -> void
{
    auto* const job = find(end.m_run.m_job);
    auto* const task = job == nullptr ? nullptr : job->find(end.m_run.m_task);
    if (task == nullptr)
        return;
    if (task->m_state == task_state::in_doubt)
        assign_run(*job, *task, agent, end.m_run.m_run);
    if (is_run(*task, agent, end.m_run))
        task->m_state = task_state::end_pending;
}

auto run_placer::set_task_end_pending(task_end const& end) -> void
{
    auto* const job = find(end.m_job);
    auto* const task = job == nullptr ? nullptr : job->find(end.m_task);
    if (task == nullptr)
        return;
    // The run may have been ordered at an agent process that was lost.
    auto const is_agent_lost = task->m_state == task_state::placed &&
                               !m_workers.is_connected(task->m_agent);
    if (task->m_state == task_state::in_doubt || is_agent_lost)
        task->m_state = task_state::end_pending;
}

auto run_placer::apply_task_end(time_point now, task_end const& end,
                                random_source& random, effects& out) -> void
{
    auto const job = m_jobs.find(end.m_job);
    if (job == m_jobs.end() || m_ended_jobs.contains(end.m_job))
        return;
    auto* const task = job->second.find(end.m_task);
    if (task == nullptr || task->m_state == task_state::succeeded)
        return;
    if (end.m_has_succeeded && task->m_state == task_state::placed)
        out.emplace_back(
            send{task->m_agent, withdraw_runs{{job->second.ref(*task)}}});
    if (end.m_has_succeeded)
        return complete_task(now, job->second, *task, random, out);
    if (task->m_state == task_state::end_pending)
        job->second.set_ready(*task);
    if (count_failure(job->second, *task))
        place_ready_tasks(now, end.m_job, random, out);
}

auto run_placer::resolve_in_doubt(time_point now, random_source& random,
                                  effects& out) -> void
{
    for (auto& [number, job] : m_jobs)
    {
        job.resolve_in_doubt();
        if (job.has_ready_tasks())
            place_ready_tasks(now, number, random, out);
    }
}

auto run_placer::send_order(placed_job& job, node_id agent, order_runs&& order,
                            effects& out) -> void
{
    for (auto const& run : order.m_runs)
    {
        auto& task = *job.find(run.m_task);
        task.m_run = run.m_run;
        job.set_placed(task, agent, order.m_order);
    }
    m_agents[agent].m_jobs.insert(job.number());
    out.emplace_back(send{agent, std::move(order)});
}

auto run_placer::release_reservations(placed_job& job, effects& out) -> void
{
    for (auto const agent : job.take_reservations())
        out.emplace_back(send{agent, release_room{job.number()}});
}

auto run_placer::erase_reservations(node_id agent) -> void
{
    for (auto const number : m_unplaced)
        if (auto const job = m_jobs.find(number); job != m_jobs.end())
            job->second.erase_reservations(agent);
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
auto run_placer::mark_runs_lost(time_point now, node_id agent,
                                std::string_view cause, Predicate is_lost,
                                random_source& random, effects& out) -> void
{
    auto const& contact = m_agents.at(agent);
    auto const silence = now - contact.m_confirmed_at;
    // Iterates over a copy: jobs are erased from the set in the loop.
    auto const jobs = contact.m_jobs;
    for (auto const number : jobs)
    {
        auto const stopping = m_stopping.find(number);
        auto const is_stopping = stopping != m_stopping.end();
        auto const job = is_stopping ? stopping : m_jobs.find(number);
        if (!is_stopping && job == m_jobs.end())
            continue;
        auto is_changed = false;
        for (auto& task : job->second.tasks())
        {
            if (task.m_state != task_state::placed || task.m_agent != agent ||
                !is_lost(job->second, task))
                continue;
            mark_run_lost(job->second, task, cause, silence, out);
            is_changed = true;
        }
        if (is_stopping)
            erase_if_stopped(stopping);
        else if (is_changed)
            place_ready_tasks(now, number, random, out);
    }
}

auto run_placer::mark_run_lost(placed_job& job, placed_task& task,
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
    // It was not confirmed that the run never started.
    job.set_may_have_started();
    job.set_ready(task);
}

auto run_placer::schedule_retry(time_point now, std::uint64_t job) -> void
{
    m_unplaced.insert(job);
    m_retry_at = std::min(m_retry_at, now + retry_interval);
}

} // namespace hickorylatch::core
