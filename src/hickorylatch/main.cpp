#include "emulator/emulate_command.hpp"
#include "emulator/load_command.hpp"
#include "experiment/command.hpp"
#include "hickorylatch/check_command.hpp"
#include "hickorylatch/ctl_command.hpp"
#include "hickorylatch/host_command.hpp"
#include "hickorylatch/serve_command.hpp"

#include <array>
#include <functional>
#include <iostream>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace
{

namespace program = hickorylatch::program;

/// One subcommand of the program.
struct subcommand
{
    std::string_view m_name;
    std::string_view m_summary;
    std::function<int(std::span<std::string const>)> m_run;
};

auto run_experiment(std::span<std::string const> arguments) -> int
{
    auto all = std::vector<std::string>{"hickorylatch experiment"};
    all.insert(all.end(), arguments.begin(), arguments.end());
    return hickorylatch::experiment::experiment_main(all);
}

auto subcommands() -> std::vector<subcommand> const&
{
    static auto const all = std::vector<subcommand>{
        {"serve", "run the roles that a settings file names",
         program::serve_main},
        {"host", "run one process on a machine of the users' platform",
         program::host_main},
        {"check", "validate a settings file", program::check_main},
        {"ctl", "operate the system", program::ctl_main},
        {"emulate", "emulate endpoints and workers",
         hickorylatch::emulator::emulate_main},
        {"experiment", "compare dispatch policies under virtual time",
         run_experiment},
        {"load", "send requests at a given rate and report the measurements",
         hickorylatch::emulator::load_main},
    };
    return all;
}

auto print_usage(std::ostream& out) -> void
{
    out << "Usage: hickorylatch SUBCOMMAND [OPTION...]\n\n"
           "Dispatches sub-second tasks to endpoints and workers.\n\n"
           "Subcommands:\n";
    for (auto const& each : subcommands())
        out << "  " << each.m_name << std::string(12 - each.m_name.size(), ' ')
            << each.m_summary << '\n';
    out << "\n'hickorylatch SUBCOMMAND --help' lists its options.\n"
           "Exit codes: 0 success, 1 failure, 2 wrong usage.\n";
}

} // namespace

auto main(int argc, char** argv) -> int
{
    auto const arguments = std::vector<std::string>(argv + 1, argv + argc);
    auto const name = arguments.empty() ? std::string{} : arguments.front();
    if (name == "--version")
    {
        std::cout << "hickorylatch " HICKORYLATCH_VERSION "\n";
        return 0;
    }
    if (name == "--help")
    {
        print_usage(std::cout);
        return 0;
    }
    for (auto const& each : subcommands())
    {
        if (each.m_name == name)
            return each.m_run(std::span{arguments}.subspan(1));
    }
    std::cerr << "hickorylatch: unknown subcommand '" << name << "'\n\n";
    print_usage(std::cerr);
    return 2;
}
