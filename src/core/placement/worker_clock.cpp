#include "core/placement/worker_clock.hpp"

#include <algorithm>

namespace hickorylatch::core
{

namespace
{

// Workers' clocks may run 2 % slow; the rest allows for an error of this
// process's own clock.
constexpr auto slowest_clock_factor = 1.03;

} // namespace

auto worker_clock::observe(time_point now, std::int64_t clock_ms) -> void
{
    if (clock_ms <= 0 || (is_known() && clock_ms < m_clock_ms))
        return;
    m_read_at = now;
    m_clock_ms = clock_ms;
}

auto worker_clock::suspended(duration span) -> void
{
    m_read_at += span;
}

auto worker_clock::reset() -> void
{
    m_clock_ms = -1;
}

auto worker_clock::is_known() const -> bool
{
    return m_clock_ms >= 0;
}

auto worker_clock::at(time_point now) const -> std::int64_t
{
    return m_clock_ms + std::chrono::duration_cast<std::chrono::milliseconds>(
                            std::max(now - m_read_at, duration{0}))
                            .count();
}

auto worker_clock::certainly_reached(std::int64_t clock_ms) const -> time_point
{
    auto const left =
        static_cast<double>(std::max(clock_ms - m_clock_ms, std::int64_t{0}));
    return m_read_at + std::chrono::duration_cast<duration>(
                           std::chrono::duration<double, std::milli>(
                               left * slowest_clock_factor));
}

} // namespace hickorylatch::core
