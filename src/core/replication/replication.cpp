#include "core/replication/replication.hpp"

#include "core/replication/membership.hpp"

#include <algorithm>
#include <utility>

namespace hickorylatch::core
{

namespace
{

constexpr auto long_ago = time_point{-std::chrono::hours{24 * 365 * 100}};

// Entries that may be unacknowledged at one follower. Bounds what a link
// buffers for a follower that stopped reading.
constexpr auto window_entries = log_index{20'000};
constexpr auto entries_per_message = std::size_t{1'000};
// Keeps a message of several entries well below the frame limit.
constexpr auto bytes_per_message = std::size_t{1} << 20U;

auto take_entries(replica_log const& log, log_index from)
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
    update(members, self, last);
}

auto replication::update(std::span<member const> members, node_id self,
                         log_index last) -> void
{
    std::erase_if(m_followers,
                  [&](auto const& each)
                  {
                      return !is_listed(members, each.first);
                  });
    for (auto const& each : members)
        if (each.m_node != self)
            m_followers.try_emplace(each.m_node,
                                    progress{.m_next = last + 1,
                                             .m_window_start = last,
                                             .m_heard = long_ago,
                                             .m_sent = long_ago,
                                             .m_reset = long_ago,
                                             .m_snapshot = nullptr});
}

auto replication::stop() -> void
{
    m_followers.clear();
}

auto replication::heard(node_id from, time_point sent_at) -> void
{
    if (auto const found = m_followers.find(from); found != m_followers.end())
        found->second.m_heard = std::max(found->second.m_heard, sent_at);
}

auto replication::handle(time_point now, node_id from,
                         append_reply const& reply, replica_log const& log)
    -> void
{
    auto const found = m_followers.find(from);
    if (found == m_followers.end() || reply.m_index > log.last_index())
        return;
    heard(from, reply.m_sent_at);
    auto& follower = found->second;
    if (!reply.m_matched)
        return refused(now, follower, reply, log);
    follower.m_match = std::max(follower.m_match, reply.m_index);
    follower.m_next = std::max(follower.m_next, follower.m_match + 1);
    follower.m_window_start =
        std::max(follower.m_window_start, follower.m_match);
    if (follower.m_snapshot &&
        follower.m_match >= follower.m_snapshot->m_last_index)
        follower.m_snapshot = nullptr;
}

auto replication::refused(time_point now, progress& follower,
                          append_reply const& reply, replica_log const& log)
    -> void
{
    if (reply.m_sent_at < follower.m_reset)
        return;
    follower.m_reset = now;
    if (follower.m_snapshot)
    {
        // All parts arrived once, yet the follower lacks the state: it
        // restarted before it had saved them.
        if (follower.m_offset == follower.m_snapshot->m_data.size())
        {
            follower.m_offset = 0;
            follower.m_is_part_due = true;
        }
        return;
    }
    follower.m_next = std::max(follower.m_match + 1,
                               std::min(follower.m_next, reply.m_index + 1));
    follower.m_window_start = follower.m_next - 1;
    if (!reply.m_is_blank && follower.m_next >= log.first_index())
        return;
    follower.m_snapshot = log.latest_snapshot();
    follower.m_offset = 0;
    follower.m_is_part_due = true;
}

auto replication::handle(time_point now, node_id from,
                         install_reply const& reply) -> void
{
    auto const found = m_followers.find(from);
    if (found == m_followers.end())
        return;
    heard(from, reply.m_sent_at);
    auto& follower = found->second;
    if (!follower.m_snapshot ||
        follower.m_snapshot->m_last_index != reply.m_last_index ||
        reply.m_next_offset == follower.m_offset ||
        reply.m_next_offset > follower.m_snapshot->m_data.size())
        return;
    follower.m_offset = reply.m_next_offset;
    follower.m_reset = now;
    follower.m_is_part_due = true;
}

auto replication::send_due(time_point now, replica_log const& log,
                           log_index commit, effects& out) -> void
{
    for (auto& [node, follower] : m_followers)
    {
        if (!follower.m_snapshot && follower.m_next < log.first_index())
        {
            follower.m_snapshot = log.latest_snapshot();
            follower.m_offset = 0;
            follower.m_is_part_due = true;
        }
        if (follower.m_snapshot)
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
    follower.m_sent = now;
    auto const& sent = *follower.m_snapshot;
    auto const size = sent.m_data.size();
    if (size != 0 && follower.m_offset == size)
    {
        // Only the follower's own write is missing now.
        auto request = append_request{};
        request.m_term = log.hard().m_term;
        request.m_previous_index = sent.m_last_index;
        request.m_previous_term = sent.m_last_term;
        request.m_commit = commit;
        request.m_sent_at = now;
        out.emplace_back(send{to, std::move(request)});
        return;
    }
    auto part = install_snapshot{};
    part.m_term = log.hard().m_term;
    part.m_last_index = sent.m_last_index;
    part.m_last_term = sent.m_last_term;
    part.m_offset = follower.m_offset;
    part.m_data =
        sent.m_data.substr(follower.m_offset, m_settings.m_snapshot_part);
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
    auto const is_silent = now - follower.m_heard >= m_settings.m_silence;
    auto const may_send = [&]
    {
        return !is_silent && follower.m_next <= log.last_index() &&
               follower.m_next <= follower.m_window_start + window_entries;
    };
    while (may_send() || is_heartbeat_due(now, follower))
    {
        auto request = append_request{};
        request.m_term = log.hard().m_term;
        request.m_previous_index = follower.m_next - 1;
        request.m_previous_term =
            log.term_at(request.m_previous_index).value_or(0);
        if (may_send())
            request.m_entries = take_entries(log, follower.m_next);
        request.m_commit = commit;
        request.m_sent_at = now;
        follower.m_next += request.m_entries.size();
        follower.m_sent = now;
        out.emplace_back(send{to, std::move(request)});
    }
}

auto replication::match(node_id follower) const -> log_index
{
    auto const found = m_followers.find(follower);
    return found == m_followers.end() ? 0 : found->second.m_match;
}

auto replication::agreed_index(std::span<member const> members, node_id self,
                               log_index synced) const -> log_index
{
    return quorum_value(members,
                        [&](node_id node)
                        {
                            return node == self ? synced : match(node);
                        });
}

auto replication::quorum_heard_at(std::span<member const> members,
                                  node_id self) const -> time_point
{
    return quorum_value(members,
                        [&](node_id node)
                        {
                            auto const found = m_followers.find(node);
                            if (found != m_followers.end())
                                return found->second.m_heard;
                            return node == self ? never : long_ago;
                        });
}

auto replication::deadline() const -> time_point
{
    auto earliest = never;
    for (auto const& [node, follower] : m_followers)
        earliest = std::min(earliest, follower.m_sent + m_settings.m_heartbeat);
    return earliest;
}

auto replication::is_heartbeat_due(time_point now,
                                   progress const& follower) const -> bool
{
    return now - follower.m_sent >= m_settings.m_heartbeat;
}

} // namespace hickorylatch::core
