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

/// Sum of the declared resource needs of a number of tasks.
struct demand
{
    std::uint64_t m_tasks = 0;
    std::uint64_t m_cores = 0;
    std::uint64_t m_memory_mb = 0;
    std::uint64_t m_accelerators = 0;

    auto operator+=(demand const& other) -> demand&;
    /// Saturates at zero.
    auto operator-=(demand const& other) -> demand&;
};

[[nodiscard]] auto demand_of(work_item const& item) -> demand;
[[nodiscard]] auto demand_of(task const& wanted) -> demand;

/// One agent incarnation and the work assigned to it.
struct agent_state
{
    agent_info m_info;
    /// False if the agent was removed while items were still queued for it.
    bool m_is_present = false;
    bool m_is_drained = false;
    demand m_running;
    /// Running tasks that are predicted to end within the prediction lead. One
    /// further task may be bound early to the slot that becomes free.
    std::uint32_t m_ending = 0;
    /// Predicted end of the last of these tasks.
    time_point m_next_free_at{0};
    /// Queued for this agent.
    demand m_waiting;
    /// Assigned to this agent, but not enqueued yet.
    demand m_pending;
    /// Measured over declared use, from usage reports.
    double m_core_ratio = 1.0;
    double m_memory_ratio = 1.0;
    /// Declared use at the last usage report.
    demand m_reported;
    agent_health m_health;
    service_queue m_queue;
    /// Sequence number of the last binding to this agent.
    std::uint64_t m_last_bind_number = 0;

    /// True if it may get new work, regardless of free resources and health.
    [[nodiscard]] auto is_schedulable() const -> bool;
    /// True if the task would fit if nothing else ran there.
    [[nodiscard]] auto fits_when_idle(demand const& wanted) const -> bool;
    /// Tasks that may be bound at the same time, including one bound early.
    [[nodiscard]] auto slots() const -> std::uint32_t;
    /// True if the task fits in addition to the running tasks and `planned`.
    [[nodiscard]] auto has_room(demand const& wanted,
                                demand const& planned = {}) const -> bool;
    /// Updates the ratios of measured to declared use from a report that covers
    /// the time since the last one.
    auto report_usage(std::uint32_t used_millicores,
                      std::uint32_t used_memory_mb) -> void;
    /// Largest utilization of any resource by running, queued and pending
    /// tasks.
    [[nodiscard]] auto load(demand const& extra = {}) const -> double;
};

/// Agents by service, indexed so that one is chosen at logarithmic cost. Call
/// `reindex` after each change of an agent's state.
class agent_table
{
public:
    /// Health class, load in thousandths, number of the last binding, agent.
    using free_key = std::tuple<int, std::uint64_t, std::uint64_t, node_id>;

    /// Agents of one service.
    struct service_agents
    {
        /// Agents with a free slot, in order of preference.
        std::set<free_key> m_free;
        /// Schedulable agents by load.
        std::set<std::pair<double, node_id>> m_by_load;
        /// Schedulable agents with accelerators by load.
        std::set<std::pair<double, node_id>> m_accelerated_by_load;
        std::set<node_id> m_present;
        /// Slots of the schedulable agents that are not on probation, in
        /// thousandths, divided by their slowdown.
        std::uint64_t m_capacity = 0;
    };

    auto add(agent_info const& info) -> agent_state&;
    /// Marks an agent as absent; erases it if nothing is queued for it.
    auto remove(node_id node) -> void;
    /// The agent; added as absent if it is unknown.
    auto find_or_add(node_id node, std::string_view service) -> agent_state&;
    /// Null if unknown.
    [[nodiscard]] auto find(node_id node) -> agent_state*;
    [[nodiscard]] auto find(node_id node) const -> agent_state const*;
    auto reindex(agent_state& agent) -> void;
    auto set_drained(std::span<std::string const> names) -> void;
    /// Agents in an evacuated failure domain count as drained.
    auto set_evacuated(evacuations const& evacuated) -> void;

    [[nodiscard]] auto agents_of(std::string_view service) const
        -> service_agents const&;
    /// Idle agents on probation and idle stragglers, by the time of their next
    /// trial.
    [[nodiscard]] auto trials() const
        -> std::set<std::pair<time_point, node_id>> const&;
    /// Agents with queued items.
    [[nodiscard]] auto backlogged() const -> std::set<node_id> const&;
    [[nodiscard]] auto is_drained(agent_info const& info) const -> bool;

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

    auto update_drained() -> void;
    auto unindex(node_id node, record& entry) -> void;

    std::map<node_id, record> m_agents;
    std::map<std::string, service_agents, std::less<>> m_services;
    std::set<std::string, std::less<>> m_drained;
    evacuations m_evacuated;
    std::set<std::pair<time_point, node_id>> m_trials;
    std::set<node_id> m_backlogged;
};

} // namespace hickorylatch::core

#endif
