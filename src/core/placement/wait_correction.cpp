#include "core/placement/wait_correction.hpp"

#include <algorithm>
#include <cmath>

namespace hickorylatch::core
{

namespace
{

// Bursts last a few seconds, and forecast errors differ during and between
// bursts.
constexpr auto decay_time = std::chrono::duration<double>{3.0};
// Weight of a prior observation with a correct forecast, so that the first jobs
// alone do not determine the factor. About the wait of some jobs at high load.
constexpr auto prior_us = 100'000.0;
constexpr auto min_factor = 0.1;
constexpr auto max_factor = 10.0;

} // namespace

auto wait_correction::observe(time_point now, duration forecast,
                              duration actual) -> void
{
    auto const decay = decay_factor(now);
    m_forecast = m_forecast * decay + static_cast<double>(forecast.count());
    m_actual = m_actual * decay + static_cast<double>(actual.count());
    m_observed_at = std::max(now, m_observed_at);
}

auto wait_correction::corrected(time_point now, duration forecast) const
    -> duration
{
    auto const decay = decay_factor(now);
    auto const factor = std::clamp((m_actual * decay + prior_us) /
                                       (m_forecast * decay + prior_us),
                                   min_factor, max_factor);
    return scaled(forecast, factor);
}

auto wait_correction::decay_factor(time_point now) const -> double
{
    auto const age = std::chrono::duration<double>{
        std::max(now - m_observed_at, duration{0})};
    return std::exp(-(age / decay_time));
}

} // namespace hickorylatch::core
