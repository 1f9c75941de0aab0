#include "core/placement/link_targets.hpp"

#include "core/model/stable_hash.hpp"

#include <algorithm>
#include <utility>

namespace hickorylatch::core
{

namespace
{

/// Candidates in a pseudo-random order that depends on the name of the choosing
/// process.
auto shuffled(std::set<std::string> const& candidates, std::string_view name)
    -> std::vector<std::string>
{
    auto order = std::vector<std::string>{candidates.begin(), candidates.end()};
    std::ranges::sort(order, {},
                      [name](std::string const& address)
                      {
                          return stable_hash(name, address);
                      });
    return order;
}

} // namespace

link_targets::link_targets(link_targets_settings settings)
    : m_settings{std::move(settings)}, m_controls{m_settings.m_control_limit},
      m_entries{m_settings.m_entry_limit}, m_kept_links{
                                               m_settings.m_seeds.begin(),
                                               m_settings.m_seeds.end()}
{
    update_control_candidates();
}

auto link_targets::replace_seeds(std::vector<std::string> seeds) -> void
{
    m_settings.m_seeds = std::move(seeds);
    update_control_candidates();
}

auto link_targets::set_known_processes(node_id replica,
                                       process_list const& known) -> void
{
    m_known[replica] = known;
    if (!known.m_leader.empty())
        m_leader = known.m_leader;
    update_control_candidates();
    update_entry_candidates();
}

auto link_targets::opened(hello const& peer) -> void
{
    if (peer.m_address.empty())
        return;
    m_open[peer.m_node] = peer.m_address;
    m_controls.opened(peer.m_address);
    m_entries.opened(peer.m_address);
}

auto link_targets::closed(time_point now, node_id peer) -> void
{
    auto const found = m_open.find(peer);
    if (found == m_open.end())
        return;
    m_controls.closed(now, found->second);
    m_entries.closed(now, found->second);
    m_draining.erase(found->second);
    m_open.erase(found);
}

auto link_targets::release(std::string_view entry) -> void
{
    m_draining.erase(std::string{entry});
}

auto link_targets::update_control_candidates() -> void
{
    auto reported = std::set<std::string>{};
    for (auto const& [replica, known] : m_known)
        reported.insert(known.m_controls.begin(), known.m_controls.end());
    auto order = shuffled(reported, m_settings.m_name);
    // Seeds are used when no replicas are known yet, or when all known ones are
    // unreachable.
    for (auto const& seed : m_settings.m_seeds)
        if (!reported.contains(seed))
            order.push_back(seed);
    m_controls.set_candidates(std::move(order));
}

auto link_targets::update_entry_candidates() -> void
{
    if (m_settings.m_entry_limit == 0)
        return;
    auto same_domain = std::set<std::string>{};
    auto other_domains = std::set<std::string>{};
    for (auto const& [replica, known] : m_known)
        for (auto const& entry : known.m_entries)
            (entry.m_failure_domain == m_settings.m_failure_domain
                 ? same_domain
                 : other_domains)
                .insert(entry.m_address);
    auto order = shuffled(same_domain, m_settings.m_name);
    auto const others = shuffled(other_domains, m_settings.m_name);
    auto const first =
        std::min(order.size(), m_settings.m_same_domain_entry_limit);
    order.insert(order.begin() + static_cast<std::ptrdiff_t>(first),
                 others.begin(), others.end());
    m_entries.set_candidates(std::move(order));
}

auto link_targets::update(time_point now, effects& out) -> void
{
    m_controls.update(now);
    auto const before = m_entries.chosen();
    m_entries.update(now);
    auto const& entries = m_entries.chosen();
    for (auto const& [node, address] : m_open)
        if (before.contains(address) && !entries.contains(address))
            m_draining.insert(address);
    std::erase_if(m_draining,
                  [&entries](std::string const& address)
                  {
                      return entries.contains(address);
                  });
    auto wanted = m_controls.chosen();
    wanted.insert(entries.begin(), entries.end());
    wanted.insert(m_draining.begin(), m_draining.end());
    if (!m_leader.empty())
        wanted.insert(m_leader);
    if (wanted == m_kept_links)
        return;
    m_kept_links = wanted;
    out.emplace_back(keep_links{{wanted.begin(), wanted.end()}});
}

auto link_targets::is_draining(std::string_view entry) const -> bool
{
    return m_draining.contains(entry);
}

auto link_targets::is_chosen(std::string_view entry) const -> bool
{
    return m_entries.chosen().contains(entry);
}

auto link_targets::next_deadline() const -> time_point
{
    return std::min(m_controls.next_deadline(), m_entries.next_deadline());
}

} // namespace hickorylatch::core
