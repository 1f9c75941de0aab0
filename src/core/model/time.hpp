#ifndef HICKORYLATCH_CORE_MODEL_TIME_HPP
#define HICKORYLATCH_CORE_MODEL_TIME_HPP

#include <chrono>
#include <cstdint>

namespace hickorylatch::core
{

using duration = std::chrono::microseconds;

/// Monotonic time of one process, in microseconds since an arbitrary origin.
/// Never compared between processes.
using time_point = std::chrono::microseconds;

/// Wall-clock time in milliseconds since the Unix epoch.
using unix_milliseconds = std::int64_t;

inline constexpr auto never = time_point::max();

} // namespace hickorylatch::core

#endif
