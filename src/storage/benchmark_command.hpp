#ifndef HICKORYLATCH_STORAGE_BENCHMARK_COMMAND_HPP
#define HICKORYLATCH_STORAGE_BENCHMARK_COMMAND_HPP

#include <span>
#include <string>

namespace hickorylatch::storage
{

/// Measures group commit against one sync for each record, the size of the log
/// and the time of recovery; prints one JSON object. Arguments are those of
/// the command line without the program's name. Returns the exit code.
[[nodiscard]] auto
storage_benchmark_main(std::span<std::string const> arguments) -> int;

} // namespace hickorylatch::storage

#endif
