#include "core/placement/slowness_estimate.hpp"

#include <algorithm>
#include <cmath>

namespace hickorylatch::core
{

namespace
{

// Declared run times are commonly wrong by a factor of 1.5, and workers differ
// by less than that, so it takes some hundred runs to tell them apart.
constexpr auto long_term_weight = 1.0 / 150;
// Detects within ten runs that a worker became slow. Errors of declared run
// times hardly reach the threshold on average.
constexpr auto short_term_weight = 1.0 / 8;
constexpr auto slowdown_log_threshold = 0.7; // a factor of 2
// Bounds the weight of a single run that hung.
constexpr auto run_log_limit = 2.1; // a factor of 8
constexpr auto decay_time = std::chrono::duration<double>{15.0};

} // namespace

auto slowness_estimate::observe(time_point now, duration expected,
                                duration actual) -> void
{
    if (expected <= duration{0} || actual <= duration{0})
        return;
    auto const ratio = static_cast<double>(actual.count()) /
                       static_cast<double>(expected.count());
    auto const run_log =
        std::clamp(std::log(ratio), -run_log_limit, run_log_limit);
    auto const age = std::max(now - m_observed_at, duration{0});
    m_long_term_log = decayed(m_long_term_log, age);
    m_short_term_log = decayed(m_short_term_log, age);
    m_long_term_log += (run_log - m_long_term_log) * long_term_weight;
    m_short_term_log += (run_log - m_short_term_log) * short_term_weight;
    m_observed_at = now;
}

auto slowness_estimate::slowness(time_point now) const -> double
{
    auto const age = std::max(now - m_observed_at, duration{0});
    auto const is_changed =
        m_short_term_log - m_long_term_log > slowdown_log_threshold;
    return std::exp(
        decayed(is_changed ? m_short_term_log : m_long_term_log, age));
}

auto slowness_estimate::decayed(double value, duration age) -> double
{
    return value * std::exp(-(std::chrono::duration<double>{age} / decay_time));
}

} // namespace hickorylatch::core
