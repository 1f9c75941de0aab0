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

/// A stand-in's address and settings.
struct stand_in
{
    std::string m_address;
    endpoint_settings m_settings;
};

auto milliseconds(cxxopts::ParseResult const& options, std::string const& name)
    -> core::duration
{
    return std::chrono::milliseconds{options[name].as<std::uint32_t>()};
}

auto mode_named(std::string const& name) -> failure_mode
{
    auto const mode = parse_failure_mode(name);
    if (!mode)
        reject("unknown failure mode \"" + name + "\"");
    return *mode;
}

/// Reads "ip:port" or "ip:port=mode".
auto stand_ins(cxxopts::ParseResult const& options) -> std::vector<stand_in>
{
    if (options.count("address") == 0)
        reject("no address given");
    auto common = endpoint_settings{};
    common.m_slots = options["slots"].as<std::uint32_t>();
    common.m_mode = mode_named(options["mode"].as<std::string>());
    common.m_straggler_factor = options["straggler-factor"].as<double>();
    common.m_run_times = {milliseconds(options, "run-min-ms"),
                          milliseconds(options, "run-max-ms"),
                          options["long-share"].as<double>(),
                          milliseconds(options, "long-min-ms"),
                          milliseconds(options, "long-max-ms")};
    common.m_usage_lag = milliseconds(options, "usage-lag-ms");
    common.m_seed = options["seed"].as<std::uint64_t>();
    auto made = std::vector<stand_in>{};
    for (auto const& text : options["address"].as<std::vector<std::string>>())
    {
        auto const mark = text.find('=');
        made.push_back({text.substr(0, mark), common});
        if (mark != std::string::npos)
            made.back().m_settings.m_mode = mode_named(text.substr(mark + 1));
        ++common.m_seed;
    }
    return made;
}

auto run(std::vector<stand_in> const& wanted) -> leaf::result<int>
{
    auto loop = net::event_loop{};
    auto signals = net::process_signals{loop};
    auto servers = std::vector<std::unique_ptr<endpoint_server>>{};
    auto running = wanted.size();
    for (auto const& [address, settings] : wanted)
    {
        servers.push_back(std::make_unique<endpoint_server>(loop, settings));
        BOOST_LEAF_AUTO(port, servers.back()->listen(address));
        auto const host = address.substr(0, address.rfind(':'));
        std::cout << "listening on " << host << ':' << port << std::endl;
        servers.back()->stopped().connect(
            [&loop, &running]
            {
                if (--running == 0)
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
    for (auto at = std::size_t{0}; at < servers.size(); ++at)
    {
        std::cout << wanted[at].m_address << ' '
                  << servers[at]->counts().print() << std::endl;
    }
    return running == 0 ? exit_ok : exit_failed;
}

auto run_reporting_errors(std::vector<stand_in> const& wanted) -> int
{
    auto const report = [](net::error const& failure)
    {
        std::cerr << "emulate: " << failure.m_text << '\n';
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
            return run(wanted);
        },
        report, report_unknown);
}

} // namespace

auto emulate_main(std::span<std::string const> arguments) -> int
{
    auto options = cxxopts::Options{
        "emulate", "Stand-ins for endpoints of a service or for workers"};
    auto add = options.add_options();
    add("address", "Listening ip:port, or ip:port=mode; may be repeated",
        cxxopts::value<std::vector<std::string>>());
    add("slots", "Tasks in progress at most, for each address",
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
    add("usage-lag-ms", "Age of the figures at GET /usage",
        cxxopts::value<std::uint32_t>()->default_value("1000"));
    add("seed", "Seed of the first address; each further one adds 1",
        cxxopts::value<std::uint64_t>()->default_value("1"));
    options.parse_positional("address");
    options.positional_help("ip:port[=mode]...");
    return run_command(options, arguments,
                       [](cxxopts::ParseResult const& parsed)
                       {
                           return run_reporting_errors(stand_ins(parsed));
                       });
}

} // namespace hickorylatch::emulator
