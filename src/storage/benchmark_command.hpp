#ifndef HICKORYLATCH_STORAGE_BENCHMARK_COMMAND_HPP
#define HICKORYLATCH_STORAGE_BENCHMARK_COMMAND_HPP

#include <span>
#include <string>

namespace hickorylatch::storage
{

/// Compares group commit with one sync per record, measures log size and
/// recovery time, and prints the results as one JSON object. The arguments are
/// those of the command line without the program name. Returns the exit code.
[[nodiscard]] auto
storage_benchmark_main(std::span<std::string const> arguments) -> int;

} // namespace hickorylatch::storage

#endif
