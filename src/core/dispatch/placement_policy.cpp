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
    auto* chosen = choose(wanted, false);
    // An agent on probation is better than a refusal that says no agent could
    // hold the task.
    if (chosen == nullptr)
        chosen = choose(wanted, true);
    if (chosen == nullptr)
        return no_node;
    chosen->m_pending += wanted;
    m_agents->refresh(*chosen);
    ++m_in_domain[chosen->m_info.m_failure_domain];
    ++m_in_rack[rack_name(chosen->m_info)];
    return chosen->m_info.m_node;
}

auto placement_policy::choose(demand const& wanted, bool on_probation)
    -> agent_state*
{
    auto const& service = m_agents->of(worker_service);
    auto const& candidates =
        wanted.m_accelerators > 0 ? service.m_accelerated : service.m_by_load;
    agent_state* best = nullptr;
    auto least = std::numeric_limits<double>::max();
    auto best_rank = std::tuple<std::size_t, std::size_t, double>{};
    auto seen = std::size_t{0};
    for (auto const& [load, node] : candidates)
    {
        auto* const agent = m_agents->find(node);
        if (agent->m_health.is_on_probation() != on_probation ||
            !agent->could_hold(wanted))
            continue;
        auto const after = agent->load(wanted);
        if (seen++ == compared)
            break;
        auto const is_less = after + equal_load < least;
        if (!is_less && after > least + equal_load)
            continue;
        auto const rank =
            std::tuple{m_in_domain[agent->m_info.m_failure_domain],
                       m_in_rack[rack_name(agent->m_info)], after};
        if (best == nullptr || is_less || rank < best_rank)
        {
            best = agent;
            best_rank = rank;
        }
        least = std::min(least, after);
    }
    return best;
}

} // namespace hickorylatch::core
