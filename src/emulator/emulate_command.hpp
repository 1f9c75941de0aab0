#ifndef HICKORYLATCH_EMULATOR_EMULATE_COMMAND_HPP
#define HICKORYLATCH_EMULATOR_EMULATE_COMMAND_HPP

#include <span>
#include <string>

namespace hickorylatch::emulator
{

/// Emulates endpoints or workers until SIGTERM or SIGINT, then waits for
/// running tasks to end; a second signal exits immediately. `arguments`
/// excludes the names of the program and the command. Returns the exit code: 0
/// graceful stop, 1 failure or immediate exit, 2 bad usage.
[[nodiscard]] auto emulate_main(std::span<std::string const> arguments) -> int;

} // namespace hickorylatch::emulator

#endif
