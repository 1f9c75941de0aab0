#include "core/replica.hpp"

#include <algorithm>
#include <utility>

namespace hickorylatch::core
{

replica::replica(replica_settings settings, recovered_state recovered)
    : m_settings{settings}, m_identity{recovered.m_identity},
      m_hard{recovered.m_hard_state}, m_cluster{recovered.m_snapshot.m_cluster},
      m_members{std::move(recovered.m_snapshot.m_members)},
      m_first{recovered.m_snapshot.m_last_index + 1},
      m_snapshot_term{recovered.m_snapshot.m_last_term},
      m_commit{recovered.m_snapshot.m_last_index},
      m_delivered{recovered.m_snapshot.m_last_index}
{
    for (auto& entry : recovered.m_entries)
        m_log.push_back(std::move(entry));
    m_written = m_synced = last_index();
}

auto replica::start(time_point now, std::uint64_t, effects& out) -> void
{
    if (!is_member() || m_members.size() != 1)
        return;
    ++m_hard.m_term;
    m_hard.m_voted_for = m_identity;
    m_is_leader = true;
    auto write = append_log{};
    write.m_write = ++m_writes;
    write.m_hard_state = m_hard;
    m_outstanding.emplace_back(write.m_write, m_written);
    out.emplace_back(std::move(write));
    propose(begin_term{});
    flush(now, out);
}

auto replica::tick(time_point, effects&) -> void
{
}

auto replica::receive(time_point, node_id, message const&, effects&) -> void
{
}

auto replica::synced(time_point, std::uint64_t write, effects&) -> void
{
    while (!m_outstanding.empty() && m_outstanding.front().first <= write)
    {
        m_synced = std::max(m_synced, m_outstanding.front().second);
        m_outstanding.pop_front();
    }
    if (m_is_leader && m_members.size() == 1)
        m_commit = std::max(m_commit, m_synced);
}

auto replica::propose(command proposed) -> std::optional<log_index>
{
    if (!m_is_leader)
        return std::nullopt;
    auto const index = last_index() + 1;
    m_log.push_back({index, m_hard.m_term, std::move(proposed)});
    return index;
}

auto replica::flush(time_point, effects& out) -> void
{
    if (m_written == last_index())
        return;
    auto write = append_log{};
    write.m_write = ++m_writes;
    for (auto index = m_written + 1; index <= last_index(); ++index)
        write.m_entries.push_back(m_log[index - m_first]);
    m_written = last_index();
    m_outstanding.emplace_back(write.m_write, m_written);
    out.emplace_back(std::move(write));
}

auto replica::take_committed() -> std::vector<log_entry>
{
    auto taken = std::vector<log_entry>{};
    while (m_delivered < m_commit)
        taken.push_back(m_log[++m_delivered - m_first]);
    return taken;
}

auto replica::take_installed() -> std::optional<snapshot>
{
    return std::nullopt;
}

auto replica::compact(log_index upto, std::string data, effects& out) -> void
{
    auto saved = snapshot{};
    saved.m_last_index = upto;
    saved.m_last_term = m_log[upto - m_first].m_term;
    saved.m_members = m_members;
    saved.m_cluster = m_cluster;
    saved.m_data = std::move(data);
    out.emplace_back(save_snapshot{std::move(saved)});
}

auto replica::snapshot_saved(log_index last) -> void
{
    while (!m_log.empty() && m_log.front().m_index <= last)
    {
        m_snapshot_term = m_log.front().m_term;
        m_log.pop_front();
        ++m_first;
    }
}

auto replica::found(std::uint64_t cluster, std::vector<member> members,
                    effects& out) -> void
{
    if (m_cluster != 0)
        return;
    m_cluster = cluster;
    m_members = std::move(members);
    auto founding = snapshot{};
    founding.m_members = m_members;
    founding.m_cluster = m_cluster;
    out.emplace_back(save_snapshot{std::move(founding)});
}

auto replica::is_leader() const -> bool
{
    return m_is_leader;
}

auto replica::has_quorum(time_point) const -> bool
{
    return m_is_leader;
}

auto replica::leader() const -> node_id
{
    return m_is_leader ? m_identity : no_node;
}

auto replica::term() const -> term_number
{
    return m_hard.m_term;
}

auto replica::identity() const -> node_id
{
    return m_identity;
}

auto replica::cluster() const -> std::uint64_t
{
    return m_cluster;
}

auto replica::commit_index() const -> log_index
{
    return m_commit;
}

auto replica::last_index() const -> log_index
{
    return m_first + m_log.size() - 1;
}

auto replica::members() const -> std::span<member const>
{
    return m_members;
}

auto replica::next_deadline() const -> time_point
{
    return never;
}

auto replica::is_member() const -> bool
{
    return std::ranges::find(m_members, m_identity, &member::m_node) !=
           m_members.end();
}

} // namespace hickorylatch::core
