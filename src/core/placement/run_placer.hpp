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
    /// How much longer a task runs away from the rack with its data.
    double m_spread_factor = 1.0;
    /// Longest lease that a worker grants.
    duration m_lease = std::chrono::milliseconds{1000};
    /// An agent that has heard nothing for this long stops this process's runs.
    duration m_contact_timeout = entry_contact_timeout;
    /// Loads of workers that this process has the processor time to hear, per
    /// second.
    std::uint32_t m_loads_per_s = 3'000;
};

/// How a job of a placer came to its end.
struct placed_outcome
{
    std::uint64_t m_job = 0;
    /// `none` if all tasks have succeeded, `call_failed` if one has failed as
    /// often as its queue allows, `superseded` if another process has the job.
    reason m_reason = reason::none;
};

/// Places the tasks of jobs on workers through the agents beside them and
/// follows their runs. Answers nobody: its owner takes the outcomes and removes
/// the jobs.
class run_placer
{
public:
    using live_jobs = std::map<std::uint64_t, placed_job>;

    explicit run_placer(run_placer_settings settings);
    run_placer(run_placer const&) = delete;
    auto operator=(run_placer const&) -> run_placer& = delete;

    auto connected(node_id agent) -> void;
    auto disconnected(time_point now, node_id agent) -> void;
    /// Takes a message of an agent; false if it is of another kind. `version`
    /// is the configuration that this process serves by.
    auto receive(time_point now, node_id from, message const& incoming,
                 configuration_version version, random_source& random,
                 effects& out) -> bool;
    auto tick(time_point now, random_source& random, effects& out) -> void;

    /// True if the ends of an agent with this number were not confirmed yet.
    [[nodiscard]] auto is_unconfirmed(node_id agent, std::uint64_t number) const
        -> bool;
    /// The agent need not send ends up to this number again.
    auto confirm(node_id agent, std::uint64_t number) -> void;
    /// Acts on the end of a run. False if the run is not the present one of its
    /// task.
    auto take_end(time_point now, node_id agent, run_end const& end,
                  random_source& random, effects& out) -> bool;

    /// A run has ended, and `take_end` follows once that is recorded. Until
    /// then its task is not placed again.
    auto hold_end(node_id agent, run_end const& end) -> void;
    /// The same for a run that this process knows no order of; `settle_task`
    /// follows.
    auto hold_task(task_end const& end) -> void;
    /// A run that this process knows no order of has ended.
    auto settle_task(time_point now, task_end const& end, random_source& random,
                     effects& out) -> void;
    /// No agent has a run of the tasks that are still in doubt: places them.
    auto settle_doubts(time_point now, random_source& random, effects& out)
        -> void;

    /// Adds a job under its number, without placing it yet.
    auto add(placed_job job) -> void;
    [[nodiscard]] auto plan(time_point now, std::uint64_t job,
                            random_source& random) -> job_plan;
    /// Takes back a plan that is not carried out.
    auto drop(job_plan const& unwanted) -> void;
    auto carry_out(time_point now, std::uint64_t job, job_plan&& wanted,
                   effects& out) -> void;
    /// Places what can be placed of a job.
    auto carry_on(time_point now, std::uint64_t job, random_source& random,
                  effects& out) -> void;
    /// Takes back what the job has at agents, and forgets it.
    auto remove(std::uint64_t job, effects& out) -> void;
    /// The same, but follows its runs until they have ended. False if it has
    /// none.
    auto retire(std::uint64_t job, effects& out) -> bool;
    /// Retired jobs whose runs have ended since the last call.
    [[nodiscard]] auto take_retired() -> std::vector<std::uint64_t>;
    /// Jobs that came to their end since the last call. They stay until they
    /// are removed, and nothing more of them is placed.
    [[nodiscard]] auto take_outcomes() -> std::vector<placed_outcome>;

    /// Agents whose runs have certainly ended since the last call.
    [[nodiscard]] auto take_gone() -> std::vector<node_id>;

