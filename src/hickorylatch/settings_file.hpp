#ifndef HICKORYLATCH_HICKORYLATCH_SETTINGS_FILE_HPP
#define HICKORYLATCH_HICKORYLATCH_SETTINGS_FILE_HPP

#include "settings/settings.hpp"

#include <boost/leaf/result.hpp>

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hickorylatch::program
{

/// Command line of the subcommands that take settings files.
struct settings_options
{
    std::vector<std::string> m_files;
    /// Exit code if the subcommand has nothing more to do, after `--help` or an
    /// error.
    std::optional<int> m_exit_code;
};

/// Parses `--settings FILE`, `--help` and file names. Prints help or errors.
[[nodiscard]] auto
parse_settings_options(std::string_view subcommand, std::string_view summary,
                       std::span<std::string const> arguments)
    -> settings_options;

/// Reads and parses a settings file. On failure, prints each error and returns
/// nothing.
[[nodiscard]] auto read_settings(std::string const& file)
    -> std::optional<settings::settings>;

} // namespace hickorylatch::program

#endif
