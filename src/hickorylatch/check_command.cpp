#include "hickorylatch/check_command.hpp"

#include "hickorylatch/settings_file.hpp"

#include <iostream>

namespace hickorylatch::program
{

auto check_main(std::span<std::string const> arguments) -> int
{
    auto const options = parse_settings_options(
        "check", "Validates settings files and lists every error.", arguments);
    if (options.m_exit_code)
        return *options.m_exit_code;
    auto is_valid = true;
    for (auto const& file : options.m_files)
    {
        if (read_settings(file))
            std::cout << file << ": valid\n";
        else
            is_valid = false;
    }
    return is_valid ? 0 : 1;
}

} // namespace hickorylatch::program
