#ifndef HICKORYLATCH_EMULATOR_COMMAND_LINE_HPP
#define HICKORYLATCH_EMULATOR_COMMAND_LINE_HPP

#include <cxxopts.hpp>

#include <functional>
#include <span>
#include <string>
#include <string_view>

namespace hickorylatch::emulator
{

inline constexpr auto exit_ok = 0;
inline constexpr auto exit_failed = 1;
inline constexpr auto exit_bad_usage = 2;

/// Parses the arguments of a command and runs it with them; `--help` prints the
/// options instead. An exception of the parser, or one that the command throws
/// for an invalid value (`cxxopts::exceptions::exception`), is printed and
/// makes `exit_bad_usage` the result.
[[nodiscard]] auto
run_command(cxxopts::Options& options, std::span<std::string const> arguments,
            std::function<int(cxxopts::ParseResult const&)> const& run) -> int;

/// Reports an invalid value of an option to `run_command`.
[[noreturn]] auto reject(std::string_view what) -> void;

} // namespace hickorylatch::emulator

#endif
