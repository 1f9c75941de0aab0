#include "core/dispatch/agent_health.hpp"

#include <algorithm>

namespace hickorylatch::core
{

auto agent_health::succeeded(time_point) -> void
{
    released();
    m_failures = 0;
    m_failed_trials = 0;
    m_on_probation = false;
    m_trial_in_flight = false;
}

auto agent_health::failed(time_point now) -> void
{
    auto const was_trial = m_trial_in_flight;
    released();
    ++m_failures;
    if (!m_on_probation)
    {
        if (m_failures < failures_to_probation)
            return;
        m_on_probation = true;
        m_trial_at = now + first_trial_delay;
        return;
    }
    // Tasks bound before the probation may fail meanwhile; they tell nothing
    // new.
    if (!was_trial || m_trial_in_flight)
        return;
    ++m_failed_trials;
    m_trial_at = now + (m_failed_trials < trials
                            ? first_trial_delay * (1U << m_failed_trials)
                            : rare_trial_delay);
}

auto agent_health::limited(double factor) -> double
{
    constexpr auto largest = 8.0;
    return std::min(factor, largest);
}

auto agent_health::observe_factor(time_point now, double factor) -> void
{
    // A ten times slower agent is marked after 5 tasks.
    constexpr auto weight = 1.0 / 32;
    // A straggler gets few tasks, so each counts more.
    constexpr auto straggler_weight = 0.25;
    m_factor += (limited(factor) - m_factor) *
                (is_straggler() ? straggler_weight : weight);
    m_recheck_at = now + straggler_recheck;
}

auto agent_health::bound() -> void
{
    ++m_in_flight;
    if (m_on_probation)
        m_trial_in_flight = true;
}

auto agent_health::released() -> void
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
    return m_factor > straggler_factor;
}

auto agent_health::factor() const -> double
{
    return m_factor;
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
