#include "core/replication/replica_log.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace hickorylatch::core
{

auto is_consistent(append_request const& request) -> bool
{
    auto last = request.m_previous_index;
    auto last_term = request.m_previous_term;
    // Prevents an overflow: the index after the entries must exist, too.
    if (last >=
        std::numeric_limits<log_index>::max() - request.m_entries.size())
        return false;
    for (auto const& entry : request.m_entries)
    {
        if (entry.m_index != last + 1 || entry.m_term < last_term)
            return false;
        last = entry.m_index;
        last_term = entry.m_term;
    }
    return last_term <= request.m_term;
}

replica_log::replica_log(recovered_state recovered)
    : m_hard_state{recovered.m_hard_state},
      m_snapshot{
          std::make_shared<snapshot const>(std::move(recovered.m_snapshot))},
      m_memberships{{m_snapshot->m_last_index, m_snapshot->m_members}}
{
    for (auto& entry : recovered.m_entries)
        if (entry.m_index == last_index() + 1)
            append(std::move(entry));
    m_written_index = m_synced_index = last_index();
}

auto replica_log::current_hard_state() const -> hard_state const&
{
    return m_hard_state;
}

auto replica_log::set_hard_state(hard_state wanted) -> void
{
    if (wanted == m_hard_state)
        return;
    m_hard_state = wanted;
    m_is_hard_state_changed = true;
    m_hard_state_write = m_writes + 1;
}

auto replica_log::first_index() const -> log_index
{
    return m_snapshot->m_last_index + 1;
}

auto replica_log::last_index() const -> log_index
{
    return m_snapshot->m_last_index + m_entries.size();
}

auto replica_log::last_term() const -> term_number
{
    return m_entries.empty() ? m_snapshot->m_last_term
                             : m_entries.back().m_term;
}

auto replica_log::term_at(log_index index) const -> std::optional<term_number>
{
    if (index == m_snapshot->m_last_index)
        return m_snapshot->m_last_term;
    if (index < first_index() || index > last_index())
        return std::nullopt;
    return at(index).m_term;
}

auto replica_log::at(log_index index) const -> log_entry const&
{
    return m_entries[index - first_index()];
}

auto replica_log::append(log_entry entry) -> void
{
    record_membership(entry);
    m_entries.push_back(std::move(entry));
}

auto replica_log::truncate(log_index from) -> void
{
    while (last_index() >= from && !m_entries.empty())
        m_entries.pop_back();
    while (m_memberships.size() > 1 && m_memberships.back().first >= from)
        m_memberships.pop_back();
    if (from <= m_written_index)
    {
        m_truncate_from =
            m_truncate_from == 0 ? from : std::min(m_truncate_from, from);
        m_written_index = from - 1;
    }
    m_synced_index = std::min(m_synced_index, from - 1);
    // A sync of removed entries must not count for their replacements.
    for (auto& [write, index] : m_outstanding_writes)
        index = std::min(index, from - 1);
}

auto replica_log::conflict_hint(log_index index, term_number term,
                                log_index commit) const
    -> std::optional<log_index>
{
    auto const known_term = term_at(index);
    // Entries covered by the snapshot are committed and therefore match.
    if (index + 1 < first_index() || known_term == term)
        return std::nullopt;
    // Points to the last entry, or before the entries of the conflicting term.
    auto hint = std::min(index - 1, last_index());
    while (known_term && hint > commit && term_at(hint) == known_term)
        --hint;
    return std::max(hint, commit);
}

auto replica_log::merge(std::span<log_entry const> entries) -> bool
{
    auto is_changed = false;
    for (auto const& entry : entries)
    {
        auto const known_term = term_at(entry.m_index);
        if (entry.m_index < first_index() || known_term == entry.m_term)
            continue;
        if (known_term)
            truncate(entry.m_index);
        if (entry.m_index != last_index() + 1)
            break;
        append(entry);
        is_changed = true;
    }
    return is_changed;
}

auto replica_log::members() const -> std::span<member const>
{
    return m_memberships.back().second;
}

auto replica_log::membership_index() const -> log_index
{
    return m_memberships.back().first;
}

auto replica_log::latest_snapshot() const
    -> std::shared_ptr<snapshot const> const&
{
    return m_snapshot;
}

auto replica_log::make_snapshot(log_index up_to, std::string data) const
    -> snapshot
{
    auto made = snapshot{};
    made.m_last_index = up_to;
    made.m_last_term = term_at(up_to).value_or(0);
    for (auto const& [index, members] : m_memberships)
        if (index <= up_to)
            made.m_members = members;
    made.m_cluster = m_snapshot->m_cluster;
    made.m_data = std::move(data);
    return made;
}

auto replica_log::adopt_snapshot(std::shared_ptr<snapshot const> saved) -> void
{
    auto const last = saved->m_last_index;
    auto const has_last_entry = term_at(last) == saved->m_last_term;
    while (!m_entries.empty() &&
           (!has_last_entry || m_entries.front().m_index <= last))
        m_entries.pop_front();
    if (!has_last_entry)
        m_memberships.clear();
    std::erase_if(m_memberships,
                  [&](membership const& each)
                  {
                      return each.first <= last;
                  });
    m_memberships.insert(m_memberships.begin(), {last, saved->m_members});
    m_snapshot = std::move(saved);
    m_written_index = std::max(m_written_index, last);
    m_synced_index = std::max(m_synced_index, last);
}

auto replica_log::take_write() -> std::optional<append_log>
{
    if (!is_changed())
        return std::nullopt;
    auto write = append_log{};
    write.m_write = ++m_writes;
    if (m_is_hard_state_changed)
        write.m_hard_state = m_hard_state;
    write.m_truncate_from = m_truncate_from;
    for (auto index = m_written_index + 1; index <= last_index(); ++index)
        write.m_entries.push_back(at(index));
    m_is_hard_state_changed = false;
    m_truncate_from = 0;
    m_written_index = last_index();
    m_outstanding_writes.emplace_back(m_writes, m_written_index);
    return write;
}

auto replica_log::synced(std::uint64_t write) -> void
{
    m_synced_writes = std::max(m_synced_writes, write);
    while (!m_outstanding_writes.empty() &&
           m_outstanding_writes.front().first <= write)
    {
        m_synced_index =
            std::max(m_synced_index, m_outstanding_writes.front().second);
        m_outstanding_writes.pop_front();
    }
}

auto replica_log::is_synced(std::uint64_t write) const -> bool
{
    return write <= m_synced_writes;
}

auto replica_log::synced_index() const -> log_index
{
    return m_synced_index;
}

auto replica_log::last_write() const -> std::uint64_t
{
    return m_writes + (is_changed() ? 1 : 0);
}

auto replica_log::hard_state_write() const -> std::uint64_t
{
    return m_hard_state_write;
}

auto replica_log::is_changed() const -> bool
{
    return m_is_hard_state_changed || m_truncate_from != 0 ||
           m_written_index < last_index();
}

auto replica_log::record_membership(log_entry const& entry) -> void
{
    if (auto const* change = std::get_if<change_membership>(&entry.m_command))
        m_memberships.emplace_back(entry.m_index, change->m_members);
}

} // namespace hickorylatch::core
