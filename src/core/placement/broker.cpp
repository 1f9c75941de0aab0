#include "core/placement/broker.hpp"

#include "core/placement/admission.hpp"
#include "core/placement/client_wait.hpp"
#include "core/placement/log_fields.hpp"
#include "core/placement/placement_log.hpp"

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

// Load balancers probe once a second and act on the second failed probe. Until
// then a client whose connection is closed might reconnect to this entry.
constexpr auto idle_close_delay = duration{std::chrono::milliseconds{2200}};
// Jobs that arrive before this are still served, so that their clients need not
// send them again.
constexpr auto refusal_delay = duration{std::chrono::milliseconds{2700}};
// About the run time of a typical task, after which there is room again.
constexpr auto busy_retry_ms = std::uint32_t{1000};
constexpr auto draining_retry_ms = std::uint32_t{1};

auto job_verdict(run_state state, reason why) -> verdict
{
    return {state, why, {}, 0};
}

} // namespace

broker::broker(broker_settings settings)
    : m_takes_durable_jobs{settings.m_takes_durable_jobs},
      m_failure_domain{std::move(settings.m_failure_domain)},
      m_links{{.m_seeds = std::move(settings.m_seeds),
               .m_name = settings.m_name,
               .m_control_limit = followed_replicas}},
      m_configuration{std::move(settings.m_name)}, m_placer{settings.m_placer},
      m_startup{settings.m_awaits_workers_after_start},
      m_isolation{settings.m_releases_callers_when_isolated}
{
}

auto broker::connected(time_point now, hello const& peer, effects& out) -> void
{
    m_links.opened(peer);
    m_links.update(now, out);
    if (peer.m_role == role::agent)
    {
        m_placer.connected(peer.m_node);
        if (m_evacuations.current().m_revision != 0)
            out.emplace_back(send{peer.m_node, m_evacuations.current()});
        m_startup.observe_workers(now, m_placer.workers().size());
    }
    if (peer.m_role == role::control)
        m_requests.connected(peer.m_node, out);
}

auto broker::disconnected(time_point now, node_id peer, effects& out) -> void
{
    m_links.closed(now, peer);
    m_links.update(now, out);
    m_isolation.lost_agent(m_placer.workers().is_accepting(peer));
    m_placer.disconnected(now, peer);
    m_requests.disconnected(peer, out);
    m_configuration.disconnected(now, peer, out);
}

auto broker::receive(time_point now, node_id from, message const& incoming,
                     random_source& random, effects& out) -> void
{
    if (m_placer.receive(now, from, incoming,
                         m_configuration.config().m_version, random, out))
    {
        if (auto const* announcement =
                std::get_if<worker_announcement>(&incoming))
            m_claims.agent_announced(now, from, announcement->m_worker.m_name,
                                     out);
        process_outcomes(now, random, out);
    }
    else if (auto const* claim = std::get_if<claim_answer>(&incoming))
    {
        m_claims.answered(now, *claim, out);
        process_outcomes(now, random, out);
    }
    else if (auto const* yield_request = std::get_if<yield_job>(&incoming))
        yield(now, from, yield_request->m_job_id, out);
    else if (m_configuration.receive(now, from, incoming, out))
        ;
    else if (auto const* processes = std::get_if<process_list>(&incoming))
    {
        m_links.set_known_processes(from, *processes);
        m_links.update(now, out);
    }
    else if (auto const* received = std::get_if<evacuations>(&incoming))
        adopt(now, *received, random, out);
    else if (auto const* result = std::get_if<operate_result>(&incoming))
    {
        if (auto const done = m_requests.answered(from, *result, out))
            answer(done->m_request, done->m_result, out);
    }
    process_held(now, random, out);
}

auto broker::adopt(time_point now, evacuations const& received,
                   random_source& random, effects& out) -> void
{
    if (!m_evacuations.adopt(received, out))
        return;
    auto const& current = m_evacuations.current();
    out.emplace_back(
        observe_metric{"hickorylatch_evacuated_domains",
                       {},
                       static_cast<double>(current.m_failure_domains.size())});
    // The agents learn of it even if no control replica can reach them.
    for (auto const agent : m_placer.workers().connected_agents())
        out.emplace_back(send{agent, current});
    m_placer.set_evacuations(now, current, random, out);
    process_outcomes(now, random, out);
}

