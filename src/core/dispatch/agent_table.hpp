#ifndef HICKORYLATCH_CORE_DISPATCH_AGENT_TABLE_HPP
#define HICKORYLATCH_CORE_DISPATCH_AGENT_TABLE_HPP

#include "core/dispatch/agent_health.hpp"
#include "core/dispatch/service_queue.hpp"
#include "core/model/message.hpp"

#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>

namespace hickorylatch::core
{

/// What a number of tasks need together, as declared.
struct demand
{
    std::uint64_t m_tasks = 0;
    std::uint64_t m_cores = 0;
    std::uint64_t m_memory_mb = 0;
    std::uint64_t m_accelerators = 0;

    auto operator+=(demand const& other) -> demand&;
    /// Stops at zero.
    auto operator-=(demand const& other) -> demand&;
};

[[nodiscard]] auto demand_of(work_item const& item) -> demand;
[[nodiscard]] auto demand_of(task const& wanted) -> demand;

/// One agent incarnation and the work given to it.
struct agent_state
{
    agent_info m_info;
    /// False if the agent is gone and only its queue is left.
    bool m_is_present = false;
    bool m_is_drained = false;
    demand m_running;
    /// Running tasks whose predicted end has come. One task may be bound ahead
    /// to the slot that they leave.
    std::uint32_t m_ending = 0;
    /// Predicted end of the last of them.
    time_point m_next_free{0};
    /// Committed to this agent, waiting for room.
    demand m_waiting;
    /// Allotted, but not enqueued yet.
    demand m_pending;
    /// Measured use over declared use, from usage reports.
    double m_core_ratio = 1.0;
    double m_memory_ratio = 1.0;
    /// Declared use at the last usage report.
    demand m_reported;
    agent_health m_health;
    service_queue m_queue;
    /// When it was last bound a task, as a count of bindings.
    std::uint64_t m_last_bound = 0;

    /// True if it may get new work, room and health aside.
    [[nodiscard]] auto is_open() const -> bool;
    /// True if it could hold the task when empty.
    [[nodiscard]] auto could_hold(demand const& wanted) const -> bool;
    /// Tasks that may be bound at once, with one bound ahead.
    [[nodiscard]] auto slots() const -> std::uint32_t;
    /// True if the task fits beside what runs and `planned` more.
    [[nodiscard]] auto has_room(demand const& wanted,
                                demand const& planned = {}) const -> bool;
    /// Corrects the ratios of measured to declared use by a report that covers
    /// the time since the last one.
    auto report_usage(std::uint32_t used_millicores,
                      std::uint32_t used_memory_mb) -> void;
    /// Largest share of a resource that runs, waits or is allotted.
    [[nodiscard]] auto load(demand const& extra = {}) const -> double;
};

/// Agents by service, ordered for the choice of one with logarithmic cost.
/// After a change of an agent's state `refresh` brings the order up to date.
class agent_table
{
public:
    /// Trust class, load in thousandths, last binding, agent.
    using free_key = std::tuple<int, std::uint64_t, std::uint64_t, node_id>;

    /// Agents of one service.
    struct service_agents
    {
        /// Agents with a free slot, the best choice first.
        std::set<free_key> m_free;
        /// Open agents by load.
        std::set<std::pair<double, node_id>> m_by_load;
        /// The same, only agents with accelerators.
        std::set<std::pair<double, node_id>> m_accelerated;
        /// All present agents.
        std::set<node_id> m_present;
        /// Slots of the open agents that are not on probation, in thousandths,
        /// divided by their run time factor.
        std::uint64_t m_capacity = 0;
    };

    auto add(agent_info const& info) -> agent_state&;
    /// Marks an agent as gone; forgets it if nothing waits for it.
    auto remove(node_id node) -> void;
    /// The agent, made without presence if it is unknown.
    auto ensure(node_id node, std::string_view service) -> agent_state&;
    /// Null if unknown.
    [[nodiscard]] auto find(node_id node) -> agent_state*;
    [[nodiscard]] auto find(node_id node) const -> agent_state const*;
    auto refresh(agent_state& agent) -> void;
    auto drain(std::span<std::string const> names) -> void;

    [[nodiscard]] auto of(std::string_view service) const
        -> service_agents const&;
    /// Agents on probation and idle stragglers, by the time of their next
    /// trial.
    [[nodiscard]] auto trials() const
        -> std::set<std::pair<time_point, node_id>> const&;
    /// Agents with waiting items.
    [[nodiscard]] auto backlogged() const -> std::set<node_id> const&;
    [[nodiscard]] auto is_drained(std::string_view name) const -> bool;

private:
    struct record
    {
        agent_state m_state;
        service_agents* m_service = nullptr;
        free_key m_free_key;
        bool m_is_free = false;
        double m_load_key = 0;
        bool m_has_load = false;
        time_point m_trial_key = never;
        std::uint64_t m_capacity = 0;
    };

    auto unindex(node_id node, record& of) -> void;

    std::map<node_id, record> m_agents;
    std::map<std::string, service_agents, std::less<>> m_services;
    std::set<std::string, std::less<>> m_drained;
    std::set<std::pair<time_point, node_id>> m_trials;
    std::set<node_id> m_backlogged;
};

} // namespace hickorylatch::core

#endif
