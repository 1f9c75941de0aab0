#ifndef HICKORYLATCH_CORE_PLACEMENT_WORKER_CLOCK_HPP
#define HICKORYLATCH_CORE_PLACEMENT_WORKER_CLOCK_HPP

#include "core/model/time.hpp"

#include <cstdint>

namespace hickorylatch::core
{

/// Estimates the monotonic clock of one incarnation of a worker from the
/// readings in its answers. It may run slower than this process's clock.
class worker_clock
{
public:
    /// Adds a reading that arrived now. Readings may arrive out of order.
    auto observe(time_point now, std::int64_t clock_ms) -> void;
    /// Corrects for a suspension of this process that its own clock has counted
    /// and the worker's clock may not have.
    auto suspended(duration span) -> void;
    /// Discards the readings of an earlier incarnation.
    auto reset() -> void;

    [[nodiscard]] auto is_known() const -> bool;
    /// Estimated reading of the worker's clock at this time, in milliseconds.
    [[nodiscard]] auto at(time_point now) const -> std::int64_t;
    /// Time by which the worker's clock has reached the reading even if it runs
    /// as slow as allowed.
    [[nodiscard]] auto certainly_reached(std::int64_t clock_ms) const
        -> time_point;

private:
    time_point m_read_at{0};
    std::int64_t m_clock_ms = -1;
};

} // namespace hickorylatch::core

#endif