auto broker::process_outcomes(time_point now, random_source& random,
                              effects& out) -> void
{
    for (auto const& ended : m_placer.take_outcomes())
    {
        if (ended.m_reason == reason::none)
            finish(now, ended.m_job, job_verdict(run_state::ran, reason::none),
                   job_state::completed, out);
        else if (ended.m_reason == reason::superseded)
            finish(now, ended.m_job, uncertain(ended.m_reason),
                   job_state::cancelled, out);
        else
            fail(now, ended.m_job, ended.m_reason, out);
    }
    for (auto const number : m_placer.take_stopped())
        m_claims.runs_stopped(number, out);
    for (auto& [request, waited] : m_claims.take_ready(now, out))
    {
        auto const& id = request.m_job.m_id;
        if (waited >= to_client_wait(request.m_client_wait_ms))
            refuse(request, uncertain(reason::deadline), out);
        else
        {
            reduce_wait(request, waited);
            admit(now, request, random, out);
        }
        yield_unless_accepted(now, id, out);
    }
}

auto broker::yield_unless_accepted(time_point now, std::string const& job_id,
                                   effects& out) -> void
{
    auto const agent = claim_agent(now, job_id).m_agent;
    if (agent != no_node && !m_jobs_by_id.contains(job_id) &&
        !m_held.contains(job_id))
        out.emplace_back(send{agent, job_yielded{job_id}});
}

auto broker::claim_agent(time_point now, std::string_view job_id) const
    -> claim_location
{
    return m_placer.workers().claim_agent(now, job_id, m_failure_domain);
}

auto broker::yield(time_point now, node_id agent, std::string const& job_id,
                   effects& out) -> void
{
    auto const why = uncertain(reason::superseded);
    for (auto const& held : m_held.take(job_id))
        refuse(held.m_request, why, out);
    if (auto const found = m_jobs_by_id.find(job_id);
        found != m_jobs_by_id.end())
        finish(now, found->second, why, job_state::cancelled, out);
    for (auto const& request : m_claims.yield(agent, job_id, out))
        refuse(request, why, out);
}

auto broker::refusal(time_point now, job_arrived const& request,
                     job_queue const* queue) const -> verdict
{
    if (now >= m_refuse_at)
        return refused(reason::draining, {}, draining_retry_ms);
    if (m_configuration.config().m_version == 0)
        return refused(reason::lease_expired, "no configuration yet",
                       busy_retry_ms);
    if (queue == nullptr)
        return refused(reason::unknown_service, "no such queue");
    if (!request.m_job.m_unsupported_feature.empty())
        return refused(reason::invalid, request.m_job.m_unsupported_feature);
    if (!queue->m_unsupported_feature.empty())
        return refused(reason::invalid, queue->m_unsupported_feature);
    if (request.m_job.m_is_durable && !m_takes_durable_jobs)
        return refused(reason::invalid, "jobs that must survive are not taken");
    // A durable job waits until a worker is available, and another caller of a
    // job that is in progress here waits with the first.
    if (request.m_job.m_is_durable || is_in_progress(request, *queue))
        return job_verdict(run_state::ran, reason::none);
    if (m_placer.requires_evacuated(request.m_job, queue->m_service))
        return refused(reason::no_capacity,
                       "all workers for it are in evacuated failure domains",
                       busy_retry_ms);
    if (!m_placer.workers().has_usable(now, queue->m_service))
        return refused(reason::no_capacity, "no worker can be reached",
                       busy_retry_ms);
    return job_verdict(run_state::ran, reason::none);
}

auto broker::start(time_point now) -> void
{
    m_startup.start(now);
}

auto broker::is_starting(time_point now) const -> bool
{
    return m_startup.is_starting(now) &&
           (m_configuration.config().m_version == 0 ||
            !m_placer.workers().has_any_usable(now));
}

auto broker::refuse(job_arrived const& request, verdict const& cause,
                    effects& out) -> void
{
    auto const why = request.m_may_have_run
                         ? uncertain(cause.m_reason, cause.m_detail)
                         : cause;
    out.emplace_back(log_line{
        log_level::info,
        "job_refused",
        {{"job", request.m_job.m_id},
         {"reason", std::string{to_string(why.m_reason)}},
         {"detail", why.m_detail},
         {"version", std::to_string(m_configuration.config().m_version)}}});
    out.emplace_back(count_refusal(why));
    out.emplace_back(answer_job{request.m_exchange, why, job_state::failed});
}

auto broker::arrived(time_point now, job_arrived const& request,
                     random_source& random, effects& out) -> void
{
    if (is_starting(now) && m_held.has_room())
    {
        m_startup.await_first_worker();
        hold(now, request, false, out);
        return;
    }
    if (needs_claim(request))
    {
        m_claims.await_grant(now, request, claim_agent(now, request.m_job.m_id),
                             now + to_client_wait(request.m_client_wait_ms),
                             out);
        process_outcomes(now, random, out);
    }
    else
        admit(now, request, random, out);
}

