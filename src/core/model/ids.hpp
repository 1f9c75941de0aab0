#ifndef HICKORYLATCH_CORE_MODEL_IDS_HPP
#define HICKORYLATCH_CORE_MODEL_IDS_HPP

#include <boost/describe.hpp>

#include <compare>
#include <cstdint>
#include <functional>

namespace hickorylatch::core
{

/// Identifies a process within the system. For a control replica it is the
/// durable identity of its data folder; for an entry or an agent it is the
/// incarnation, chosen at random at each process start.
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

/// Number of a submission: the term of the leader that received it, then a
/// counter, so that no two leaders assign the same number.
using submission_id = std::uint64_t;

/// Low bits of a submission id that hold the counter within a term. The higher
/// bits hold the term.
inline constexpr auto submission_counter_bits = 40U;

/// Identifies one task of one submission.
struct attempt_id
{
    submission_id m_submission_id = 0;
    std::uint32_t m_task = 0;

    auto operator<=>(attempt_id const&) const = default;
};
BOOST_DESCRIBE_STRUCT(attempt_id, (), (m_submission_id, m_task))

/// Set in the submission id of idempotent requests, which are not committed and
/// exist only in the leader's memory.
inline constexpr auto volatile_submission_bit = submission_id{1} << 63;

[[nodiscard]] constexpr auto is_volatile(attempt_id attempt) -> bool
{
    return (attempt.m_submission_id & volatile_submission_bit) != 0;
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
            attempt.m_submission_id ^ (attempt.m_task * 0x9E3779B97F4A7C15ULL));
    }
};

#endif
