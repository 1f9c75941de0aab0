#include "core/replication/membership.hpp"

#include <algorithm>

namespace hickorylatch::core
{

auto is_member(std::span<member const> members, node_id node) -> bool
{
    return std::ranges::find(members, node, &member::m_node) != members.end();
}

auto is_voter(std::span<member const> members, node_id node) -> bool
{
    auto const found = std::ranges::find(members, node, &member::m_node);
    return found != members.end() && found->m_votes;
}

auto is_sole_voter(std::span<member const> members, node_id node) -> bool
{
    return is_voter(members, node) &&
           std::ranges::count_if(members, &member::m_votes) == 1;
}

auto check_membership_change(std::span<member const> current,
                             std::span<member const> proposed)
    -> std::string_view
{
    if (is_member(proposed, no_node))
        return "a member has no identity";
    for (auto const& each : proposed)
        if (std::ranges::count(proposed, each.m_node, &member::m_node) != 1)
            return "a member is listed twice";
    if (std::ranges::none_of(proposed, &member::m_votes))
        return "no member votes";
    auto const added = std::ranges::count_if(
        proposed,
        [&](member const& each)
        {
            return each.m_votes && !is_voter(current, each.m_node);
        });
    auto const removed = std::ranges::count_if(
        current,
        [&](member const& each)
        {
            return each.m_votes && !is_voter(proposed, each.m_node);
        });
    if (added + removed > 1)
        return "more than one voter changes";
    return {};
}

} // namespace hickorylatch::core
