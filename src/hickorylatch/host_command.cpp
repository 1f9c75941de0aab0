#include "hickorylatch/host_command.hpp"

#include "platform/host.hpp"

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
        return platform::run_host(platform::duty::entry);
    if (wanted == "control")
        return platform::run_host(platform::duty::control);
    if (wanted == "agent")
        return platform::run_host(platform::duty::agent);
    std::cerr << usage;
    return 2;
}

} // namespace hickorylatch::program
