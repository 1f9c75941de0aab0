#ifndef HICKORYLATCH_EMULATOR_EMULATE_COMMAND_HPP
#define HICKORYLATCH_EMULATOR_EMULATE_COMMAND_HPP

#include <span>
#include <string>

namespace hickorylatch::emulator
{

/// Runs stand-ins for endpoints or workers until SIGTERM or SIGINT, then lets
/// running tasks end. A second signal ends at once. Arguments come without the
/// names of the program and the command. Exit code: 0 graceful stop, 1 failed
/// or ended at once, 2 bad usage.
[[nodiscard]] auto emulate_main(std::span<std::string const> arguments) -> int;

} // namespace hickorylatch::emulator

#endif
