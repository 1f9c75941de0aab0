#ifndef HICKORYLATCH_EMULATOR_LOAD_COMMAND_HPP
#define HICKORYLATCH_EMULATOR_LOAD_COMMAND_HPP

#include <span>
#include <string>

namespace hickorylatch::emulator
{

/// Puts an open-loop load on entries and prints a summary. Arguments come
/// without the names of the program and the command. Exit code: 0 ok, 1 if an
/// answer belonged to another request or too few requests succeeded, 2 bad
/// usage.
[[nodiscard]] auto load_main(std::span<std::string const> arguments) -> int;

} // namespace hickorylatch::emulator

#endif
