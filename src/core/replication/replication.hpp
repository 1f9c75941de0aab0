#ifndef HICKORYLATCH_CORE_REPLICATION_REPLICATION_HPP
#define HICKORYLATCH_CORE_REPLICATION_REPLICATION_HPP

#include "core/model/effect.hpp"
#include "core/model/message.hpp"
#include "core/model/time.hpp"
#include "core/replication/replica_log.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <span>

namespace hickorylatch::core
{

/// Limits for the messages of a leader.
struct replication_settings
{
    duration m_heartbeat_interval{0};
    /// A follower without contact for this long receives only heartbeats.
    duration m_silence_timeout{0};
    /// Bytes of snapshot data in one message.
    std::size_t m_snapshot_part_bytes = 0;
};

/// The leader's view of its followers: what each of them holds, the time of the
/// last contact and what is sent next.
class replication
{
public:
    explicit replication(replication_settings settings);

    /// Starts a term of leadership, in which nothing is known about the
    /// followers yet.
    auto start(std::span<member const> members, node_id self, log_index last)
        -> void;
    /// Adds and removes followers after a membership change.
    auto update_members(std::span<member const> members, node_id self,
                        log_index last) -> void;
    auto stop() -> void;

    /// Records an answer to a message that was sent at this time.
    auto record_contact(node_id from, time_point sent_at) -> void;
    auto handle(time_point now, node_id from, append_reply const& reply,
                replica_log const& log) -> void;
    auto handle(time_point now, node_id from, install_reply const& reply)
        -> void;

    /// Sends each follower the entries that it lacks, or a heartbeat if one is
    /// due.
    auto send_due(time_point now, replica_log const& log, log_index commit,
                  effects& out) -> void;

    /// Last index known to be synced at a follower.
    [[nodiscard]] auto match_index(node_id follower) const -> log_index;
    /// Last index that is synced at a majority of the voters. For the leader
    /// itself, `synced` counts.
    [[nodiscard]] auto quorum_match_index(std::span<member const> members,
                                          node_id self, log_index synced) const
        -> log_index;
    /// Send time of the last message that a majority has answered; `never` if
    /// the leader is the only voter.
    [[nodiscard]] auto quorum_contact_at(std::span<member const> members,
                                         node_id self) const -> time_point;
    /// Time of the next heartbeat.
    [[nodiscard]] auto deadline() const -> time_point;

private:
    struct progress
    {
        log_index m_match_index = 0;
        log_index m_next_index = 1;
        /// Entries after this index count as unacknowledged.
        log_index m_window_start = 0;
        time_point m_last_contact;
        time_point m_last_sent;
        /// Rejections of messages sent before this time are stale.
        time_point m_reset_at;
        /// Set while a snapshot is sent.
        std::shared_ptr<snapshot const> m_sending_snapshot;
        /// Start of the part in transit; the size of the data once all parts
        /// have arrived.
        std::uint64_t m_snapshot_offset = 0;
        bool m_is_part_due = false;
    };

    static auto handle_rejection(time_point now, progress& follower,
                                 append_reply const& reply,
                                 replica_log const& log) -> void;
    auto send_snapshot(time_point now, node_id to, progress& follower,
                       replica_log const& log, log_index commit, effects& out)
        -> void;
    auto send_entries(time_point now, node_id to, progress& follower,
                      replica_log const& log, log_index commit, effects& out)
        -> void;
    [[nodiscard]] auto is_heartbeat_due(time_point now,
                                        progress const& follower) const -> bool;

    replication_settings m_settings;
    std::map<node_id, progress> m_followers;
};

} // namespace hickorylatch::core

#endif
