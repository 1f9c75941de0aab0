#include "hickorylatch/host_command.hpp"

#include "platform/host.hpp"

#include <cstdlib>
#include <iostream>
#include <optional>
#include <string>
#include <string_view>

namespace hickorylatch::program
{

namespace
{

constexpr auto usage =
    "Usage: hickorylatch host entry|control|agent [--listen-ip IP]\n\n"
    "Runs one process on a machine of the users' platform until SIGTERM. The\n"
    "platform writes its settings and names the file in HICKORYLATCH_BOOT.\n\n"
    "  --listen-ip IP  own address, where others reach this machine by "
    "another\n"
    "                  one, that of the settings\n";

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

/// Runs a duty and ends the process. log4cplus joins its threads in a static
/// destructor, which has been seen not to return on the platform; by then every
/// answer and log line is written.
[[noreturn]] auto run_and_exit(platform::duty wanted,
                               std::string const& listen_ip) -> void
{
    auto const code = platform::run_host(wanted, listen_ip);
    std::cout.flush();
    std::quick_exit(code);
}

} // namespace

auto host_main(std::span<std::string const> arguments) -> int
{
    if (arguments.size() == 1 &&
        (arguments[0] == "--help" || arguments[0] == "-h"))
    {
        std::cout << usage;
        return 0;
    }
    auto const has_ip = arguments.size() == 3 && arguments[1] == "--listen-ip";
    auto const wanted = arguments.size() == 1 || has_ip
                            ? parse_duty(arguments[0])
                            : std::nullopt;
    if (wanted)
        run_and_exit(*wanted, has_ip ? arguments[2] : std::string{});
    std::cerr << usage;
    return 2;
}

} // namespace hickorylatch::program
