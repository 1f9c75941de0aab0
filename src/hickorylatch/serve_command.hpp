#ifndef HICKORYLATCH_HICKORYLATCH_SERVE_COMMAND_HPP
#define HICKORYLATCH_HICKORYLATCH_SERVE_COMMAND_HPP

#include <span>
#include <string>

namespace hickorylatch::program
{

/// `hickorylatch serve`. Returns the exit code.
auto serve_main(std::span<std::string const> arguments) -> int;

} // namespace hickorylatch::program

#endif
