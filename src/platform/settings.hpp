#ifndef HICKORYLATCH_PLATFORM_SETTINGS_HPP
#define HICKORYLATCH_PLATFORM_SETTINGS_HPP

#include "settings/settings.hpp"

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hickorylatch::platform
{

/// What a process of the system does on a machine of the platform.
enum class duty : std::uint8_t
{
    entry,   ///< Takes clients' jobs.
    control, ///< A replica of the durable state, or a way to one.
    agent    ///< Stands beside a worker.
};

/// Settings that the platform writes for each process.
struct host_settings
{
    std::string m_name;
    /// Where others reach this machine.
    std::string m_ip;
    /// Where its processes listen and what their links leave from; that of
    /// others unless the command line says otherwise.
    std::string m_own_ip;
    /// The platform's "zone".
    std::string m_failure_domain;
    /// "ip:port" where clients connect; empty unless this is an entry.
    std::string m_clients_address;
    /// "ip:port" where the platform's balancer asks whether to send clients.
    std::string m_readiness_address;
    /// "ip:port" where operators and workers call ("controlPlane"); on a
    /// worker's machine only that worker does.
    std::string m_control_address;
    /// "ip:port" of the worker beside this agent ("app").
    std::string m_worker_address;
    /// Control addresses of up to three machines that serve control.
    std::vector<std::string> m_seeds;
    /// The whole system starts for the first time.
    bool m_is_first_start = false;
    /// Folder that survives a restart; empty if the machine has no disk.
    std::string m_data_folder;
    /// First port for links between processes.
    std::uint16_t m_first_port = 0;
    /// Machines with a disk that may be lost at once.
    std::uint32_t m_tolerated_losses = 1;
    /// Longest lease that a worker grants, in milliseconds ("maxHoldMs").
    std::uint32_t m_lease_ms = 1'000;
    /// How long the state of an ended job can be asked for, in seconds
    /// ("status_s").
    std::uint32_t m_job_retention_s = 120;
    /// How much longer a task runs away from its data ("spreadFactor").
    double m_spread_factor = 1.0;
    std::uint32_t m_memory_mb = 0;
    /// Processor time per time ("cpuShare" of a core that is "cores" times as
    /// fast as a common one).
    double m_processor_share = 1.0;

    auto operator==(host_settings const&) const -> bool = default;
};

/// Why settings can't be used. Carried as a LEAF error object.
struct settings_error
{
    std::string m_text;
};

/// Parses the platform's settings file (TOML). Fields that are not known are
/// skipped. Errors: `settings_error`.
[[nodiscard]] auto parse_host_settings(std::string_view text)
    -> boost::leaf::result<host_settings>;

/// Addresses where the control processes of the seeds accept links.
[[nodiscard]] auto seed_links(host_settings const& host)
    -> std::vector<std::string>;

/// Settings of the `process` that carries out a duty with these settings.
/// Errors: `settings_error` if a field that the duty needs is missing.
[[nodiscard]] auto to_process_settings(host_settings const& host, duty wanted)
    -> boost::leaf::result<settings::settings>;

} // namespace hickorylatch::platform

#endif
