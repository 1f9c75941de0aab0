#ifndef HICKORYLATCH_CORE_DISPATCH_DISPATCH_STATE_HPP
#define HICKORYLATCH_CORE_DISPATCH_DISPATCH_STATE_HPP

#include "core/dispatch/agent_table.hpp"
#include "core/dispatch/run_time_estimator.hpp"
#include "core/dispatch/service_queue.hpp"
#include "core/dispatch/work_item.hpp"
#include "core/model/configuration.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace hickorylatch::core
{

/// Queue and run times of one service.
struct service_state
{
    /// Items that any agent of the service may run.
    service_queue m_queue;
    run_time_estimator m_run_times;
    /// Mean of observed over expected run time. The slowdown of an agent is
    /// relative to it, so that a change that affects all agents makes none of
    /// them a straggler.
    double m_slowdown = 1.0;
    std::optional<std::size_t> m_queue_limit;
    /// Includes items in the queues of agents and held items.
    std::size_t m_queued = 0;
    std::size_t m_running = 0;
};

/// Queued and running tasks of one customer.
struct customer_usage
{
    std::uint64_t m_tasks = 0;
    /// 0 for no limit.
    std::uint32_t m_quota = 0;
};

/// An attempt that occupies its agent.
struct running_item
{
    node_id m_agent = no_node;
    work_item m_item;
    time_point m_started_at{0};
    /// Run time charged to its customer so far.
    duration m_cost{0};
    /// Predicted end, less the prediction lead; `never` if unknown or past.
    time_point m_predicted_end = never;
    /// True once `m_predicted_end` has passed.
    bool m_is_ending = false;
    /// False if its agent announced the attempt before its item was enqueued.
    bool m_is_known = true;
};

/// All queued, held and running work with its agents, services and customers.
/// Keeps counts and indexes consistent; contains no policy.
class dispatch_state
{
public:
    /// Adds an item to the queue of its agent or service and counts it for its
    /// customer.
    auto add(queued_item item) -> void;
    /// Removes a queued or held item. False if there is none.
    auto remove(attempt_id attempt) -> bool;
    /// Removes a queued item from its queue until `reassign` and counts it as
    /// pending at `to`.
    auto hold_for_move(attempt_id attempt, node_id to) -> void;
    /// Assigns a queued or held item to an agent and queues it there. False if
    /// there is no such item.
    auto reassign(attempt_id attempt, node_id agent) -> bool;
    /// Moves an item from its queue to the running items of an agent, which
    /// need not be the one it is assigned to.
    auto start(time_point now, attempt_id attempt, agent_state& agent) -> void;
    /// Adds a running attempt that its agent announced and that is not queued.
    auto add_unknown(time_point now, attempt_id attempt, agent_state& agent)
        -> void;
    /// Sets the item of an unknown running attempt. No effect on a known one.
    auto identify(work_item item) -> void;
    /// Removes a running attempt and returns it.
    auto remove_running(attempt_id attempt) -> std::optional<running_item>;
    auto apply(configuration const& config) -> void;
    auto apply(evacuations const& evacuated) -> void;
    /// Attempts that start on endpoints from now on count as ending this long
    /// before their predicted end.
    auto set_prediction_lead(duration lead) -> void;
    /// Marks the attempts whose predicted end, less the prediction lead, has
    /// passed.
    auto mark_ending(time_point now) -> void;
    /// Marks an agent and its service for the next search for a task that can
    /// start.
    auto mark_ready(agent_state const& agent) -> void;

    [[nodiscard]] auto is_queued(attempt_id attempt) const -> bool;
    [[nodiscard]] auto is_running(attempt_id attempt) const -> bool;
    [[nodiscard]] auto running_at(node_id agent) const
        -> std::vector<attempt_id>;
    /// The smallest latest start time of all queued items, with its attempt;
    /// `never` if no item has one.
    [[nodiscard]] auto next_expiry() const -> std::pair<time_point, attempt_id>;
    /// When `mark_ending` has to be called next; `never` if there is nothing to
    /// mark.
    [[nodiscard]] auto next_predicted_end() const -> time_point;
    [[nodiscard]] auto customer(std::string_view name) const -> customer_usage;
    /// The service; added if it is unknown.
    [[nodiscard]] auto service(std::string_view name) -> service_state&;
    /// Null if unknown.
    [[nodiscard]] auto find_service(std::string_view name) const
        -> service_state const*;
    [[nodiscard]] auto agents() -> agent_table&;
    [[nodiscard]] auto agents() const -> agent_table const&;
    /// Agents and services at which a task may be able to start.
    [[nodiscard]] auto ready_agents() -> std::set<node_id>&;
    [[nodiscard]] auto ready_services() -> std::set<std::string, std::less<>>&;

private:
    auto mark_all_ready() -> void;

    /// A queued item that is held while its move is committed.
    struct held_item
    {
        queued_item m_item;
        node_id m_to = no_node;
    };
    struct location
    {
        service_state* m_service = nullptr;
        /// Agent whose queue holds the item; `no_node` for the queue of the
        /// service.
        node_id m_agent = no_node;
    };

    auto push(queued_item item) -> void;
    auto track(queued_item const& item) -> void;
    /// Removes an item from its queue or from the held items. If a time is
    /// given, the item starts then and its customer is charged.
    [[nodiscard]] auto extract(attempt_id attempt,
                               std::optional<time_point> taken_at = {})
        -> std::optional<queued_item>;
    auto add_running(running_item item) -> void;
    auto add_customer_task(std::string const& name) -> void;
    auto remove_customer_task(std::string const& name) -> void;

    agent_table m_agents;
    std::map<std::string, service_state, std::less<>> m_services;
    std::map<std::string, customer_usage, std::less<>> m_customers;
    std::unordered_map<attempt_id, location> m_locations;
    std::unordered_map<attempt_id, held_item> m_held;
    std::unordered_map<attempt_id, running_item> m_running;
    std::set<std::pair<node_id, attempt_id>> m_running_by_agent;
    std::set<std::pair<time_point, attempt_id>> m_expiries;
    std::set<std::pair<time_point, attempt_id>> m_predicted_ends;
    std::optional<duration> m_prediction_lead;
    std::set<node_id> m_ready_agents;
    std::set<std::string, std::less<>> m_ready_services;
};

} // namespace hickorylatch::core

#endif