auto broker::needs_claim(job_arrived const& request) const -> bool
{
    auto const& id = request.m_job.m_id;
    return !request.m_job.m_is_durable && !m_jobs_by_id.contains(id) &&
           (request.m_may_be_resent || m_claims.is_waiting(id) ||
            m_claims.is_stopping(id));
}

auto broker::admit(time_point now, job_arrived const& request,
                   random_source& random, effects& out) -> void
{
    auto const* queue =
        m_configuration.find_queue(request.m_host, request.m_path);
    auto const outcome = refusal(now, request, queue);
    if (outcome.m_run != run_state::ran)
        refuse(request, outcome, out);
    else if (request.m_job.m_is_durable)
        m_requests.submit({request.m_exchange, post_job{request.m_job, *queue},
                           now + to_client_wait(request.m_client_wait_ms)},
                          out);
    else if (is_in_progress(request, *queue))
        join(now, request, m_jobs_by_id.at(request.m_job.m_id), out);
    else
        accept_or_refuse(now, request, *queue, random, out);
}

auto broker::is_in_progress(job_arrived const& request,
                            job_queue const& queue) const -> bool
{
    auto const same = m_jobs_by_id.find(request.m_job.m_id);
    return same != m_jobs_by_id.end() &&
           m_placer.jobs().at(same->second).queue().m_name == queue.m_name;
}

auto broker::add_caller(exchange_id exchange, std::uint64_t job) -> void
{
    m_jobs_by_exchange[exchange] = job;
    m_callers[job].push_back(exchange);
}

auto broker::join(time_point now, job_arrived const& request,
                  std::uint64_t number, effects& out) -> void
{
    add_caller(request.m_exchange, number);
    auto& job = *m_placer.find(number);
    m_deadlines.erase({job.deadline(), number});
    job.extend_deadline(now + to_client_wait(request.m_client_wait_ms));
    m_deadlines.emplace(job.deadline(), number);
    out.emplace_back(log_line{
        log_level::info,
        "job_joined",
        {{"job", job.job().m_id}, {"age_ms", ms_field(now - job.arrived())}}});
}

auto broker::process_held(time_point now, random_source& random, effects& out)
    -> void
{
    if (m_held.empty())
        return;
    if (is_starting(now))
    {
        m_startup.await_first_worker();
        return;
    }
    if (!m_startup.is_due(now))
        return;
    auto held = m_held.take_all();
    if (m_startup.awaits_workers())
        sort_held_jobs(held,
                       [&](held_job const& each)
                       {
                           return held_order(now, each);
                       });
    for (auto& [since, request, is_claimed] : held)
    {
        if (m_startup.awaits_workers() &&
            now - since >= to_client_wait(request.m_client_wait_ms))
        {
            refuse(request,
                   is_claimed || !request.m_may_be_resent
                       ? refused(reason::deadline)
                       : uncertain(reason::deadline),
                   out);
            continue;
        }
        reduce_wait(request, now - since);
        if (!is_claimed)
            arrived(now, request, random, out);
        else
        {
            admit(now, request, random, out);
            yield_unless_accepted(now, request.m_job.m_id, out);
        }
    }
}

auto broker::held_order(time_point now, held_job const& job) const
    -> held_job_order
{
    auto const& request = job.m_request;
    auto const* queue =
        m_configuration.find_queue(request.m_host, request.m_path);
    if (queue == nullptr)
        return {};
    auto const objective =
        m_placer.objective({0, request.m_job, *queue, job.m_since});
    return order_of(now, job, *queue, objective);
}

auto broker::hold(time_point now, job_arrived const& request, bool is_claimed,
                  effects& out) -> void
{
    if (m_startup.awaits_workers() && !request.m_was_held)
    {
        out.emplace_back(
            log_line{log_level::info,
                     "job_held",
                     {{"job", request.m_job.m_id},
                      {"workers", std::to_string(m_placer.workers().size())}}});
        out.emplace_back(observe_metric{"hickorylatch_held_jobs_total"});
    }
    auto held = held_job{now, request, is_claimed};
    held.m_request.m_was_held = true;
    m_held.add(std::move(held));
}

