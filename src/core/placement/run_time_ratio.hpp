#ifndef HICKORYLATCH_CORE_PLACEMENT_RUN_TIME_RATIO_HPP
#define HICKORYLATCH_CORE_PLACEMENT_RUN_TIME_RATIO_HPP

#include "core/model/time.hpp"

#include <cstdint>

namespace hickorylatch::core
{

/// Learns how far the declared run times of one queue are from the actual ones.
class run_time_ratio
{
public:
    /// Adds a run; `slowness` is that of its worker. `declared` may be 0.
    auto observe(duration declared, duration actual, double slowness) -> void;
    /// Expected run time on a worker of common speed; 0 if nothing is known.
    [[nodiscard]] auto expected(duration declared) const -> duration;

private:
    /// Mean logarithm of the actual over the declared run time.
    double m_log_ratio = 0.0;
    double m_mean_us = 0.0;
};

} // namespace hickorylatch::core

#endif
