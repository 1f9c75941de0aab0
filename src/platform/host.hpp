#ifndef HICKORYLATCH_PLATFORM_HOST_HPP
#define HICKORYLATCH_PLATFORM_HOST_HPP

#include "platform/settings.hpp"

#include <string>

namespace hickorylatch::platform
{

/// Command-line options that complement the platform's settings.
struct host_options
{
    duty m_duty = duty::entry;
    /// IP to listen on; empty to use the one in the settings.
    std::string m_listen_ip;
    /// The entry accepts jobs that must survive a failure of the entry.
    bool m_takes_durable_jobs = false;
    /// Entries, and the leader for durable jobs, prefer workers whose runs do
    /// not interfere with a task.
    bool m_separates_interfering_tasks = false;
    /// An entry holds jobs that would be late while links to more workers open
    /// after its start.
    bool m_awaits_workers_after_start = false;
};

/// Runs one process of the system on a machine of the platform until SIGTERM.
/// Returns the exit code.
[[nodiscard]] auto run_host(host_options const& options) -> int;

} // namespace hickorylatch::platform

#endif
