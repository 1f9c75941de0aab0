#ifndef HICKORYLATCH_CORE_ROLES_MEMBERSHIP_KEEPER_HPP
#define HICKORYLATCH_CORE_ROLES_MEMBERSHIP_KEEPER_HPP

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

/// Decides on changes of a control group's membership: adds replicas that
/// appear, gives the vote of a lost one to a spare, and forgets identities
/// whose disk is gone.
class membership_keeper
{
public:
    explicit membership_keeper(group_settings settings);

    auto connected(hello const& peer) -> void;
    auto disconnected(time_point now, node_id peer) -> void;

    /// Notes members that this replica has no link to and never had.
    auto note_members(time_point now, std::span<member const> members,
                      node_id self) -> void;

    /// The first members of a new group, if this replica should found one.
    [[nodiscard]] auto founders(hello const& self) const
        -> std::optional<std::vector<member>>;
    /// The next change that a leader should propose; none if all is well.
    /// `holds_state` tells whether a learner could be made a voter now.
    template <typename HoldsState>
    [[nodiscard]] auto
    next_change(time_point now, std::span<member const> members, node_id leader,
                HoldsState const& holds_state) const
        -> std::optional<std::vector<member>>;
    /// When a lost replica may be replaced or forgotten.
    [[nodiscard]] auto next_deadline(time_point now) const -> time_point;

private:
    [[nodiscard]] auto is_connected(node_id node) const -> bool;
    /// True for a connected replica that keeps its state.
    [[nodiscard]] auto may_vote(node_id node) const -> bool;
    [[nodiscard]] auto is_lost(time_point now, node_id node,
                               duration limit) const -> bool;
    [[nodiscard]] auto is_replaced(member const& old) const -> bool;
    [[nodiscard]] auto with_newcomer(std::span<member const> members) const
        -> std::optional<std::vector<member>>;
    [[nodiscard]] auto without_forgotten(time_point now,
                                         std::span<member const> members,
                                         node_id leader) const
        -> std::optional<std::vector<member>>;
    [[nodiscard]] auto lost_voter(time_point now,
                                  std::span<member const> members,
                                  node_id leader) const -> node_id;

    group_settings m_settings;
    /// Connected control replicas.
    std::map<node_id, hello> m_peers;
    std::map<node_id, time_point> m_lost_at;
};

template <typename HoldsState>
auto membership_keeper::next_change(time_point now,
                                    std::span<member const> members,
                                    node_id leader,
                                    HoldsState const& holds_state) const
    -> std::optional<std::vector<member>>
{
    if (m_settings.m_seeds.empty())
        return std::nullopt;
    if (auto changed = with_newcomer(members))
        return changed;
    auto changed = std::vector<member>{members.begin(), members.end()};
    auto voters = std::size_t{0};
    auto* spare = static_cast<member*>(nullptr);
    for (auto& each : changed)
    {
        voters += each.m_votes ? 1 : 0;
        if (!each.m_votes && may_vote(each.m_node) && holds_state(each.m_node))
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
    return without_forgotten(now, members, leader);
}

} // namespace hickorylatch::core

#endif
