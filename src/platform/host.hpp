#ifndef HICKORYLATCH_PLATFORM_HOST_HPP
#define HICKORYLATCH_PLATFORM_HOST_HPP

#include "platform/settings.hpp"

#include <string>

namespace hickorylatch::platform
{

/// Runs one process of the system on a machine of the platform until SIGTERM.
/// Listens on the IP of the settings unless `listen_ip` names another one.
/// Returns the exit code.
[[nodiscard]] auto run_host(duty wanted, std::string const& listen_ip) -> int;

} // namespace hickorylatch::platform

#endif