    /// Null if there is no such job.
    [[nodiscard]] auto find(std::uint64_t job) -> placed_job*;
    [[nodiscard]] auto jobs() const -> live_jobs const&;
    [[nodiscard]] auto workers() const -> worker_directory const&;
    /// Time from its arrival within which a job is of full use.
    [[nodiscard]] auto objective(placed_job const& job) const -> duration;
    [[nodiscard]] auto next_deadline() const -> time_point;

private:
    /// What an agent's silence does to the runs it holds.
    struct agent_contact
    {
        bool m_is_connected = false;
        /// Name of the worker beside it, for logs about runs that were lost
        /// with the agent: the directory has no view of it by then.
        std::string m_worker;
        /// Last number of `runs_ended` that was confirmed.
        std::uint64_t m_acknowledged_ends = 0;
        /// Last time that runs there were confirmed to be wanted.
        time_point m_confirmed_at{0};
        /// The agent starts nothing on a new link before it is confirmed.
        bool m_is_confirmed = false;
        /// When all runs there have certainly ended; `never` while connected.
        time_point m_gone_at = never;
        std::set<std::uint64_t> m_jobs;
    };

    auto on(time_point now, node_id from, worker_announcement const& news,
            random_source& random, effects& out) -> void;
    auto on(time_point now, node_id from, worker_load const& load,
            configuration_version version, effects& out) -> void;
    auto on(time_point now, node_id from, offer_room const& offered,
            effects& out) -> void;
    /// The agent holds a run of a task that was in doubt.
    auto adopt(placed_job& job, placed_task& task, node_id agent,
               std::uint32_t run) -> void;
    auto succeed(time_point now, placed_job& job, placed_task& task,
                 random_source& random, effects& out) -> void;
    /// The task's run has failed; false if its job has failed with it.
    auto count_failure(placed_job& job, placed_task& task) -> bool;
    /// Least time between two loads of one agent.
    [[nodiscard]] auto load_interval() const -> duration;
    auto send_order(placed_job& job, node_id agent, order_runs&& order,
                    effects& out) -> void;
    /// Gives up the runs at an agent that are lost.
    template <class Predicate>
    auto lose_runs(time_point now, node_id agent, std::string_view cause,
                   Predicate is_lost, random_source& random, effects& out)
        -> void;
    /// A run has certainly ended, or never started, without a word of its end.
    auto lose_run(placed_job& job, placed_task& task, std::string_view cause,
                  duration silence, effects& out) -> void;
    auto conclude(placed_job const& job, reason why) -> void;
    auto withdraw(placed_job const& job, effects& out) -> void;
    /// Takes back what the job has at agents, and takes it out of the others.
    auto take_out(std::uint64_t job, effects& out) -> live_jobs::node_type;
    auto forget(std::uint64_t job) -> void;
    /// Forgets the job if its last run has ended.
    auto settle_retired(live_jobs::iterator job) -> void;
    auto release(placed_job& job, effects& out) -> void;
    /// All tasks of the job that may start have a worker.
    auto note_placed(time_point now, placed_job& job, effects& out) -> void;
    /// The agent lost the reservations that it held.
    auto forget_reservations(node_id agent) -> void;
    auto retry_later(time_point now, std::uint64_t job) -> void;

    run_placer_settings m_settings;
    worker_directory m_workers;
    job_planner m_planner{m_workers};
    std::map<node_id, agent_contact> m_agents;
    /// Agents that are not connected, by `m_gone_at`.
    std::set<std::pair<time_point, node_id>> m_going;
    std::vector<node_id> m_gone;
    live_jobs m_jobs;
    /// Jobs that were given up while runs of them were in progress.
    live_jobs m_retired;
    std::vector<std::uint64_t> m_retired_done;
    std::vector<placed_outcome> m_outcomes;
    /// Jobs of these outcomes that are not removed yet.
    std::set<std::uint64_t> m_ended;
    /// Jobs with tasks that wait for room, or that found no worker.
    std::set<std::uint64_t> m_unplaced;
    time_point m_retry_at = never;
};

} // namespace hickorylatch::core

#endif
