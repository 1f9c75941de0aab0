#include "core/roles/membership_planner.hpp"

#include "core/replication/membership.hpp"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace hickorylatch::core
{

namespace
{

// A killed process restarts within about a second. Giving its vote to a spare
// in the meantime would be reverted right after.
constexpr auto replacement_delay = duration{std::chrono::milliseconds{1500}};
// A node that has been disconnected for this long is not expected back.
constexpr auto removal_delay = duration{std::chrono::seconds{60}};

} // namespace

membership_planner::membership_planner(group_settings settings)
    : m_settings{std::move(settings)}
{
}

auto membership_planner::connected(hello const& peer) -> void
{
    if (peer.m_role != role::control)
        return;
    m_peers[peer.m_node] = peer;
    m_lost_at.erase(peer.m_node);
}

auto membership_planner::disconnected(time_point now, node_id peer) -> void
{
    if (m_peers.erase(peer) != 0)
        m_lost_at[peer] = now;
}

auto membership_planner::track_unconnected_members(
    time_point now, std::span<member const> members, node_id self) -> void
{
    for (auto const& each : members)
        if (each.m_node != self && !is_connected(each.m_node))
            m_lost_at.try_emplace(each.m_node, now);
}

auto membership_planner::founding_members(hello const& self) const
    -> std::optional<std::vector<member>>
{
    auto const& seeds = m_settings.m_seeds;
    if (!m_settings.m_is_first_start || seeds.empty())
        return std::nullopt;
    auto seen = std::set<std::string_view>{};
    auto members = std::vector<member>{};
    auto const add_seed = [&](hello const& seed)
    {
        if (seed.m_cluster != 0 ||
            std::ranges::find(seeds, seed.m_address) == seeds.end() ||
            !seen.insert(seed.m_address).second)
            return;
        if (!seed.m_is_volatile)
            members.push_back({seed.m_node, seed.m_address, true});
    };
    add_seed(self);
    for (auto const& [node, peer] : m_peers)
        add_seed(peer);
    // Only the seed with the lowest address among those with a disk founds the
    // group, and only once it is connected to all seeds, so that no second
    // group can be created.
    if (seen.size() != seeds.size() || members.empty() ||
        self.m_address !=
            std::ranges::min(members, {}, &member::m_address).m_address)
        return std::nullopt;
    return members;
}

auto membership_planner::next_deadline(time_point now) const -> time_point
{
    auto first = never;
    if (m_settings.m_seeds.empty())
        return first;
    for (auto const& [node, lost_at] : m_lost_at)
        for (auto const due :
             {lost_at + replacement_delay, lost_at + removal_delay})
            if (due > now)
                first = std::min(first, due);
    return first;
}

auto membership_planner::is_connected(node_id node) const -> bool
{
    return m_peers.contains(node);
}

auto membership_planner::may_vote(node_id node) const -> bool
{
    auto const found = m_peers.find(node);
    return found != m_peers.end() && !found->second.m_is_volatile;
}

auto membership_planner::is_lost(time_point now, node_id node,
                                 duration limit) const -> bool
{
    auto const found = m_lost_at.find(node);
    return found != m_lost_at.end() && now >= found->second + limit;
}

auto membership_planner::is_replaced(member const& old) const -> bool
{
    return !is_connected(old.m_node) &&
           std::ranges::any_of(m_peers,
                               [&](auto const& peer)
                               {
                                   return peer.second.m_address ==
                                          old.m_address;
                               });
}

auto membership_planner::with_new_learner(std::span<member const> members) const
    -> std::optional<std::vector<member>>
{
    for (auto const& [node, peer] : m_peers)
    {
        // A volatile replica can't vote. As a learner it would only add load to
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

auto membership_planner::lost_voter(time_point now,
                                    std::span<member const> members,
                                    node_id leader) const -> node_id
{
    for (auto const& each : members)
    {
        if (!each.m_votes || each.m_node == leader)
            continue;
        if (is_replaced(each) || is_lost(now, each.m_node, replacement_delay))
            return each.m_node;
    }
    return no_node;
}

auto membership_planner::without_expired_member(time_point now,
                                                std::span<member const> members,
                                                node_id leader) const
    -> std::optional<std::vector<member>>
{
    for (auto const& each : members)
    {
        if (each.m_votes || each.m_node == leader || is_connected(each.m_node))
            continue;
        if (!is_replaced(each) && !is_lost(now, each.m_node, removal_delay))
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
