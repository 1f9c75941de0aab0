#ifndef HICKORYLATCH_CORE_DISPATCH_PLACEMENT_POLICY_HPP
#define HICKORYLATCH_CORE_DISPATCH_PLACEMENT_POLICY_HPP

#include "core/dispatch/agent_table.hpp"

#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace hickorylatch::core
{

/// Spreads the tasks of one job over workers. Prefers the least loaded ones
/// and, if loads are about equal, those in the failure domain and the rack with
/// the fewest tasks of this job.
class placement_policy
{
public:
    explicit placement_policy(agent_table& agents);

    /// Chooses an agent for the task and counts the task as pending there;
    /// `no_node` if it fits no schedulable agent.
    auto place(demand const& wanted) -> node_id;

private:
    /// Loads that differ by at most this share of an agent's capacity count as
    /// equal.
    static constexpr auto equal_load_margin = 0.02;
    /// Maximum number of agents compared for each task.
    static constexpr auto max_agents_compared = std::size_t{8};

    [[nodiscard]] auto choose_agent(demand const& wanted, bool on_probation)
        -> agent_state*;

    agent_table* m_agents;
    std::unordered_map<std::string, std::size_t> m_tasks_per_domain;
    std::unordered_map<std::string, std::size_t> m_tasks_per_rack;
};

} // namespace hickorylatch::core

#endif
