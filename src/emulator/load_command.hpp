#ifndef HICKORYLATCH_EMULATOR_LOAD_COMMAND_HPP
#define HICKORYLATCH_EMULATOR_LOAD_COMMAND_HPP

#include <span>
#include <string>

namespace hickorylatch::emulator
{

/// Sends an open-loop load to entries and prints a summary. `arguments`
/// excludes the names of the program and the command. Returns the exit code: 0
/// success, 1 if an answer belonged to another request or too few requests
/// succeeded, 2 bad usage.
[[nodiscard]] auto load_main(std::span<std::string const> arguments) -> int;

} // namespace hickorylatch::emulator

#endif
