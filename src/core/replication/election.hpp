#ifndef HICKORYLATCH_CORE_REPLICATION_ELECTION_HPP
#define HICKORYLATCH_CORE_REPLICATION_ELECTION_HPP

#include "core/model/time.hpp"
#include "core/replication/membership.hpp"

#include <cstdint>
#include <random>
#include <set>
#include <span>

namespace hickorylatch::core
{

enum class election_phase : std::uint8_t
{
    idle,
    probing, ///< Asks whether votes would be given (pre-vote).
    voting   ///< Asks for votes in its own new term.
};

/// Election timer of one replica and the votes of its present round.
class election
{
public:
    /// The timeout is drawn anew each time between the two limits.
    election(duration minimum, duration maximum);

    /// Until a leader is heard, the timeout is drawn from these limits, and
    /// votes are given at once. Only for groups whose leaders serve nothing by
    /// a lease: a leader that this replica followed before its restart may
    /// still count on it.
    auto hasten_first(duration minimum, duration maximum) -> void;
    auto start(time_point now, std::uint64_t seed) -> void;
    /// A leader was heard: ends the round and restarts the timer.
    auto heard_leader(time_point now) -> void;
    /// Restarts the timer.
    auto postpone(time_point now) -> void;
    /// Lets the timer expire at once.
    auto expire(time_point now) -> void;
    auto begin(time_point now, election_phase phase) -> void;
    auto stop() -> void;

    /// Counts a vote of the present round.
    auto grant(node_id voter) -> void;
    [[nodiscard]] auto has_granted(node_id voter) const -> bool;
    [[nodiscard]] auto is_won(std::span<member const> members) const -> bool;

    [[nodiscard]] auto phase() const -> election_phase;
    /// When the present round began; names the round in requests and replies.
    [[nodiscard]] auto round() const -> time_point;
    [[nodiscard]] auto deadline() const -> time_point;
    /// True if a leader was heard so lately that no vote may be given.
    [[nodiscard]] auto is_quiet(time_point now) const -> bool;

private:
    [[nodiscard]] auto draw() -> duration;

    duration m_minimum;
    duration m_maximum;
    duration m_first_minimum{0};
    duration m_first_maximum{0};
    bool m_has_heard_leader = false;
    std::minstd_rand m_random;
    election_phase m_phase = election_phase::idle;
    time_point m_round{0};
    time_point m_deadline = never;
    time_point m_quiet_until{0};
    std::set<node_id> m_granted;
};

} // namespace hickorylatch::core

#endif
