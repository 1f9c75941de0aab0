#include "core/placement/claim_table.hpp"

#include <algorithm>
#include <utility>

namespace hickorylatch::core
{

namespace
{

// As long as the longest job of a client that does not say how long it waits.
constexpr auto longest_claim = duration{std::chrono::seconds{30}};

} // namespace

auto claim_table::claim(time_point now, node_id from, claim_job const& wanted)
    -> outcome
{
    expire(now);
    auto const time_left =
        duration{std::chrono::milliseconds{wanted.m_time_left_ms}};
    auto const until = now + std::min(time_left, longest_claim);
    auto& state = m_claims[wanted.m_job_id];
    if (until > state.m_until)
    {
        m_by_end.erase({state.m_until, wanted.m_job_id});
        state.m_until = until;
        m_by_end.emplace(until, wanted.m_job_id);
    }
    if (state.m_holder == no_node)
    {
        state.m_holder = from;
        state.m_has_asked = wanted.m_awaits_grant;
    }
    // The client has come back to the first entry.
    if (state.m_holder == from)
        return {from, std::exchange(state.m_next, no_node)};
    if (!wanted.m_awaits_grant)
    {
        // An entry that asked has the later copy, whatever comes late.
        if (state.m_has_asked && state.m_next != from &&
            !m_lost.contains(state.m_holder))
            return {state.m_holder, from};
        state.m_has_asked = state.m_next == from;
        if (state.m_next == from)
            state.m_next = no_node;
        return {from, std::exchange(state.m_holder, from)};
    }
    auto const displaced = std::exchange(state.m_next, from);
    return {state.m_holder, displaced == from ? no_node : displaced};
}

auto claim_table::pass_on(node_id holder, std::string_view job_id) -> node_id
{
    auto const found = m_claims.find(job_id);
    if (found == m_claims.end() || found->second.m_holder != holder)
        return no_node;
    auto const next = std::exchange(found->second.m_next, no_node);
    found->second.m_holder = next;
    found->second.m_has_asked = true;
    if (next == no_node)
    {
        m_by_end.erase({found->second.m_until, found->first});
        m_claims.erase(found);
    }
    return next;
}

auto claim_table::wanted_of(node_id holder) const -> std::vector<std::string>
{
    auto wanted = std::vector<std::string>{};
    for (auto const& [job, state] : m_claims)
        if (state.m_holder == holder && state.m_next != no_node)
            wanted.push_back(job);
    return wanted;
}

auto claim_table::connected(node_id entry) -> void
{
    m_lost.erase(entry);
}

auto claim_table::disconnected(time_point now, node_id entry) -> void
{
    std::erase_if(m_lost,
                  [now](auto const& each)
                  {
                      return now - each.second > longest_claim;
                  });
    m_lost[entry] = now;
}

auto claim_table::last_contact(time_point now, node_id entry) const
    -> time_point
{
    auto const found = m_lost.find(entry);
    return found == m_lost.end() ? now : found->second;
}

auto claim_table::expire(time_point now) -> void
{
    while (!m_by_end.empty() && m_by_end.begin()->first <= now)
    {
        m_claims.erase(m_by_end.begin()->second);
        m_by_end.erase(m_by_end.begin());
    }
}

} // namespace hickorylatch::core
