#include "emulator/emulate_command.hpp"

#include "emulator/command_line.hpp"
#include "emulator/endpoint_server.hpp"
#include "net/error.hpp"
#include "net/process_signals.hpp"

#include <boost/leaf/handle_errors.hpp>

#include <iostream>
#include <memory>
#include <utility>
#include <vector>

namespace hickorylatch::emulator
{

namespace leaf = boost::leaf;

namespace
{

/// Address and settings of one emulated endpoint or worker.
struct emulated_endpoint
{
    std::string m_address;
    endpoint_settings m_settings;
};

auto milliseconds(cxxopts::ParseResult const& options, std::string const& name)
    -> core::duration
{
    return std::chrono::milliseconds{options[name].as<std::uint32_t>()};
}

auto parse_mode(std::string const& name) -> failure_mode
{
    auto const mode = parse_failure_mode(name);
    if (!mode)
        reject("unknown failure mode \"" + name + "\"");
    return *mode;
}

/// Parses the addresses, each "ip:port" or "ip:port=mode", and the settings
/// common to all.
auto parse_endpoints(cxxopts::ParseResult const& options)
    -> std::vector<emulated_endpoint>
{
    if (options.count("address") == 0)
        reject("no address given");
    auto common = endpoint_settings{};
    common.m_slots = options["slots"].as<std::uint32_t>();
    common.m_mode = parse_mode(options["mode"].as<std::string>());
    common.m_straggler_factor = options["straggler-factor"].as<double>();
    common.m_run_times = {milliseconds(options, "run-min-ms"),
                          milliseconds(options, "run-max-ms"),
                          options["long-share"].as<double>(),
                          milliseconds(options, "long-min-ms"),
                          milliseconds(options, "long-max-ms")};
    common.m_usage_lag = milliseconds(options, "usage-lag-ms");
    common.m_seed = options["seed"].as<std::uint64_t>();
    auto endpoints = std::vector<emulated_endpoint>{};
    for (auto const& text : options["address"].as<std::vector<std::string>>())
    {
        auto const separator = text.find('=');
        endpoints.push_back({text.substr(0, separator), common});
        if (separator != std::string::npos)
            endpoints.back().m_settings.m_mode =
                parse_mode(text.substr(separator + 1));
        ++common.m_seed;
    }
    return endpoints;
}

auto run(std::vector<emulated_endpoint> const& endpoints) -> leaf::result<int>
{
    auto loop = net::event_loop{};
    auto signals = net::process_signals{loop};
    auto servers = std::vector<std::unique_ptr<endpoint_server>>{};
    auto running_count = endpoints.size();
    for (auto const& [address, settings] : endpoints)
    {
        servers.push_back(std::make_unique<endpoint_server>(loop, settings));
        BOOST_LEAF_AUTO(port, servers.back()->listen(address));
        auto const host = address.substr(0, address.rfind(':'));
        std::cout << "listening on " << host << ':' << port << std::endl;
        servers.back()->stopped().connect(
            [&loop, &running_count]
            {
                if (--running_count == 0)
                    loop.stop();
            });
    }
    auto is_stopping = false;
    signals.stop_requested().connect(
        [&]
        {
            if (std::exchange(is_stopping, true))
                return loop.stop();
            for (auto const& server : servers)
                server->stop();
        });
    loop.run();
    for (auto index = std::size_t{0}; index < servers.size(); ++index)
    {
        std::cout << endpoints[index].m_address << ' '
                  << servers[index]->counts().print() << std::endl;
    }
    return running_count == 0 ? exit_ok : exit_failed;
}

auto run_reporting_errors(std::vector<emulated_endpoint> const& endpoints)
    -> int
{
    auto const report = [](net::error const& error)
    {
        std::cerr << "emulate: " << error.m_text << '\n';
        return exit_failed;
    };
    auto const report_unknown = []
    {
        std::cerr << "emulate: unknown error\n";
        return exit_failed;
    };
    return leaf::try_handle_all(
        [&]
        {
            return run(endpoints);
        },
        report, report_unknown);
}

} // namespace

auto emulate_main(std::span<std::string const> arguments) -> int
{
    auto options = cxxopts::Options{
        "emulate", "Emulates endpoints of a service, or workers"};
    auto add = options.add_options();
    add("address", "Listening ip:port, or ip:port=mode; may be repeated",
        cxxopts::value<std::vector<std::string>>());
    add("slots", "Maximum number of concurrent tasks per address",
        cxxopts::value<std::uint32_t>()->default_value("8"));
    add("mode", "none, fail, hang, close or truncate",
        cxxopts::value<std::string>()->default_value("none"));
    add("straggler-factor", "Multiplies every run time",
        cxxopts::value<double>()->default_value("1"));
    add("run-min-ms", "Shortest usual run time",
        cxxopts::value<std::uint32_t>()->default_value("50"));
    add("run-max-ms", "Longest usual run time",
        cxxopts::value<std::uint32_t>()->default_value("1000"));
    add("long-share", "Share of long tasks, 0 to 1",
        cxxopts::value<double>()->default_value("0.02"));
    add("long-min-ms", "Shortest run time of a long task",
        cxxopts::value<std::uint32_t>()->default_value("2000"));
    add("long-max-ms", "Longest run time of a long task",
        cxxopts::value<std::uint32_t>()->default_value("6000"));
    add("usage-lag-ms", "Maximum age of the figures of GET /usage",
        cxxopts::value<std::uint32_t>()->default_value("1000"));
    add("seed", "Seed of the first address; each further one adds 1",
        cxxopts::value<std::uint64_t>()->default_value("1"));
    options.parse_positional("address");
    options.positional_help("ip:port[=mode]...");
    return run_command(options, arguments,
                       [](cxxopts::ParseResult const& parsed)
                       {
                           return run_reporting_errors(parse_endpoints(parsed));
                       });
}

} // namespace hickorylatch::emulator
