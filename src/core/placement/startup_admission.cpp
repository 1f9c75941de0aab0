#include "core/placement/startup_admission.hpp"

#include "core/placement/admission.hpp"

#include <algorithm>

namespace hickorylatch::core
{

namespace
{

// After a power loss, links, a leader and the configuration are available
// within this time. Clients that are refused during it would not retry.
constexpr auto startup_timeout = duration{std::chrono::milliseconds{700}};
// Agents open links one after the other, within some hundred milliseconds of
// the first one. The largest gap between two of them is well below this.
constexpr auto growth_gap = duration{std::chrono::milliseconds{150}};
// Links that are opened later are no longer part of the start.
constexpr auto growth_timeout = duration{std::chrono::milliseconds{1500}};
constexpr auto attempt_interval = duration{std::chrono::milliseconds{20}};
// Held jobs leave this share of the capacity to the jobs that arrive next.
// Without it, a restart at 1.3 times the capacity has fewer jobs in time than
// without holding jobs.
constexpr auto min_free_share = 0.25;

} // namespace

startup_admission::startup_admission(bool awaits_workers)
    : m_awaits_workers{awaits_workers}
{
}

auto startup_admission::start(time_point now) -> void
{
    m_started_at = now;
}

auto startup_admission::observe_workers(time_point now, std::size_t workers)
    -> void
{
    if (workers <= m_workers)
        return;
    m_workers = workers;
    m_grown_at = now;
}

auto startup_admission::await_first_worker() -> void
{
    m_awaits_first_worker = true;
    m_next_attempt = m_started_at + startup_timeout;
}

auto startup_admission::schedule_attempt(time_point now) -> void
{
    if (!m_awaits_first_worker && m_next_attempt > now &&
        m_next_attempt != never)
        return;
    m_awaits_first_worker = false;
    m_next_attempt = now + attempt_interval;
}

auto startup_admission::decide(time_point now,
                               admission_request const& request) const
    -> admission
{
    if (!m_awaits_workers || m_started_at == never ||
        now >= m_started_at + growth_timeout + growth_gap)
        return request.m_wait > max_wait(request.m_objective, request.m_run)
                   ? admission::refuse
                   : admission::accept;
    auto const left = request.m_objective - request.m_waited;
    // A job that is late in any case takes only idle room.
    auto const limit =
        left < request.m_run ? duration{0} : max_wait(left, request.m_run);
    auto const is_acceptable =
        request.m_wait <= limit &&
        (!request.m_was_held || request.m_free_share >= min_free_share);
    if (is_acceptable)
        return admission::accept;
    return is_growing(now) ? admission::hold : admission::refuse;
}

auto startup_admission::awaits_workers() const -> bool
{
    return m_awaits_workers;
}

auto startup_admission::is_starting(time_point now) const -> bool
{
    return m_started_at != never && now < m_started_at + startup_timeout;
}

auto startup_admission::is_growing(time_point now) const -> bool
{
    return m_awaits_workers && m_started_at != never && m_grown_at != never &&
           now < growth_ends_at();
}

auto startup_admission::is_due(time_point now) const -> bool
{
    return m_awaits_first_worker || now >= m_next_attempt || !is_growing(now);
}

auto startup_admission::next_attempt() const -> time_point
{
    return m_next_attempt;
}

auto startup_admission::growth_ends_at() const -> time_point
{
    return std::min(m_grown_at + growth_gap, m_started_at + growth_timeout);
}

} // namespace hickorylatch::core
