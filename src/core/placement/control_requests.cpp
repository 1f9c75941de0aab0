#include "core/placement/control_requests.hpp"

#include <algorithm>
#include <utility>

namespace hickorylatch::core
{

auto control_requests::connected(node_id replica, effects& out) -> void
{
    m_replicas.insert(replica);
    for (auto& [sequence, open] : m_open)
        if (open.m_sent_to == no_node)
            send_to_next(sequence, open, out);
}

auto control_requests::disconnected(node_id replica, effects& out) -> void
{
    m_replicas.erase(replica);
    if (m_preferred == replica)
        m_preferred = no_node;
    for (auto& [sequence, open] : m_open)
        if (open.m_sent_to == replica)
            send_to_next(sequence, open, out);
}

auto control_requests::ask(control_request request, effects& out) -> void
{
    auto const sequence = ++m_last_sequence;
    auto& open = m_open[sequence];
    open.m_request = std::move(request);
    send_to_next(sequence, open, out);
}

auto control_requests::send_to_next(std::uint64_t sequence, open_request& open,
                                    effects& out) -> void
{
    auto const before = std::exchange(open.m_sent_to, no_node);
    if (m_replicas.empty())
        return;
    if (before == no_node && m_preferred != no_node)
        open.m_sent_to = m_preferred;
    else
    {
        auto const next = m_replicas.upper_bound(before);
        open.m_sent_to = next == m_replicas.end() ? *m_replicas.begin() : *next;
    }
    out.emplace_back(
        send{open.m_sent_to, operate{sequence, open.m_request.m_operation}});
}

auto control_requests::answered(node_id from, operate_result const& result,
                                effects& out) -> std::optional<answered_request>
{
    auto const found = m_open.find(result.m_sequence);
    if (found == m_open.end() || found->second.m_sent_to != from)
        return std::nullopt;
    // The replica found no leader in time; another one may know one.
    if (result.m_verdict.m_reason == reason::no_leader)
    {
        send_to_next(found->first, found->second, out);
        return std::nullopt;
    }
    m_preferred = m_replicas.contains(result.m_leader) ? result.m_leader : from;
    auto done = answered_request{std::move(found->second.m_request), result};
    m_open.erase(found);
    return done;
}

auto control_requests::abandon(exchange_id exchange) -> void
{
    std::erase_if(m_open,
                  [exchange](auto const& each)
                  {
                      return each.second.m_request.m_exchange == exchange;
                  });
}

auto control_requests::expire(time_point now) -> std::vector<control_request>
{
    auto expired = std::vector<control_request>{};
    for (auto each = m_open.begin(); each != m_open.end();)
    {
        auto const current = each++;
        if (current->second.m_request.m_deadline > now)
            continue;
        expired.push_back(std::move(current->second.m_request));
        m_open.erase(current);
    }
    return expired;
}

auto control_requests::size() const -> std::size_t
{
    return m_open.size();
}

auto control_requests::next_deadline() const -> time_point
{
    auto first = never;
    for (auto const& [sequence, open] : m_open)
        first = std::min(first, open.m_request.m_deadline);
    return first;
}

} // namespace hickorylatch::core
