#ifndef HICKORYLATCH_EXPERIMENT_COMMAND_HPP
#define HICKORYLATCH_EXPERIMENT_COMMAND_HPP

#include <span>
#include <string>

namespace hickorylatch::experiment
{

/// Runs the queueing experiment with command-line arguments, program name
/// first, and prints its results on standard output. Returns the exit code: 0,
/// or 2 for bad arguments.
auto experiment_main(std::span<std::string const> arguments) -> int;

} // namespace hickorylatch::experiment

#endif
