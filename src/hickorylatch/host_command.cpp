#include "hickorylatch/host_command.hpp"

#include "platform/host.hpp"

#include <cxxopts.hpp>

#include <cstdlib>
#include <exception>
#include <iostream>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hickorylatch::program
{

namespace
{

auto make_options() -> cxxopts::Options
{
    auto options = cxxopts::Options{
        "hickorylatch host",
        "Runs one process on a machine of the users' platform until SIGTERM. "
        "The platform writes its settings and names the file in "
        "HICKORYLATCH_BOOT."};
    options.add_options()("duty", "entry, control or agent",
                          cxxopts::value<std::string>(), "DUTY")(
        "listen-ip",
        "address to listen on, if other processes reach this machine at a "
        "different one, that in the settings",
        cxxopts::value<std::string>()->default_value(""), "IP")(
        "durable-jobs",
        "lets an entry accept jobs that must survive it; without this they "
        "are refused")(
        "separate-interfering-tasks",
        "lets an entry or the leader prefer workers whose runs do not slow a "
        "task down; agents follow what the orders ask for")(
        "await-workers-after-start",
        "lets an entry hold jobs that would be late while links to more "
        "workers open after its start")("h,help", "print this text");
    options.parse_positional({"duty"});
    options.positional_help("entry|control|agent");
    return options;
}

auto parse_duty(std::string_view name) -> std::optional<platform::duty>
{
    if (name == "entry")
        return platform::duty::entry;
    if (name == "control")
        return platform::duty::control;
    if (name == "agent")
        return platform::duty::agent;
    return std::nullopt;
}

/// Runs a duty and exits without static destructors: that of log4cplus joins
/// its threads and does not always return on the platform. By then every answer
/// and log line is written.
[[noreturn]] auto run_and_exit(platform::host_options const& options) -> void
{
    auto const code = platform::run_host(options);
    std::cout.flush();
    std::quick_exit(code);
}

auto fail(std::string_view cause) -> int
{
    std::cerr << "hickorylatch host: " << cause << '\n';
    return 2;
}

} // namespace

auto host_main(std::span<std::string const> arguments) -> int
{
    auto texts = std::vector<char const*>{"hickorylatch"};
    for (auto const& argument : arguments)
        texts.push_back(argument.c_str());
    auto options = make_options();
    try
    {
        auto const parsed =
            options.parse(static_cast<int>(texts.size()), texts.data());
        if (parsed.count("help") > 0)
        {
            std::cout << options.help();
            return 0;
        }
        if (parsed.count("duty") != 1 || !parsed.unmatched().empty())
            return fail("exactly one of entry, control and agent is required");
        auto const duty = parse_duty(parsed["duty"].as<std::string>());
        if (!duty)
            return fail("the duty is none of entry, control and agent");
        run_and_exit({*duty, parsed["listen-ip"].as<std::string>(),
                      parsed.count("durable-jobs") > 0,
                      parsed.count("separate-interfering-tasks") > 0,
                      parsed.count("await-workers-after-start") > 0});
    }
    catch (std::exception const& error)
    {
        return fail(error.what());
    }
}

} // namespace hickorylatch::program
