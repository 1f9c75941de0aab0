#include "core/placement/control_requests.hpp"

#include <algorithm>
#include <utility>

namespace hickorylatch::core
{

auto control_requests::connected(node_id replica, effects& out) -> void
{
    m_replicas.insert(replica);
    for (auto& [sequence, pending] : m_pending)
        if (pending.m_sent_to == no_node)
            send_to_next(sequence, pending, out);
}

auto control_requests::is_connected() const -> bool
{
    return !m_replicas.empty();
}

auto control_requests::disconnected(node_id replica, effects& out) -> void
{
    m_replicas.erase(replica);
    if (m_preferred_replica == replica)
        m_preferred_replica = no_node;
    for (auto& [sequence, pending] : m_pending)
        if (pending.m_sent_to == replica)
            send_to_next(sequence, pending, out);
}

auto control_requests::submit(control_request request, effects& out) -> void
{
    auto const sequence = ++m_last_sequence;
    auto& pending = m_pending[sequence];
    pending.m_request = std::move(request);
    send_to_next(sequence, pending, out);
}

auto control_requests::send_to_next(std::uint64_t sequence,
                                    pending_request& pending, effects& out)
    -> void
{
    auto const before = std::exchange(pending.m_sent_to, no_node);
    if (m_replicas.empty())
        return;
    if (before == no_node && m_preferred_replica != no_node)
        pending.m_sent_to = m_preferred_replica;
    else
    {
        auto const next = m_replicas.upper_bound(before);
        pending.m_sent_to =
            next == m_replicas.end() ? *m_replicas.begin() : *next;
    }
    ++pending.m_send_count;
    out.emplace_back(send{pending.m_sent_to,
                          operate{sequence, pending.m_request.m_operation}});
}

auto control_requests::answered(node_id from, operate_result const& result,
                                effects& out) -> std::optional<answered_request>
{
    auto const found = m_pending.find(result.m_sequence);
    if (found == m_pending.end() || found->second.m_sent_to != from)
        return std::nullopt;
    // The replica found no leader in time; another one may know the leader.
    if (result.m_verdict.m_reason == reason::no_leader)
    {
        send_to_next(found->first, found->second, out);
        return std::nullopt;
    }
    m_preferred_replica =
        m_replicas.contains(result.m_leader) ? result.m_leader : from;
    auto done = answered_request{std::move(found->second.m_request), result};
    if (found->second.m_send_count > 1)
        done.m_result.m_verdict = after_resend(done.m_result.m_verdict);
    m_pending.erase(found);
    return done;
}

auto control_requests::abandon(exchange_id exchange) -> void
{
    std::erase_if(m_pending,
                  [exchange](auto const& each)
                  {
                      return each.second.m_request.m_exchange == exchange;
                  });
}

auto control_requests::expire(time_point now) -> std::vector<control_request>
{
    auto expired = std::vector<control_request>{};
    for (auto each = m_pending.begin(); each != m_pending.end();)
    {
        auto const current = each++;
        if (current->second.m_request.m_deadline > now)
            continue;
        expired.push_back(std::move(current->second.m_request));
        m_pending.erase(current);
    }
    return expired;
}

auto control_requests::size() const -> std::size_t
{
    return m_pending.size();
}

auto control_requests::next_deadline() const -> time_point
{
    auto first = never;
    for (auto const& [sequence, pending] : m_pending)
        first = std::min(first, pending.m_request.m_deadline);
    return first;
}

} // namespace hickorylatch::core
