#ifndef HICKORYLATCH_CORE_PLACEMENT_RUN_PLACER_HPP
#define HICKORYLATCH_CORE_PLACEMENT_RUN_PLACER_HPP

#include "core/model/configuration.hpp"
#include "core/model/effect.hpp"
#include "core/model/random_source.hpp"
#include "core/placement/contact_timeouts.hpp"
#include "core/placement/job_planner.hpp"
#include "core/placement/placed_job.hpp"
#include "core/placement/worker_directory.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hickorylatch::core
{

struct run_placer_settings
{
    /// Factor on the run time of a task outside the rack with its data.
    double m_spread_factor = 1.0;
    /// Longest lease that a worker grants.
    duration m_lease = std::chrono::milliseconds{1000};
    /// An agent stops this process's runs after this long without contact.
    duration m_contact_timeout = entry_contact_timeout;
    /// Maximum rate of load messages from all agents, per second. Limits the
    /// processor time spent on them.
    std::uint32_t m_loads_per_s = 3'000;
    /// Prefers, among workers with room, those whose runs do not slow the task
    /// down and are not slowed down by it.
    bool m_separates_interfering_tasks = false;
};

/// How a job of a placer ended.
struct placement_outcome
{
    std::uint64_t m_job = 0;
    /// `none` if all tasks have succeeded, `call_failed` if one has failed as
    /// often as its queue allows, `agent_lost` if that many runs of one were
    /// lost with their workers, `superseded` if another process has the job,
    /// `no_capacity` if it was not started and can run in evacuated failure
    /// domains only.
    reason m_reason = reason::none;
};

/// Places the tasks of jobs on workers through their agents and tracks the
/// runs. It sends no answers to clients: its owner takes the outcomes and
/// removes the jobs.
class run_placer
{
public:
    using job_map = std::map<std::uint64_t, placed_job>;

    explicit run_placer(run_placer_settings settings);
    run_placer(run_placer const&) = delete;
    auto operator=(run_placer const&) -> run_placer& = delete;

    auto connected(node_id agent) -> void;
    auto disconnected(time_point now, node_id agent) -> void;
    /// Handles a message of an agent; false if it is of another type. `version`
    /// is that of the configuration in force at this process.
    auto receive(time_point now, node_id from, message const& incoming,
                 configuration_version version, random_source& random,
                 effects& out) -> bool;
    auto tick(time_point now, random_source& random, effects& out) -> void;
    /// Places no more runs in these failure domains, and places again the jobs
    /// that wait. Those that can't be placed any more get an outcome.
    auto set_evacuations(time_point now, evacuations const& known,
                         random_source& random, effects& out) -> void;

    /// True if the `runs_ended` message with this number was not confirmed yet.
    [[nodiscard]] auto is_unconfirmed(node_id agent, std::uint64_t number) const
        -> bool;
    /// Confirms `runs_ended` messages up to this number, so that the agent does
    /// not send them again.
    auto confirm(node_id agent, std::uint64_t number) -> void;
    /// Applies the end of a run. False if the run is not the current one of its
    /// task.
    auto apply_end(time_point now, node_id agent, run_end const& end,
                   random_source& random, effects& out) -> bool;

    /// A run has ended, and `apply_end` follows once that is recorded. Until
    /// then its task is not placed again.
    auto set_end_pending(node_id agent, run_end const& end) -> void;
    /// The same for a run that this process has no order of; `apply_task_end`
    /// follows.
    auto set_task_end_pending(task_end const& end) -> void;
    /// Applies the end of a run that this process has no order of.
    auto apply_task_end(time_point now, task_end const& end,
                        random_source& random, effects& out) -> void;
    /// Places the tasks that are still in doubt: no agent has a run of them.
    auto resolve_in_doubt(time_point now, random_source& random, effects& out)
        -> void;

    /// Adds a job under its number, without placing it yet.
    auto add(placed_job job) -> void;
    [[nodiscard]] auto plan(time_point now, std::uint64_t job,
                            random_source& random) -> job_plan;
    /// Discards a plan that is not executed.
    auto discard(job_plan const& discarded) -> void;
    auto execute(time_point now, std::uint64_t job, job_plan&& plan,
                 effects& out) -> void;
    /// Places the ready tasks of a job that has not ended.
    auto place_ready_tasks(time_point now, std::uint64_t job,
                           random_source& random, effects& out) -> void;
    /// Withdraws the job's runs and reservations at agents and removes the job.
    auto remove(std::uint64_t job, effects& out) -> void;
    /// The same, but tracks the job's runs until they have ended. False if it
    /// has none.
    auto stop(std::uint64_t job, effects& out) -> bool;
    /// Stopped jobs whose last run has ended since the last call.
    [[nodiscard]] auto take_stopped() -> std::vector<std::uint64_t>;
    /// Jobs that have ended since the last call. They stay until they are
    /// removed, and no more tasks of them are placed.
    [[nodiscard]] auto take_outcomes() -> std::vector<placement_outcome>;

    /// Disconnected agents whose runs are known to have ended since the last
    /// call.
    [[nodiscard]] auto take_lost_agents() -> std::vector<node_id>;

    /// Null if there is no such job.
    [[nodiscard]] auto find(std::uint64_t job) -> placed_job*;
    [[nodiscard]] auto jobs() const -> job_map const&;
    [[nodiscard]] auto workers() const -> worker_directory const&;
    /// Latency objective of the job, from its arrival.
    [[nodiscard]] auto objective(placed_job const& job) const -> duration;
    /// True if some step of the job can run in evacuated failure domains only.
    [[nodiscard]] auto requires_evacuated(step_job const& job,
                                          std::string_view service) const
        -> bool;
    [[nodiscard]] auto next_deadline() const -> time_point;

private:
    /// Contact with an agent, which its runs depend on.
    struct agent_contact
    {
        bool m_is_connected = false;
        /// Name of its worker, for logs about runs that were lost with the
        /// agent: the directory has no entry for it by then.
        std::string m_worker;
        /// Last number of `runs_ended` that was confirmed.
        std::uint64_t m_acknowledged_ends = 0;
        /// Last time that contact was confirmed to the agent.
        time_point m_confirmed_at{0};
        /// False until contact is confirmed on the current link; the agent
        /// starts no runs before that.
        bool m_is_confirmed = false;
        /// When all runs there are known to have ended; `never` while
        /// connected.
        time_point m_runs_end_at = never;
        std::set<std::uint64_t> m_jobs;
    };

    auto on(time_point now, node_id from,
            worker_announcement const& announcement, random_source& random,
            effects& out) -> void;
    auto on(time_point now, node_id from, worker_load const& load,
            configuration_version version, effects& out) -> void;
    auto on(time_point now, node_id from, offer_room const& offered,
            effects& out) -> void;
    /// Assigns a task that was in doubt to the agent that has a run of it.
    auto assign_run(placed_job& job, placed_task& task, node_id agent,
                    std::uint32_t run) -> void;
    /// Learns from a run that succeeded what slows it down.
    auto observe_interference(time_point now, placed_job const& job,
                              placed_task const& task, run_end const& end)
        -> void;
    /// Updates which queues interfere, and reports changes.
    auto update_interference(time_point now, effects& out) -> void;
    auto complete_task(time_point now, placed_job& job, placed_task& task,
                       random_source& random, effects& out) -> void;
    /// Counts a failed run of the task; false if its job has failed with it.
    auto count_failure(placed_job& job, placed_task& task) -> bool;
    /// Counts a run that was lost with its worker; false if the job is given up
    /// with it.
    auto count_lost_run(placed_job& job, placed_task& task, node_id agent)
        -> bool;
    /// Minimum time between two load messages of one agent.
    [[nodiscard]] auto load_interval() const -> duration;
    auto send_order(placed_job& job, node_id agent, order_runs&& order,
                    effects& out) -> void;
    /// Marks the runs at an agent for which `is_lost` holds as lost.
    template <class Predicate>
    auto mark_runs_lost(time_point now, node_id agent, std::string_view cause,
                        Predicate is_lost, random_source& random, effects& out)
        -> void;
    /// A run is known to have ended or never started, but its end was not
    /// reported.
    auto mark_run_lost(placed_job& job, placed_task& task,
                       std::string_view cause, duration silence, effects& out)
        -> void;
    auto set_outcome(placed_job const& job, reason why) -> void;
    auto withdraw(placed_job const& job, effects& out) -> void;
    /// Withdraws the job's runs and reservations at agents and extracts it from
    /// the jobs.
    auto extract_job(std::uint64_t job, effects& out) -> job_map::node_type;
    auto erase_from_agents(std::uint64_t job) -> void;
    /// Erases the stopped job if its last run has ended.
    auto erase_if_stopped(job_map::iterator job) -> void;
    auto release_reservations(placed_job& job, effects& out) -> void;
    /// Called when all tasks of the job that may start have a worker.
    auto finish_placement(time_point now, placed_job& job, effects& out)
        -> void;
    /// The agent has lost its reservations.
    auto erase_reservations(node_id agent) -> void;
    auto schedule_retry(time_point now, std::uint64_t job) -> void;
    /// Plans the jobs again that wait for room or found no worker.
    auto retry_unplaced(time_point now, random_source& random, effects& out)
        -> void;

    run_placer_settings m_settings;
    worker_directory m_workers;
    job_planner m_planner{m_workers};
    std::map<node_id, agent_contact> m_agents;
    /// Disconnected agents, by `m_runs_end_at`.
    std::set<std::pair<time_point, node_id>> m_disconnected_agents;
    std::vector<node_id> m_lost_agents;
    job_map m_jobs;
    /// Jobs that ended at this process while runs of them were in progress.
    job_map m_stopping;
    std::vector<std::uint64_t> m_stopped;
    std::vector<placement_outcome> m_outcomes;
    /// Jobs that have an outcome and are not removed yet.
    std::set<std::uint64_t> m_ended_jobs;
    /// Jobs with tasks that wait for room, or that found no worker.
    std::set<std::uint64_t> m_unplaced;
    time_point m_retry_at = never;
    /// Names of the queues of observed runs, for logs.
    std::map<queue_key, std::string> m_queue_names;
};

} // namespace hickorylatch::core

#endif
