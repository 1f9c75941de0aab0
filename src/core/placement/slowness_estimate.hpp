#ifndef HICKORYLATCH_CORE_PLACEMENT_SLOWNESS_ESTIMATE_HPP
#define HICKORYLATCH_CORE_PLACEMENT_SLOWNESS_ESTIMATE_HPP

#include "core/model/time.hpp"

namespace hickorylatch::core
{

/// Estimates by which factor runs at one worker take longer than their expected
/// run times.
class slowness_estimate
{
public:
    /// Adds a run that succeeded. Ignored if it has no expected run time.
    auto observe(time_point now, duration expected, duration actual) -> void;
    /// Ratio of actual to expected run time; 1 is normal, more is slow. It
    /// decays to 1 without new runs, so that a worker that was slow is tried
    /// again.
    [[nodiscard]] auto slowness(time_point now) const -> double;

private:
    [[nodiscard]] static auto decayed(double value, duration age) -> double;

    /// Logarithms of the slowness, averaged over many and over few runs.
    double m_long_term_log = 0.0;
    double m_short_term_log = 0.0;
    time_point m_observed_at{0};
};

} // namespace hickorylatch::core

#endif
