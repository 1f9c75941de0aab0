#include "core/roles/pending_operations.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace hickorylatch::core
{

namespace
{

// Operators try another replica after a second without an answer.
constexpr auto answer_timeout = duration{std::chrono::milliseconds{900}};
// Entries forward some hundred jobs per second, which wait for a sync or for
// the next leader.
constexpr auto maximum_pending = std::size_t{1'024};
// A job takes a few kilobytes, and replicas have some hundred megabytes.
constexpr auto maximum_open_jobs = std::size_t{10'000};
constexpr auto open_jobs_retry_ms = std::uint32_t{1'000};

/// The result of an operation that requests a job that has ended, or of a
/// command that was committed. Any replica that knows it can answer, because it
/// never changes. In particular, a replica does not forward a committed command
/// to the next leader, which would repeat it after a later one was confirmed.
auto final_result(operation const& requested, control_state const& state)
    -> std::optional<operate_result>
{
    auto const* fenced = std::get_if<fenced_evacuation>(&requested);
    auto const* change = fenced != nullptr
                             ? &fenced->m_change
                             : std::get_if<set_evacuation>(&requested);
    if (change != nullptr)
    {
        if (!state.evacuated().has_applied(change->m_number))
            return std::nullopt;
        auto result = operate_result{};
        result.m_verdict.m_run = run_state::ran;
        result.m_version = state.config().m_version;
        return result;
    }
    auto const* found = std::get_if<find_job>(&requested);
    auto const* job =
        found == nullptr ? nullptr : state.jobs().find(found->m_id);
    if (job == nullptr || !job->has_ended())
        return std::nullopt;
    auto result = operate_result{};
    result.m_verdict.m_run = run_state::ran;
    result.m_job_state = job->m_state;
    return result;
}

auto is_evacuation(operation const& requested) -> bool
{
    return std::holds_alternative<set_evacuation>(requested) ||
           std::holds_alternative<fenced_evacuation>(requested);
}

} // namespace

auto pending_operations::start(std::uint64_t first_number) -> void
{
    m_last_number = first_number;
}

auto pending_operations::accepts(operation const& requested) -> bool
{
    return std::holds_alternative<install_configuration>(requested) ||
           std::holds_alternative<read_configuration>(requested) ||
           std::holds_alternative<post_job>(requested) ||
           std::holds_alternative<find_job>(requested) ||
           std::holds_alternative<cancel_durable_job>(requested) ||
           std::holds_alternative<count_waiting_jobs>(requested) ||
           std::holds_alternative<issue_fencing_token>(requested) ||
           is_evacuation(requested);
}

auto pending_operations::add(time_point now, operation_requester requester,
                             operation requested, duration waited) -> bool
{
    if (m_pending.size() >= maximum_pending)
        return false;
    auto added = pending{};
    added.m_number = ++m_last_number;
    added.m_requester = requester;
    added.m_operation = std::move(requested);
    auto arrived_at = now;
    if (auto* change = std::get_if<set_evacuation>(&added.m_operation))
    {
        if (change->m_number == 0)
            change->m_number = added.m_number;
        added.m_order.emplace(*change);
        arrived_at -= waited;
    }
    if (auto const* found = std::get_if<find_job>(&added.m_operation))
        added.m_wait_until = now + std::chrono::milliseconds{found->m_wait_ms};
    added.m_deadline =
        std::max(arrived_at, added.m_wait_until) + answer_timeout;
    m_pending.push_back(std::move(added));
    return true;
}

auto pending_operations::abandon(operation_requester requester) -> void
{
    std::erase_if(m_pending,
                  [&](pending const& each)
                  {
                      return each.m_order && each.m_requester == requester;
                  });
}

auto pending_operations::requester_waits(exchange_checked const& answer) -> void
{
    auto const requester = operation_requester{no_node, answer.m_exchange};
    auto const found =
        std::ranges::find(m_pending, requester, &pending::m_requester);
    if (found != m_pending.end() && found->m_order &&
        found->m_order->requester_waits(answer.m_check))
        found->m_forwarded_to = no_node;
}

auto pending_operations::handle_result(operate_result const& result)
    -> std::optional<completed_operation>
{
    auto const found =
        std::ranges::find(m_pending, result.m_sequence, &pending::m_number);
    if (found == m_pending.end())
        return std::nullopt;
    auto const is_conflict =
        result.m_verdict.m_reason == reason::version_conflict;
    if (found->m_order && result.m_token.m_term != 0)
    {
        found->m_order->token_issued(result.m_token);
        return std::nullopt;
    }
    if (found->m_order && is_conflict)
        found->m_order->restart();
    if (result.m_verdict.m_reason == reason::no_leader ||
        (found->m_order && is_conflict))
    {
        found->m_forwarded_to = no_node;
        return std::nullopt;
    }
    auto completed = completed_operation{found->m_requester, result};
    if (found->m_forward_count > 1 || found->m_proposed_term != 0)
        completed.m_result.m_verdict =
            after_resend(completed.m_result.m_verdict);
    m_pending.erase(found);
    return completed;
}

auto pending_operations::link_changed(node_id peer) -> void
{
    for (auto& each : m_pending)
    {
        if (each.m_forwarded_to != peer)
            continue;
        each.m_forwarded_to = no_node;
        if (each.m_order)
            each.m_order->restart();
    }
}

auto pending_operations::advance(time_point now, replica& log,
                                 control_state const& state, bool is_leading,
                                 node_id forward_to, job_runner const* runner,
                                 effects& out)
    -> std::vector<completed_operation>
{
    m_advanced_at = now;
    auto completed = std::vector<completed_operation>{};
    auto const try_complete = [&](pending& waiting) -> bool
    {
        auto result = final_result(waiting.m_operation, state);
        // The operator may have given up.
        auto const is_late =
            now >= waiting.m_deadline && is_evacuation(waiting.m_operation);
        if (!result && is_leading && !is_late)
            result = execute_as_leader(now, waiting, log, state, runner);
        if (!result && now >= waiting.m_deadline)
        {
            result = operate_result{};
            result->m_verdict = uncertain(reason::no_leader);
        }
        if (result)
        {
            completed.push_back({waiting.m_requester, std::move(*result)});
            return true;
        }
        if (!is_leading && forward_to != no_node &&
            forward_to != log.identity() &&
            waiting.m_forwarded_to != forward_to)
            forward(waiting, forward_to, out);
        auto const check =
            waiting.m_order ? waiting.m_order->take_due_check() : std::nullopt;
        if (check)
            out.emplace_back(
                check_exchange{waiting.m_requester.m_sequence, *check});
        return false;
    };
    std::erase_if(m_pending, try_complete);
    return completed;
}

auto pending_operations::forward(pending& waiting, node_id to, effects& out)
    -> void
{
    auto const next = waiting.m_order ? waiting.m_order->next_operation()
                                      : std::optional{waiting.m_operation};
    if (!next)
        return;
    waiting.m_forwarded_to = to;
    // A request for a token changes nothing at the leader.
    if (!std::holds_alternative<issue_fencing_token>(*next))
        ++waiting.m_forward_count;
    out.emplace_back(send{to, operate{waiting.m_number, *next}});
}

auto pending_operations::propose(pending& waiting, replica& log, command wanted)
    -> void
{
    if (std::exchange(waiting.m_proposed_term, log.term()) != log.term())
        log.propose(std::move(wanted));
}

auto pending_operations::is_leadership_confirmed(time_point now,
                                                 pending& waiting,
                                                 replica const& log) -> bool
{
    if (std::exchange(waiting.m_read_term, log.term()) != log.term())
        waiting.m_read_at = now;
    // The answer of a quorum to a later heartbeat proves that there was no
    // other leader when the request arrived. A time limit does not prove it:
    // this process may have been suspended, which its clock does not show.
    return log.quorum_contact_at() >= waiting.m_read_at;
}

auto pending_operations::execute_as_leader(time_point now, pending& waiting,
                                           replica& log,
                                           control_state const& state,
                                           job_runner const* runner)
    -> std::optional<operate_result>
{
    auto result = operate_result{};
    result.m_verdict.m_run = run_state::ran;
    result.m_version = state.config().m_version;
    auto const& requested = waiting.m_operation;
    if (auto const* wanted = std::get_if<install_configuration>(&requested))
    {
        if (wanted->m_configuration.m_version <= state.config().m_version)
            return result;
        propose(waiting, log, *wanted);
        return std::nullopt;
    }
    if (std::holds_alternative<issue_fencing_token>(requested))
    {
        result.m_token = m_fence.issue(log.term());
        return result;
    }
    if (waiting.m_order)
        return execute_as_leader(now, waiting, log, state, *waiting.m_order);
    if (auto const* command = std::get_if<fenced_evacuation>(&requested))
        return execute_as_leader(now, waiting, log, state, *command);
    if (auto const* posted = std::get_if<post_job>(&requested))
    {
        if (state.jobs().find(posted->m_job.m_id) != nullptr)
            return result;
        // An earlier leader may have proposed the job already.
        if (waiting.m_proposed_term == 0 && waiting.m_forward_count == 0 &&
            state.jobs().open_jobs() >= maximum_open_jobs)
        {
            result.m_verdict =
                refused(reason::queue_full, {}, open_jobs_retry_ms);
            return result;
        }
        propose(waiting, log, accept_job{posted->m_job, posted->m_queue});
        return std::nullopt;
    }
    auto const* cancelled = std::get_if<cancel_durable_job>(&requested);
    auto const* found = std::get_if<find_job>(&requested);
    auto const* job = cancelled != nullptr ? state.jobs().find(cancelled->m_id)
                      : found != nullptr   ? state.jobs().find(found->m_id)
                                           : nullptr;
    if (job != nullptr && cancelled != nullptr && !job->has_ended())
    {
        propose(waiting, log, drop_job{job->m_number});
        return std::nullopt;
    }
    if (job != nullptr && !job->has_ended() && now < waiting.m_wait_until)
        return std::nullopt;
    if (job != nullptr)
    {
        result.m_job_state = job->m_state;
        return result;
    }
    // A known job can be answered at once. That a job is unknown can be
    // answered only once it is certain that no other leader has accepted it.
    if (!is_leadership_confirmed(now, waiting, log))
        return std::nullopt;
    if (cancelled != nullptr || found != nullptr)
        result.m_verdict = refused(reason::key_forgotten, "no such job");
    else if (auto const* counted = std::get_if<count_waiting_jobs>(&requested))
        result.m_count =
            runner == nullptr ? 0 : runner->waiting_jobs(counted->m_queue);
    else
        result.m_document = state.config().m_document;
    return result;
}

auto pending_operations::execute_as_leader(time_point now, pending& waiting,
                                           replica& log,
                                           control_state const& state,
                                           evacuation_order& order)
    -> std::optional<operate_result>
{
    if (!order.has_token())
        order.token_issued(m_fence.issue(log.term()));
    if (!order.usable_token())
        return std::nullopt;
    auto const command =
        fenced_evacuation{order.change(), *order.usable_token()};
    auto result = execute_as_leader(now, waiting, log, state, command);
    if (!result || result->m_verdict.m_reason != reason::version_conflict)
        return result;
    order.restart();
    order.token_issued(m_fence.issue(log.term()));
    return std::nullopt;
}

auto pending_operations::execute_as_leader(time_point now, pending& waiting,
                                           replica& log,
                                           control_state const& state,
                                           fenced_evacuation const& command)
    -> std::optional<operate_result>
{
    if (waiting.m_admitted_term != log.term())
        if (auto refusal = admit(waiting, log, state, command))
            return refusal;
    // Without the confirmation a leader that was suspended would acknowledge a
    // command that the current leader has reversed.
    if (!waiting.m_is_fulfilled || !is_leadership_confirmed(now, waiting, log))
        return std::nullopt;
    auto result = operate_result{};
    result.m_verdict.m_run = run_state::ran;
    result.m_version = state.config().m_version;
    return result;
}

auto pending_operations::admit(pending& waiting, replica& log,
                               control_state const& state,
                               fenced_evacuation const& command)
    -> std::optional<operate_result>
{
    auto const refuse = [&](reason why, std::string_view detail)
    {
        auto result = operate_result{};
        result.m_version = state.config().m_version;
        result.m_verdict = refused(why, detail);
        if (waiting.m_proposed_term != 0)
            result.m_verdict = after_resend(result.m_verdict);
        return result;
    };
    if (!m_fence.admit(log.term(), command.m_token))
        return refuse(reason::version_conflict, "the token is outdated");
    waiting.m_admitted_term = log.term();
    auto const& change = command.m_change;
    // A command that is not committed yet may reverse what is applied.
    auto const is_settled = log.commit_index() >= m_last_evacuation_index;
    waiting.m_is_fulfilled =
        is_settled && state.evacuated().is_as_requested(change);
    if (waiting.m_is_fulfilled)
        return std::nullopt;
    // An earlier leader may have proposed the command already.
    if (waiting.m_proposed_term == 0 && waiting.m_forward_count == 0 &&
        change.m_is_evacuated && state.evacuated().is_full())
        return refuse(reason::queue_full,
                      std::to_string(max_evacuated_domains) +
                          " failure domains are evacuated already");
    waiting.m_proposed_term = log.term();
    if (auto const index = log.propose(change))
        m_last_evacuation_index = *index;
    return std::nullopt;
}

auto pending_operations::next_deadline() const -> time_point
{
    auto first = never;
    for (auto const& each : m_pending)
        first = std::min(first, each.m_wait_until > m_advanced_at
                                    ? each.m_wait_until
                                    : each.m_deadline);
    return first;
}

auto pending_operations::size() const -> std::size_t
{
    return m_pending.size();
}

} // namespace hickorylatch::core
