#ifndef HICKORYLATCH_BENCHMARKS_SLOPE_PROCESSES_HPP
#define HICKORYLATCH_BENCHMARKS_SLOPE_PROCESSES_HPP

#include <boost/json/object.hpp>

#include <cstddef>

namespace hickorylatch::benchmarks
{

/// Heap bytes of a control state that retains the keys of this many ended
/// submissions, each of `tasks` tasks.
[[nodiscard]] auto retained_key_memory(std::size_t tasks, std::size_t count)
    -> double;

/// Heap bytes that an entry needs for this many waiting requests.
[[nodiscard]] auto entry_memory(std::size_t count) -> double;
/// CPU time in microseconds that an entry needs for this many requests, from
/// the parsed request to the decoded answer, without HTTP.
[[nodiscard]] auto entry_cpu(std::size_t count) -> double;

/// Heap bytes that an agent needs for this many running attempts.
[[nodiscard]] auto agent_memory(std::size_t count) -> double;
/// CPU time in microseconds that an agent needs for this many starts, from the
/// encoded start to the encoded report and the `forget` message, without the
/// call itself.
[[nodiscard]] auto agent_cpu(std::size_t count) -> double;
/// CPU time in microseconds that an agent needs to apply this many
/// configurations.
[[nodiscard]] auto apply_configuration_cpu(std::size_t count) -> double;

/// CPU time in microseconds that the leader needs to encode the two log entries
/// of a job, acceptance and end, for one follower.
[[nodiscard]] auto append_cpu(std::size_t tasks) -> double;
/// CPU time in microseconds that a follower needs to decode the same entries,
/// encode them for its log and apply them.
[[nodiscard]] auto follower_cpu(std::size_t tasks) -> double;

/// Encoded size of each message with typical contents, by name.
[[nodiscard]] auto message_bytes() -> boost::json::object;

} // namespace hickorylatch::benchmarks

#endif
