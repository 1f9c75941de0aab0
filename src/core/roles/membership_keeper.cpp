#include "core/roles/membership_keeper.hpp"

#include "core/replication/membership.hpp"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace hickorylatch::core
{

namespace
{

// A killed process is back within about a second; giving its vote to a spare
// meanwhile would only be undone.
constexpr auto replace_after = duration{std::chrono::milliseconds{1500}};
// An identity that has not been seen for this long does not come back.
constexpr auto forget_after = duration{std::chrono::seconds{60}};

} // namespace

membership_keeper::membership_keeper(group_settings settings)
    : m_settings{std::move(settings)}
{
}

auto membership_keeper::connected(hello const& peer) -> void
{
    if (peer.m_role != role::control)
        return;
    m_peers[peer.m_node] = peer;
    m_lost_at.erase(peer.m_node);
}

auto membership_keeper::disconnected(time_point now, node_id peer) -> void
{
    if (m_peers.erase(peer) != 0)
        m_lost_at[peer] = now;
}

auto membership_keeper::note_members(time_point now,
                                     std::span<member const> members,
                                     node_id self) -> void
{
    for (auto const& each : members)
        if (each.m_node != self && !is_connected(each.m_node))
            m_lost_at.try_emplace(each.m_node, now);
}

auto membership_keeper::founders(hello const& self) const
    -> std::optional<std::vector<member>>
{
    auto const& seeds = m_settings.m_seeds;
    if (!m_settings.m_is_first_start || seeds.empty())
        return std::nullopt;
    auto seen = std::set<std::string_view>{};
    auto founders = std::vector<member>{};
    auto const note = [&](hello const& seed)
    {
        if (seed.m_cluster != 0 ||
            std::ranges::find(seeds, seed.m_address) == seeds.end() ||
            !seen.insert(seed.m_address).second)
            return;
        if (!seed.m_is_volatile)
            founders.push_back({seed.m_node, seed.m_address, true});
    };
    note(self);
    for (auto const& [node, peer] : m_peers)
        note(peer);
    // The first of the seeds with a disk founds, and only once it knows all of
    // them, so that only one group can arise.
    if (seen.size() != seeds.size() || founders.empty() ||
        self.m_address !=
            std::ranges::min(founders, {}, &member::m_address).m_address)
        return std::nullopt;
    return founders;
}

auto membership_keeper::next_deadline(time_point now) const -> time_point
{
    auto first = never;
    if (m_settings.m_seeds.empty())
        return first;
    for (auto const& [node, lost_at] : m_lost_at)
        for (auto const due : {lost_at + replace_after, lost_at + forget_after})
            if (due > now)
                first = std::min(first, due);
    return first;
}

auto membership_keeper::is_connected(node_id node) const -> bool
{
    return m_peers.contains(node);
}

auto membership_keeper::may_vote(node_id node) const -> bool
{
    auto const found = m_peers.find(node);
    return found != m_peers.end() && !found->second.m_is_volatile;
}

auto membership_keeper::is_lost(time_point now, node_id node,
                                duration limit) const -> bool
{
    auto const found = m_lost_at.find(node);
    return found != m_lost_at.end() && now >= found->second + limit;
}

auto membership_keeper::is_replaced(member const& old) const -> bool
{
    return !is_connected(old.m_node) &&
           std::ranges::any_of(m_peers,
                               [&](auto const& peer)
                               {
                                   return peer.second.m_address ==
                                          old.m_address;
                               });
}

auto membership_keeper::with_newcomer(std::span<member const> members) const
    -> std::optional<std::vector<member>>
{
    for (auto const& [node, peer] : m_peers)
    {
        // A volatile replica can't vote. As a learner it would only slow down
        // the leader, which sends the log to every member.
        if (peer.m_is_volatile || peer.m_address.empty() ||
            is_member(members, node))
            continue;
        auto changed = std::vector<member>{members.begin(), members.end()};
        changed.push_back({node, peer.m_address, false});
        return changed;
    }
    return std::nullopt;
}

auto membership_keeper::lost_voter(time_point now,
                                   std::span<member const> members,
                                   node_id leader) const -> node_id
{
    for (auto const& each : members)
    {
        if (!each.m_votes || each.m_node == leader)
            continue;
        if (is_replaced(each) || is_lost(now, each.m_node, replace_after))
            return each.m_node;
    }
    return no_node;
}

auto membership_keeper::without_forgotten(time_point now,
                                          std::span<member const> members,
                                          node_id leader) const
    -> std::optional<std::vector<member>>
{
    for (auto const& each : members)
    {
        if (each.m_votes || each.m_node == leader || is_connected(each.m_node))
            continue;
        if (!is_replaced(each) && !is_lost(now, each.m_node, forget_after))
            continue;
        auto changed = std::vector<member>{members.begin(), members.end()};
        std::erase_if(changed,
                      [&](member const& candidate)
                      {
                          return candidate.m_node == each.m_node;
                      });
        return changed;
    }
    return std::nullopt;
}

} // namespace hickorylatch::core
