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

/// Limits of what a leader sends.
struct replication_settings
{
    duration m_heartbeat{0};
    /// A follower silent for this long gets heartbeats only.
    duration m_silence{0};
    /// Bytes of snapshot data in one message.
    std::size_t m_snapshot_part = 0;
};

/// The leader's view of its followers: what each holds, when it was heard and
/// what is sent next.
class replication
{
public:
    explicit replication(replication_settings settings);

    /// Starts a term of leadership with nothing known of the followers.
    auto start(std::span<member const> members, node_id self, log_index last)
        -> void;
    /// Follows a change of the membership.
    auto update(std::span<member const> members, node_id self, log_index last)
        -> void;
    auto stop() -> void;

    /// A message that was sent at this time has been answered.
    auto heard(node_id from, time_point sent_at) -> void;
    auto handle(time_point now, node_id from, append_reply const& reply,
                replica_log const& log) -> void;
    auto handle(time_point now, node_id from, install_reply const& reply)
        -> void;

    /// Sends each follower what it lacks, or a heartbeat if one is due.
    auto send_due(time_point now, replica_log const& log, log_index commit,
                  effects& out) -> void;

    /// Last index known to be synced at a follower.
    [[nodiscard]] auto match(node_id follower) const -> log_index;
    /// Last index that is synced at a majority, with the leader's own.
    [[nodiscard]] auto agreed_index(std::span<member const> members,
                                    node_id self, log_index synced) const
        -> log_index;
    /// When a majority was last heard: the send time of what it answered;
    /// `never` if the leader is the only voter.
    [[nodiscard]] auto quorum_heard_at(std::span<member const> members,
                                       node_id self) const -> time_point;
    /// When the next heartbeat is due.
    [[nodiscard]] auto deadline() const -> time_point;

private:
    struct progress
    {
        log_index m_match = 0;
        log_index m_next = 1;
        /// Entries after this one count as unacknowledged.
        log_index m_window_start = 0;
        time_point m_heard;
        time_point m_sent;
        /// Refusals of messages sent before this are stale.
        time_point m_reset;
        /// Being sent, if set.
        std::shared_ptr<snapshot const> m_snapshot;
        /// Start of the part in flight; the size once all has arrived.
        std::uint64_t m_offset = 0;
        bool m_is_part_due = false;
    };

    static auto refused(time_point now, progress& follower,
                        append_reply const& reply, replica_log const& log)
        -> void;
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
