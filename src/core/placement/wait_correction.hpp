#ifndef HICKORYLATCH_CORE_PLACEMENT_WAIT_CORRECTION_HPP
#define HICKORYLATCH_CORE_PLACEMENT_WAIT_CORRECTION_HPP

#include "core/model/time.hpp"

namespace hickorylatch::core
{

/// Estimates the ratio of actual to forecast waits of the jobs of one rank.
/// Forecasts do not include work that arrives later: it delays low priorities,
/// while high priorities overtake the queued work that forecasts include.
class wait_correction
{
public:
    /// Adds a job that waited for room.
    auto observe(time_point now, duration forecast, duration actual) -> void;
    /// The forecast times the estimated ratio, which decays to 1 without new
    /// jobs.
    [[nodiscard]] auto corrected(time_point now, duration forecast) const
        -> duration;

private:
    [[nodiscard]] auto decay_factor(time_point now) const -> double;

    /// Sums over recent jobs, in microseconds.
    double m_forecast = 0.0;
    double m_actual = 0.0;
    time_point m_observed_at{0};
};

} // namespace hickorylatch::core

#endif
