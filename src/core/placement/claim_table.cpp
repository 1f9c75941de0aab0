#include "core/placement/claim_table.hpp"

#include <algorithm>
#include <utility>

namespace hickorylatch::core
{

namespace
{

// As long as the wait that entries assume for a client that does not state how
// long it waits.
constexpr auto claim_time_limit = duration{std::chrono::seconds{30}};

} // namespace

auto claim_table::claim(time_point now, node_id from, claim_job const& wanted)
    -> outcome
{
    expire(now);
    auto const time_left =
        duration{std::chrono::milliseconds{wanted.m_time_left_ms}};
    auto const expires_at = now + std::min(time_left, claim_time_limit);
    auto& state = m_claims[wanted.m_job_id];
    if (expires_at > state.m_expires_at)
    {
        m_by_expiry.erase({state.m_expires_at, wanted.m_job_id});
        state.m_expires_at = expires_at;
        m_by_expiry.emplace(expires_at, wanted.m_job_id);
    }
    if (state.m_holder == no_node)
    {
        state.m_holder = from;
        state.m_has_awaited_grant = wanted.m_awaits_grant;
    }
    // The client has sent the job to the first entry again.
    if (state.m_holder == from)
        return {from, std::exchange(state.m_next_holder, no_node)};
    if (!wanted.m_awaits_grant)
    {
        // A holder that awaited its grant has the later copy of the job, even
        // if this claim arrives after it.
        if (state.m_has_awaited_grant && state.m_next_holder != from &&
            !m_disconnected_at.contains(state.m_holder))
            return {state.m_holder, from};
        state.m_has_awaited_grant = state.m_next_holder == from;
        if (state.m_next_holder == from)
            state.m_next_holder = no_node;
        return {from, std::exchange(state.m_holder, from)};
    }
    auto const displaced = std::exchange(state.m_next_holder, from);
    return {state.m_holder, displaced == from ? no_node : displaced};
}

auto claim_table::transfer(node_id holder, std::string_view job_id) -> node_id
{
    auto const found = m_claims.find(job_id);
    if (found == m_claims.end() || found->second.m_holder != holder)
        return no_node;
    auto const next = std::exchange(found->second.m_next_holder, no_node);
    found->second.m_holder = next;
    found->second.m_has_awaited_grant = true;
    if (next == no_node)
    {
        m_by_expiry.erase({found->second.m_expires_at, found->first});
        m_claims.erase(found);
    }
    return next;
}

auto claim_table::contested_jobs(node_id holder) const
    -> std::vector<std::string>
{
    auto contested = std::vector<std::string>{};
    for (auto const& [job, state] : m_claims)
        if (state.m_holder == holder && state.m_next_holder != no_node)
            contested.push_back(job);
    return contested;
}

auto claim_table::connected(node_id entry) -> void
{
    m_disconnected_at.erase(entry);
}

auto claim_table::disconnected(time_point now, node_id entry) -> void
{
    std::erase_if(m_disconnected_at,
                  [now](auto const& each)
                  {
                      return now - each.second > claim_time_limit;
                  });
    m_disconnected_at[entry] = now;
}

auto claim_table::last_contact(time_point now, node_id entry) const
    -> time_point
{
    auto const found = m_disconnected_at.find(entry);
    return found == m_disconnected_at.end() ? now : found->second;
}

auto claim_table::expire(time_point now) -> void
{
    while (!m_by_expiry.empty() && m_by_expiry.begin()->first <= now)
    {
        m_claims.erase(m_by_expiry.begin()->second);
        m_by_expiry.erase(m_by_expiry.begin());
    }
}

} // namespace hickorylatch::core
