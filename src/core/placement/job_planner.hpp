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

/// Where the tasks of a job that may start now should go.
struct job_plan
{
    std::map<node_id, order_runs> m_orders;
    /// Reservations for the tasks that no worker had room for.
    std::vector<std::pair<node_id, reserve_room>> m_reservations;
    /// Tasks without a worker that could run them.
    std::size_t m_unplaced = 0;
    /// Expected time until the last task has ended.
    duration m_finish{0};
    /// Wait of the last task to start, as the agents forecast it.
    duration m_forecast{0};
    /// The same as experience corrects it.
    duration m_wait{0};
};

/// Chooses workers for the tasks of an entry's jobs, from what the entry knows
/// of the workers and what it has learned of declared run times.
class job_planner
{
public:
    /// `workers` must outlive this object.
    explicit job_planner(worker_directory& workers);

    /// Chooses a worker for every task that may start now, and notes the
    /// orders at the workers.
    auto plan(time_point now, placed_job& job, random_source& random)
        -> job_plan;
    /// Fills room that an agent offered with tasks of the step. None if no task
    /// needs it.
    auto fill(time_point now, placed_job& job, node_id agent,
              offer_room const& offered) -> std::optional<order_runs>;
    /// Takes back the notes of a plan that is not carried out.
    auto drop(job_plan const& unwanted) -> void;
    /// Learns from a job that waited and has all its tasks placed now.
    auto observe_wait(time_point now, placed_job& job) -> void;
    /// Learns from a run of the task that succeeded.
    auto observe(placed_job const& job, placed_task const& task,
                 duration actual) -> void;

    /// Time from its arrival within which a job is of full use.
    [[nodiscard]] auto objective(placed_job const& job) const -> duration;

private:
    /// Where the tasks of a step could go, nowhere excepted.
    [[nodiscard]] auto request(job_queue const& queue,
                               job_step const& step) const -> placement_request;
    [[nodiscard]] auto expected_run(job_queue const& queue,
                                    job_step const& step) const -> duration;
    /// Agents that hold as many tasks of the step as it allows on one worker.
    [[nodiscard]] static auto agents_at_limit(placed_job const& job,
                                              job_plan const& made,
                                              std::uint32_t step)
        -> std::vector<node_id>;
    [[nodiscard]] auto choose(time_point now, placed_job const& job,
                              placed_task& task, job_plan const& made,
                              random_source& random) const
        -> std::optional<placement_choice>;

    /// Adds a run of the task to the order and notes it at the worker.
    auto add_run(placed_job const& job, placed_task const& task, node_id agent,
                 order_runs& order) -> void;
    /// Adds what the tasks of an order share.
    static auto complete(time_point now, placed_job const& job,
                         order_runs& order) -> void;
    /// Reserves room for tasks of a step that no worker had room for.
    auto reserve(time_point now, placed_job const& job, std::uint32_t step,
                 std::uint32_t tasks, job_plan& made, random_source& random)
        -> void;

    worker_directory& m_workers;
    /// By rank.
    std::map<std::uint32_t, wait_correction> m_corrections;
    /// By the name of the queue.
    std::map<std::string, run_time_ratio, std::less<>> m_ratios;
};

} // namespace hickorylatch::core

#endif
