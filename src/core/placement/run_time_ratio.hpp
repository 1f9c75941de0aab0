#ifndef HICKORYLATCH_CORE_PLACEMENT_RUN_TIME_RATIO_HPP
#define HICKORYLATCH_CORE_PLACEMENT_RUN_TIME_RATIO_HPP

#include "core/model/time.hpp"

#include <cstdint>

namespace hickorylatch::core
{

/// Estimates the ratio of actual to declared run times of one queue.
class run_time_ratio
{
public:
    /// Adds a run on a worker of the given slowness. `declared` may be 0.
    auto observe(duration declared, duration actual, double slowness) -> void;
    /// Expected run time on a worker of average speed; 0 if nothing is known.
    [[nodiscard]] auto expected(duration declared) const -> duration;

private:
    /// Mean logarithm of the actual over the declared run time.
    double m_log_ratio = 0.0;
    double m_mean_us = 0.0;
};

} // namespace hickorylatch::core

#endif
