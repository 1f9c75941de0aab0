#ifndef HICKORYLATCH_PLATFORM_HOST_HPP
#define HICKORYLATCH_PLATFORM_HOST_HPP

#include "platform/settings.hpp"

namespace hickorylatch::platform
{

/// Runs one process of the system on a machine of the platform until SIGTERM.
/// Returns the exit code.
[[nodiscard]] auto run_host(duty wanted) -> int;

} // namespace hickorylatch::platform

#endif
