#ifndef HICKORYLATCH_CORE_MODEL_TIME_HPP
#define HICKORYLATCH_CORE_MODEL_TIME_HPP

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace hickorylatch::core
{

using duration = std::chrono::microseconds;

/// Monotonic time of one process, in microseconds since an arbitrary epoch. Not
/// comparable between processes.
using time_point = std::chrono::microseconds;

/// Wall-clock time in milliseconds since the Unix epoch.
using unix_milliseconds = std::int64_t;

inline constexpr auto never = time_point::max();

[[nodiscard]] inline auto scaled(duration value, double factor) -> duration
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, duration::period>(value) * factor);
}

[[nodiscard]] inline auto to_seconds(duration value) -> double
{
    return std::chrono::duration<double>{value}.count();
}

/// Truncates to whole milliseconds; 0 for a negative duration.
[[nodiscard]] inline auto whole_ms(duration value) -> std::uint32_t
{
    return static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            std::max(value, duration{0}))
            .count());
}

} // namespace hickorylatch::core

#endif
