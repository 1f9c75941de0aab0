#include "hickorylatch/host_command.hpp"

#include "platform/host.hpp"

#include <cstdlib>
#include <iostream>
#include <string_view>

namespace hickorylatch::program
{

namespace
{

constexpr auto usage =
    "Usage: hickorylatch host entry|control|agent\n\n"
    "Runs one process on a machine of the users' platform until SIGTERM. The\n"
    "platform writes its settings and names the file in HICKORYLATCH_BOOT.\n";

/// Runs a duty and ends the process. log4cplus joins its threads in a static
/// destructor, which has been seen not to return on the platform; by then every
/// answer and log line is written.
[[noreturn]] auto run_and_exit(platform::duty wanted) -> void
{
    auto const code = platform::run_host(wanted);
    std::cout.flush();
    std::quick_exit(code);
}

} // namespace

auto host_main(std::span<std::string const> arguments) -> int
{
    auto const wanted = arguments.size() == 1
                            ? std::string_view{arguments.front()}
                            : std::string_view{};
    if (wanted == "--help" || wanted == "-h")
    {
        std::cout << usage;
        return 0;
    }
    if (wanted == "entry")
        run_and_exit(platform::duty::entry);
    if (wanted == "control")
        run_and_exit(platform::duty::control);
    if (wanted == "agent")
        run_and_exit(platform::duty::agent);
    std::cerr << usage;
    return 2;
}

} // namespace hickorylatch::program
