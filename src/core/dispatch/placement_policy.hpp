#ifndef HICKORYLATCH_CORE_DISPATCH_PLACEMENT_POLICY_HPP
#define HICKORYLATCH_CORE_DISPATCH_PLACEMENT_POLICY_HPP

#include "core/dispatch/agent_table.hpp"

#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace hickorylatch::core
{

/// Spreads the tasks of one job over workers: the least loaded first, and
/// among about equally loaded ones those in the failure domain and the rack
/// that hold the fewest tasks of this job.
class placement_policy
{
public:
    explicit placement_policy(agent_table& agents);

    /// An agent for the task, counted as pending there; `no_node` if no open
    /// agent could ever hold it.
    auto place(demand const& wanted) -> node_id;

private:
    /// Loads this close, as a share of an agent, count as equal.
    static constexpr auto equal_load = 0.02;
    /// Agents compared for each task.
    static constexpr auto compared = std::size_t{8};

    [[nodiscard]] auto choose(demand const& wanted, bool on_probation)
        -> agent_state*;

    agent_table* m_agents;
    std::unordered_map<std::string, std::size_t> m_in_domain;
    std::unordered_map<std::string, std::size_t> m_in_rack;
};

} // namespace hickorylatch::core

#endif
