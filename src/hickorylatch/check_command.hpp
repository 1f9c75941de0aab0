#ifndef HICKORYLATCH_HICKORYLATCH_CHECK_COMMAND_HPP
#define HICKORYLATCH_HICKORYLATCH_CHECK_COMMAND_HPP

#include <span>
#include <string>

namespace hickorylatch::program
{

/// `hickorylatch check`. Returns the exit code.
auto check_main(std::span<std::string const> arguments) -> int;

} // namespace hickorylatch::program

#endif
