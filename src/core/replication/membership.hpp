#ifndef HICKORYLATCH_CORE_REPLICATION_MEMBERSHIP_HPP
#define HICKORYLATCH_CORE_REPLICATION_MEMBERSHIP_HPP

#include "core/model/command.hpp"

#include <algorithm>
#include <concepts>
#include <functional>
#include <span>
#include <string_view>
#include <vector>

namespace hickorylatch::core
{

[[nodiscard]] auto is_member(std::span<member const> members, node_id node)
    -> bool;
[[nodiscard]] auto is_voter(std::span<member const> members, node_id node)
    -> bool;

[[nodiscard]] auto is_sole_voter(std::span<member const> members, node_id node)
    -> bool;

/// Checks whether the proposed member list is valid and may follow the current
/// one. Returns the reason for a rejection, or an empty text.
[[nodiscard]] auto check_membership_change(std::span<member const> current,
                                           std::span<member const> proposed)
    -> std::string_view;

/// Largest value that a majority of the voters has reached.
template <std::invocable<node_id> ValueOf>
[[nodiscard]] auto quorum_value(std::span<member const> members,
                                ValueOf value_of)
    -> std::invoke_result_t<ValueOf, node_id>
{
    auto values = std::vector<std::invoke_result_t<ValueOf, node_id>>{};
    for (auto const& each : members)
        if (each.m_votes)
            values.push_back(value_of(each.m_node));
    if (values.empty())
        return {};
    std::ranges::sort(values, std::greater<>{});
    return values[values.size() / 2];
}

} // namespace hickorylatch::core

#endif
