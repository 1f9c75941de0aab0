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

/// Limits of the replicated log.
struct replica_settings
{
    duration m_heartbeat = std::chrono::milliseconds{150};
    duration m_election_minimum = std::chrono::milliseconds{1000};
    duration m_election_maximum = std::chrono::milliseconds{1500};
    /// Limits of the election timeout from the start until a leader is heard;
    /// 0 for the ones above. See `election::hasten_first`.
    duration m_first_election_minimum{0};
    duration m_first_election_maximum{0};
    /// A leader that has not heard from a quorum for this long stops leading.
    duration m_quorum_timeout = std::chrono::milliseconds{600};
    /// Bytes of snapshot data in one message.
    std::size_t m_snapshot_part = std::size_t{1} << 18U;
    /// Entries that a learner may lack when it is made a voter. Under load the
    /// last entries are always on their way to it.
    log_index m_promotion_lag = 1'000;
};

/// One replica of the replicated log: terms, votes, commits and membership.
/// Knows nothing of what the commands mean. `start`, `tick`, `receive` and
/// `synced` end with a `flush`; after any other change the caller flushes.
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
    /// proposed between two calls of `flush` share one write. A change of the
    /// membership that `check_members` refuses is not appended.
    auto propose(command proposed) -> std::optional<log_index>;
    /// Why this replica would refuse a change to these members now; empty if
    /// it would not.
    [[nodiscard]] auto check_members(std::span<member const> wanted) const
        -> std::string_view;
    /// Writes and replicates what was proposed. Called after each event.
    auto flush(time_point now, effects& out) -> void;

    /// A snapshot received from the leader that replaces the state, if any.
    /// To be taken before the committed entries, which follow it.
    [[nodiscard]] auto take_installed() -> std::optional<snapshot>;
    /// Takes the entries committed since the last call, in order.
    [[nodiscard]] auto take_committed() -> std::vector<log_entry>;
    /// Stops leading and asks the follower that holds most of the log to lead
    /// next. Does nothing if there is none.
    auto hand_over(time_point now, effects& out) -> void;
    /// Hands over the state up to an applied index; older entries are dropped
    /// once it is saved. Does nothing while a received snapshot is being saved.
    auto compact(log_index upto, std::string data, effects& out) -> void;
    auto snapshot_saved(log_index last) -> void;

    /// Makes this blank replica a first member of a new group, which exists
    /// once its snapshot is saved. Does nothing if the replica has a group or
    /// is not one of the members. The others are told again with each election.
    auto found(std::uint64_t cluster, std::vector<member> members, effects& out)
        -> void;

    [[nodiscard]] auto is_leader() const -> bool;
    /// True if this replica leads, has committed the first entry of its term
    /// and heard from a quorum lately.
    [[nodiscard]] auto has_quorum(time_point now) const -> bool;
    /// Send time of the last message that a majority has answered; `never` if
    /// this leader is the only voter. Meaningful while this replica leads.
    [[nodiscard]] auto quorum_heard_at() const -> time_point;
    /// The leader of the present term; `no_node` if not known.
    [[nodiscard]] auto leader() const -> node_id;
    [[nodiscard]] auto term() const -> term_number;
    [[nodiscard]] auto identity() const -> node_id;
    /// Identity of the group; 0 for a blank replica.
    [[nodiscard]] auto cluster() const -> std::uint64_t;
    [[nodiscard]] auto commit_index() const -> log_index;
    [[nodiscard]] auto last_index() const -> log_index;
    /// The membership by the last entry, committed or not.
    [[nodiscard]] auto members() const -> std::span<member const>;
    [[nodiscard]] auto next_deadline() const -> time_point;

private:
    /// A message held back until a write is synced.
    struct held_message
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
    /// Sends once the present term and vote are synced.
    auto respond(node_id to, message content, effects& out) -> void;
    auto send_to_voters(message const& content, effects& out) -> void;

    auto begin_probe(time_point now, effects& out) -> void;
    auto begin_vote(time_point now, bool is_hand_over, effects& out) -> void;
    auto count_vote(time_point now, node_id voter, effects& out) -> void;
    auto lead(time_point now) -> void;
    auto step_down(time_point now) -> void;
    auto check_quorum(time_point now) -> void;
    auto adopt_term(time_point now, term_number term) -> void;
    auto follow(time_point now, node_id leader, term_number term) -> void;
    auto advance_commit(time_point now) -> void;

    auto install(snapshot received, effects& out) -> void;
    auto finish_installation(time_point now, effects& out) -> void;

    [[nodiscard]] auto may_campaign() const -> bool;
    [[nodiscard]] auto is_up_to_date(vote_request const& request) const -> bool;
    [[nodiscard]] auto is_in_touch(time_point now) const -> bool;

    replica_settings m_settings;
    node_id m_identity;
    replica_log m_log;
    election m_election;
    replication m_replication;
    snapshot_store m_snapshots;
    std::vector<held_message> m_held;
    bool m_has_installed = false;
    std::optional<snapshot> m_installed;
    log_index m_commit;
    log_index m_delivered;
    /// Index of the first entry of the term that this replica leads.
    log_index m_term_start = 0;
    bool m_is_leader = false;
    node_id m_leader = no_node;
};

} // namespace hickorylatch::core

#endif
