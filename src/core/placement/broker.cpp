#include "core/placement/broker.hpp"

#include "core/placement/admission.hpp"
#include "core/placement/log_fields.hpp"

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace hickorylatch::core
{

namespace
{

// Runs of an agent that is out of contact end at the latest when the agent has
// given this entry up (500 ms) and its worker's lease, by a slow clock, has run
// out after that; the rest is for the stops that the agent sends.
constexpr auto agent_contact_timeout = duration{std::chrono::milliseconds{500}};
constexpr auto stop_margin = duration{std::chrono::milliseconds{150}};
constexpr auto slowest_clock_percent = 103;
// A quarter of the agents' timeout: one lost confirmation does no harm.
constexpr auto confirm_interval = duration{std::chrono::milliseconds{100}};
// Tasks without a worker, or that wait for offers of room, look again this
// often. A worker without a reservation may have room by then.
constexpr auto retry_interval = duration{std::chrono::milliseconds{40}};
// A job of a client that does not say how long it waits.
constexpr auto default_wait = duration{std::chrono::seconds{30}};
// Balancers ask once a second and act on the second miss. Until then a closed
// connection might come back to this entry.
constexpr auto notice_time = duration{std::chrono::milliseconds{2200}};
// A job that still comes is served, or its client would have to send it again.
constexpr auto leave_time = duration{std::chrono::milliseconds{2700}};
// After a power loss links, a leader and the configuration are there within
// this time. Clients that are refused meanwhile would not come back.
constexpr auto start_time = duration{std::chrono::milliseconds{700}};
constexpr auto most_early = std::size_t{500};
// Room is there again after about one task of common length.
constexpr auto busy_retry_ms = std::uint32_t{1000};
constexpr auto draining_retry_ms = std::uint32_t{1};

auto job_verdict(run_state state, reason why) -> verdict
{
    return {state, why, {}, 0};
}

} // namespace

broker::broker(broker_settings settings)
    : m_settings{std::move(settings)}, m_links{m_settings.m_seeds, false}
{
    m_workers.set_spread_factor(m_settings.m_spread_factor);
}

auto broker::connected(hello const& peer) -> void
{
    if (peer.m_role != role::agent)
        return;
    m_workers.connected(peer.m_node);
    auto& contact = m_agents[peer.m_node];
    contact.m_is_connected = true;
    contact.m_is_confirmed = false;
    contact.m_gone_at = never;
}

auto broker::disconnected(time_point now, node_id peer) -> void
{
    auto const found = m_agents.find(peer);
    if (found == m_agents.end())
        return;
    m_workers.disconnected(peer);
    forget_reservations(peer);
    auto& contact = found->second;
    contact.m_is_connected = false;
    contact.m_gone_at =
        std::max(now, contact.m_confirmed_at + agent_contact_timeout +
                          m_settings.m_lease * slowest_clock_percent / 100 +
                          stop_margin);
}

auto broker::receive(time_point now, node_id from, message const& incoming,
                     random_source& random, effects& out) -> void
{
    if (auto const* load = std::get_if<worker_load>(&incoming))
        on(now, from, *load, out);
    else if (auto const* ends = std::get_if<runs_ended>(&incoming))
        on(now, from, *ends, random, out);
    else if (auto const* news = std::get_if<worker_announcement>(&incoming))
        on(now, from, *news, random, out);
    else if (auto const* offered = std::get_if<offer_room>(&incoming))
        on(now, from, *offered, out);
    else if (auto const* dropped = std::get_if<reservation_dropped>(&incoming))
    {
        if (auto const job = m_jobs.find(dropped->m_job); job != m_jobs.end())
            job->second.forget_reservation(dropped->m_step, from);
    }
    else if (auto const* change = std::get_if<configuration_changed>(&incoming))
        on(*change, out);
    else if (auto const* known = std::get_if<process_list>(&incoming))
        m_links.follow(from, *known, out);
    take_early(now, random, out);
}

auto broker::on(configuration_changed const& change, effects& out) -> void
{
    // Replicas may lag; what was once in force never comes back.
    if (change.m_configuration.m_version <= m_configuration.m_version)
        return;
    out.emplace_back(log_line{
        log_level::info,
        "configuration_adopted",
        {{"version", std::to_string(change.m_configuration.m_version)},
         {"before", std::to_string(m_configuration.m_version)},
         {"queues", std::to_string(change.m_configuration.m_queues.size())}}});
    m_configuration = change.m_configuration;
}

auto broker::on(time_point now, node_id from, worker_announcement const& news,
                random_source& random, effects& out) -> void
{
    m_workers.announce(now, from, news);
    forget_reservations(from);
    auto const found = m_agents.find(from);
    if (found == m_agents.end())
        return;
    found->second.m_worker = news.m_worker.m_name;
    // Orders that were lost with an earlier link are not listed.
    auto const jobs = found->second.m_jobs;
    for (auto const number : jobs)
    {
        auto const job = m_jobs.find(number);
        if (job == m_jobs.end())
            continue;
        auto is_changed = false;
        for (auto& task : job->second.tasks())
        {
            auto const ref = job->second.ref(task);
            auto const is_lost =
                task.m_state == task_state::placed && task.m_agent == from &&
                (task.m_order <= news.m_order ||
                 task.m_order > m_workers.last_order(from)) &&
                std::ranges::find(news.m_runs, ref) == news.m_runs.end();
            if (!is_lost)
                continue;
            lose_run(job->second, task, "order lost with its link",
                     now - found->second.m_confirmed_at, out);
            is_changed = true;
        }
        if (is_changed)
            carry_on(now, job, random, out);
    }
}

auto broker::on(time_point now, node_id from, worker_load const& load,
                effects& out) -> void
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
    out.emplace_back(
        send{from, contact_confirmed{load.m_sent_at, contact.m_ends,
                                     m_configuration.m_version,
                                     whole_ms(load_interval())}});
}

