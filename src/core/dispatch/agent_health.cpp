#include "core/dispatch/agent_health.hpp"

#include <algorithm>

namespace hickorylatch::core
{

auto agent_health::record_success(time_point) -> void
{
    record_release();
    m_failures = 0;
    m_failed_trials = 0;
    m_on_probation = false;
    m_trial_in_flight = false;
}

auto agent_health::record_failure(time_point now) -> void
{
    auto const was_trial = m_trial_in_flight;
    record_release();
    ++m_failures;
    if (!m_on_probation)
    {
        if (m_failures < probation_threshold)
            return;
        m_on_probation = true;
        m_trial_at = now + first_trial_delay;
        return;
    }
    // Tasks bound before the probation may still fail; only failed trials
    // extend the delay.
    if (!was_trial || m_trial_in_flight)
        return;
    ++m_failed_trials;
    m_trial_at = now + (m_failed_trials < backoff_trials
                            ? first_trial_delay * (1U << m_failed_trials)
                            : max_trial_delay);
}

auto agent_health::clamp_slowdown(double slowdown) -> double
{
    constexpr auto max_slowdown = 8.0;
    return std::min(slowdown, max_slowdown);
}

auto agent_health::observe_slowdown(time_point now, double slowdown) -> void
{
    // An agent that is ten times slower becomes a straggler after 5 tasks.
    constexpr auto weight = 1.0 / 32;
    // A straggler gets few tasks, so each has a larger weight.
    constexpr auto straggler_weight = 0.25;
    m_slowdown += (clamp_slowdown(slowdown) - m_slowdown) *
                  (is_straggler() ? straggler_weight : weight);
    m_recheck_at = now + straggler_recheck;
}

auto agent_health::record_binding() -> void
{
    ++m_in_flight;
    if (m_on_probation)
        m_trial_in_flight = true;
}

auto agent_health::record_release() -> void
{
    if (m_in_flight > 0)
        --m_in_flight;
    if (m_in_flight == 0)
        m_trial_in_flight = false;
}

auto agent_health::is_on_probation() const -> bool
{
    return m_on_probation;
}

auto agent_health::is_suspect() const -> bool
{
    return m_failures > 0;
}

auto agent_health::is_straggler() const -> bool
{
    return m_slowdown > straggler_slowdown;
}

auto agent_health::slowdown() const -> double
{
    return m_slowdown;
}

auto agent_health::trial_at() const -> time_point
{
    if (m_in_flight > 0)
        return never;
    if (m_on_probation)
        return m_trial_at;
    return is_straggler() ? m_recheck_at : never;
}

} // namespace hickorylatch::core
