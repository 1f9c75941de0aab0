#ifndef HICKORYLATCH_HICKORYLATCH_CTL_COMMAND_HPP
#define HICKORYLATCH_HICKORYLATCH_CTL_COMMAND_HPP

#include <span>
#include <string>

namespace hickorylatch::program
{

/// `hickorylatch ctl`. Returns the exit code: 0 done, 1 refused or failed
/// without effect, 2 wrong usage, 3 outcome unknown.
auto ctl_main(std::span<std::string const> arguments) -> int;

} // namespace hickorylatch::program

#endif