auto broker::accept_or_refuse(time_point now, job_arrived const& request,
                              job_queue const& queue, random_source& random,
                              effects& out) -> void
{
    auto const wait = to_client_wait(request.m_client_wait_ms);
    auto const number = ++m_last_job_number;
    auto const free_share = m_placer.workers().free_share(now);
    m_placer.add({number, request, queue, now, now + wait});
    auto plan = m_placer.plan(now, number, random);
    auto& job = *m_placer.find(number);
    auto const objective = m_placer.objective(job);
    auto const run = plan.m_finish - plan.m_wait;
    auto const decision =
        m_startup.decide(now, {plan.m_wait, run, objective, request.m_waited,
                               request.m_was_held, free_share});
    if (decision == admission::hold && m_held.has_room())
    {
        m_placer.discard(plan);
        m_placer.remove(number, out);
        m_startup.schedule_attempt(now);
        hold(now, request, request.m_may_be_resent, out);
        return;
    }
    add_caller(request.m_exchange, number);
    m_jobs_by_id[request.m_job.m_id] = number;
    m_deadlines.emplace(now + wait, number);
    auto const wait_limit = max_wait(objective, run);
    out.emplace_back(placement_log_line(
        now, {job, plan, m_placer.workers(), m_configuration.config().m_version,
              wait_limit, decision == admission::accept}));
    if (decision != admission::accept)
    {
        m_placer.discard(plan);
        finish(now, number,
               request.m_may_have_run
                   ? uncertain(reason::no_capacity)
                   : refused(reason::no_capacity, "expected to be late",
                             std::max(whole_ms(plan.m_wait - wait_limit),
                                      busy_retry_ms)),
               job_state::failed, out);
        return;
    }
    if (request.m_may_have_run)
        job.set_may_have_started();
    m_claims.claim(now, job, claim_agent(now, job.job().m_id), out);
    if (!plan.m_reservations.empty())
        job.set_forecast(plan.m_forecast);
    m_placer.execute(now, number, std::move(plan), out);
}

auto broker::query_arrived(time_point now, job_query_arrived const& request,
                           effects& out) -> void
{
    auto const* queue =
        m_configuration.find_queue(request.m_host, request.m_path);
    auto control = control_request{request.m_exchange, find_job{}, now};
    control.m_deadline += to_client_wait(request.m_client_wait_ms);
    auto const local = m_jobs_by_id.find(request.m_job_id);
    if (queue == nullptr)
        answer(control, {.m_verdict = unknown_queue_verdict()}, out);
    else if (request.m_query == job_query::pending)
    {
        control.m_operation = count_waiting_jobs{queue->m_name};
        m_requests.submit(std::move(control), out);
    }
    else if (local != m_jobs_by_id.end())
    {
        auto const outcome = job_verdict(run_state::ran, reason::none);
        auto const is_cancelled = request.m_query == job_query::cancel;
        auto const state =
            is_cancelled ? job_state::cancelled : job_state::active;
        // An uncertain verdict would make the client send the job again.
        if (is_cancelled)
            finish(now, local->second, outcome, state, out);
        answer(control, {.m_verdict = outcome, .m_job_state = state}, out);
    }
    else
    {
        if (request.m_query == job_query::cancel)
            control.m_operation = cancel_durable_job{request.m_job_id};
        else
            control.m_operation = find_job{
                request.m_job_id,
                whole_ms(to_state_query_wait(control.m_deadline - now))};
        m_requests.submit(std::move(control), out);
    }
}

auto broker::unknown_queue_verdict() const -> verdict
{
    return refused(m_configuration.config().m_version == 0
                       ? reason::lease_expired
                       : reason::unknown_service);
}

auto broker::answer(control_request const& request,
                    operate_result const& result, effects& out) -> void
{
    auto const* counted = std::get_if<count_waiting_jobs>(&request.m_operation);
    if (counted == nullptr)
    {
        if (auto const* posted = std::get_if<post_job>(&request.m_operation))
            out.emplace_back(log_line{
                log_level::info,
                "durable_job_answered",
                {{"job", posted->m_job.m_id},
                 {"queue", posted->m_queue.m_name},
                 {"verdict", std::string{to_string(result.m_verdict.m_run)}},
                 {"reason",
                  std::string{to_string(result.m_verdict.m_reason)}}}});
        out.emplace_back(answer_job{request.m_exchange, result.m_verdict,
                                    result.m_job_state});
        return;
    }
    auto const local_count = std::ranges::count_if(
        m_placer.jobs(),
        [&](auto const& each)
        {
            return each.second.queue().m_name == counted->m_queue &&
                   !each.second.may_have_started();
        });
    out.emplace_back(answer_pending_count{
        request.m_exchange, result.m_verdict,
        result.m_count + static_cast<std::uint64_t>(local_count)});
}

