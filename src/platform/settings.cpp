#include "platform/settings.hpp"

#include <boost/leaf/error.hpp>

#include <toml.hpp>

#include <algorithm>
#include <exception>
#include <sstream>
#include <utility>

namespace hickorylatch::platform
{

namespace
{

// Metrics ports are fixed because the deploy file names them.
constexpr auto entry_metrics_port = 9464;
constexpr auto control_metrics_port = 9465;
constexpr auto agent_metrics_port = 9466;

// Offsets of the link ports from the first port. A control and an entry process
// may share a machine; agents accept no links.
constexpr auto control_link_port_offset = 0;
constexpr auto entry_link_port_offset = 1;

// Disks hold 128 MB, and a restarted replica reads whole segments before it can
// vote. A configuration with several hundred queues takes about 0.1 MB.
constexpr auto segment_bytes = std::uint32_t{1} << 20U;
constexpr auto snapshot_interval_bytes = std::uint32_t{4} << 20U;

// A load message costs about 20 microseconds, so this rate spends a third of a
// core on them. With 60 workers, loads at less than 500 per second are too old
// for placement, and more than 3,000 per second do not improve it.
constexpr auto loads_per_s_per_core = 16'000.0;
constexpr auto min_loads_per_s = std::uint32_t{500};
constexpr auto max_loads_per_s = std::uint32_t{3'000};

// The platform counts the retention from when it observed the end of the job,
// which may be later than the end.
constexpr auto job_retention_factor = 2U;

// Descriptors of `maxFds` that are not for use. Half of the rest is for links,
// files, and connections that were refused or are being closed; the other half
// is as many as entries served before the limit was derived.
constexpr auto reserved_descriptors = std::uint32_t{200};
constexpr auto min_client_connections = std::uint32_t{16};

// A process without load takes 11 to 15 MB, of 128 to 384. A client with 64
// connections and the largest requests holds 18 MB. A quarter for clients let a
// process of 64 MB grow to 51 MB, because freed buffers are not returned at
// once.
constexpr auto client_memory_divisor = 6;
constexpr auto links_memory_divisor = 4;
constexpr auto link_memory_divisor = 8;
constexpr auto min_client_memory_bytes = std::uint32_t{1} << 23U;

auto fail(std::string text) -> boost::leaf::error_id
{
    return boost::leaf::new_error(settings_error{std::move(text)});
}

/// The member, or `fallback` if it is missing.
template <typename T>
auto read(toml::value const& table, std::string const& name, T fallback) -> T
{
    return toml::find_or<T>(table, name, std::move(fallback));
}

auto read_table(toml::value const& table, std::string const& name)
    -> toml::value
{
    return toml::find_or<toml::value>(table, name, toml::value(toml::table{}));
}

/// The keys of the table, sorted; none if it is missing.
auto read_keys(toml::value const& file, std::string const& name)
    -> std::vector<std::string>
{
    auto keys = std::vector<std::string>{};
    if (!file.contains(name) || !file.at(name).is_table())
        return keys;
    for (auto const& [key, value] : file.at(name).as_table())
        keys.push_back(key);
    std::ranges::sort(keys);
    return keys;
}

auto read_number(toml::value const& table, std::string const& name,
                 double fallback) -> double
{
    if (!table.contains(name))
        return fallback;
    auto const& value = table.at(name);
    if (value.is_integer())
        return static_cast<double>(value.as_integer());
    return value.is_floating() ? value.as_floating() : fallback;
}

auto join_address(std::string const& ip, int port) -> std::string
{
    return ip + ":" + std::to_string(port);
}

/// The link address of the control process on the machine with this control
/// address. Ports are the same on all machines.
auto control_link_address(std::string const& control_address, int first_port)
    -> std::string
{
    auto const ip = control_address.substr(0, control_address.rfind(':'));
    return join_address(ip, first_port + control_link_port_offset);
}

auto to_placement(host_settings const& host) -> settings::placement_settings
{
    auto placement = settings::placement_settings{};
    placement.m_spread_factor = host.m_spread_factor;
    placement.m_lease_ms = host.m_lease_ms;
    placement.m_loads_per_s =
        std::clamp(static_cast<std::uint32_t>(host.m_processor_share *
                                              loads_per_s_per_core),
                   min_loads_per_s, max_loads_per_s);
    return placement;
}

/// Derives the limits on connections and links. Those of an unknown quantity
/// keep their defaults.
auto set_limits(host_settings const& host, settings::settings& out) -> void
{
    if (host.m_memory_mb != 0)
    {
        auto const memory = std::uint64_t{host.m_memory_mb} * 1'000'000;
        out.m_client_memory_bytes =
            static_cast<std::uint32_t>(std::clamp<std::uint64_t>(
                memory / client_memory_divisor, min_client_memory_bytes,
                out.m_client_memory_bytes));
        out.m_link_unsent_bytes =
            static_cast<std::uint32_t>(std::clamp<std::uint64_t>(
                memory / link_memory_divisor, out.m_frame_limit_bytes,
                out.m_link_unsent_bytes));
        out.m_links_unsent_bytes =
            static_cast<std::uint32_t>(std::clamp<std::uint64_t>(
                memory / links_memory_divisor, out.m_link_unsent_bytes,
                out.m_links_unsent_bytes));
    }
    if (host.m_descriptors > reserved_descriptors)
    {
        auto const usable = host.m_descriptors - reserved_descriptors;
        // A connection over the limit may stay open until its 503 is sent.
        out.m_client_connection_limit = std::clamp(
            usable / 2, min_client_connections, out.m_client_connection_limit);
    }
}

} // namespace

auto parse_host_settings(std::string_view text)
    -> boost::leaf::result<host_settings>
{
    try
    {
        auto stream = std::istringstream{std::string{text}};
        auto const file = toml::parse(stream, "settings");
        auto out = host_settings{};
        out.m_name = read(file, "nodeName", std::string{});
        out.m_advertised_ip = read(file, "ip", std::string{});
        out.m_listen_ip = out.m_advertised_ip;
        out.m_failure_domain = read(file, "zone", std::string{});
        out.m_failure_domains = read_keys(file, "zones");
        out.m_worker_address = read(file, "app", std::string{});
        out.m_seeds = read(file, "seeds", std::vector<std::string>{});
        out.m_is_first_start = read(file, "bootstrap", false);
        out.m_data_folder = read(file, "dataDir", std::string{});
        auto const contracts =
            read(file, "contracts", std::vector<std::string>{});
        out.m_relies_on_health =
            std::ranges::find(contracts, "health") != contracts.end();
        auto const ports = read(file, "portRange", std::vector<std::int64_t>{});
        if (ports.empty() || ports.front() <= 0 || ports.front() > 65'000)
            return fail("portRange: no usable port");
        out.m_first_port = static_cast<std::uint16_t>(ports.front());
        auto const addresses = read_table(file, "listenAddrs");
        out.m_clients_address = read(addresses, "frontend", std::string{});
        out.m_readiness_address = read(addresses, "readiness", std::string{});
        out.m_control_address = read(addresses, "controlPlane", std::string{});
        auto const bounds = read_table(file, "bounds");
        out.m_lease_ms =
            static_cast<std::uint32_t>(read_number(bounds, "maxHoldMs", 1'000));
        out.m_job_retention_s =
            static_cast<std::uint32_t>(read_number(bounds, "status_s", 120));
        out.m_spread_factor = read_number(bounds, "spreadFactor", 1.0);
        out.m_tolerated_losses = static_cast<std::uint32_t>(
            read_number(read_table(file, "faultTolerance"), "machines", 1));
        auto const limits = read_table(file, "limits");
        out.m_memory_mb =
            static_cast<std::uint32_t>(read_number(limits, "memoryMb", 0));
        out.m_descriptors =
            static_cast<std::uint32_t>(read_number(limits, "maxFds", 0));
        out.m_processor_share = read_number(limits, "cpuShare", 1.0) *
                                read_number(limits, "cores", 1.0);
        if (out.m_name.empty() || out.m_advertised_ip.empty())
            return fail("nodeName and ip are required");
        return out;
    }
    catch (std::exception const& error)
    {
        return fail(error.what());
    }
}

auto seed_link_addresses(host_settings const& host) -> std::vector<std::string>
{
    auto links = std::vector<std::string>{};
    for (auto const& seed : host.m_seeds)
        links.push_back(control_link_address(seed, host.m_first_port));
    return links;
}

auto to_process_settings(host_settings const& host, duty target_duty)
    -> boost::leaf::result<settings::settings>
{
    auto out = settings::settings{};
    out.m_name = host.m_name;
    out.m_failure_domain = host.m_failure_domain;
    out.m_control_addresses = seed_link_addresses(host);
    set_limits(host, out);
    if (host.m_listen_ip != host.m_advertised_ip)
        out.m_source_ip = host.m_listen_ip;
    if (target_duty == duty::entry)
    {
        if (host.m_clients_address.empty() || host.m_readiness_address.empty())
            return fail("an entry needs the addresses frontend and readiness");
        auto broker = settings::broker_settings{};
        broker.m_listen_address = join_address(
            host.m_listen_ip, host.m_first_port + entry_link_port_offset);
        broker.m_advertised_address = join_address(
            host.m_advertised_ip, host.m_first_port + entry_link_port_offset);
        broker.m_operators_address =
            join_address(host.m_listen_ip, entry_metrics_port);
        broker.m_placement = to_placement(host);
        broker.m_sparse.m_releases_callers_when_isolated =
            host.m_relies_on_health;
        out.m_broker = std::move(broker);
        return out;
    }
    if (host.m_control_address.empty())
        return fail("the address controlPlane is missing");
    if (target_duty == duty::agent)
    {
        if (host.m_worker_address.empty())
            return fail("an agent needs the worker's address, app");
        auto executor = settings::executor_settings{};
        executor.m_operators_address =
            join_address(host.m_listen_ip, agent_metrics_port);
        executor.m_lease_ms = host.m_lease_ms;
        out.m_executor = std::move(executor);
        return out;
    }
    auto control = settings::control_settings{};
    control.m_listen_address = join_address(
        host.m_listen_ip, host.m_first_port + control_link_port_offset);
    control.m_advertised_address = join_address(
        host.m_advertised_ip, host.m_first_port + control_link_port_offset);
    control.m_operators_address =
        join_address(host.m_listen_ip, control_metrics_port);
    control.m_group.m_is_volatile = host.m_data_folder.empty();
    control.m_data_folder = host.m_data_folder;
    control.m_segment_bytes = segment_bytes;
    control.m_snapshot_interval_bytes = snapshot_interval_bytes;
    control.m_failure_domains = host.m_failure_domains;
    control.m_placement = to_placement(host);
    control.m_job_retention_s = host.m_job_retention_s * job_retention_factor;
    control.m_group.m_seeds = out.m_control_addresses;
    control.m_group.m_is_first_start = host.m_is_first_start;
    // A majority must remain when the tolerated number is lost.
    control.m_group.m_voters =
        std::max(std::size_t{3}, std::size_t{host.m_tolerated_losses} * 2 + 1);
    out.m_control = std::move(control);
    return out;
}

} // namespace hickorylatch::platform
