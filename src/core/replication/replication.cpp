#include "core/replication/replication.hpp"

#include "core/replication/membership.hpp"

#include <algorithm>
#include <utility>

namespace hickorylatch::core
{

namespace
{

constexpr auto distant_past = time_point{-std::chrono::hours{24 * 365 * 100}};

// Maximum number of unacknowledged entries per follower. Limits what a link
// buffers for a follower that has stopped reading.
constexpr auto window_entries = log_index{20'000};
constexpr auto entries_per_message = std::size_t{1'000};
// Keeps messages of several entries well below the frame limit.
constexpr auto bytes_per_message = std::size_t{1} << 20U;

auto copy_entries(replica_log const& log, log_index from)
    -> std::vector<log_entry>
{
    auto taken = std::vector<log_entry>{};
    auto bytes = std::size_t{0};
    for (auto index = from;
         index <= log.last_index() && taken.size() < entries_per_message &&
         bytes < bytes_per_message;
         ++index)
    {
        taken.push_back(log.at(index));
        bytes += content_size(taken.back().m_command);
    }
    return taken;
}

} // namespace

replication::replication(replication_settings settings) : m_settings{settings}
{
}

auto replication::start(std::span<member const> members, node_id self,
                        log_index last) -> void
{
    m_followers.clear();
    update_members(members, self, last);
}

auto replication::update_members(std::span<member const> members, node_id self,
                                 log_index last) -> void
{
    std::erase_if(m_followers,
                  [&](auto const& each)
                  {
                      return !is_member(members, each.first);
                  });
    for (auto const& each : members)
        if (each.m_node != self)
            m_followers.try_emplace(each.m_node,
                                    progress{.m_next_index = last + 1,
                                             .m_window_start = last,
                                             .m_last_contact = distant_past,
                                             .m_last_sent = distant_past,
                                             .m_reset_at = distant_past,
                                             .m_sending_snapshot = nullptr});
}

auto replication::stop() -> void
{
    m_followers.clear();
}

auto replication::record_contact(node_id from, time_point sent_at) -> void
{
    if (auto const found = m_followers.find(from); found != m_followers.end())
        found->second.m_last_contact =
            std::max(found->second.m_last_contact, sent_at);
}

auto replication::handle(time_point now, node_id from,
                         append_reply const& reply, replica_log const& log)
    -> void
{
    auto const found = m_followers.find(from);
    if (found == m_followers.end() || reply.m_index > log.last_index())
        return;
    record_contact(from, reply.m_sent_at);
    auto& follower = found->second;
    if (!reply.m_matched)
        return handle_rejection(now, follower, reply, log);
    follower.m_match_index = std::max(follower.m_match_index, reply.m_index);
    follower.m_next_index =
        std::max(follower.m_next_index, follower.m_match_index + 1);
    follower.m_window_start =
        std::max(follower.m_window_start, follower.m_match_index);
    if (follower.m_sending_snapshot &&
        follower.m_match_index >= follower.m_sending_snapshot->m_last_index)
        follower.m_sending_snapshot = nullptr;
}

auto replication::handle_rejection(time_point now, progress& follower,
                                   append_reply const& reply,
                                   replica_log const& log) -> void
{
    if (reply.m_sent_at < follower.m_reset_at)
        return;
    follower.m_reset_at = now;
    if (follower.m_sending_snapshot)
    {
        // All parts had arrived, but the follower restarted before it saved
        // the snapshot.
        if (follower.m_snapshot_offset ==
            follower.m_sending_snapshot->m_data.size())
        {
            follower.m_snapshot_offset = 0;
            follower.m_is_part_due = true;
        }
        return;
    }
    follower.m_next_index =
        std::max(follower.m_match_index + 1,
                 std::min(follower.m_next_index, reply.m_index + 1));
    follower.m_window_start = follower.m_next_index - 1;
    if (!reply.m_is_blank && follower.m_next_index >= log.first_index())
        return;
    follower.m_sending_snapshot = log.latest_snapshot();
    follower.m_snapshot_offset = 0;
    follower.m_is_part_due = true;
}

auto replication::handle(time_point now, node_id from,
                         install_reply const& reply) -> void
{
    auto const found = m_followers.find(from);
    if (found == m_followers.end())
        return;
    record_contact(from, reply.m_sent_at);
    auto& follower = found->second;
    if (!follower.m_sending_snapshot ||
        follower.m_sending_snapshot->m_last_index != reply.m_last_index ||
        reply.m_next_offset == follower.m_snapshot_offset ||
        reply.m_next_offset > follower.m_sending_snapshot->m_data.size())
        return;
    follower.m_snapshot_offset = reply.m_next_offset;
    follower.m_reset_at = now;
    follower.m_is_part_due = true;
}

auto replication::send_due(time_point now, replica_log const& log,
                           log_index commit, effects& out) -> void
{
    for (auto& [node, follower] : m_followers)
    {
        if (!follower.m_sending_snapshot &&
            follower.m_next_index < log.first_index())
        {
            follower.m_sending_snapshot = log.latest_snapshot();
            follower.m_snapshot_offset = 0;
            follower.m_is_part_due = true;
        }
        if (follower.m_sending_snapshot)
            send_snapshot(now, node, follower, log, commit, out);
        else
            send_entries(now, node, follower, log, commit, out);
    }
}

auto replication::send_snapshot(time_point now, node_id to, progress& follower,
                                replica_log const& log, log_index commit,
                                effects& out) -> void
{
    if (!follower.m_is_part_due && !is_heartbeat_due(now, follower))
        return;
    follower.m_is_part_due = false;
    follower.m_last_sent = now;
    auto const& sent = *follower.m_sending_snapshot;
    auto const size = sent.m_data.size();
    if (size != 0 && follower.m_snapshot_offset == size)
    {
        // All parts have arrived; the follower still has to save them.
        auto request = append_request{};
        request.m_term = log.current_hard_state().m_term;
        request.m_previous_index = sent.m_last_index;
        request.m_previous_term = sent.m_last_term;
        request.m_commit = commit;
        request.m_sent_at = now;
        out.emplace_back(send{to, std::move(request)});
        return;
    }
    auto part = install_snapshot{};
    part.m_term = log.current_hard_state().m_term;
    part.m_last_index = sent.m_last_index;
    part.m_last_term = sent.m_last_term;
    part.m_offset = follower.m_snapshot_offset;
    part.m_data = sent.m_data.substr(follower.m_snapshot_offset,
                                     m_settings.m_snapshot_part_bytes);
    part.m_is_last = part.m_offset + part.m_data.size() == size;
    part.m_sent_at = now;
    part.m_cluster = sent.m_cluster;
    part.m_members = sent.m_members;
    out.emplace_back(send{to, std::move(part)});
}

auto replication::send_entries(time_point now, node_id to, progress& follower,
                               replica_log const& log, log_index commit,
                               effects& out) -> void
{
    auto const is_silent =
        now - follower.m_last_contact >= m_settings.m_silence_timeout;
    auto const may_send = [&]
    {
        return !is_silent && follower.m_next_index <= log.last_index() &&
               follower.m_next_index <=
                   follower.m_window_start + window_entries;
    };
    while (may_send() || is_heartbeat_due(now, follower))
    {
        auto request = append_request{};
        request.m_term = log.current_hard_state().m_term;
        request.m_previous_index = follower.m_next_index - 1;
        request.m_previous_term =
            log.term_at(request.m_previous_index).value_or(0);
        if (may_send())
            request.m_entries = copy_entries(log, follower.m_next_index);
        request.m_commit = commit;
        request.m_sent_at = now;
        follower.m_next_index += request.m_entries.size();
        follower.m_last_sent = now;
        out.emplace_back(send{to, std::move(request)});
    }
}

auto replication::match_index(node_id follower) const -> log_index
{
    auto const found = m_followers.find(follower);
    return found == m_followers.end() ? 0 : found->second.m_match_index;
}

auto replication::quorum_match_index(std::span<member const> members,
                                     node_id self, log_index synced) const
    -> log_index
{
    return quorum_value(members,
                        [&](node_id node)
                        {
                            return node == self ? synced : match_index(node);
                        });
}

auto replication::quorum_contact_at(std::span<member const> members,
                                    node_id self) const -> time_point
{
    return quorum_value(members,
                        [&](node_id node)
                        {
                            auto const found = m_followers.find(node);
                            if (found != m_followers.end())
                                return found->second.m_last_contact;
                            return node == self ? never : distant_past;
                        });
}

auto replication::deadline() const -> time_point
{
    auto earliest = never;
    for (auto const& [node, follower] : m_followers)
        earliest = std::min(earliest, follower.m_last_sent +
                                          m_settings.m_heartbeat_interval);
    return earliest;
}

auto replication::is_heartbeat_due(time_point now,
                                   progress const& follower) const -> bool
{
    return now - follower.m_last_sent >= m_settings.m_heartbeat_interval;
}

} // namespace hickorylatch::core
