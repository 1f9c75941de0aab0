#ifndef HICKORYLATCH_CORE_DISPATCH_WORK_LEDGER_HPP
#define HICKORYLATCH_CORE_DISPATCH_WORK_LEDGER_HPP

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
    run_time_estimator m_times;
    /// Mean of run time over expected run time. A change that all agents share
    /// shows here and makes none of them a straggler.
    double m_factor = 1.0;
    std::optional<std::size_t> m_limit;
    /// Also counts the items in the queues of agents and those held.
    std::size_t m_queued = 0;
    std::size_t m_running = 0;
};

/// Work of one customer, queued and running.
struct customer_use
{
    std::uint64_t m_tasks = 0;
    /// 0 for none.
    std::uint32_t m_quota = 0;
};

/// An attempt that occupies its agent.
struct running_item
{
    node_id m_agent = no_node;
    work_item m_item;
    time_point m_started_at{0};
    /// Charged to its customer so far.
    duration m_cost{0};
    /// Predicted end while it is awaited; `never` if unknown or past.
    time_point m_predicted_end = never;
    /// True once its predicted end has come.
    bool m_is_ending = false;
    /// False if its agent announced an attempt that is not known here.
    bool m_is_known = true;
};

/// All queued, held and running work with its agents, services and customers.
/// Keeps the counts and orders that depend on each other consistent; decides
/// nothing.
class work_ledger
{
public:
    /// Puts an item into the queue of its agent or service and counts it for
    /// its customer.
    auto add(queued_item item) -> void;
    /// Takes a queued or held item out for good. False if there is none.
    auto drop(attempt_id attempt) -> bool;
    /// Moves a queued item out of its queue until `reassign`, counting it as
    /// pending at `to`.
    auto hold(attempt_id attempt, node_id to) -> void;
    /// Queues a queued or held item at an agent. False if there is none.
    auto reassign(attempt_id attempt, node_id agent) -> bool;
    /// Moves an item from a queue to the running ones of an agent, which need
    /// not be the one it was allotted to.
    auto start(time_point now, attempt_id attempt, agent_state& agent) -> void;
    /// Adds an attempt that its agent announced and that is not queued.
    auto add_unknown(time_point now, attempt_id attempt, agent_state& agent)
        -> void;
    /// Gives an unknown running attempt its item. No effect on a known one.
    auto identify(work_item item) -> void;
    /// Takes a running attempt out.
    auto stop(attempt_id attempt) -> std::optional<running_item>;
    auto apply(configuration const& config) -> void;
    /// From now on, attempts on endpoints count as ending this long before
    /// their predicted end.
    auto predict_ends(duration lead) -> void;
    /// Marks the attempts whose predicted end has come.
    auto mark_ending(time_point now) -> void;
    /// Notes that a task may be able to start at an agent or its service.
    auto mark_ready(agent_state const& agent) -> void;

    [[nodiscard]] auto is_queued(attempt_id attempt) const -> bool;
    [[nodiscard]] auto is_running(attempt_id attempt) const -> bool;
    [[nodiscard]] auto running_at(node_id agent) const
        -> std::vector<attempt_id>;
    /// The queued item with the earliest latest start, and that time; `never`
    /// if no item has one.
    [[nodiscard]] auto next_expiry() const -> std::pair<time_point, attempt_id>;
    /// When `mark_ending` has something to do; `never` if not at all.
    [[nodiscard]] auto next_ending() const -> time_point;
    [[nodiscard]] auto customer(std::string_view name) const -> customer_use;
    /// The service, made if it is unknown.
    [[nodiscard]] auto service(std::string_view name) -> service_state&;
    /// Null if unknown.
    [[nodiscard]] auto find_service(std::string_view name) const
        -> service_state const*;
    [[nodiscard]] auto agents() -> agent_table&;
    [[nodiscard]] auto agents() const -> agent_table const&;
    /// Agents and services where a task may be able to start.
    [[nodiscard]] auto ready_agents() -> std::set<node_id>&;
    [[nodiscard]] auto ready_services() -> std::set<std::string, std::less<>>&;

private:
    /// A queued item that is held back.
    struct held_item
    {
        queued_item m_item;
        node_id m_to = no_node;
    };
    struct location
    {
        service_state* m_service = nullptr;
        /// Agent with the item in its queue; `no_node` for the service's queue.
        node_id m_agent = no_node;
    };

    auto push(queued_item item) -> void;
    auto track(queued_item const& item) -> void;
    /// Takes an item out of its queue or hold; with a time, to run it then.
    [[nodiscard]] auto extract(attempt_id attempt,
                               std::optional<time_point> taken_at = {})
        -> std::optional<queued_item>;
    auto occupy(running_item item) -> void;
    auto use_customer(std::string const& name) -> void;
    auto release_customer(std::string const& name) -> void;

    agent_table m_agents;
    std::map<std::string, service_state, std::less<>> m_services;
    std::map<std::string, customer_use, std::less<>> m_customers;
    std::unordered_map<attempt_id, location> m_locations;
    std::unordered_map<attempt_id, held_item> m_held;
    std::unordered_map<attempt_id, running_item> m_running;
    std::set<std::pair<node_id, attempt_id>> m_running_by_agent;
    std::set<std::pair<time_point, attempt_id>> m_expiries;
    std::set<std::pair<time_point, attempt_id>> m_predicted_ends;
    std::optional<duration> m_lead;
    std::set<node_id> m_ready_agents;
    std::set<std::string, std::less<>> m_ready_services;
};

} // namespace hickorylatch::core

#endif
