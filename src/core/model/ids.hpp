#ifndef HICKORYLATCH_CORE_MODEL_IDS_HPP
#define HICKORYLATCH_CORE_MODEL_IDS_HPP

#include <boost/describe.hpp>

#include <compare>
#include <cstdint>
#include <functional>

namespace hickorylatch::core
{

/// Address of a process within the system. For a control replica it is the
/// durable identity of its data folder; for an entry or an agent it is the
/// incarnation, random per process start.
enum class node_id : std::uint64_t
{
};

inline constexpr auto no_node = node_id{0};

/// Leadership term of the replicated log. Starts at 1.
using term_number = std::uint64_t;

/// Position in the replicated log. Starts at 1.
using log_index = std::uint64_t;

/// Version of the configuration. Starts at 0, the empty configuration.
using configuration_version = std::uint64_t;

/// Number of a submission: the term of the leader that took it, then a counter,
/// so that no two leaders give the same one.
using origin_id = std::uint64_t;

/// Bits of an origin that count within a term. The rest hold the term.
inline constexpr auto origin_counter_bits = 40U;

/// Names one task of one submission.
struct attempt_id
{
    origin_id m_origin = 0;
    std::uint32_t m_task = 0;

    auto operator<=>(attempt_id const&) const = default;
};
BOOST_DESCRIBE_STRUCT(attempt_id, (), (m_origin, m_task))

/// Set in the origin of idempotent requests, which are not committed and exist
/// only in the leader's memory.
inline constexpr auto volatile_origin = origin_id{1} << 63;

[[nodiscard]] constexpr auto is_volatile(attempt_id attempt) -> bool
{
    return (attempt.m_origin & volatile_origin) != 0;
}

} // namespace hickorylatch::core

template <>
struct std::hash<hickorylatch::core::attempt_id>
{
    auto operator()(hickorylatch::core::attempt_id attempt) const noexcept
        -> std::size_t
    {
        // Fibonacci hashing spreads the task number over the high bits.
        return std::hash<std::uint64_t>{}(
            attempt.m_origin ^ (attempt.m_task * 0x9E3779B97F4A7C15ULL));
    }
};

#endif
