#include "core/dispatch/placement_policy.hpp"

#include <algorithm>
#include <limits>
#include <tuple>

namespace hickorylatch::core
{

namespace
{

/// Rack names are unique only within a failure domain.
auto rack_name(agent_info const& agent) -> std::string
{
    return agent.m_failure_domain + '/' + agent.m_rack;
}

} // namespace

placement_policy::placement_policy(agent_table& agents) : m_agents{&agents}
{
}

auto placement_policy::place(demand const& wanted) -> node_id
{
    auto* chosen = choose_agent(wanted, false);
    // An agent on probation is preferred to refusing the task as too large for
    // every agent.
    if (chosen == nullptr)
        chosen = choose_agent(wanted, true);
    if (chosen == nullptr)
        return no_node;
    chosen->m_pending += wanted;
    m_agents->reindex(*chosen);
    ++m_tasks_per_domain[chosen->m_info.m_failure_domain];
    ++m_tasks_per_rack[rack_name(chosen->m_info)];
    return chosen->m_info.m_node;
}

auto placement_policy::choose_agent(demand const& wanted, bool on_probation)
    -> agent_state*
{
    auto const& service = m_agents->agents_of(worker_service);
    auto const& candidates = wanted.m_accelerators > 0
                                 ? service.m_accelerated_by_load
                                 : service.m_by_load;
    agent_state* best = nullptr;
    auto lowest_load = std::numeric_limits<double>::max();
    auto best_rank = std::tuple<std::size_t, std::size_t, double>{};
    auto compared = std::size_t{0};
    for (auto const& [load, node] : candidates)
    {
        auto* const agent = m_agents->find(node);
        if (agent->m_health.is_on_probation() != on_probation ||
            !agent->fits_when_idle(wanted))
            continue;
        auto const load_after = agent->load(wanted);
        if (compared++ == max_agents_compared)
            break;
        auto const is_lower = load_after + equal_load_margin < lowest_load;
        if (!is_lower && load_after > lowest_load + equal_load_margin)
            continue;
        auto const rank =
            std::tuple{m_tasks_per_domain[agent->m_info.m_failure_domain],
                       m_tasks_per_rack[rack_name(agent->m_info)], load_after};
        if (best == nullptr || is_lower || rank < best_rank)
        {
            best = agent;
            best_rank = rank;
        }
        lowest_load = std::min(lowest_load, load_after);
    }
    return best;
}

} // namespace hickorylatch::core
