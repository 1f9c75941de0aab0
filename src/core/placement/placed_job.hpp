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
    in_doubt, ///< May have a run at an agent that was not heard yet.
    placed,
    ending, ///< Its run has ended; the end is not recorded yet.
    succeeded
};

/// One task of a job at the process that places it.
struct placed_task
{
    task_index m_index;
    task_state m_state = task_state::blocked;
    /// Where its present run was ordered.
    node_id m_agent = no_node;
    /// Order of the present run, on the link to its agent.
    std::uint64_t m_order = 0;
    std::uint32_t m_run = 0;
    std::uint32_t m_failures = 0;
    /// Orders that found no room although there seemed to be some.
    std::uint32_t m_misses = 0;
    /// Where it failed; it is not placed there again.
    std::vector<node_id> m_avoided;
};

/// Progress of one step job at the process that places it.
class placed_job
{
public:
    placed_job(std::uint64_t number, job_arrived const& request,
               job_queue const& queue, time_point now, time_point deadline);
    /// A job that nobody waits for with an open exchange.
    placed_job(std::uint64_t number, step_job job, job_queue queue,
               time_point now);

    /// Makes tasks ready whose steps may start.
    auto unblock() -> void;
    /// Null if there is no such task.
    auto find(task_index index) -> placed_task*;
    auto succeeded(placed_task& task) -> void;
    /// The present run ended without success; the task may be placed again.
    auto came_back(placed_task& task) -> void;
    auto ordered(placed_task& task, node_id agent, std::uint64_t order) -> void;
    /// Tasks that could be placed may have runs that an earlier leader ordered.
    auto doubt_runs() -> void;
    /// No agent has a run of the tasks that are still in doubt.
    auto settle_doubts() -> void;
    /// Callers wait longer than they did.
    auto put_off(time_point deadline) -> void;
    /// Some run may have started.
    auto note_started() -> void;
    /// The job waits for room, this long as far as could be told.
    auto set_forecast(duration wait) -> void;
    /// The forecast when the job was taken; none if it had room at once or
    /// after the first call.
    auto take_forecast() -> std::optional<duration>;
    /// Room for some tasks of the step is reserved at an agent.
    auto reserved(std::uint32_t step, node_id agent, std::uint32_t tasks)
        -> void;
    /// The agent offered room for some of the tasks that it was reserved for.
    auto offered(std::uint32_t step, node_id agent, std::uint32_t tasks)
        -> void;
    /// The agent has no reservation for the step any more.
    auto forget_reservation(std::uint32_t step, node_id agent) -> void;
    /// The agent has no reservation of this job any more.
    auto forget_reservations(node_id agent) -> void;
    /// Takes all reservations that may exist. Returns their agents.
    auto take_reservations() -> std::set<node_id>;

    [[nodiscard]] auto number() const -> std::uint64_t;
    [[nodiscard]] auto job() const -> step_job const&;
    /// As it was when the job arrived.
    [[nodiscard]] auto queue() const -> job_queue const&;
    [[nodiscard]] auto arrived() const -> time_point;
    [[nodiscard]] auto deadline() const -> time_point;
    [[nodiscard]] auto tasks() -> std::span<placed_task>;
    [[nodiscard]] auto tasks() const -> std::span<placed_task const>;
    [[nodiscard]] auto step(placed_task const& task) const -> job_step const&;
    [[nodiscard]] auto is_complete() const -> bool;
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
    std::vector<std::uint32_t> m_open;
    std::size_t m_open_tasks = 0;
    /// By step: agents that may hold a reservation, and the tasks that they
    /// have not offered room for.
    std::map<std::uint32_t, std::map<node_id, std::uint32_t>> m_reserved;
    bool m_may_have_started = false;
    std::optional<duration> m_forecast;
};

} // namespace hickorylatch::core

#endif
