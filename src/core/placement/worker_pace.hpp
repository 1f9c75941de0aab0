#ifndef HICKORYLATCH_CORE_PLACEMENT_WORKER_PACE_HPP
#define HICKORYLATCH_CORE_PLACEMENT_WORKER_PACE_HPP

#include "core/model/time.hpp"

namespace hickorylatch::core
{

/// Learns how much longer runs take at one worker than they are expected to
/// take anywhere.
class worker_pace
{
public:
    /// Adds a run that succeeded. Ignored if nothing was expected.
    auto observe(time_point now, duration expected, duration actual) -> void;
    /// Run time over the expected one; 1 is common, more is slow. Without new
    /// runs it returns to 1, so that a worker that was slow is tried again.
    [[nodiscard]] auto slowness(time_point now) const -> double;

private:
    [[nodiscard]] static auto aged(double value, duration age) -> double;

    /// Logarithms of the slowness, over many and over few runs.
    double m_steady = 0.0;
    double m_recent = 0.0;
    time_point m_observed_at{0};
};

} // namespace hickorylatch::core

#endif
