#ifndef HICKORYLATCH_EMULATOR_RUN_TIME_DISTRIBUTION_HPP
#define HICKORYLATCH_EMULATOR_RUN_TIME_DISTRIBUTION_HPP

#include "core/model/time.hpp"

#include <cstdint>
#include <random>

namespace hickorylatch::emulator
{

/// Run times of short tasks: most are spread evenly over the logarithm between
/// two bounds, a small share takes several seconds.
struct run_time_bounds
{
    core::duration m_shortest = std::chrono::milliseconds{50};
    core::duration m_longest = std::chrono::seconds{1};
    /// Share of long tasks, from 0 to 1.
    double m_long_share = 0.02;
    core::duration m_long_shortest = std::chrono::seconds{2};
    core::duration m_long_longest = std::chrono::seconds{6};
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
