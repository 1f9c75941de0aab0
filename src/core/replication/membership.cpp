#include "core/replication/membership.hpp"

#include <algorithm>

namespace hickorylatch::core
{

auto is_listed(std::span<member const> members, node_id node) -> bool
{
    return std::ranges::find(members, node, &member::m_node) != members.end();
}

auto is_voter(std::span<member const> members, node_id node) -> bool
{
    auto const found = std::ranges::find(members, node, &member::m_node);
    return found != members.end() && found->m_votes;
}

auto is_only_voter(std::span<member const> members, node_id node) -> bool
{
    return is_voter(members, node) &&
           std::ranges::count_if(members, &member::m_votes) == 1;
}

auto check_change(std::span<member const> present,
                  std::span<member const> wanted) -> std::string_view
{
    if (is_listed(wanted, no_node))
        return "a member has no identity";
    for (auto const& each : wanted)
        if (std::ranges::count(wanted, each.m_node, &member::m_node) != 1)
            return "a member is listed twice";
    if (std::ranges::none_of(wanted, &member::m_votes))
        return "no member votes";
    auto const joins = std::ranges::count_if(
        wanted,
        [&](member const& each)
        {
            return each.m_votes && !is_voter(present, each.m_node);
        });
    auto const leaves = std::ranges::count_if(
        present,
        [&](member const& each)
        {
            return each.m_votes && !is_voter(wanted, each.m_node);
        });
    if (joins + leaves > 1)
        return "more than one voter changes";
    return {};
}

} // namespace hickorylatch::core
