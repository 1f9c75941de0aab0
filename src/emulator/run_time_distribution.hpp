#ifndef HICKORYLATCH_EMULATOR_RUN_TIME_DISTRIBUTION_HPP
#define HICKORYLATCH_EMULATOR_RUN_TIME_DISTRIBUTION_HPP

#include "core/model/time.hpp"

#include <cstdint>
#include <random>

namespace hickorylatch::emulator
{

/// Bounds of run times: usual tasks are log-uniformly distributed between the
/// first two, a small share of long tasks between the last two.
struct run_time_bounds
{
    core::duration m_min = std::chrono::milliseconds{50};
    core::duration m_max = std::chrono::seconds{1};
    /// Share of long tasks, from 0 to 1.
    double m_long_share = 0.02;
    core::duration m_long_min = std::chrono::seconds{2};
    core::duration m_long_max = std::chrono::seconds{6};
};

/// Draws run times; the same seed gives the same sequence.
class run_time_distribution
{
public:
    run_time_distribution(run_time_bounds const& bounds, std::uint64_t seed);

    [[nodiscard]] auto draw() -> core::duration;

private:
    run_time_bounds m_bounds;
    std::mt19937_64 m_engine;
};

} // namespace hickorylatch::emulator

#endif
