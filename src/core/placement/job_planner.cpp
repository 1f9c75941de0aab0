#include "core/placement/job_planner.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace hickorylatch::core
{

namespace
{

// After some tries a task waits where it is sent to: each costs a round trip.
constexpr auto most_misses = 3U;

auto to_ms(duration value) -> std::uint32_t
{
    return static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            std::max(value, duration{0}))
            .count());
}

} // namespace

job_planner::job_planner(worker_directory& workers) : m_workers{workers}
{
}

auto job_planner::plan(time_point now, placed_job& job, random_source& random)
    -> job_plan
{
    auto made = job_plan{};
    for (auto& task : job.tasks())
    {
        if (task.m_state != task_state::ready)
            continue;
        auto const choice = choose(now, job, task, made, random);
        if (!choice)
        {
            ++made.m_unplaced;
            continue;
        }
        auto const& step = job.step(task);
        auto const expected = expected_run(job.queue(), step);
        auto const agent = choice->m_agent;
        auto& order = made.m_orders[agent];
        if (order.m_order == 0)
            order.m_order = m_workers.next_order(agent);
        auto const needs_room =
            choice->m_room != 0 && task.m_misses < most_misses;
        order.m_runs.push_back({task.m_index, task.m_run + 1, step.m_needs,
                                to_ms(expected), needs_room});
        m_workers.ordered(agent, order.m_order, step.m_needs, expected);
        made.m_finish = std::max(made.m_finish, choice->m_wait + choice->m_run);
        made.m_wait = std::max(made.m_wait, choice->m_wait);
    }
    for (auto& [agent, order] : made.m_orders)
    {
        order.m_job = job.number();
        order.m_job_id = job.job().m_id;
        order.m_body = job.job().m_body;
        order.m_rank = job.queue().m_rank;
        order.m_time_left_ms = to_ms(job.deadline() - now);
    }
    return made;
}

auto job_planner::choose(time_point now, placed_job const& job,
                         placed_task& task, job_plan const& made,
                         random_source& random) const
    -> std::optional<placement_choice>
{
    auto wanted = placement_request{};
    wanted.m_service = job.queue().m_service;
    wanted.m_rank = job.queue().m_rank;
    wanted.m_step = &job.step(task);
    wanted.m_expected = expected_run(job.queue(), job.step(task));
    auto const full = agents_at_limit(job, made, task.m_index.m_step);
    auto avoided = task.m_avoided;
    avoided.insert(avoided.end(), full.begin(), full.end());
    wanted.m_avoided = avoided;
    auto const choice = m_workers.choose(now, wanted, random);
    if (choice || std::exchange(task.m_avoided, {}).empty())
        return choice;
    wanted.m_avoided = full;
    return m_workers.choose(now, wanted, random);
}

auto job_planner::drop(job_plan const& unwanted) -> void
{
    for (auto const& [agent, order] : unwanted.m_orders)
        m_workers.retract(agent, order.m_order);
}

auto job_planner::observe(placed_job const& job, placed_task const& task,
                          duration actual) -> void
{
    auto const declared =
        std::chrono::milliseconds{job.step(task).m_declared_ms};
    m_ratios[job.queue().m_name].observe(declared, actual,
                                         m_workers.slowness(task.m_agent));
}

auto job_planner::objective(placed_job const& job) const -> duration
{
    // Length of the longest chain that ends with each step.
    auto chains = std::vector<duration>{};
    for (auto const& step : job.job().m_steps)
    {
        auto before = duration{0};
        for (auto const earlier : step.m_depends_on)
            before = std::max(before, chains.at(earlier));
        chains.push_back(before + expected_run(job.queue(), step));
    }
    auto const longest = std::ranges::max(chains);
    return std::chrono::duration_cast<duration>(
               std::chrono::duration<double, duration::period>(longest) *
               job.queue().m_slack_factor) +
           std::chrono::milliseconds{job.queue().m_latency_ms};
}

auto job_planner::expected_run(job_queue const& queue,
                               job_step const& step) const -> duration
{
    auto const declared = std::chrono::milliseconds{step.m_declared_ms};
    auto const ratio = m_ratios.find(queue.m_name);
    return ratio == m_ratios.end() ? duration{declared}
                                   : ratio->second.expected(declared);
}

auto job_planner::agents_at_limit(placed_job const& job, job_plan const& made,
                                  std::uint32_t step) -> std::vector<node_id>
{
    auto const limit = job.job().m_steps[step].m_worker_limit;
    if (limit == 0)
        return {};
    auto counts = std::map<node_id, std::uint32_t>{};
    for (auto const& task : job.tasks())
        if (task.m_index.m_step == step && task.m_state == task_state::placed)
            ++counts[task.m_agent];
    for (auto const& [agent, order] : made.m_orders)
        for (auto const& run : order.m_runs)
            if (run.m_task.m_step == step)
                ++counts[agent];
    auto full = std::vector<node_id>{};
    for (auto const& [agent, count] : counts)
        if (count >= limit)
            full.push_back(agent);
    return full;
}

} // namespace hickorylatch::core
