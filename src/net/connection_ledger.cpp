#include "net/connection_ledger.hpp"

#include <algorithm>
#include <chrono>
#include <limits>
#include <tuple>
#include <utility>

namespace hickorylatch::net
{

namespace
{

// Added to the time without progress, so that among connections that have just
// made progress the one that holds most is closed.
constexpr auto base_age = std::chrono::duration<double>{1.0};

} // namespace

auto to_string(close_cause cause) -> std::string_view
{
    switch (cause)
    {
    case close_cause::memory:
        return "memory";
    case close_cause::connections:
        return "connections";
    case close_cause::refused:
        return "refused";
    case close_cause::slow_request:
        return "slow_request";
    case close_cause::unread_response:
        return "unread_response";
    case close_cause::count:
        break;
    }
    return "";
}

connection_ledger::connection_ledger(connection_bounds bounds)
    : m_bounds{bounds}
{
}

auto connection_ledger::add(std::string_view address, core::time_point now)
    -> std::uint64_t
{
    auto const id = ++m_last_id;
    auto added = entry{std::string{address}};
    added.m_progress_at = now;
    added.m_is_refused =
        m_served_count >= m_bounds.m_connections && !evict_for(added.m_address);
    if (added.m_is_refused)
    {
        m_refused.push_back(id);
    }
    else
    {
        ++m_served[added.m_address];
        ++m_served_count;
    }
    m_entries.emplace(id, std::move(added));
    while (m_refused.size() > m_bounds.m_refused_connections)
        m_evicted.push_back(take({m_refused.front(), close_cause::refused}));
    return id;
}

auto connection_ledger::remove(std::uint64_t connection) -> void
{
    auto const found = m_entries.find(connection);
    if (found == m_entries.end())
        return;
    auto const& removed = found->second;
    m_bytes -= removed.m_bytes;
    if (removed.m_is_refused)
    {
        std::erase(m_refused, connection);
    }
    else
    {
        --m_served_count;
        auto const served = m_served.find(removed.m_address);
        if (--served->second == 0)
            m_served.erase(served);
    }
    m_entries.erase(found);
}

auto connection_ledger::set_bytes(std::uint64_t connection, std::size_t bytes)
    -> void
{
    auto const found = m_entries.find(connection);
    if (found == m_entries.end())
        return;
    m_bytes += bytes;
    m_bytes -= std::exchange(found->second.m_bytes, bytes);
}

auto connection_ledger::set_progress(std::uint64_t connection,
                                     core::time_point now) -> void
{
    if (auto const found = m_entries.find(connection); found != m_entries.end())
        found->second.m_progress_at = now;
}

auto connection_ledger::set_processing(std::uint64_t connection,
                                       bool is_processing) -> void
{
    if (auto const found = m_entries.find(connection); found != m_entries.end())
        found->second.m_is_processing = is_processing;
}

auto connection_ledger::is_refused(std::uint64_t connection) const -> bool
{
    auto const found = m_entries.find(connection);
    return found != m_entries.end() && found->second.m_is_refused;
}

auto connection_ledger::take_closing(core::time_point now)
    -> std::optional<connection_closing>
{
    if (!m_evicted.empty())
    {
        auto const next = m_evicted.front();
        m_evicted.pop_front();
        return next;
    }
    if (m_bytes <= m_bounds.m_bytes)
        return std::nullopt;
    auto chosen = largest(now, false);
    if (!chosen)
        chosen = largest(now, true);
    return chosen ? std::optional{take({*chosen, close_cause::memory})}
                  : std::nullopt;
}

auto connection_ledger::take_closing_for(std::size_t added,
                                         core::time_point now)
    -> std::optional<connection_closing>
{
    if (m_bytes + added <= m_bounds.m_bytes)
        return std::nullopt;
    auto const chosen = largest(now, false);
    return chosen ? std::optional{take({*chosen, close_cause::memory})}
                  : std::nullopt;
}

auto connection_ledger::count_closed(close_cause cause) -> void
{
    ++m_closed.at(static_cast<std::size_t>(cause));
}

auto connection_ledger::bounds() const -> connection_bounds const&
{
    return m_bounds;
}

auto connection_ledger::bytes() const -> std::size_t
{
    return m_bytes;
}

auto connection_ledger::connections() const -> std::size_t
{
    return m_entries.size();
}

auto connection_ledger::closed(close_cause cause) const -> std::uint64_t
{
    return m_closed.at(static_cast<std::size_t>(cause));
}

auto connection_ledger::close_requested()
    -> sigc::signal<void(connection_closing)>&
{
    return m_close_requested;
}

auto connection_ledger::evict_for(std::string const& address) -> bool
{
    auto const own = m_served.find(address);
    auto const own_count = own == m_served.end() ? 0 : own->second;
    auto chosen = std::optional<std::uint64_t>{};
    auto best = std::tuple{true, std::size_t{0}, core::time_point{0}};
    for (auto const& [id, candidate] : m_entries)
    {
        if (candidate.m_is_refused)
            continue;
        auto const count = m_served.at(candidate.m_address);
        if (count <= own_count + 1 ||
            (candidate.m_is_processing && count <= m_bounds.m_address_share))
            continue;
        auto const rank =
            std::tuple{candidate.m_is_processing,
                       std::numeric_limits<std::size_t>::max() - count,
                       candidate.m_progress_at};
        if (chosen && rank >= best)
            continue;
        best = rank;
        chosen = id;
    }
    if (!chosen)
        return false;
    m_evicted.push_back(take({*chosen, close_cause::connections}));
    return true;
}

auto connection_ledger::largest(core::time_point now,
                                bool may_be_processing) const
    -> std::optional<std::uint64_t>
{
    auto chosen = std::optional<std::uint64_t>{};
    auto highest = 0.0;
    for (auto const& [id, candidate] : m_entries)
    {
        if (candidate.m_is_processing && !may_be_processing)
            continue;
        auto const age = base_age + (now - candidate.m_progress_at);
        auto const cost = static_cast<double>(candidate.m_bytes) * age.count();
        if (cost <= highest)
            continue;
        highest = cost;
        chosen = id;
    }
    return chosen;
}

auto connection_ledger::take(connection_closing closing) -> connection_closing
{
    remove(closing.m_connection);
    count_closed(closing.m_cause);
    return closing;
}

} // namespace hickorylatch::net
