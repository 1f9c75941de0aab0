#ifndef HICKORYLATCH_CORE_PLACEMENT_PLACED_JOB_HPP
#define HICKORYLATCH_CORE_PLACEMENT_PLACED_JOB_HPP

#include "core/model/configuration.hpp"
#include "core/model/event.hpp"
#include "core/model/job.hpp"
#include "core/model/message.hpp"
#include "core/model/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace hickorylatch::core
{

enum class task_state : std::uint8_t
{
    blocked, ///< A step that it depends on has not ended.
    ready,
    in_doubt, ///< May have a run at an agent that has not announced itself yet.
    placed,
    end_pending, ///< Its run has ended; the end is not recorded yet.
    succeeded
};

/// One task of a job at the process that places it.
struct placed_task
{
    task_index m_index;
    task_state m_state = task_state::blocked;
    /// Agent at which the current run was ordered.
    node_id m_agent = no_node;
    /// Number of the current run's order on the link to its agent.
    std::uint64_t m_order = 0;
    std::uint32_t m_run = 0;
    std::uint32_t m_failures = 0;
    /// Orders that were refused for lack of room although the last load showed
    /// some.
    std::uint32_t m_full_refusals = 0;
    /// Runs that were lost with their workers, which may have crashed because
    /// of the task.
    std::uint32_t m_lost_runs = 0;
    /// Agents where it failed; avoided unless no other worker is usable.
    std::vector<node_id> m_avoided_agents;
};

/// Progress of one step job at the process that places it.
class placed_job
{
public:
    placed_job(std::uint64_t number, job_arrived const& request,
               job_queue const& queue, time_point now, time_point deadline);
    /// A job without an open exchange that waits for it.
    placed_job(std::uint64_t number, step_job job, job_queue queue,
               time_point now);

    /// Marks tasks as ready whose steps may start.
    auto unblock() -> void;
    /// Null if there is no such task.
    auto find(task_index index) -> placed_task*;
    auto set_succeeded(placed_task& task) -> void;
    /// The current run ended without success; the task may be placed again.
    auto set_ready(placed_task& task) -> void;
    auto set_placed(placed_task& task, node_id agent, std::uint64_t order)
        -> void;
    /// Marks the ready tasks as in doubt: they may have runs that an earlier
    /// leader ordered.
    auto mark_in_doubt() -> void;
    /// Marks the tasks that are still in doubt as ready: no agent has a run of
    /// them.
    auto resolve_in_doubt() -> void;
    /// Extends the deadline: a caller waits longer than the others.
    auto extend_deadline(time_point deadline) -> void;
    /// Records that some run may have started.
    auto set_may_have_started() -> void;
    /// The job waits for room; sets the forecast of its wait.
    auto set_forecast(duration wait) -> void;
    /// Returns and clears the forecast from when the job was accepted; none if
    /// it had room at once or after the first call.
    auto take_forecast() -> std::optional<duration>;
    /// Room for some tasks of the step is reserved at an agent.
    auto add_reservation(std::uint32_t step, node_id agent, std::uint32_t tasks)
        -> void;
    /// The agent offered room for some of the tasks that it was reserved for.
    auto reduce_reservation(std::uint32_t step, node_id agent,
                            std::uint32_t tasks) -> void;
    /// The agent has no reservation for the step any more.
    auto erase_reservation(std::uint32_t step, node_id agent) -> void;
    /// The agent has no reservation of this job any more.
    auto erase_reservations(node_id agent) -> void;
    /// Removes all reservations that may exist. Returns their agents.
    auto take_reservations() -> std::set<node_id>;

    [[nodiscard]] auto number() const -> std::uint64_t;
    [[nodiscard]] auto job() const -> step_job const&;
    /// The queue's configuration when the job arrived.
    [[nodiscard]] auto queue() const -> job_queue const&;
    [[nodiscard]] auto arrived() const -> time_point;
    [[nodiscard]] auto deadline() const -> time_point;
    [[nodiscard]] auto tasks() -> std::span<placed_task>;
    [[nodiscard]] auto tasks() const -> std::span<placed_task const>;
    [[nodiscard]] auto step(placed_task const& task) const -> job_step const&;
    [[nodiscard]] auto is_complete() const -> bool;
    /// False only if no run was ordered that may have started: a job that ends
    /// now was certainly not run.
    [[nodiscard]] auto may_have_started() const -> bool;
    [[nodiscard]] auto has_reservations(std::uint32_t step) const -> bool;
    /// Agents that may hold a reservation.
    [[nodiscard]] auto reservations() const -> std::set<node_id>;
    [[nodiscard]] auto has_ready_tasks() const -> bool;
    /// Some task has a run that may be in progress.
    [[nodiscard]] auto has_runs() const -> bool;
    [[nodiscard]] auto ref(placed_task const& task) const -> run_ref;

private:
    [[nodiscard]] auto is_step_done(std::uint32_t step) const -> bool;

    std::uint64_t m_number;
    step_job m_job;
    job_queue m_queue;
    time_point m_arrived;
    time_point m_deadline = never;
    std::vector<placed_task> m_tasks;
    /// Tasks of each step that have not succeeded.
    std::vector<std::uint32_t> m_unfinished_in_step;
    std::size_t m_unfinished_tasks = 0;
    /// By step: agents that may hold a reservation, and the number of tasks for
    /// which they have not offered room yet.
    std::map<std::uint32_t, std::map<node_id, std::uint32_t>> m_reservations;
    bool m_may_have_started = false;
    std::optional<duration> m_forecast;
};

} // namespace hickorylatch::core

#endif
