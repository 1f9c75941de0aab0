#include "core/placement/worker_pace.hpp"

#include <algorithm>
#include <cmath>

namespace hickorylatch::core
{

namespace
{

// Declared run times are commonly wrong by a factor of 1.5, and workers differ
// by less than that, so a worker's pace shows only over some hundred runs.
constexpr auto steady_weight = 1.0 / 150;
// A worker that turned slow shows within ten runs, by a factor that errors of
// declarations hardly reach on average.
constexpr auto recent_weight = 1.0 / 8;
constexpr auto recent_limit = 0.7; // a factor of 2
// One run that stood still must not count for many.
constexpr auto run_limit = 2.1; // a factor of 8
constexpr auto memory = std::chrono::duration<double>{15.0};

} // namespace

auto worker_pace::observe(time_point now, duration expected, duration actual)
    -> void
{
    if (expected <= duration{0} || actual <= duration{0})
        return;
    auto const ratio = static_cast<double>(actual.count()) /
                       static_cast<double>(expected.count());
    auto const seen = std::clamp(std::log(ratio), -run_limit, run_limit);
    auto const age = std::max(now - m_observed_at, duration{0});
    m_steady = aged(m_steady, age);
    m_recent = aged(m_recent, age);
    m_steady += (seen - m_steady) * steady_weight;
    m_recent += (seen - m_recent) * recent_weight;
    m_observed_at = now;
}

auto worker_pace::slowness(time_point now) const -> double
{
    auto const age = std::max(now - m_observed_at, duration{0});
    auto const is_changed = m_recent - m_steady > recent_limit;
    return std::exp(aged(is_changed ? m_recent : m_steady, age));
}

auto worker_pace::aged(double value, duration age) -> double
{
    return value * std::exp(-(std::chrono::duration<double>{age} / memory));
}

} // namespace hickorylatch::core
