#ifndef HICKORYLATCH_CORE_REPLICATION_REPLICA_HPP
#define HICKORYLATCH_CORE_REPLICATION_REPLICA_HPP

#include "core/model/command.hpp"
#include "core/model/effect.hpp"
#include "core/model/message.hpp"
#include "core/replication/election.hpp"
#include "core/replication/replica_log.hpp"
#include "core/replication/replication.hpp"
#include "core/replication/snapshot_store.hpp"

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hickorylatch::core
{

/// Timeouts and size limits of the replicated log.
struct replica_settings
{
    duration m_heartbeat_interval = std::chrono::milliseconds{150};
    duration m_election_minimum = std::chrono::milliseconds{1000};
    duration m_election_maximum = std::chrono::milliseconds{1500};
    /// Limits of the election timeout from the start until the first contact
    /// with a leader; 0 for the ones above. See `election::set_first_timeout`.
    duration m_first_election_minimum{0};
    duration m_first_election_maximum{0};
    /// A leader without contact with a quorum for this long steps down.
    duration m_quorum_timeout = std::chrono::milliseconds{600};
    /// Bytes of snapshot data in one message.
    std::size_t m_snapshot_part_bytes = std::size_t{1} << 18U;
    /// Maximum number of entries that a learner may lack when it becomes a
    /// voter. Under load some of the last entries are always in transit.
    log_index m_promotion_lag_limit = 1'000;
};

/// One replica of the replicated log (Raft): terms, votes, commits and
/// membership. Does not interpret the commands. `start`, `tick`, `receive` and
/// `synced` end with a `flush`; after any other change the caller has to flush.
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
    /// proposed between two calls of `flush` share one write. A membership
    /// change that `check_members` rejects is not appended.
    auto propose(command proposed) -> std::optional<log_index>;
    /// The reason why a change to these members would be rejected now; empty
    /// if it would be accepted.
    [[nodiscard]] auto check_members(std::span<member const> proposed) const
        -> std::string_view;
    /// Writes and replicates the proposed commands. Called after each event.
    auto flush(time_point now, effects& out) -> void;

    /// Takes the snapshot from the leader that replaces the state, if there is
    /// one. Must be called before `take_committed`, whose entries follow it.
    [[nodiscard]] auto take_installed_snapshot() -> std::optional<snapshot>;
    /// Takes the entries committed since the last call, in order.
    [[nodiscard]] auto take_committed() -> std::vector<log_entry>;
    /// Steps down and tells the follower that holds most of the log to start an
    /// election. Does nothing if there is no other voter.
    auto transfer_leadership(time_point now, effects& out) -> void;
    /// Saves a snapshot of the state up to an applied index, and then drops the
    /// entries up to it. Does nothing while a received snapshot is being saved.
    auto compact(log_index up_to, std::string data, effects& out) -> void;
    auto snapshot_saved(log_index last) -> void;

    /// Makes this blank replica an initial member of a new group, which exists
    /// once its snapshot is saved. Does nothing if the replica has a group or
    /// is not one of the members. The other members are informed again with
    /// each pre-vote.
    auto bootstrap(std::uint64_t cluster, std::vector<member> members,
                   effects& out) -> void;

    [[nodiscard]] auto is_leader() const -> bool;
    /// True if this replica leads, has committed the first entry of its term
    /// and had contact with a quorum within the quorum timeout.
    [[nodiscard]] auto has_quorum(time_point now) const -> bool;
    /// Send time of the last message that a majority has answered; `never` if
    /// this leader is the only voter. Valid only while this replica leads.
    [[nodiscard]] auto quorum_contact_at() const -> time_point;
    /// The leader of the current term; `no_node` if not known.
    [[nodiscard]] auto leader() const -> node_id;
    [[nodiscard]] auto term() const -> term_number;
    [[nodiscard]] auto identity() const -> node_id;
    /// Identifier of the group; 0 for a blank replica.
    [[nodiscard]] auto cluster() const -> std::uint64_t;
    [[nodiscard]] auto commit_index() const -> log_index;
    [[nodiscard]] auto last_index() const -> log_index;
    /// The latest membership in the log, committed or not.
    [[nodiscard]] auto members() const -> std::span<member const>;
    [[nodiscard]] auto next_deadline() const -> time_point;

private:
    /// A message that is sent once a write is synced.
    struct deferred_message
    {
        std::uint64_t m_write = 0;
        node_id m_to = no_node;
        message m_message;
    };

    auto handle(time_point now, node_id from, vote_request const& request,
                effects& out) -> void;
    auto handle(time_point now, node_id from, vote_reply const& reply,
                effects& out) -> void;
    auto handle(time_point now, node_id from, append_request const& request,
                effects& out) -> void;
    auto handle(time_point now, node_id from, append_reply const& reply,
                effects& out) -> void;
    auto handle(time_point now, node_id from, install_snapshot const& part,
                effects& out) -> void;
    auto handle(time_point now, node_id from, install_reply const& reply,
                effects& out) -> void;
    auto handle(time_point now, node_id from, found_group const& founding,
                effects& out) -> void;
    auto handle(time_point now, node_id from, core::hand_over const& order,
                effects& out) -> void;

    auto send_after(std::uint64_t write, node_id to, message content,
                    effects& out) -> void;
    /// Sends once the current term and vote are synced.
    auto respond(node_id to, message content, effects& out) -> void;
    auto send_to_voters(message const& content, effects& out) -> void;

    auto begin_pre_vote(time_point now, effects& out) -> void;
    auto begin_vote(time_point now, bool is_transfer, effects& out) -> void;
    auto count_vote(time_point now, node_id voter, effects& out) -> void;
    auto become_leader(time_point now) -> void;
    auto step_down(time_point now) -> void;
    auto check_quorum(time_point now) -> void;
    auto adopt_term(time_point now, term_number term) -> void;
    auto follow(time_point now, node_id leader, term_number term) -> void;
    auto advance_commit(time_point now) -> void;

    auto install(snapshot received, effects& out) -> void;
    auto finish_installation(time_point now, effects& out) -> void;

    [[nodiscard]] auto may_campaign() const -> bool;
    [[nodiscard]] auto is_up_to_date(vote_request const& request) const -> bool;
    [[nodiscard]] auto has_recent_quorum_contact(time_point now) const -> bool;

    replica_settings m_settings;
    node_id m_identity;
    replica_log m_log;
    election m_election;
    replication m_replication;
    snapshot_store m_snapshots;
    std::vector<deferred_message> m_deferred_messages;
    /// A snapshot from the leader or of a new group was saved and is handled
    /// by the next `flush`.
    bool m_has_installed_snapshot = false;
    std::optional<snapshot> m_installed_snapshot;
    log_index m_commit_index;
    log_index m_delivered_index;
    /// Index of the first entry of the term that this replica leads.
    log_index m_term_start_index = 0;
    bool m_is_leader = false;
    node_id m_leader = no_node;
};

} // namespace hickorylatch::core

#endif
