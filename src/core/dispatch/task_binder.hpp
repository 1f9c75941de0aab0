#ifndef HICKORYLATCH_CORE_DISPATCH_TASK_BINDER_HPP
#define HICKORYLATCH_CORE_DISPATCH_TASK_BINDER_HPP

#include "core/dispatch/work_ledger.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hickorylatch::core
{

/// A proposal to run a queued task on another agent than it is allotted to.
struct allotment_move
{
    attempt_id m_attempt;
    node_id m_from = no_node;
    node_id m_to = no_node;
};

/// Chooses which waiting task starts on which agent with room.
class task_binder
{
public:
    explicit task_binder(work_ledger& ledger);

    /// Binds one task; empty if none can start now.
    auto bind_next(time_point now) -> std::optional<placement>;
    /// Holds and proposes up to `limit` tasks that another agent could start
    /// now.
    auto propose_moves(time_point now, std::size_t limit)
        -> std::vector<allotment_move>;

private:
    auto bind_trial(time_point now) -> std::optional<placement>;
    /// Binds a task that is allotted to this agent.
    auto bind_own(time_point now, agent_state& agent)
        -> std::optional<placement>;
    /// Binds a task that any agent of the service may run.
    auto bind_shared(time_point now, std::string const& service)
        -> std::optional<placement>;
    [[nodiscard]] auto next_own(time_point now, agent_state const& agent) const
        -> queued_item const*;
    [[nodiscard]] auto find_free(std::string const& service,
                                 demand const& wanted) const -> agent_state*;
    /// True if the item ends sooner on this straggler than after waiting for a
    /// normal agent.
    [[nodiscard]] auto is_worth_straggler(service_state const& service,
                                          agent_state const& agent,
                                          queued_item const& item) const
        -> bool;
    [[nodiscard]] auto find_target(demand const& wanted,
                                   agent_state const& from) const
        -> agent_state*;
    auto bind(time_point now, attempt_id attempt, agent_state& agent)
        -> placement;

    work_ledger* m_ledger;
    std::uint64_t m_bindings = 0;
};

} // namespace hickorylatch::core

#endif
