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
    if (auto const* change = std::get_if<set_evacuation>(&requested))
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
           std::holds_alternative<set_evacuation>(requested);
}

auto pending_operations::add(time_point now, operation_requester requester,
                             operation requested) -> bool
{
    if (m_pending.size() >= maximum_pending)
        return false;
    auto added = pending{};
    added.m_number = ++m_last_number;
    added.m_requester = requester;
    added.m_operation = std::move(requested);
    if (auto* change = std::get_if<set_evacuation>(&added.m_operation);
        change != nullptr && change->m_number == 0)
        change->m_number = added.m_number;
    if (auto const* found = std::get_if<find_job>(&added.m_operation))
        added.m_wait_until = now + std::chrono::milliseconds{found->m_wait_ms};
    added.m_deadline = std::max(now, added.m_wait_until) + answer_timeout;
    m_pending.push_back(std::move(added));
    return true;
}

auto pending_operations::handle_result(operate_result const& result)
    -> std::optional<completed_operation>
{
    auto const found =
        std::ranges::find(m_pending, result.m_sequence, &pending::m_number);
    if (found == m_pending.end())
        return std::nullopt;
    if (result.m_verdict.m_reason == reason::no_leader)
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
        if (each.m_forwarded_to == peer)
            each.m_forwarded_to = no_node;
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
        if (!result && is_leading)
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
        {
            waiting.m_forwarded_to = forward_to;
            ++waiting.m_forward_count;
            out.emplace_back(send{
                forward_to, operate{waiting.m_number, waiting.m_operation}});
        }
        return false;
    };
    std::erase_if(m_pending, try_complete);
    return completed;
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
    if (auto const* change = std::get_if<set_evacuation>(&requested))
        return execute_as_leader(now, waiting, log, state, *change);
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
                                           set_evacuation const& change)
    -> std::optional<operate_result>
{
    auto result = operate_result{};
    result.m_version = state.config().m_version;
    if (state.evacuated().is_as_requested(change))
    {
        // Without the confirmation a leader that was suspended would
        // acknowledge a command that the current leader has reversed.
        if (!is_leadership_confirmed(now, waiting, log))
            return std::nullopt;
        result.m_verdict.m_run = run_state::ran;
        return result;
    }
    // An earlier leader may have proposed the command already.
    if (waiting.m_proposed_term == 0 && waiting.m_forward_count == 0 &&
        change.m_is_evacuated && state.evacuated().is_full())
    {
        result.m_verdict = refused(
            reason::queue_full, std::to_string(max_evacuated_domains) +
                                    " failure domains are evacuated already");
        return result;
    }
    propose(waiting, log, change);
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
