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

/// Parses the arguments of a command and runs it with them, or prints the
/// options for `--help`. If the parser or the command throws a
/// `cxxopts::exceptions::exception`, prints it and returns `exit_bad_usage`.
[[nodiscard]] auto
run_command(cxxopts::Options& options, std::span<std::string const> arguments,
            std::function<int(cxxopts::ParseResult const&)> const& run) -> int;

/// Throws the exception that `run_command` reports as bad usage.
[[noreturn]] auto reject(std::string_view reason) -> void;

} // namespace hickorylatch::emulator

#endif