auto broker::load_interval() const -> duration
{
    return duration{std::chrono::seconds{m_workers.size()}} /
           m_settings.m_loads_per_s;
}

auto broker::on(time_point now, node_id from, runs_ended const& news,
                random_source& random, effects& out) -> void
{
    auto const found = m_agents.find(from);
    if (found == m_agents.end() || news.m_number <= found->second.m_ends)
        return;
    found->second.m_ends = news.m_number;
    for (auto const& end : news.m_ends)
        take_end(now, from, end, random, out);
}

auto broker::on(time_point now, node_id from, offer_room const& offered,
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

auto broker::note_placed(time_point now, placed_job& job, effects& out) -> void
{
    m_unplaced.erase(job.number());
    m_planner.observe_wait(now, job);
    release(job, out);
}

auto broker::take_end(time_point now, node_id agent, run_end const& end,
                      random_source& random, effects& out) -> void
{
    auto const job = m_jobs.find(end.m_run.m_job);
    if (job == m_jobs.end())
        return;
    auto* const task = job->second.find(end.m_run.m_task);
    if (task == nullptr || task->m_state != task_state::placed ||
        task->m_run != end.m_run.m_run || task->m_agent != agent)
        return;
    if (end.m_outcome != run_outcome::refused)
        job->second.note_started();
    if (end.m_outcome == run_outcome::succeeded)
    {
        m_planner.observe(job->second, *task,
                          std::chrono::milliseconds{end.m_run_ms});
        job->second.succeeded(*task);
        if (job->second.is_complete())
            finish(now, job, job_verdict(run_state::ran, reason::none),
                   job_state::completed, out);
        else
            carry_on(now, job, random, out);
        return;
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
    auto const has_failed = end.m_outcome == run_outcome::failed;
    if (has_failed || end.m_reason == reason::call_failed)
        task->m_avoided.push_back(agent);
    // Runs that were stopped without progress do not count.
    if (has_failed && ++task->m_failures >= job->second.queue().m_run_limit)
    {
        fail(now, job, reason::call_failed, out);
        return;
    }
    carry_on(now, job, random, out);
}

auto broker::carry_on(time_point now, live_jobs::iterator job,
                      random_source& random, effects& out) -> void
{
    auto made = m_planner.plan(now, job->second, random);
    carry_out(job->second, std::move(made), out);
    if (job->second.has_ready_tasks())
        retry_later(now, job->first);
    else
        m_unplaced.erase(job->first);
}

auto broker::retry_later(time_point now, std::uint64_t job) -> void
{
    m_unplaced.insert(job);
    m_retry_at = std::min(m_retry_at, now + retry_interval);
}

auto broker::refusal(time_point now, job_arrived const& request,
                     job_queue const* queue) const -> verdict
{
    if (now >= m_refuse_at)
        return refused(reason::draining, {}, draining_retry_ms);
    if (m_configuration.m_version == 0)
        return refused(reason::lease_expired, "no configuration yet",
                       busy_retry_ms);
    if (queue == nullptr)
        return refused(reason::unknown_service, "no such queue");
    if (!request.m_job.m_unsupported.empty())
        return refused(reason::invalid, request.m_job.m_unsupported);
    if (!queue->m_unsupported.empty())
        return refused(reason::invalid, queue->m_unsupported);
    if (request.m_job.m_is_durable)
        return refused(reason::invalid, "durable jobs are not taken yet");
    if (!m_workers.has_usable(now, queue->m_service))
        return refused(reason::no_capacity, "no worker can be reached",
                       busy_retry_ms);
    return job_verdict(run_state::ran, reason::none);
}

auto broker::start(time_point now) -> void
{
    m_started_at = now;
}

auto broker::is_starting(time_point now) const -> bool
{
    return m_started_at != never && now < m_started_at + start_time &&
           (m_configuration.m_version == 0 || !m_workers.has_any_usable(now));
}

auto broker::refuse(job_arrived const& request, verdict const& why,
                    effects& out) -> void
{
    out.emplace_back(
        log_line{log_level::info,
                 "job_refused",
                 {{"job", request.m_job.m_id},
                  {"reason", std::string{to_string(why.m_reason)}},
                  {"detail", why.m_detail},
                  {"version", std::to_string(m_configuration.m_version)}}});
    out.emplace_back(count_refusal(why));
    out.emplace_back(answer_job{request.m_exchange, why, job_state::failed});
}

auto broker::arrived(time_point now, job_arrived const& request,
                     random_source& random, effects& out) -> void
{
    if (is_starting(now) && m_early.size() < most_early)
    {
        m_early.emplace_back(now, request);
        return;
    }
    auto const* queue =
        find_queue(m_configuration, request.m_host, request.m_path);
    auto const outcome = refusal(now, request, queue);
    if (outcome.m_run == run_state::ran)
        take(now, request, *queue, random, out);
    else
        refuse(request, outcome, out);
}

auto broker::take_early(time_point now, random_source& random, effects& out)
    -> void
{
    if (m_early.empty() || is_starting(now))
        return;
    for (auto& [arrived_at, request] : std::exchange(m_early, {}))
    {
        auto const waited = whole_ms(now - arrived_at);
        if (request.m_client_wait_ms != 0)
            request.m_client_wait_ms -=
                std::min(waited, request.m_client_wait_ms - 1);
        arrived(now, request, random, out);
    }
}

auto broker::take(time_point now, job_arrived const& request,
                  job_queue const& queue, random_source& random, effects& out)
    -> void
{
    auto const wait =
        request.m_client_wait_ms != 0
            ? duration{std::chrono::milliseconds{request.m_client_wait_ms}}
            : default_wait;
    auto const number = ++m_last_job;
    auto const job = m_jobs
                         .emplace(number, placed_job{number, request, queue,
                                                     now, now + wait})
                         .first;
    m_exchanges[request.m_exchange] = number;
    m_by_id[request.m_job.m_id] = number;
    m_deadlines.emplace(now + wait, number);
    auto made = m_planner.plan(now, job->second, random);
    auto const limit = longest_wait(m_planner.objective(job->second),
                                    made.m_finish - made.m_wait);
    auto const is_late = made.m_wait > limit;
    out.emplace_back(describe(now, job->second, made, limit));
    if (is_late)
    {
        m_planner.drop(made);
        finish(now, job,
               refused(reason::no_capacity, "expected to be late",
                       std::max(whole_ms(made.m_wait - limit), busy_retry_ms)),
               job_state::failed, out);
        return;
    }
    if (!made.m_reservations.empty())
        job->second.set_forecast(made.m_forecast);
    carry_out(job->second, std::move(made), out);
    if (job->second.has_ready_tasks())
        retry_later(now, number);
}

auto broker::describe(time_point now, placed_job const& job,
                      job_plan const& made, duration longest) const -> log_line
{
    auto workers = std::string{};
    auto oldest = duration{0};
    for (auto const& [agent, order] : made.m_orders)
    {
        if (!workers.empty())
            workers += ',';
        workers.append(m_workers.worker_name(agent))
            .append(":")
            .append(std::to_string(order.m_runs.size()));
        oldest = std::max(oldest, m_workers.load_age(now, agent));
    }
    return {log_level::info,
            made.m_wait > longest ? "job_late" : "job_taken",
            {{"job", job.job().m_id},
             {"queue", job.queue().m_name},
             {"version", std::to_string(m_configuration.m_version)},
             {"wait_ms", ms_field(made.m_wait)},
             {"forecast_ms", ms_field(made.m_forecast)},
             {"longest_wait_ms", ms_field(longest)},
             {"finish_ms", ms_field(made.m_finish)},
             {"load_age_ms", ms_field(oldest)},
             {"workers", workers},
             {"reserved_at", std::to_string(made.m_reservations.size())},
             {"unplaced", std::to_string(made.m_unplaced)}}};
}

auto broker::carry_out(placed_job& job, job_plan&& wanted, effects& out) -> void
{
    for (auto& [agent, order] : wanted.m_orders)
        send_order(job, agent, std::move(order), out);
    for (auto& [agent, reservation] : wanted.m_reservations)
    {
        job.reserved(reservation.m_step, agent, reservation.m_count);
        out.emplace_back(send{agent, reservation});
    }
}

auto broker::send_order(placed_job& job, node_id agent, order_runs&& order,
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

auto broker::release(placed_job& job, effects& out) -> void
{
    for (auto const agent : job.take_reservations())
        out.emplace_back(send{agent, release_room{job.number()}});
}

auto broker::forget_reservations(node_id agent) -> void
{
    for (auto const number : m_unplaced)
        if (auto const job = m_jobs.find(number); job != m_jobs.end())
            job->second.forget_reservations(agent);
}

auto broker::asked(job_asked const& request, effects& out) -> void
{
    auto const* queue =
        find_queue(m_configuration, request.m_host, request.m_path);
    auto const unknown =
        refused(m_configuration.m_version == 0 ? reason::lease_expired
                                               : reason::unknown_service);
    auto const known = job_verdict(run_state::ran, reason::none);
    if (request.m_question == job_question::pending)
    {
        auto const waiting = std::ranges::count_if(
            m_jobs,
            [&](auto const& each)
            {
                return queue != nullptr &&
                       each.second.queue().m_name == queue->m_name &&
                       !each.second.may_have_started();
            });
        out.emplace_back(answer_pending{request.m_exchange,
                                        queue == nullptr ? unknown : known,
                                        static_cast<std::uint64_t>(waiting)});
        return;
    }
    auto const found = m_by_id.find(request.m_job_id);
    auto const is_known = queue != nullptr && found != m_by_id.end();
    out.emplace_back(
        answer_job{request.m_exchange,
                   queue == nullptr ? unknown
                   : is_known       ? known
                              : refused(reason::key_forgotten, "no such job"),
                   job_state::active});
}

auto broker::abandoned(time_point now, exchange_id exchange, effects& out)
    -> void
{
    std::erase_if(m_early,
                  [exchange](auto const& early)
                  {
                      return early.second.m_exchange == exchange;
                  });
    auto const found = m_exchanges.find(exchange);
    if (found == m_exchanges.end())
        return;
    auto const job = m_jobs.find(found->second);
    finish(now, job, job_verdict(run_state::may_have_run, reason::cancelled),
           job_state::cancelled, out);
}

auto broker::fail(time_point now, live_jobs::iterator job, reason why,
                  effects& out) -> void
{
    auto const is_untouched =
        !job->second.may_have_started() &&
        std::ranges::none_of(job->second.tasks(),
                             [](placed_task const& task)
                             {
                                 return task.m_state == task_state::placed;
                             });
    // A job has failed when a task has used up its runs; one that runs out of
    // time has neither failed nor provably not run.
    auto const outcome = is_untouched ? refused(why, {}, busy_retry_ms)
                         : why == reason::call_failed
                             ? job_verdict(run_state::ran, why)
                             : uncertain(why);
    finish(now, job, outcome, job_state::failed, out);
}

auto broker::finish(time_point now, live_jobs::iterator job,
                    verdict const& outcome, job_state state, effects& out)
    -> void
{
    auto const& ended = job->second;
    out.emplace_back(
        log_line{log_level::info,
                 "job_ended",
                 {{"job", ended.job().m_id},
                  {"queue", ended.queue().m_name},
                  {"state", std::string{to_string(state)}},
                  {"verdict", std::string{to_string(outcome.m_run)}},
                  {"reason", std::string{to_string(outcome.m_reason)}},
                  {"age_ms", ms_field(now - ended.arrived())}}});
    out.emplace_back(
        observe_metric{"hickorylatch_jobs_total",
                       {{"verdict", std::string{to_string(outcome.m_run)}}}});
    out.emplace_back(observe_metric{"hickorylatch_job_seconds",
                                    {{"queue", ended.queue().m_name},
                                     {"state", std::string{to_string(state)}}},
                                    to_seconds(now - ended.arrived())});
    if (outcome.m_run != core::run_state::ran)
        out.emplace_back(count_refusal(outcome));
    withdraw(ended, out);
    release(job->second, out);
    out.emplace_back(answer_job{ended.exchange(), outcome, state});
    m_exchanges.erase(ended.exchange());
    if (auto const by_id = m_by_id.find(ended.job().m_id);
        by_id != m_by_id.end() && by_id->second == job->first)
        m_by_id.erase(by_id);
    m_deadlines.erase({ended.deadline(), job->first});
    m_unplaced.erase(job->first);
    for (auto& [agent, contact] : m_agents)
        contact.m_jobs.erase(job->first);
    m_jobs.erase(job);
}

auto broker::withdraw(placed_job const& job, effects& out) -> void
{
    auto orders = std::map<node_id, withdraw_runs>{};
    for (auto const& task : job.tasks())
        if (task.m_state == task_state::placed)
            orders[task.m_agent].m_runs.push_back(job.ref(task));
    for (auto& [agent, order] : orders)
        out.emplace_back(send{agent, std::move(order)});
}

auto broker::lose_runs(time_point now, node_id agent, random_source& random,
                       effects& out) -> void
{
    auto& contact = m_agents.at(agent);
    auto const jobs = std::exchange(contact.m_jobs, {});
    for (auto const number : jobs)
    {
        auto const job = m_jobs.find(number);
        if (job == m_jobs.end())
            continue;
        for (auto& task : job->second.tasks())
            if (task.m_state == task_state::placed && task.m_agent == agent)
                lose_run(job->second, task, "no contact",
                         now - contact.m_confirmed_at, out);
        carry_on(now, job, random, out);
    }
}

auto broker::lose_run(placed_job& job, placed_task& task,
                      std::string_view cause, duration silence, effects& out)
    -> void
{
    out.emplace_back(log_line{log_level::warning,
                              "run_lost",
                              {{"job", job.job().m_id},
                               {"task", task_field(task.m_index)},
                               {"run", std::to_string(task.m_run)},
                               {"worker", m_agents.at(task.m_agent).m_worker},
                               {"cause", std::string{cause}},
                               {"silent_ms", ms_field(silence)}}});
    job.came_back(task);
}

auto broker::tick(time_point now, random_source& random, effects& out) -> void
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now)
        fail(now, m_jobs.find(m_deadlines.begin()->second), reason::deadline,
             out);
    auto gone = std::vector<node_id>{};
    for (auto const& [agent, contact] : m_agents)
        if (contact.m_gone_at <= now)
            gone.push_back(agent);
    for (auto const agent : gone)
    {
        lose_runs(now, agent, random, out);
        m_agents.erase(agent);
    }
    if (now >= m_close_at)
    {
        m_close_at = never;
        out.emplace_back(close_idle_callers{});
    }
    take_early(now, random, out);
    if (now < m_retry_at)
        return;
    m_retry_at = never;
    auto const unplaced = m_unplaced;
    for (auto const number : unplaced)
        carry_on(now, m_jobs.find(number), random, out);
}

auto broker::replace_seeds(std::vector<std::string> const& seeds, effects& out)
    -> void
{
    m_links.replace_seeds(seeds, out);
}

auto broker::stop(time_point now) -> void
{
    if (m_refuse_at != never)
        return;
    m_close_at = now + notice_time;
    m_refuse_at = now + leave_time;
}

auto broker::is_ready(time_point now) const -> bool
{
    return m_refuse_at == never && m_configuration.m_version != 0 &&
           m_workers.has_any_usable(now);
}

auto broker::is_idle(time_point now) const -> bool
{
    return now >= m_refuse_at && m_jobs.empty() && m_early.empty();
}

auto broker::next_deadline() const -> time_point
{
    auto first = std::min(m_retry_at, m_close_at);
    if (!m_early.empty())
        first = std::min(first, m_started_at + start_time);
    if (m_refuse_at != never && m_close_at == never && m_jobs.empty())
        first = std::min(first, m_refuse_at);
    if (!m_deadlines.empty())
        first = std::min(first, m_deadlines.begin()->first);
    for (auto const& [agent, contact] : m_agents)
        first = std::min(first, contact.m_gone_at);
    return first;
}

auto broker::config() const -> configuration const&
{
    return m_configuration;
}

auto broker::jobs() const -> std::size_t
{
    return m_jobs.size();
}

auto broker::workers() const -> worker_directory const&
{
    return m_workers;
}

} // namespace hickorylatch::core
