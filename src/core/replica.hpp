#ifndef HICKORYLATCH_CORE_REPLICA_HPP
#define HICKORYLATCH_CORE_REPLICA_HPP

#include "core/command.hpp"
#include "core/effect.hpp"
#include "core/message.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace hickorylatch::core
{

/// Time limits of the replicated log.
struct replica_settings
{
    duration m_heartbeat = std::chrono::milliseconds{150};
    duration m_election_minimum = std::chrono::milliseconds{1000};
    duration m_election_maximum = std::chrono::milliseconds{1500};
    /// A leader that has not heard from a quorum for this long stops leading.
    duration m_quorum_timeout = std::chrono::milliseconds{600};
};

/// What the data folder holds at start.
struct recovered_state
{
    node_id m_identity = no_node;
    hard_state m_hard_state;
    /// Last snapshot; index 0 if there is none.
    snapshot m_snapshot;
    std::vector<log_entry> m_entries;
};

/// One replica of the replicated log: terms, votes, commits and membership.
/// Knows nothing of what the commands mean.
class replica
{
public:
    replica(replica_settings settings, recovered_state recovered);

    auto start(time_point now, std::uint64_t seed, effects& out) -> void;
    auto tick(time_point now, effects& out) -> void;
    auto receive(time_point now, node_id from, message const& incoming,
                 effects& out) -> void;
    auto synced(time_point now, std::uint64_t write, effects& out) -> void;

    /// Appends a command if this replica leads; returns its index. Commands
    /// proposed between two calls of `flush` share one write.
    auto propose(command proposed) -> std::optional<log_index>;
    /// Writes and replicates what was proposed. Called after each event.
    auto flush(time_point now, effects& out) -> void;

    /// Takes the entries committed since the last call, in order.
    [[nodiscard]] auto take_committed() -> std::vector<log_entry>;
    /// A snapshot received from the leader that replaces the state, if any.
    [[nodiscard]] auto take_installed() -> std::optional<snapshot>;
    /// Hands over the state up to an applied index; older entries are dropped
    /// once it is saved.
    auto compact(log_index upto, std::string data, effects& out) -> void;
    auto snapshot_saved(log_index last) -> void;

    /// Makes this blank replica the first member of a new group.
    auto found(std::uint64_t cluster, std::vector<member> members, effects& out)
        -> void;

    [[nodiscard]] auto is_leader() const -> bool;
    /// True if this replica leads and heard from a quorum lately.
    [[nodiscard]] auto has_quorum(time_point now) const -> bool;
    [[nodiscard]] auto leader() const -> node_id;
    [[nodiscard]] auto term() const -> term_number;
    [[nodiscard]] auto identity() const -> node_id;
    [[nodiscard]] auto cluster() const -> std::uint64_t;
    [[nodiscard]] auto commit_index() const -> log_index;
    [[nodiscard]] auto last_index() const -> log_index;
    [[nodiscard]] auto members() const -> std::span<member const>;
    [[nodiscard]] auto next_deadline() const -> time_point;

private:
    [[nodiscard]] auto is_member() const -> bool;

    replica_settings m_settings;
    node_id m_identity;
    hard_state m_hard;
    std::uint64_t m_cluster = 0;
    std::vector<member> m_members;
    std::deque<log_entry> m_log;
    log_index m_first = 1;
    term_number m_snapshot_term = 0;
    log_index m_commit = 0;
    log_index m_delivered = 0;
    log_index m_written = 0;
    log_index m_synced = 0;
    std::uint64_t m_writes = 0;
    std::deque<std::pair<std::uint64_t, log_index>> m_outstanding;
    bool m_is_leader = false;
};

} // namespace hickorylatch::core

#endif
