#ifndef HICKORYLATCH_CORE_DISPATCHER_HPP
#define HICKORYLATCH_CORE_DISPATCHER_HPP

#include "core/configuration.hpp"
#include "core/ids.hpp"
#include "core/message.hpp"
#include "core/time.hpp"
#include "core/verdict.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hickorylatch::core
{

/// One task that waits for a slot.
struct work_item
{
    attempt_id m_attempt;
    std::string m_service;
    std::string m_customer;
    priority m_priority = 0;
    /// `never` if it has none.
    time_point m_deadline = never;
    std::uint32_t m_cores = 1;
    std::uint32_t m_memory_mb = 0;
    std::uint32_t m_accelerators = 0;
    /// Declared run time; 0 if unknown.
    duration m_run_time{0};
    /// The only agent that may run it; `no_node` if any may.
    node_id m_allotted = no_node;
};

/// A task bound to a free slot.
struct placement
{
    attempt_id m_attempt;
    node_id m_agent = no_node;
};

enum class attempt_outcome : std::uint8_t
{
    succeeded,
    failed,
    not_run,
    stopped
};

/// Queues and slots of every service, in the leader's memory only. Binds a
/// waiting task to an agent only when the agent has room for it.
class dispatcher
{
public:
    /// Adds an agent or replaces what is known of it. Attempts that it already
    /// runs take their room.
    auto add_agent(time_point now, agent_info const& agent,
                   std::span<attempt_id const> running) -> void;
    /// Removes an agent. Returns its attempts in progress.
    auto remove_agent(node_id agent) -> std::vector<attempt_id>;
    auto set_leaving(node_id agent, bool leaving) -> void;
    auto apply(configuration const& config) -> void;

    /// Queues an item. A verdict comes back if it was refused, not run.
    [[nodiscard]] auto enqueue(time_point now, work_item item)
        -> std::optional<verdict>;
    /// Chooses an agent for each task of a job, to be committed with its
    /// acceptance. Empty if some task fits no agent at all.
    [[nodiscard]] auto allot(std::span<task const> tasks)
        -> std::vector<node_id>;
    /// Binds the next task to a slot, if any task can start now.
    [[nodiscard]] auto next(time_point now) -> std::optional<placement>;
    /// Frees the room of an attempt.
    auto finish(time_point now, attempt_id attempt, attempt_outcome outcome)
        -> void;
    /// Takes a queued item out. False if it is not queued.
    auto withdraw(attempt_id attempt) -> bool;
    /// Takes out the queued items whose deadline has passed.
    [[nodiscard]] auto expire(time_point now) -> std::vector<attempt_id>;

    [[nodiscard]] auto has_agent(node_id agent) const -> bool;
    [[nodiscard]] auto queued(std::string_view service) const -> std::size_t;
    [[nodiscard]] auto running(std::string_view service) const -> std::size_t;

private:
    struct agent_state
    {
        agent_info m_info;
        std::uint32_t m_used_slots = 0;
        std::uint32_t m_used_cores = 0;
        std::uint32_t m_used_memory_mb = 0;
        std::uint32_t m_used_accelerators = 0;
        std::uint64_t m_allotted = 0;
    };

    [[nodiscard]] auto has_room(agent_state const& agent,
                                work_item const& item) const -> bool;
    [[nodiscard]] auto choose_agent(work_item const& item) -> agent_state*;

    std::map<node_id, agent_state> m_agents;
    std::vector<std::string> m_drained;
    std::map<std::string, std::size_t, std::less<>> m_limits;
    // Highest priority first, then arrival order.
    std::map<priority, std::deque<work_item>, std::greater<>> m_queue;
    std::unordered_map<attempt_id, std::pair<node_id, work_item>> m_running;
};

} // namespace hickorylatch::core

#endif
