#include "core/roles/coordinator.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace hickorylatch::core
{

namespace
{

// How far the clocks of clients may be ahead.
constexpr auto clock_tolerance_ms = unix_milliseconds{5LL * 60 * 1000};
constexpr auto displaced_retry_ms = std::uint32_t{1'000};
constexpr auto announcement_window = std::chrono::milliseconds{100};
constexpr auto key_limit_retry_ms = std::uint32_t{60'000};

auto initial_deadline(control_context const& context, submission const& work)
    -> time_point
{
    return work.m_deadline_ms == 0
               ? never
               : context.m_now + std::chrono::milliseconds{work.m_deadline_ms};
}

auto priority_of(control_context const& context, submission const& work)
    -> priority
{
    if (work.m_priority)
        return *work.m_priority;
    auto const* owner =
        find_customer(context.m_state.config(), work.m_customer);
    return owner == nullptr ? priority{0} : owner->m_priority;
}

} // namespace

coordinator::coordinator(control_settings const& settings,
                         control_context const& context)
    : m_settings{settings}, m_term{context.m_replica.term()}, m_started_at{
                                                                  context.m_now}
{
    m_dispatcher.apply(context.m_state.config());
    m_dispatcher.apply(context.m_state.evacuated().m_current);
    recover(context);
}

auto coordinator::recover(control_context const& context) -> void
{
    for (auto const& [id, record] : context.m_state.submissions())
    {
        if (record.m_has_ended)
            continue;
        auto& work = m_live[id];
        work.m_submission_id = id;
        work.m_submission = record.m_submission;
        work.m_priority = priority_of(context, record.m_submission);
        work.m_arrived_at = context.m_now;
        work.m_is_proposed = true;
        work.m_is_committed = true;
        // The time already spent is not known, so the deadline starts again.
        work.m_deadline = initial_deadline(context, record.m_submission);
        for (auto const agent : record.m_allotted)
        {
            work.m_tasks.push_back({task_phase::unknown, agent, {}, 0, 0, {}});
            m_unannounced_agents.insert(agent);
        }
        work.m_remaining = static_cast<std::uint32_t>(work.m_tasks.size());
        m_ids_by_key[{work.m_submission.m_customer, work.m_submission.m_key}] =
            id;
    }
}

auto coordinator::submit(control_context const& context, node_id from,
                         core::submit const& request) -> bool
{
    auto const who = waiter{from, request.m_sequence, request.m_sent_at};
    // A resend over a new link to the same leader keeps waiting for the
    // submission that the request started.
    if (auto const known = m_waiting_requests.find({from, request.m_sequence});
        known != m_waiting_requests.end())
        return true;
    if (join_existing(context, request, who))
        return true;
    // The capacity is not known until the agents have announced themselves.
    if (request.m_submission.m_kind == submission_kind::job &&
        context.m_now < m_started_at + announcement_window)
        return false;
    auto const& work = request.m_submission;
    if (auto const why = check_admission(context, work))
    {
        send_answer(context, who, *why, {});
        return true;
    }
    auto const* target = find_service(context.m_state.config(), work.m_service);
    auto const is_volatile = work.m_kind == submission_kind::request &&
                             is_idempotent(*target, work.m_path);
    auto& live = add_live_submission(context, request, who, is_volatile);
    if (work.m_kind == submission_kind::job)
    {
        propose_acceptance(context, live);
        return true;
    }
    auto const found = m_orphans.extract({from, request.m_sequence});
    if (!is_volatile || found.empty())
    {
        enqueue(context, live, 0, no_node);
        return true;
    }
    auto const& running = found.mapped();
    attach_to_attempt(live.m_submission_id, running);
    // The agent reports the result of an uncommitted request only once, so a
    // result that came before this resend is used now.
    if (running.m_outcome)
        task_ended(context, live, *running.m_outcome);
    return true;
}

auto coordinator::new_submission_id(bool is_volatile) -> submission_id
{
    auto const id = (m_term << submission_counter_bits) | ++m_last_counter;
    return is_volatile ? id | volatile_submission_bit : id;
}

auto coordinator::change_submission_id(submission_id from, submission_id to)
    -> void
{
    auto found = m_live.extract(from);
    found.key() = to;
    found.mapped().m_submission_id = to;
    for (auto const& who : found.mapped().m_waiters)
        m_waiting_requests[{who.m_entry, who.m_sequence}] = to;
    m_live.insert(std::move(found));
}

auto coordinator::attach_to_attempt(submission_id id, orphan const& running)
    -> void
{
    change_submission_id(id, running.m_attempt.m_submission_id);
    auto& task = m_live.at(running.m_attempt.m_submission_id).m_tasks[0];
    task.m_phase = task_phase::sent;
    task.m_agent = running.m_agent;
}

auto coordinator::match_orphans(announce const& announcement) -> void
{
    for (auto const& [attempt, caller] : announcement.m_volatile)
    {
        if (m_live.contains(attempt.m_submission_id))
            continue;
        auto const running = orphan{attempt, announcement.m_agent.m_node, {}};
        auto const known =
            m_waiting_requests.find({caller.m_entry, caller.m_sequence});
        if (known == m_waiting_requests.end())
        {
            m_orphans[caller] = running;
            continue;
        }
        auto const id = known->second;
        if (m_dispatcher.withdraw({id, 0}))
            attach_to_attempt(id, running);
    }
}

auto coordinator::store_orphan_result(core::finished const& outcome) -> void
{
    for (auto& [caller, running] : m_orphans)
    {
        if (running.m_attempt == outcome.m_attempt)
            running.m_outcome = outcome;
    }
}

auto coordinator::join_existing(control_context const& context,
                                core::submit const& request, waiter const& who)
    -> bool
{
    auto const& work = request.m_submission;
    if (work.m_key.empty())
        return false;
    auto const conflict = refused(reason::key_conflict,
                                  "the key was used for another submission");
    if (auto const found = m_ids_by_key.find({work.m_customer, work.m_key});
        found != m_ids_by_key.end())
    {
        auto& live = m_live.at(found->second);
        if (live.m_submission.m_digest != work.m_digest)
            send_answer(context, who, conflict, {});
        else if (live.m_has_ended && live.m_verdict.m_run == run_state::ran)
        {
            auto answers = std::vector<task_answer>{};
            for (auto const& task : live.m_tasks)
                answers.push_back(task.m_answer);
            send_answer(context, who, live.m_verdict, answers);
        }
        else
        {
            live.m_waiters.push_back(who);
            m_waiting_requests[{who.m_entry, who.m_sequence}] =
                live.m_submission_id;
        }
        return true;
    }
    auto const* record = context.m_state.find(work.m_customer, work.m_key);
    if (record == nullptr)
        return false;
    if (record->m_submission.m_digest != work.m_digest)
        send_answer(context, who, conflict, {});
    else
        send_answer(context, who, record->m_verdict, record->m_answers);
    return true;
}

auto coordinator::check_admission(control_context const& context,
                                  submission const& work) const
    -> std::optional<verdict>
{
    // Checked first: if the record of the key may have expired, the submission
    // may have run, so no check below may answer "not run".
    if (!work.m_key.empty() &&
        context.m_state.may_have_expired(work.m_customer, work.m_submitted_at))
        return uncertain(reason::key_forgotten,
                         "submissions of that time are no longer known");
    auto const& config = context.m_state.config();
    if (find_customer(config, work.m_customer) == nullptr)
        return refused(reason::unknown_customer, work.m_customer);
    auto const is_request = work.m_kind == submission_kind::request;
    auto const* target = find_service(config, work.m_service);
    if (is_request && target == nullptr)
        return refused(reason::unknown_service, work.m_service);
    if (work.m_tasks.empty())
        return refused(reason::invalid, "a job needs at least one task");
    if (is_request && is_idempotent(*target, work.m_path))
        return std::nullopt;
    if (work.m_key.empty())
        return refused(reason::invalid, "an idempotency key is required");
    if (work.m_submitted_at == 0)
        return refused(reason::missing_submitted_at);
    auto bytes = work.m_unknown_fields.size();
    for (auto const& each : work.m_tasks)
        bytes += each.m_body.size();
    if (bytes > m_settings.m_content_limit)
        return refused(reason::invalid,
                       "the tasks hold more than " +
                           std::to_string(m_settings.m_content_limit) +
                           " bytes");
    if (work.m_submitted_at > context.m_wall_clock + clock_tolerance_ms)
        return refused(reason::invalid, "submitted_at lies in the future");
    if (context.m_state.submissions().size() >= m_settings.m_key_limit)
        return refused(reason::keys_full, {}, key_limit_retry_ms);
    return std::nullopt;
}

auto coordinator::add_live_submission(control_context const& context,
                                      core::submit const& request,
                                      waiter const& who, bool is_volatile)
    -> live_submission&
{
    auto const id = new_submission_id(is_volatile);
    auto& work = m_live[id];
    work.m_submission_id = id;
    work.m_submission = request.m_submission;
    work.m_waiters.push_back(who);
    work.m_tasks.resize(request.m_submission.m_tasks.size());
    work.m_remaining = static_cast<std::uint32_t>(work.m_tasks.size());
    work.m_priority = priority_of(context, work.m_submission);
    work.m_arrived_at = context.m_now;
    work.m_deadline = initial_deadline(context, work.m_submission);
    m_waiting_requests[{who.m_entry, who.m_sequence}] = id;
    if (!is_volatile)
        m_ids_by_key[{work.m_submission.m_customer, work.m_submission.m_key}] =
            id;
    return work;
}

auto coordinator::propose_acceptance(control_context const& context,
                                     live_submission& work) -> void
{
    auto const& tasks = work.m_submission.m_tasks;
    if (auto const why =
            m_dispatcher.check(work.m_submission.m_customer, tasks))
    {
        finish_submission(context, work, *why);
        return;
    }
    auto const allotted = m_dispatcher.allot(tasks);
    if (allotted.empty())
    {
        finish_submission(
            context, work,
            refused(reason::no_capacity, "a task fits no announced worker"));
        return;
    }
    for (auto task = std::size_t{0}; task < allotted.size(); ++task)
    {
        work.m_tasks[task].m_agent = allotted[task];
        work.m_tasks[task].m_phase = task_phase::committing;
    }
    work.m_is_proposed = true;
    context.m_replica.propose(accept_submission{work.m_submission_id,
                                                work.m_submission, allotted,
                                                context.m_wall_clock});
}

auto coordinator::enqueue(control_context const& context, live_submission& work,
                          std::uint32_t task, node_id agent) -> bool
{
    auto const& wanted = work.m_submission.m_tasks[task];
    auto item = work_item{};
    item.m_attempt = {work.m_submission_id, task};
    item.m_service = work.m_submission.m_kind == submission_kind::job
                         ? std::string{worker_service}
                         : work.m_submission.m_service;
    item.m_customer = work.m_submission.m_customer;
    item.m_priority = work.m_priority;
    item.m_deadline = work.m_deadline;
    item.m_cores = wanted.m_cores;
    item.m_memory_mb = wanted.m_memory_mb;
    item.m_accelerators = wanted.m_accelerators;
    item.m_run_time = std::chrono::milliseconds{wanted.m_run_time_ms};
    // Only a committed allotment restricts a task to one agent.
    if (work.m_is_committed)
        item.m_allotted = agent;
    work.m_tasks[task].m_phase = task_phase::waiting;
    auto displaced = std::vector<attempt_id>{};
    auto const why =
        m_dispatcher.enqueue(context.m_now, std::move(item), displaced);
    for (auto const attempt : displaced)
    {
        if (auto const found = m_live.find(attempt.m_submission_id);
            found != m_live.end())
            fail_submission(context, found->second, reason::queue_full,
                            "displaced by more urgent work",
                            displaced_retry_ms);
    }
    if (!why)
        return true;
    fail_submission(context, work, why->m_reason, why->m_detail,
                    why->m_retry_after_ms);
    return false;
}

auto coordinator::dispatch(control_context const& context) -> void
{
    // After a change of leader all agents announce themselves at about the same
    // time. The attempts that they still run must be known before any task is
    // started again.
    if (context.m_now < m_started_at + announcement_window)
        return;
    while (auto const where = m_dispatcher.bind_next(context.m_now))
        bind_to_agent(context, *where);
}

auto coordinator::bind_to_agent(control_context const& context,
                                placement const& where) -> void
{
    auto& work = m_live.at(where.m_attempt.m_submission_id);
    auto const number = where.m_attempt.m_task;
    auto& task = work.m_tasks[number];
    auto const is_allotted =
        work.m_is_committed && task.m_agent == where.m_agent;
    task.m_agent = where.m_agent;
    if (is_volatile(where.m_attempt) || is_allotted)
    {
        send_start(context, work, number);
        return;
    }
    task.m_phase = task_phase::committing;
    if (work.m_is_committed)
    {
        context.m_replica.propose(
            core::reallot{work.m_submission_id, {{number, where.m_agent}}});
        return;
    }
    work.m_is_proposed = true;
    context.m_replica.propose(accept_submission{work.m_submission_id,
                                                work.m_submission,
                                                {where.m_agent},
                                                context.m_wall_clock});
}

auto coordinator::send_start(control_context const& context,
                             live_submission& work, std::uint32_t number)
    -> void
{
    auto& task = work.m_tasks[number];
    auto const& link = m_agents.at(task.m_agent);
    if (!link.m_has_announced)
    {
        // The announcement in transit would not list this start.
        task.m_phase = task_phase::unknown;
        return;
    }
    auto order = start{};
    order.m_term = m_term;
    order.m_attempt = {work.m_submission_id, number};
    order.m_service = work.m_submission.m_service;
    order.m_path = work.m_submission.m_path;
    order.m_task = work.m_submission.m_tasks[number];
    order.m_trace = context.m_random.child_of(work.m_submission.m_trace);
    order.m_renewed = lease_grant(context, link.m_last_sent_at);
    if (is_volatile(order.m_attempt) && !work.m_waiters.empty())
        order.m_caller = {work.m_waiters.front().m_entry,
                          work.m_waiters.front().m_sequence};
    if (work.m_deadline != never)
    {
        auto const left = std::chrono::duration_cast<std::chrono::milliseconds>(
            work.m_deadline - context.m_now);
        order.m_deadline_ms =
            static_cast<std::uint32_t>(std::max<std::int64_t>(left.count(), 1));
    }
    context.m_out.emplace_back(record_span{order.m_trace,
                                           work.m_submission.m_trace.m_span,
                                           "control.queue",
                                           work.m_arrived_at,
                                           context.m_now,
                                           {{"agent", link.m_info.m_name}}});
    context.m_out.emplace_back(observe_metric{
        "hickorylatch_queue_seconds",
        {{"service", work.m_submission.m_service},
         {"priority", std::to_string(work.m_priority)}},
        std::chrono::duration<double>(context.m_now - work.m_arrived_at)
            .count()});
    context.m_out.emplace_back(observe_metric{
        "hickorylatch_starts_total", {{"service", link.m_info.m_service}}});
    context.m_out.emplace_back(send{task.m_agent, std::move(order)});
    task.m_phase = task_phase::sent;
    task.m_sent_at = context.m_now;
    if (task.m_retries == 0)
        ++m_first_starts;
}

auto coordinator::send_answer(control_context const& context, waiter const& who,
                              verdict const& outcome,
                              std::span<task_answer const> answers) -> void
{
    auto result = submit_result{who.m_sequence, outcome, {}, {}};
    if (outcome.m_run == run_state::ran)
        result.m_answers.assign(answers.begin(), answers.end());
    result.m_renewed = lease_grant(context, who.m_sent_at);
    context.m_out.emplace_back(send{who.m_entry, std::move(result)});
    m_waiting_requests.erase({who.m_entry, who.m_sequence});
}

auto coordinator::lease_grant(control_context const& context,
                              time_point sent_at) const -> core::renewed
{
    return {sent_at, m_term, m_settings.m_lease,
            context.m_state.config().m_version};
}

} // namespace hickorylatch::core
