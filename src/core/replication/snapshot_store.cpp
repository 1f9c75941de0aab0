#include "core/replication/snapshot_store.hpp"

#include <utility>

namespace hickorylatch::core
{

auto snapshot_store::add_part(install_snapshot const& part)
    -> std::optional<snapshot>
{
    if (part.m_last_index != m_partial.m_last_index ||
        part.m_last_term != m_partial.m_last_term ||
        part.m_term != m_partial_term)
        m_partial = {};
    m_partial_term = part.m_term;
    if (part.m_offset != m_partial.m_data.size())
        return std::nullopt;
    m_partial.m_last_index = part.m_last_index;
    m_partial.m_last_term = part.m_last_term;
    m_partial.m_data += part.m_data;
    if (!part.m_is_last)
        return std::nullopt;
    m_partial.m_members = part.m_members;
    m_partial.m_cluster = part.m_cluster;
    return std::exchange(m_partial, {});
}

auto snapshot_store::install(snapshot complete, std::uint64_t after_write)
    -> void
{
    m_installing = std::make_shared<snapshot const>(std::move(complete));
    m_after_write = after_write;
    m_is_saving = false;
}

auto snapshot_store::save_received(replica_log const& log, effects& out) -> void
{
    if (!m_installing || m_is_saving || !log.is_synced(m_after_write))
        return;
    m_is_saving = true;
    out.emplace_back(save_snapshot{*m_installing});
}

auto snapshot_store::compact(snapshot compacted, effects& out) -> void
{
    m_compactions.push_back(std::make_shared<snapshot const>(compacted));
    out.emplace_back(save_snapshot{std::move(compacted)});
}

auto snapshot_store::take_saved(log_index last)
    -> std::shared_ptr<snapshot const>
{
    if (m_is_saving && m_installing && m_installing->m_last_index == last)
        return std::exchange(m_installing, nullptr);
    auto found = std::shared_ptr<snapshot const>{};
    while (!m_compactions.empty() &&
           m_compactions.front()->m_last_index <= last)
    {
        found = std::move(m_compactions.front());
        m_compactions.pop_front();
    }
    return found;
}

auto snapshot_store::is_installing() const -> bool
{
    return m_installing != nullptr;
}

auto snapshot_store::installing_index() const -> log_index
{
    return m_installing ? m_installing->m_last_index : 0;
}

auto snapshot_store::compacting_index() const -> log_index
{
    return m_compactions.empty() ? 0 : m_compactions.back()->m_last_index;
}

auto snapshot_store::next_offset() const -> std::uint64_t
{
    return m_installing ? m_installing->m_data.size() : m_partial.m_data.size();
}

} // namespace hickorylatch::core
