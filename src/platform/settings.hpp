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

/// Role of a process on a machine of the platform.
enum class duty : std::uint8_t
{
    entry,   ///< Accepts clients' jobs.
    control, ///< A replica of the durable state, or access to one.
    agent    ///< Manages the worker next to it.
};

/// Settings that the platform writes for each process.
struct host_settings
{
    std::string m_name;
    /// Address at which other machines reach this one ("ip").
    std::string m_advertised_ip;
    /// Address on which its processes listen and from which their links
    /// connect; `m_advertised_ip` unless the command line sets another one.
    std::string m_listen_ip;
    /// The platform's "zone".
    std::string m_failure_domain;
    /// Names of all failure domains (keys of the table "zones"), sorted.
    std::vector<std::string> m_failure_domains;
    /// "ip:port" where clients connect ("frontend"); empty unless this is an
    /// entry.
    std::string m_clients_address;
    /// "ip:port" where the platform's load balancer checks readiness
    /// ("readiness").
    std::string m_readiness_address;
    /// "ip:port" where operators and workers connect ("controlPlane"); on a
    /// worker's machine only that worker does.
    std::string m_control_address;
    /// "ip:port" of the worker of this agent ("app").
    std::string m_worker_address;
    /// Control addresses of up to three machines with a control process.
    std::vector<std::string> m_seeds;
    /// The whole system starts for the first time.
    bool m_is_first_start = false;
    /// Folder that survives a restart; empty if the machine has no disk.
    std::string m_data_folder;
    /// First port for links between processes.
    std::uint16_t m_first_port = 0;
    /// Number of machines with a disk that may be lost at the same time.
    std::uint32_t m_tolerated_losses = 1;
    /// Longest lease that a worker grants, in milliseconds ("maxHoldMs").
    std::uint32_t m_lease_ms = 1'000;
    /// How long the state of an ended job can be queried, in seconds
    /// ("status_s").
    std::uint32_t m_job_retention_s = 120;
    /// Factor on the run time of a task outside the rack with its data
    /// ("spreadFactor").
    double m_spread_factor = 1.0;
    /// Clients and the load balancer rely on what an entry reports about
    /// itself: "contracts" contains "health".
    bool m_relies_on_health = false;
    /// Memory and descriptors of this process; 0 if they are not known.
    std::uint32_t m_memory_mb = 0;
    std::uint32_t m_descriptors = 0;
    /// Processor capacity in standard cores: "cpuShare" of a core that is
    /// "cores" times as fast as a standard one.
    double m_processor_share = 1.0;

    auto operator==(host_settings const&) const -> bool = default;
};

/// Why settings are invalid. Carried as a LEAF error object.
struct settings_error
{
    std::string m_text;
};

/// Parses the platform's settings file (TOML). Unknown fields are ignored.
/// Errors: `settings_error`.
[[nodiscard]] auto parse_host_settings(std::string_view text)
    -> boost::leaf::result<host_settings>;

/// Link addresses of the control processes on the seed machines.
[[nodiscard]] auto seed_link_addresses(host_settings const& host)
    -> std::vector<std::string>;

/// Converts the platform's settings to those of a `process` with this duty.
/// Errors: `settings_error` if a field that the duty needs is missing.
[[nodiscard]] auto to_process_settings(host_settings const& host,
                                       duty target_duty)
    -> boost::leaf::result<settings::settings>;

} // namespace hickorylatch::platform

#endif
