#include "core/placement/wait_correction.hpp"

#include <algorithm>
#include <cmath>

namespace hickorylatch::core
{

namespace
{

// Bursts last a few seconds, and the error differs between them and the time
// in between.
constexpr auto memory = std::chrono::duration<double>{3.0};
// Counts as one job that was forecast rightly, so that the first ones do not
// decide alone. About the wait of some jobs at high load.
constexpr auto prior_us = 100'000.0;
constexpr auto lowest_factor = 0.1;
constexpr auto highest_factor = 10.0;

} // namespace

auto wait_correction::observe(time_point now, duration forecast,
                              duration actual) -> void
{
    auto const kept = remaining(now);
    m_forecast = m_forecast * kept + static_cast<double>(forecast.count());
    m_actual = m_actual * kept + static_cast<double>(actual.count());
    m_observed_at = std::max(now, m_observed_at);
}

auto wait_correction::corrected(time_point now, duration forecast) const
    -> duration
{
    auto const kept = remaining(now);
    auto const factor = std::clamp((m_actual * kept + prior_us) /
                                       (m_forecast * kept + prior_us),
                                   lowest_factor, highest_factor);
    return scaled(forecast, factor);
}

auto wait_correction::remaining(time_point now) const -> double
{
    auto const age = std::chrono::duration<double>{
        std::max(now - m_observed_at, duration{0})};
    return std::exp(-(age / memory));
}

} // namespace hickorylatch::core
