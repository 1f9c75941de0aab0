#include "emulator/command_line.hpp"

#include <iostream>
#include <vector>

namespace hickorylatch::emulator
{

auto run_command(cxxopts::Options& options,
                 std::span<std::string const> arguments,
                 std::function<int(cxxopts::ParseResult const&)> const& run)
    -> int
{
    options.add_options()("h,help", "Print this help and exit");
    auto pointers = std::vector<char const*>{""};
    for (auto const& argument : arguments)
        pointers.push_back(argument.c_str());
    try
    {
        auto const parsed =
            options.parse(static_cast<int>(pointers.size()), pointers.data());
        if (parsed.count("help") == 0)
            return run(parsed);
        std::cout << options.help();
        return exit_ok;
    }
    catch (cxxopts::exceptions::exception const& error)
    {
        std::cerr << options.program() << ": " << error.what() << '\n';
        return exit_bad_usage;
    }
}

auto reject(std::string_view reason) -> void
{
    throw cxxopts::exceptions::exception{std::string{reason}};
}

} // namespace hickorylatch::emulator
