#include "core/roles/lease.hpp"

#include <algorithm>
#include <utility>

namespace hickorylatch::core
{

namespace
{

// A lease of 3 s stays valid if two renewals are lost.
constexpr auto renewal_interval = std::chrono::milliseconds{1000};

} // namespace

auto lease::follow(node_id leader, term_number term,
                   configuration const& config) -> bool
{
    if (term < m_term)
        return false;
    m_leader = leader;
    m_term = term;
    if (config.m_version > m_configuration.m_version)
        m_configuration = config;
    m_renew_at = time_point{0};
    return true;
}

auto lease::keep_links_to(std::span<member const> members, effects& out) -> void
{
    auto addresses = std::vector<std::string>{};
    for (auto const& replica : members)
        addresses.push_back(replica.m_address);
    if (!addresses.empty())
        out.emplace_back(keep_links{std::move(addresses)});
}

auto lease::extend(node_id from, renewed const& grant) -> void
{
    if (from != m_leader || grant.m_term != m_term ||
        grant.m_version != m_configuration.m_version)
        return;
    auto const until = grant.m_sent_at + grant.m_lease;
    m_expires_at = std::max(m_expires_at, until);
    m_granted_at = std::max(m_granted_at, grant.m_sent_at);
    m_renew_at = std::max(m_renew_at, grant.m_sent_at + renewal_interval);
}

auto lease::clear_leader(node_id peer) -> void
{
    if (peer != m_leader)
        return;
    m_leader = no_node;
    m_renew_at = never;
}

auto lease::tick(time_point now, effects& out) -> void
{
    if (m_leader == no_node || now < m_renew_at)
        return;
    out.emplace_back(send{m_leader, renew{now, 0, 0}});
    renewal_requested(now);
}

auto lease::renewal_requested(time_point now) -> void
{
    m_renew_at = now + renewal_interval;
}

auto lease::is_valid(time_point now) const -> bool
{
    return now < m_expires_at;
}

auto lease::leader() const -> node_id
{
    return m_leader;
}

auto lease::term() const -> term_number
{
    return m_term;
}

auto lease::config() const -> configuration const&
{
    return m_configuration;
}

auto lease::next_deadline() const -> time_point
{
    return m_renew_at;
}

auto lease::granted_at() const -> time_point
{
    return m_granted_at;
}

} // namespace hickorylatch::core
