#ifndef HICKORYLATCH_CORE_PLACEMENT_WAIT_CORRECTION_HPP
#define HICKORYLATCH_CORE_PLACEMENT_WAIT_CORRECTION_HPP

#include "core/model/time.hpp"

namespace hickorylatch::core
{

/// Learns how far the waits that were forecast for the jobs of one rank are
/// from the actual ones. Forecasts know nothing of work that is still to come:
/// it overtakes low ranks, and high ranks overtake what it is made of.
class wait_correction
{
public:
    /// Adds a job that waited for room.
    auto observe(time_point now, duration forecast, duration actual) -> void;
    /// The forecast as it should have been. Returns to the forecast itself
    /// without new jobs.
    [[nodiscard]] auto corrected(time_point now, duration forecast) const
        -> duration;

private:
    [[nodiscard]] auto remaining(time_point now) const -> double;

    /// Sums over recent jobs, in microseconds.
    double m_forecast = 0.0;
    double m_actual = 0.0;
    time_point m_observed_at{0};
};

} // namespace hickorylatch::core

#endif
