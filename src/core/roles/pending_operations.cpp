#include "core/roles/pending_operations.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace hickorylatch::core
{

namespace
{

// Operators turn to another replica after a second without an answer.
constexpr auto answer_limit = duration{std::chrono::milliseconds{900}};
// Entries pass on some hundred jobs a second, which wait for a sync, or for the
// next leader.
constexpr auto most_pending = std::size_t{1'024};
// A job is a few kilobytes, and replicas have some hundred megabytes.
constexpr auto most_open_jobs = std::size_t{10'000};
constexpr auto open_jobs_retry_ms = std::uint32_t{1'000};

/// The end of a job that an operation asks for, which any replica that knows it
/// can tell: it never changes.
auto known_end(operation const& asked, control_state const& state)
    -> std::optional<operate_result>
{
    auto const* found = std::get_if<find_job>(&asked);
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

auto pending_operations::takes(operation const& asked) -> bool
{
    return std::holds_alternative<install_configuration>(asked) ||
           std::holds_alternative<read_configuration>(asked) ||
           std::holds_alternative<post_job>(asked) ||
           std::holds_alternative<find_job>(asked) ||
           std::holds_alternative<cancel_durable_job>(asked) ||
           std::holds_alternative<count_waiting_jobs>(asked);
}

auto pending_operations::add(time_point now, operator_wait who, operation asked)
    -> bool
{
    if (m_pending.size() >= most_pending)
        return false;
    auto added = pending{};
    added.m_number = ++m_last_number;
    added.m_who = who;
    added.m_operation = std::move(asked);
    if (auto const* found = std::get_if<find_job>(&added.m_operation))
        added.m_wait_until = now + std::chrono::milliseconds{found->m_wait_ms};
    added.m_deadline = std::max(now, added.m_wait_until) + answer_limit;
    m_pending.push_back(std::move(added));
    return true;
}

auto pending_operations::answered(operate_result const& result)
    -> std::optional<settled_operation>
{
    auto const found =
        std::ranges::find(m_pending, result.m_sequence, &pending::m_number);
    if (found == m_pending.end())
        return std::nullopt;
    if (result.m_verdict.m_reason == reason::no_leader)
    {
        found->m_passed_to = no_node;
        return std::nullopt;
    }
    auto settled = settled_operation{found->m_who, result};
    m_pending.erase(found);
    return settled;
}

auto pending_operations::link_changed(node_id peer) -> void
{
    for (auto& each : m_pending)
        if (each.m_passed_to == peer)
            each.m_passed_to = no_node;
}

auto pending_operations::advance(time_point now, replica& log,
                                 control_state const& state, bool is_leading,
                                 node_id next, job_runner const* runner,
                                 effects& out) -> std::vector<settled_operation>
{
    m_advanced_at = now;
    auto settled = std::vector<settled_operation>{};
    auto const settle = [&](pending& waiting) -> bool
    {
        auto result = known_end(waiting.m_operation, state);
        if (!result && is_leading)
            result = lead(now, waiting, log, state, runner);
        if (!result && now >= waiting.m_deadline)
        {
            result = operate_result{};
            result->m_verdict = uncertain(reason::no_leader);
        }
        if (result)
        {
            settled.push_back({waiting.m_who, std::move(*result)});
            return true;
        }
        if (!is_leading && next != no_node && next != log.identity() &&
            waiting.m_passed_to != next)
        {
            waiting.m_passed_to = next;
            out.emplace_back(
                send{next, operate{waiting.m_number, waiting.m_operation}});
        }
        return false;
    };
    std::erase_if(m_pending, settle);
    return settled;
}

auto pending_operations::propose(pending& waiting, replica& log, command wanted)
    -> void
{
    if (std::exchange(waiting.m_proposed_term, log.term()) != log.term())
        log.propose(std::move(wanted));
}

auto pending_operations::is_confirmed(time_point now, pending& waiting,
                                      replica const& log) -> bool
{
    if (std::exchange(waiting.m_read_term, log.term()) != log.term())
        waiting.m_read_at = now;
    // An answer of a quorum to a later heartbeat shows that there was no other
    // leader when the question came. Time alone does not: this process may have
    // been suspended, which its clock does not show.
    return log.quorum_contact_at() >= waiting.m_read_at;
}

auto pending_operations::lead(time_point now, pending& waiting, replica& log,
                              control_state const& state,
                              job_runner const* runner)
    -> std::optional<operate_result>
{
    auto result = operate_result{};
    result.m_verdict.m_run = run_state::ran;
    result.m_version = state.config().m_version;
    auto const& asked = waiting.m_operation;
    if (auto const* wanted = std::get_if<install_configuration>(&asked))
    {
        if (wanted->m_configuration.m_version <= state.config().m_version)
            return result;
        propose(waiting, log, *wanted);
        return std::nullopt;
    }
    if (auto const* posted = std::get_if<post_job>(&asked))
    {
        if (state.jobs().find(posted->m_job.m_id) != nullptr)
            return result;
        if (waiting.m_proposed_term == 0 &&
            state.jobs().open_jobs() >= most_open_jobs)
        {
            result.m_verdict =
                refused(reason::queue_full, {}, open_jobs_retry_ms);
            return result;
        }
        propose(waiting, log, accept_job{posted->m_job, posted->m_queue});
        return std::nullopt;
    }
    auto const* cancelled = std::get_if<cancel_durable_job>(&asked);
    auto const* found = std::get_if<find_job>(&asked);
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
    // What is known can be told at once; that a job is not known, only once it
    // is certain that no other leader has accepted it.
    if (!is_confirmed(now, waiting, log))
        return std::nullopt;
    if (cancelled != nullptr || found != nullptr)
        result.m_verdict = refused(reason::key_forgotten, "no such job");
    else if (auto const* counted = std::get_if<count_waiting_jobs>(&asked))
        result.m_count =
            runner == nullptr ? 0 : runner->waiting_jobs(counted->m_queue);
    else
        result.m_document = state.config().m_document;
    return result;
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
