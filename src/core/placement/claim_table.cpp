#include "core/placement/claim_table.hpp"

#include <algorithm>
#include <utility>

namespace hickorylatch::core
{

namespace
{

// Clients of short jobs wait for seconds. A longer claim would only keep the
// memory of a job that has ended, as ends are not told.
constexpr auto longest_claim = duration{std::chrono::seconds{10}};

} // namespace

auto claim_table::claim(time_point now, node_id from, claim_job const& wanted)
    -> node_id
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
        state.m_holder = from;
    if (state.m_holder == from)
        return no_node;
    state.m_next = from;
    return state.m_holder;
}

auto claim_table::pass_on(node_id holder, std::string_view job_id) -> node_id
{
    auto const found = m_claims.find(job_id);
    if (found == m_claims.end() || found->second.m_holder != holder ||
        found->second.m_next == no_node)
        return no_node;
    found->second.m_holder = std::exchange(found->second.m_next, no_node);
    return found->second.m_holder;
}

auto claim_table::wanted_of(node_id holder) const -> std::vector<std::string>
{
    auto wanted = std::vector<std::string>{};
    for (auto const& [job, state] : m_claims)
        if (state.m_holder == holder && state.m_next != no_node)
            wanted.push_back(job);
    return wanted;
}

auto claim_table::size() const -> std::size_t
{
    return m_claims.size();
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
