#ifndef HICKORYLATCH_CORE_PLACEMENT_JOB_PLANNER_HPP
#define HICKORYLATCH_CORE_PLACEMENT_JOB_PLANNER_HPP

#include "core/model/configuration.hpp"
#include "core/model/message.hpp"
#include "core/model/random_source.hpp"
#include "core/placement/placed_job.hpp"
#include "core/placement/run_time_ratio.hpp"
#include "core/placement/wait_correction.hpp"
#include "core/placement/worker_directory.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace hickorylatch::core
{

/// Assignment of a job's ready tasks to workers.
struct job_plan
{
    std::map<node_id, order_runs> m_orders;
    /// Reservations for the tasks that no worker had room for.
    std::vector<std::pair<node_id, reserve_room>> m_reservations;
    /// Number of tasks that no worker can run.
    std::size_t m_unplaced = 0;
    /// Expected time until the last task has ended.
    duration m_finish{0};
    /// Wait of the last task to start, as forecast by the agents.
    duration m_forecast{0};
    /// The same after correction by observed waits.
    duration m_wait{0};
};

/// Chooses workers for the tasks of a process's jobs, from the known loads of
/// the workers and the observed errors of declared run times.
class job_planner
{
public:
    /// `workers` must outlive this object.
    explicit job_planner(worker_directory& workers);

    /// Chooses a worker for every ready task, and records the orders in the
    /// worker directory.
    auto plan(time_point now, placed_job& job, random_source& random)
        -> job_plan;
    /// Orders ready tasks of the step for room that an agent offered. None if
    /// no task needs it.
    auto fill_offer(time_point now, placed_job& job, node_id agent,
                    offer_room const& offered) -> std::optional<order_runs>;
    /// Removes the orders of a plan that is not executed from the directory.
    auto discard(job_plan const& discarded) -> void;
    /// Updates the wait correction with a job that waited and now has all its
    /// tasks placed.
    auto observe_wait(time_point now, placed_job& job) -> void;
    /// Updates the run time ratio with a successful run of the task.
    auto observe(placed_job const& job, placed_task const& task,
                 duration actual) -> void;

    /// Latency objective of the job, from its arrival.
    [[nodiscard]] auto objective(placed_job const& job) const -> duration;

private:
    /// Request for a task of the step that excludes no agent.
    [[nodiscard]] auto make_request(job_queue const& queue,
                                    job_step const& step) const
        -> placement_request;
    [[nodiscard]] auto expected_run(job_queue const& queue,
                                    job_step const& step) const -> duration;
    /// Agents that have reached the step's limit of tasks on one worker.
    [[nodiscard]] static auto agents_at_limit(placed_job const& job,
                                              job_plan const& plan,
                                              std::uint32_t step)
        -> std::vector<node_id>;
    [[nodiscard]] auto choose(time_point now, placed_job const& job,
                              placed_task& task, job_plan const& plan,
                              random_source& random) const
        -> std::optional<placement_choice>;

    /// Adds a run of the task to the order and to the worker directory.
    auto add_run(placed_job const& job, placed_task const& task, node_id agent,
                 order_runs& order) -> void;
    /// Sets the fields that are common to all runs of an order.
    auto set_common_fields(time_point now, placed_job const& job,
                           order_runs& order) -> void;
    /// Plans reservations for tasks of a step that no worker had room for.
    auto reserve(time_point now, placed_job const& job, std::uint32_t step,
                 std::uint32_t tasks, job_plan& plan, random_source& random)
        -> void;

    worker_directory& m_workers;
    /// By rank.
    std::map<std::uint32_t, wait_correction> m_wait_corrections;
    /// By the name of the queue.
    std::map<std::string, run_time_ratio, std::less<>> m_run_time_ratios;
};

} // namespace hickorylatch::core

#endif
