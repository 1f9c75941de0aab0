#include "core/model/evacuation_record.hpp"

#include <algorithm>

namespace hickorylatch::core
{

namespace
{

// Replicas keep a command for two seconds at most, and operators have eight in
// progress at once.
constexpr auto max_recent_commands = std::size_t{256};

} // namespace

auto evacuation_record::apply(log_index index, set_evacuation const& change)
    -> void
{
    if (has_applied(change.m_number))
        return;
    if (change.m_is_evacuated && is_full() && !is_as_requested(change))
        return;
    m_recent_commands.push_back(change.m_number);
    if (m_recent_commands.size() > max_recent_commands)
        m_recent_commands.erase(m_recent_commands.begin());
    if (is_as_requested(change))
        return;
    auto& domains = m_current.m_failure_domains;
    auto const position =
        std::ranges::lower_bound(domains, change.m_failure_domain);
    if (change.m_is_evacuated)
        domains.insert(position, change.m_failure_domain);
    else
        domains.erase(position);
    m_current.m_revision = index;
}

auto evacuation_record::has_applied(std::uint64_t number) const -> bool
{
    return std::ranges::find(m_recent_commands, number) !=
           m_recent_commands.end();
}

auto evacuation_record::is_as_requested(set_evacuation const& change) const
    -> bool
{
    return m_current.contains(change.m_failure_domain) == change.m_is_evacuated;
}

auto evacuation_record::is_full() const -> bool
{
    return m_current.m_failure_domains.size() >= max_evacuated_domains;
}

} // namespace hickorylatch::core