auto broker::abandoned(time_point now, exchange_id exchange, effects& out)
    -> void
{
    m_held.abandon(exchange);
    m_requests.abandon(exchange);
    m_claims.abandon(exchange);
    auto const found = m_jobs_by_exchange.find(exchange);
    if (found == m_jobs_by_exchange.end())
    {
        out.emplace_back(log_line{log_level::info,
                                  "caller_gone_before_begin",
                                  {{"exchange", std::to_string(exchange)}}});
        return;
    }
    auto const job = found->second;
    auto& callers = m_callers.at(job);
    std::erase(callers, exchange);
    m_jobs_by_exchange.erase(found);
    if (!callers.empty())
        return;
    finish(now, job, job_verdict(run_state::may_have_run, reason::cancelled),
           job_state::cancelled, out);
}

auto broker::fail(time_point now, std::uint64_t number, reason why,
                  effects& out) -> void
{
    auto const may_have_started = m_placer.find(number)->may_have_started();
    // A job has failed if a task has reached its failure limit. A job that
    // reaches its deadline has not failed, but may have run.
    auto const outcome = !may_have_started ? refused(why, {}, busy_retry_ms)
                         : why == reason::call_failed
                             ? job_verdict(run_state::ran, why)
                             : uncertain(why);
    finish(now, number, outcome, job_state::failed, out);
}

auto broker::finish(time_point now, std::uint64_t number,
                    verdict const& outcome, job_state state, effects& out)
    -> void
{
    auto const& ended = *m_placer.find(number);
    report_end(now, ended, outcome, state, out);
    for (auto const caller : m_callers.at(number))
    {
        out.emplace_back(answer_job{caller, outcome, state});
        m_jobs_by_exchange.erase(caller);
    }
    m_callers.erase(number);
    if (auto const by_id = m_jobs_by_id.find(ended.job().m_id);
        by_id != m_jobs_by_id.end() && by_id->second == number)
        m_jobs_by_id.erase(by_id);
    m_deadlines.erase({ended.deadline(), number});
    auto const id = ended.job().m_id;
    m_claims.release(number);
    if (m_placer.stop(number, out))
        m_claims.mark_stopping(id, number);
}

auto broker::tick(time_point now, random_source& random, effects& out) -> void
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now)
        fail(now, m_deadlines.begin()->second, reason::deadline, out);
    for (auto const& late : m_requests.expire(now))
        answer(late, {.m_verdict = uncertain(reason::no_leader)}, out);
    if (now >= m_close_idle_at)
    {
        m_close_idle_at = never;
        out.emplace_back(close_idle_callers{});
    }
    process_held(now, random, out);
    if (now >= m_links.next_deadline())
        m_links.update(now, out);
    m_configuration.tick(now, out);
    m_placer.tick(now, random, out);
    static_cast<void>(m_placer.take_lost_agents());
    process_outcomes(now, random, out);
    m_isolation.observe(now, m_placer.workers().contact(now),
                        m_requests.is_connected(), out);
}

auto broker::replace_seeds(time_point now,
                           std::vector<std::string> const& seeds, effects& out)
    -> void
{
    m_links.replace_seeds(seeds);
    m_links.update(now, out);
}

auto broker::stop(time_point now) -> void
{
    if (m_refuse_at != never)
        return;
    m_close_idle_at = now + idle_close_delay;
    m_refuse_at = now + refusal_delay;
}

auto broker::is_ready(time_point now) const -> bool
{
    return m_refuse_at == never && m_configuration.config().m_version != 0 &&
           m_placer.workers().has_any_usable(now);
}

auto broker::releases_callers() const -> bool
{
    return m_isolation.releases_callers();
}

auto broker::is_idle(time_point now) const -> bool
{
    return now >= m_refuse_at && is_empty();
}

auto broker::is_empty() const -> bool
{
    return jobs() == 0 && m_held.empty() && m_requests.size() == 0 &&
           m_claims.size() == 0;
}

auto broker::next_deadline() const -> time_point
{
    auto first =
        std::min({m_placer.next_deadline(), m_requests.next_deadline(),
                  m_links.next_deadline(), m_configuration.next_deadline(),
                  m_claims.next_deadline(), m_isolation.next_deadline(),
                  m_close_idle_at});
    if (!m_held.empty())
        first = std::min(first, m_startup.next_attempt());
    if (m_refuse_at != never && m_close_idle_at == never && is_empty())
        first = std::min(first, m_refuse_at);
    if (!m_deadlines.empty())
        first = std::min(first, m_deadlines.begin()->first);
    return first;
}

auto broker::config() const -> configuration const&
{
    return m_configuration.config();
}

auto broker::jobs() const -> std::size_t
{
    return m_placer.jobs().size();
}

auto broker::workers() const -> worker_directory const&
{
    return m_placer.workers();
}

} // namespace hickorylatch::core
