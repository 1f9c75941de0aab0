#include "core/placement/worker_polls.hpp"

#include "core/placement/contact_timeouts.hpp"

#include <algorithm>

namespace hickorylatch::core
{

namespace
{

// A lost answer delays the reports of all run ends by up to this time, so it
// must be short; tasks commonly end every few tens of milliseconds.
constexpr auto poll_wait = duration{std::chrono::milliseconds{100}};
// Exponential backoff for polls of an unreachable worker.
constexpr auto retry_minimum = duration{std::chrono::milliseconds{50}};
constexpr auto retry_maximum = duration{std::chrono::milliseconds{500}};
// Recording run ends at the leader takes a round trip and a sync.
constexpr auto pending_ends_pause = duration{std::chrono::milliseconds{10}};
// After a lost answer further losses are likely, and each one delays the
// reports of all run ends for as long as the poll waits.
constexpr auto short_poll_wait = duration{std::chrono::milliseconds{20}};
constexpr auto short_wait_period = duration{std::chrono::seconds{2}};
// A single lost answer does not show that the worker is unreachable. Its runs
// continue until their lease expires, so the timeout is a part of the lease.
constexpr auto unreachable_failure_count = 2U;
constexpr auto unreachable_timeout = duration{std::chrono::milliseconds{220}};

} // namespace

auto worker_polls::reset() -> void
{
    m_outstanding.clear();
    m_is_reachable = true;
    m_is_list_requested = false;
    m_failures = 0;
    m_unanswered_since = never;
    m_retry_at = never;
    m_retry_delay = {};
    m_short_waits_until = {};
    m_paused_until = {};
}

auto worker_polls::answer_lost(time_point now) -> void
{
    m_short_waits_until = now + short_wait_period;
}

auto worker_polls::request_list() -> void
{
    m_is_list_requested = true;
}

auto worker_polls::set_ends_pending(bool are_pending) -> void
{
    m_are_ends_pending = are_pending;
}

auto worker_polls::next(time_point now, bool has_runs, bool needs_poll)
    -> std::optional<due_poll>
{
    if (!m_is_reachable)
    {
        if (!m_outstanding.empty() || now < m_retry_at)
            return std::nullopt;
        return send(now, {});
    }
    m_next_due_at = never;
    if (now < m_paused_until)
    {
        if (has_runs || needs_poll || m_is_list_requested)
            m_next_due_at = m_paused_until;
        return std::nullopt;
    }
    if (m_is_list_requested && !has_outstanding(true))
    {
        m_is_list_requested = false;
        return send(now, {});
    }
    if (has_runs && !has_outstanding(false))
    {
        if (!m_are_ends_pending || now >= m_answered_at + pending_ends_pause)
            return send(now, now < m_short_waits_until ? short_poll_wait
                                                       : poll_wait);
        m_next_due_at = m_answered_at + pending_ends_pause;
    }
    if (!has_runs && needs_poll && m_outstanding.empty())
        return send(now, {});
    return std::nullopt;
}

auto worker_polls::answered(time_point now, std::uint64_t number)
    -> std::optional<time_point>
{
    auto const found = m_outstanding.find(number);
    if (found == m_outstanding.end())
        return std::nullopt;
    auto const sent_at = found->second.m_sent_at;
    m_outstanding.erase(found);
    m_answered_at = now;
    m_is_reachable = true;
    m_failures = 0;
    m_unanswered_since = never;
    m_retry_at = never;
    m_retry_delay = {};
    return sent_at;
}

auto worker_polls::failed(time_point now, std::uint64_t number) -> bool
{
    auto const found = m_outstanding.find(number);
    if (found == m_outstanding.end())
        return false;
    m_unanswered_since = std::min(m_unanswered_since, found->second.m_sent_at);
    m_paused_until = found->second.m_sent_at + worker_answer_timeout;
    m_outstanding.erase(found);
    answer_lost(now);
    if (++m_failures >= unreachable_failure_count &&
        now - m_unanswered_since >= unreachable_timeout)
        mark_unreachable(now);
    else
        m_is_list_requested = true;
    return true;
}

auto worker_polls::mark_unreachable(time_point now) -> void
{
    m_is_reachable = false;
    m_retry_delay = std::clamp(2 * m_retry_delay, retry_minimum, retry_maximum);
    m_retry_at = now + m_retry_delay;
}

auto worker_polls::is_reachable() const -> bool
{
    return m_is_reachable;
}

auto worker_polls::next_deadline() const -> time_point
{
    if (!m_is_reachable)
        return m_outstanding.empty() ? m_retry_at : never;
    return m_next_due_at;
}

auto worker_polls::has_outstanding(bool is_probe) const -> bool
{
    return std::ranges::any_of(m_outstanding,
                               [is_probe](auto const& each)
                               {
                                   return each.second.m_is_probe == is_probe;
                               });
}

auto worker_polls::send(time_point now, duration wait) -> due_poll
{
    ++m_last_number;
    m_outstanding[m_last_number] = {now, wait == duration{0}};
    return {m_last_number, wait};
}

} // namespace hickorylatch::core
