#ifndef HICKORYLATCH_HICKORYLATCH_HOST_COMMAND_HPP
#define HICKORYLATCH_HICKORYLATCH_HOST_COMMAND_HPP

#include <span>
#include <string>

namespace hickorylatch::program
{

/// `hickorylatch host`. Returns the exit code.
auto host_main(std::span<std::string const> arguments) -> int;

} // namespace hickorylatch::program

#endif
