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
    pre_voting, ///< Asks whether votes would be granted.
    voting      ///< Requests votes in a new term of its own.
};

/// Election timer of one replica and the votes of its current round.
class election
{
public:
    /// Each timeout is chosen at random between the two limits.
    election(duration minimum, duration maximum);

    /// Until the first contact with a leader, uses these limits for the timeout
    /// and grants votes at once. Only for groups whose leaders serve nothing
    /// under a lease: a leader that this replica followed before its restart
    /// may still rely on it not to vote.
    auto set_first_timeout(duration minimum, duration maximum) -> void;
    auto start(time_point now, std::uint64_t seed) -> void;
    /// Ends the round and restarts the timer after a message from the leader.
    auto record_leader_contact(time_point now) -> void;
    /// Restarts the timer with a new random timeout.
    auto restart_timer(time_point now) -> void;
    /// Makes the timer expire at once.
    auto expire_timer(time_point now) -> void;
    auto begin_round(time_point now, election_phase phase) -> void;
    auto end_round() -> void;

    /// Counts a vote of the current round.
    auto record_vote(node_id voter) -> void;
    [[nodiscard]] auto has_vote_from(node_id voter) const -> bool;
    [[nodiscard]] auto is_won(std::span<member const> members) const -> bool;

    [[nodiscard]] auto phase() const -> election_phase;
    /// Start of the current round; identifies the round in requests and
    /// replies.
    [[nodiscard]] auto round_start() const -> time_point;
    [[nodiscard]] auto deadline() const -> time_point;
    /// True if the last contact with a leader is so recent that no vote may be
    /// granted.
    [[nodiscard]] auto withholds_votes(time_point now) const -> bool;

private:
    [[nodiscard]] auto draw_timeout() -> duration;

    duration m_minimum;
    duration m_maximum;
    duration m_first_minimum{0};
    duration m_first_maximum{0};
    bool m_has_had_leader_contact = false;
    std::minstd_rand m_random;
    election_phase m_phase = election_phase::idle;
    time_point m_round_start{0};
    time_point m_deadline = never;
    time_point m_withhold_votes_until{0};
    std::set<node_id> m_granted_by;
};

} // namespace hickorylatch::core

#endif
