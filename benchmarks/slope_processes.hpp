#ifndef HICKORYLATCH_BENCHMARKS_SLOPE_PROCESSES_HPP
#define HICKORYLATCH_BENCHMARKS_SLOPE_PROCESSES_HPP

#include <boost/json/object.hpp>

#include <cstddef>

namespace hickorylatch::benchmarks
{

/// Heap bytes of a control state with this many ended submissions of one size.
[[nodiscard]] auto kept_key_memory(std::size_t tasks, std::size_t count)
    -> double;

/// Heap bytes of an entry for this many waiting requests.
[[nodiscard]] auto entry_memory(std::size_t count) -> double;
/// CPU time in microseconds of an entry from the parsed request to the decoded
/// answer, for this many requests, without HTTP.
[[nodiscard]] auto entry_cpu(std::size_t count) -> double;

/// Heap bytes of an agent for this many running attempts.
[[nodiscard]] auto agent_memory(std::size_t count) -> double;
/// CPU time in microseconds of an agent from the encoded start to the encoded
/// report and the order to forget it, for this many starts, without the call.
[[nodiscard]] auto agent_cpu(std::size_t count) -> double;
/// CPU time in microseconds of an agent that takes this many configurations.
[[nodiscard]] auto applied_changes_cpu(std::size_t count) -> double;

/// CPU time in microseconds of the leader to encode the log entries of a job,
/// its acceptance and its end, for one follower.
[[nodiscard]] auto append_cpu(std::size_t tasks) -> double;
/// CPU time in microseconds of a follower to decode the same entries, encode
/// them for its log and apply them.
[[nodiscard]] auto follower_cpu(std::size_t tasks) -> double;

/// Encoded bytes of each message at typical contents, by name.
[[nodiscard]] auto message_bytes() -> boost::json::object;

} // namespace hickorylatch::benchmarks

#endif
