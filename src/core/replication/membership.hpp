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

[[nodiscard]] auto is_listed(std::span<member const> members, node_id node)
    -> bool;
[[nodiscard]] auto is_voter(std::span<member const> members, node_id node)
    -> bool;

[[nodiscard]] auto is_only_voter(std::span<member const> members, node_id node)
    -> bool;

/// Checks the member list alone and the step to it from the present list.
/// Returns why it is refused, or an empty text.
[[nodiscard]] auto check_change(std::span<member const> present,
                                std::span<member const> wanted)
    -> std::string_view;

/// The largest value that a majority of the voters has reached.
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
