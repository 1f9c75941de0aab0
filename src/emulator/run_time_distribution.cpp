#include "emulator/run_time_distribution.hpp"

#include <cmath>

namespace hickorylatch::emulator
{

run_time_distribution::run_time_distribution(run_time_bounds const& bounds,
                                             std::uint64_t seed)
    : m_bounds{bounds}, m_engine{seed}
{
}

auto run_time_distribution::draw() -> core::duration
{
    auto unit = std::uniform_real_distribution<double>{0, 1};
    auto const is_long = unit(m_engine) < m_bounds.m_long_share;
    auto const quantile = unit(m_engine);
    auto const low = static_cast<double>(
        (is_long ? m_bounds.m_long_min : m_bounds.m_min).count());
    auto const high = static_cast<double>(
        (is_long ? m_bounds.m_long_max : m_bounds.m_max).count());
    if (low <= 0)
        return core::duration{std::llround(high * quantile)};
    return core::duration{std::llround(low * std::pow(high / low, quantile))};
}

} // namespace hickorylatch::emulator
