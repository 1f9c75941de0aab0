#ifndef HICKORYLATCH_CORE_DISPATCH_TASK_BINDER_HPP
#define HICKORYLATCH_CORE_DISPATCH_TASK_BINDER_HPP

#include "core/dispatch/dispatch_state.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hickorylatch::core
{

/// A proposal to reassign a queued task to another agent.
struct allotment_move
{
    attempt_id m_attempt;
    node_id m_from = no_node;
    node_id m_to = no_node;
};

/// Chooses which queued task starts on which agent.
class task_binder
{
public:
    explicit task_binder(dispatch_state& state);

    /// Binds one task; empty if none can start now.
    auto bind_next(time_point now) -> std::optional<placement>;
    /// Proposes up to `limit` moves of tasks that another agent could start
    /// now, and holds these tasks.
    auto propose_moves(time_point now, std::size_t limit)
        -> std::vector<allotment_move>;

private:
    auto bind_trial(time_point now) -> std::optional<placement>;
    /// Binds a task that is assigned to this agent.
    auto bind_assigned(time_point now, agent_state& agent)
        -> std::optional<placement>;
    /// Binds a task that any agent of the service may run.
    auto bind_shared(time_point now, std::string const& service)
        -> std::optional<placement>;
    [[nodiscard]] auto next_assigned(time_point now,
                                     agent_state const& agent) const
        -> queued_item const*;
    [[nodiscard]] auto find_free_agent(std::string const& service,
                                       demand const& wanted) const
        -> agent_state*;
    /// True if the item is expected to end sooner on this straggler than after
    /// waiting for a normal agent.
    [[nodiscard]] auto is_straggler_faster(service_state const& service,
                                           agent_state const& agent,
                                           queued_item const& item) const
        -> bool;
    [[nodiscard]] auto find_move_target(demand const& wanted,
                                        agent_state const& from) const
        -> agent_state*;
    auto bind(time_point now, attempt_id attempt, agent_state& agent)
        -> placement;

    dispatch_state* m_state;
    std::uint64_t m_bind_count = 0;
};

} // namespace hickorylatch::core

#endif
