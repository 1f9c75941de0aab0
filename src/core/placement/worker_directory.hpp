#ifndef HICKORYLATCH_CORE_PLACEMENT_WORKER_DIRECTORY_HPP
#define HICKORYLATCH_CORE_PLACEMENT_WORKER_DIRECTORY_HPP

#include "core/model/evacuations.hpp"
#include "core/model/job.hpp"
#include "core/model/message.hpp"
#include "core/model/random_source.hpp"
#include "core/model/time.hpp"
#include "core/placement/interference_estimate.hpp"
#include "core/placement/worker_contact.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hickorylatch::core
{

/// Requirements of a task that needs a worker.
struct placement_request
{
    std::string_view m_service;
    std::uint32_t m_rank = 0;
    job_step const* m_step = nullptr;
    /// Expected run time on a worker of average speed.
    duration m_expected{0};
    /// Agents to exclude: the task failed there, or the step has reached its
    /// limit of tasks there.
    std::span<node_id const> m_avoided_agents;
    queue_key m_queue = 0;
};

/// A worker chosen for a task.
struct placement_choice
{
    node_id m_agent = no_node;
    duration m_wait{0};
    duration m_run{0};
    /// Number of such tasks for which there is room now.
    std::uint32_t m_room = 0;
    /// Time between two ends of such tasks if the worker is filled with them.
    duration m_completion_interval{0};
    /// Compares choices; a lower cost is better.
    duration m_cost{0};
};

/// The agent at which a job is claimed.
struct claim_location
{
    /// Name of the agent's worker; empty if no agent is known.
    std::string_view m_worker;
    /// The last known process of the agent.
    node_id m_agent = no_node;
};

/// Known state of the workers: the announcements and loads of their agents, and
/// the runs that this process has ordered since.
class worker_directory
{
public:
    /// Factor on the run time of a task outside the rack with its data.
    auto set_spread_factor(double factor) -> void;
    /// Workers in these failure domains are not usable.
    auto set_evacuations(evacuations const& known) -> void;
    /// Prefers, among workers with room, those whose runs do not interfere.
    auto separate_interfering_tasks() -> void;
    /// Null unless interfering tasks are separated.
    [[nodiscard]] auto interference() -> interference_estimate*;

    auto connected(node_id agent) -> void;
    auto disconnected(time_point now, node_id agent) -> void;
    auto announce(time_point now, node_id agent,
                  worker_announcement const& announcement) -> void;
    auto update(time_point now, node_id agent, worker_load const& load) -> void;
    /// Number for the next order to the agent, counted from 1 on each link.
    auto next_order(node_id agent) -> std::uint64_t;
    /// Adds a run that was ordered. It counts until a load includes it.
    /// `queue` is none for a reservation.
    auto add_order(node_id agent, std::uint64_t order, resources const& needs,
                   duration expected, std::optional<queue_key> queue) -> void;
    /// Removes the runs of this order, the last one of the agent.
    auto remove_order(node_id agent, std::uint64_t order) -> void;

    /// The agent had no room for a run: assumes none until its next load.
    auto mark_full(node_id agent) -> void;

    /// Draws a worker at random, weighted by room and cost, so that the task is
    /// expected to end early. None if no usable worker could ever run it.
    [[nodiscard]] auto choose(time_point now, placement_request const& request,
                              random_source& random) const
        -> std::optional<placement_choice>;
    /// At most `count` workers of the lowest cost, in order of their waits.
    /// Excludes workers on trial.
    [[nodiscard]] auto
    soonest_available(time_point now, placement_request const& request,
                      std::size_t count, random_source& random) const
        -> std::vector<placement_choice>;
    /// True if the agent accepts runs now.
    [[nodiscard]] auto is_usable(time_point now, node_id agent) const -> bool;
    /// True if some worker of the service accepts runs now.
    [[nodiscard]] auto has_usable(time_point now,
                                  std::string_view service) const -> bool;
    [[nodiscard]] auto has_any_usable(time_point now) const -> bool;
    [[nodiscard]] auto contact(time_point now) const -> worker_contact;
    /// True if the agent's worker accepted runs by its last load, however old,
    /// and is not evacuated.
    [[nodiscard]] auto is_accepting(node_id agent) const -> bool;
    [[nodiscard]] auto is_evacuated(node_id agent) const -> bool;
    /// True if some worker could run tasks of the step, but only workers in
    /// evacuated failure domains. Counts workers that are not usable now but
    /// may be usable again.
    [[nodiscard]] auto requires_evacuated(std::string_view service,
                                          job_step const& step) const -> bool;
    /// Share of the usable workers' millicores that is free; 0 without workers.
    [[nodiscard]] auto free_share(time_point now) const -> double;
    /// Ratio of run times at this worker to expected run times; 1 is average.
    [[nodiscard]] auto slowness(node_id agent) const -> double;
    /// Number of the last order on the current link; 0 if there is none.
    [[nodiscard]] auto last_order(node_id agent) const -> std::uint64_t;
    [[nodiscard]] auto is_connected(node_id agent) const -> bool;
    [[nodiscard]] auto connected_agents() const -> std::vector<node_id>;
    /// Name of the agent's worker; empty if unknown.
    [[nodiscard]] auto worker_name(node_id agent) const -> std::string_view;
    /// Time since the agent's last announcement or load; 0 if unknown.
    [[nodiscard]] auto load_age(time_point now, node_id agent) const
        -> duration;
    [[nodiscard]] auto size() const -> std::size_t;
    /// The agent at which entries claim the job. It is the same for all entries
    /// that know the same agents of their failure domain; agents of other
    /// domains are chosen only if their own has none. Agents whose link was
    /// lost recently are included, because different entries lose links at
    /// different times.
    [[nodiscard]] auto claim_agent(time_point now, std::string_view job_id,
                                   std::string_view failure_domain) const
        -> claim_location;

private:
    /// A run that was ordered and is not included in the last load.
    struct unreported_run
    {
        std::uint64_t m_order = 0;
        resources m_needs;
        duration m_expected{0};
        std::optional<queue_key> m_queue;
    };

    struct worker_state
    {
        bool m_is_connected = false;
        bool m_is_announced = false;
        worker_announcement m_announcement;
        worker_load m_load;
        time_point m_updated_at{0};
        std::uint64_t m_last_order = 0;
        std::deque<unreported_run> m_unreported;
    };

    [[nodiscard]] auto is_evacuated(worker_state const& worker) const -> bool;
    [[nodiscard]] auto is_usable(time_point now,
                                 worker_state const& worker) const -> bool;
    [[nodiscard]] auto is_accepting(worker_state const& worker) const -> bool;
    /// True if the worker has the service, the capacity and the label.
    [[nodiscard]] static auto is_suitable(worker_state const& worker,
                                          std::string_view service,
                                          job_step const& step) -> bool;
    /// True if the worker may run the task.
    [[nodiscard]] auto can_run(time_point now, node_id agent,
                               worker_state const& worker,
                               placement_request const& request) const -> bool;
    /// Workers for the task whose acceptance is at least `min_acceptance`.
    [[nodiscard]] auto candidates(time_point now,
                                  placement_request const& request,
                                  acceptance min_acceptance) const
        -> std::vector<placement_choice>;
    /// Draws one of the choices, weighted by room and cost. `fraction` is a
    /// random number from 0 to 1.
    [[nodiscard]] static auto draw(std::span<placement_choice const> from,
                                   duration expected, double relative_scale,
                                   double fraction) -> placement_choice;
    /// Adds the expected effects of interference to the costs.
    auto add_interference(placement_request const& request,
                          std::span<placement_choice> choices) const -> void;
    /// Free resources by the last load, less the orders since.
    [[nodiscard]] static auto free_room(worker_state const& worker)
        -> resources;
    [[nodiscard]] auto assess(worker_state const& worker,
                              placement_request const& request) const
        -> placement_choice;
    [[nodiscard]] static auto expected_wait(worker_state const& worker,
                                            placement_request const& request,
                                            resources const& room) -> duration;

    /// An agent that may be chosen for claims.
    struct claim_candidate
    {
        node_id m_agent = no_node;
        std::string m_failure_domain;
        time_point m_disconnected_at = never;
    };

    double m_spread_factor = 1.0;
    evacuations m_evacuations;
    std::optional<interference_estimate> m_interference;
    std::map<node_id, worker_state> m_workers;
    /// By the name of the worker.
    std::map<std::string, claim_candidate, std::less<>> m_claim_agents;
};

} // namespace hickorylatch::core

#endif
