#include "core/placement/placed_job.hpp"

#include <algorithm>
#include <utility>

namespace hickorylatch::core
{

placed_job::placed_job(std::uint64_t number, job_arrived const& request,
                       job_queue const& queue, time_point now,
                       time_point deadline)
    : placed_job{number, request.m_job, queue, now}
{
    m_deadline = deadline;
}

placed_job::placed_job(std::uint64_t number, step_job job, job_queue queue,
                       time_point now)
    : m_number{number}, m_job{std::move(job)}, m_queue{std::move(queue)},
      m_arrived{now}
{
    for (auto step = std::uint32_t{0}; step < m_job.m_steps.size(); ++step)
    {
        auto const count = m_job.m_steps[step].m_count;
        m_unfinished_in_step.push_back(count);
        for (auto task = std::uint32_t{0}; task < count; ++task)
            m_tasks.push_back({.m_index = {step, task}});
    }
    m_unfinished_tasks = m_tasks.size();
    unblock();
}

auto placed_job::unblock() -> void
{
    for (auto& task : m_tasks)
    {
        if (task.m_state != task_state::blocked)
            continue;
        auto const& needed = m_job.m_steps[task.m_index.m_step].m_depends_on;
        if (std::ranges::all_of(needed,
                                [this](std::uint32_t step)
                                {
                                    return is_step_done(step);
                                }))
            task.m_state = task_state::ready;
    }
}

auto placed_job::find(task_index index) -> placed_task*
{
    auto const found =
        std::ranges::lower_bound(m_tasks, index, {}, &placed_task::m_index);
    return found == m_tasks.end() || found->m_index != index ? nullptr
                                                             : &*found;
}

auto placed_job::set_succeeded(placed_task& task) -> void
{
    task.m_state = task_state::succeeded;
    task.m_agent = no_node;
    --m_unfinished_tasks;
    if (--m_unfinished_in_step[task.m_index.m_step] == 0 &&
        m_unfinished_tasks != 0)
        unblock();
}

auto placed_job::set_ready(placed_task& task) -> void
{
    task.m_state = task_state::ready;
    task.m_agent = no_node;
}

auto placed_job::set_placed(placed_task& task, node_id agent,
                            std::uint64_t order) -> void
{
    task.m_state = task_state::placed;
    task.m_agent = agent;
    task.m_order = order;
}

auto placed_job::mark_in_doubt() -> void
{
    for (auto& task : m_tasks)
        if (task.m_state == task_state::ready)
            task.m_state = task_state::in_doubt;
}

auto placed_job::resolve_in_doubt() -> void
{
    for (auto& task : m_tasks)
        if (task.m_state == task_state::in_doubt)
            task.m_state = task_state::ready;
}

auto placed_job::extend_deadline(time_point deadline) -> void
{
    m_deadline = std::max(m_deadline, deadline);
}

auto placed_job::set_may_have_started() -> void
{
    m_may_have_started = true;
}

auto placed_job::set_forecast(duration wait) -> void
{
    m_forecast = wait;
}

auto placed_job::take_forecast() -> std::optional<duration>
{
    return std::exchange(m_forecast, std::nullopt);
}

auto placed_job::add_reservation(std::uint32_t step, node_id agent,
                                 std::uint32_t tasks) -> void
{
    m_reservations[step][agent] = tasks;
}

auto placed_job::reduce_reservation(std::uint32_t step, node_id agent,
                                    std::uint32_t tasks) -> void
{
    auto const agents = m_reservations.find(step);
    if (agents == m_reservations.end())
        return;
    auto const found = agents->second.find(agent);
    if (found == agents->second.end())
        return;
    if (found->second <= tasks)
        erase_reservation(step, agent);
    else
        found->second -= tasks;
}

auto placed_job::erase_reservation(std::uint32_t step, node_id agent) -> void
{
    auto const agents = m_reservations.find(step);
    if (agents == m_reservations.end())
        return;
    agents->second.erase(agent);
    if (agents->second.empty())
        m_reservations.erase(agents);
}

auto placed_job::erase_reservations(node_id agent) -> void
{
    for (auto step = std::uint32_t{0}; step < m_job.m_steps.size(); ++step)
        erase_reservation(step, agent);
}

auto placed_job::take_reservations() -> std::set<node_id>
{
    auto all = reservations();
    m_reservations.clear();
    return all;
}

auto placed_job::number() const -> std::uint64_t
{
    return m_number;
}

auto placed_job::job() const -> step_job const&
{
    return m_job;
}

auto placed_job::queue() const -> job_queue const&
{
    return m_queue;
}

auto placed_job::arrived() const -> time_point
{
    return m_arrived;
}

auto placed_job::deadline() const -> time_point
{
    return m_deadline;
}

auto placed_job::tasks() -> std::span<placed_task>
{
    return m_tasks;
}

auto placed_job::tasks() const -> std::span<placed_task const>
{
    return m_tasks;
}

auto placed_job::step(placed_task const& task) const -> job_step const&
{
    return m_job.m_steps[task.m_index.m_step];
}

auto placed_job::is_complete() const -> bool
{
    return m_unfinished_tasks == 0;
}

auto placed_job::may_have_started() const -> bool
{
    return m_may_have_started ||
           std::ranges::any_of(m_tasks,
                               [](placed_task const& task)
                               {
                                   return task.m_state == task_state::placed ||
                                          task.m_state ==
                                              task_state::end_pending ||
                                          task.m_state == task_state::succeeded;
                               });
}

auto placed_job::has_reservations(std::uint32_t step) const -> bool
{
    return m_reservations.contains(step);
}

auto placed_job::reservations() const -> std::set<node_id>
{
    auto all = std::set<node_id>{};
    for (auto const& [step, agents] : m_reservations)
        for (auto const& [agent, tasks] : agents)
            all.insert(agent);
    return all;
}

auto placed_job::has_ready_tasks() const -> bool
{
    return std::ranges::any_of(m_tasks,
                               [](placed_task const& task)
                               {
                                   return task.m_state == task_state::ready;
                               });
}

auto placed_job::has_runs() const -> bool
{
    return std::ranges::any_of(m_tasks,
                               [](placed_task const& task)
                               {
                                   return task.m_state == task_state::placed;
                               });
}

auto placed_job::ref(placed_task const& task) const -> run_ref
{
    return {m_number, task.m_index, task.m_run};
}

auto placed_job::is_step_done(std::uint32_t step) const -> bool
{
    return step < m_unfinished_in_step.size() &&
           m_unfinished_in_step[step] == 0;
}

} // namespace hickorylatch::core
