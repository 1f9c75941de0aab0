#ifndef HICKORYLATCH_CORE_ROLES_MEMBERSHIP_PLANNER_HPP
#define HICKORYLATCH_CORE_ROLES_MEMBERSHIP_PLANNER_HPP

#include "core/model/group_settings.hpp"
#include "core/model/message.hpp"
#include "core/model/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace hickorylatch::core
{

/// Plans changes of the membership of a control group: adds new replicas as
/// learners, transfers the vote of a lost replica to a spare (a learner that is
/// caught up), and removes learners that are not expected back: their disk was
/// wiped, or they have been disconnected for long. Doesn't propose the changes
/// itself.
class membership_planner
{
public:
    explicit membership_planner(group_settings settings);

    auto connected(hello const& peer) -> void;
    auto disconnected(time_point now, node_id peer) -> void;

    /// Counts members that this replica has never had a link to as lost from
    /// now on.
    auto track_unconnected_members(time_point now,
                                   std::span<member const> members,
                                   node_id self) -> void;

    /// The initial members of a new group, if this replica should found one.
    [[nodiscard]] auto founding_members(hello const& self) const
        -> std::optional<std::vector<member>>;
    /// The membership that a leader should propose next; empty if no change is
    /// due. `is_caught_up` tells whether a learner could be made a voter now.
    template <typename IsCaughtUp>
    [[nodiscard]] auto
    next_change(time_point now, std::span<member const> members, node_id leader,
                IsCaughtUp const& is_caught_up) const
        -> std::optional<std::vector<member>>;
    /// When the next lost replica may be replaced or removed.
    [[nodiscard]] auto next_deadline(time_point now) const -> time_point;

private:
    [[nodiscard]] auto is_connected(node_id node) const -> bool;
    /// True for a connected replica with durable state.
    [[nodiscard]] auto may_vote(node_id node) const -> bool;
    [[nodiscard]] auto is_lost(time_point now, node_id node,
                               duration limit) const -> bool;
    /// True if another node with the address of this lost member is connected,
    /// as after its disk was wiped.
    [[nodiscard]] auto is_replaced(member const& old) const -> bool;
    [[nodiscard]] auto with_new_learner(std::span<member const> members) const
        -> std::optional<std::vector<member>>;
    [[nodiscard]] auto without_expired_member(time_point now,
                                              std::span<member const> members,
                                              node_id leader) const
        -> std::optional<std::vector<member>>;
    [[nodiscard]] auto lost_voter(time_point now,
                                  std::span<member const> members,
                                  node_id leader) const -> node_id;

    group_settings m_settings;
    /// Connected control replicas.
    std::map<node_id, hello> m_peers;
    /// When the link to each disconnected replica was lost.
    std::map<node_id, time_point> m_lost_at;
};

template <typename IsCaughtUp>
auto membership_planner::next_change(time_point now,
                                     std::span<member const> members,
                                     node_id leader,
                                     IsCaughtUp const& is_caught_up) const
    -> std::optional<std::vector<member>>
{
    if (m_settings.m_seeds.empty())
        return std::nullopt;
    if (auto changed = with_new_learner(members))
        return changed;
    auto changed = std::vector<member>{members.begin(), members.end()};
    auto voters = std::size_t{0};
    auto* spare = static_cast<member*>(nullptr);
    for (auto& each : changed)
    {
        voters += each.m_votes ? 1 : 0;
        if (!each.m_votes && may_vote(each.m_node) && is_caught_up(each.m_node))
            spare = &each;
    }
    if (spare != nullptr && voters < m_settings.m_voters)
    {
        spare->m_votes = true;
        return changed;
    }
    if (auto const lost = lost_voter(now, members, leader);
        spare != nullptr && lost != no_node)
    {
        for (auto& each : changed)
            if (each.m_node == lost)
                each.m_votes = false;
        return changed;
    }
    return without_expired_member(now, members, leader);
}

} // namespace hickorylatch::core

#endif
