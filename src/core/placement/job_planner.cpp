#include "core/placement/job_planner.hpp"

#include "core/placement/admission.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace hickorylatch::core
{

namespace
{

// After this many orders that were refused for lack of room, a task waits for
// an offer instead: each order costs a round trip.
constexpr auto max_full_refusals = 3U;
// A waiting task starts at the first of several workers that has room. A small
// number of tasks needs this minimum, so that one of the workers has room soon.
constexpr auto reservations_per_task = std::size_t{2};
constexpr auto min_reservations = std::size_t{12};

// Agents drop runs that can't end in time. Stands for the remaining time of
// jobs without a deadline.
constexpr auto max_time_left = duration{std::chrono::hours{24}};

auto time_left_ms(time_point now, placed_job const& job) -> std::uint32_t
{
    return whole_ms(std::min(job.deadline() - now, max_time_left));
}

} // namespace

job_planner::job_planner(worker_directory& workers) : m_workers{workers}
{
}

auto job_planner::plan(time_point now, placed_job& job, random_source& random)
    -> job_plan
{
    for (auto const agent : job.reservations())
        if (!m_workers.is_usable(now, agent))
            job.erase_reservations(agent);
    auto plan = job_plan{};
    // Number of tasks of each step that no worker has room for.
    auto waiting = std::map<std::uint32_t, std::uint32_t>{};
    for (auto& task : job.tasks())
    {
        if (task.m_state != task_state::ready)
            continue;
        auto const choice = choose(now, job, task, plan, random);
        if (!choice || choice->m_room == 0 ||
            task.m_full_refusals >= max_full_refusals)
        {
            ++waiting[task.m_index.m_step];
            continue;
        }
        auto const agent = choice->m_agent;
        auto& order = plan.m_orders[agent];
        if (order.m_order == 0)
            order.m_order = m_workers.next_order(agent);
        add_run(job, task, agent, order);
        order.m_runs.back().m_must_start_now = true;
        plan.m_finish = std::max(plan.m_finish, choice->m_run);
    }
    for (auto& [agent, order] : plan.m_orders)
        set_common_fields(now, job, order);
    for (auto const& [step, tasks] : waiting)
        reserve(now, job, step, tasks, plan, random);
    return plan;
}

auto job_planner::reserve(time_point now, placed_job const& job,
                          std::uint32_t step, std::uint32_t tasks,
                          job_plan& plan, random_source& random) -> void
{
    if (job.has_reservations(step))
        return;
    auto const& requested_step = job.job().m_steps[step];
    auto requested = make_request(job.queue(), requested_step);
    auto const full = agents_at_limit(job, plan, step);
    requested.m_avoided_agents = full;
    auto const count =
        std::max(std::size_t{tasks} * reservations_per_task, min_reservations);
    auto const agents =
        m_workers.soonest_available(now, requested, count, random);
    if (agents.empty())
    {
        plan.m_unplaced += tasks;
        return;
    }
    auto const share = 1'000 / static_cast<std::uint32_t>(agents.size());
    for (auto const& each : agents)
    {
        auto order = reserve_room{};
        order.m_order = m_workers.next_order(each.m_agent);
        order.m_job = job.number();
        order.m_step = step;
        order.m_rank = job.queue().m_rank;
        order.m_needs = requested_step.m_needs;
        order.m_expected_ms = whole_ms(requested.m_expected);
        order.m_count = tasks;
        order.m_share_permille = share;
        order.m_time_left_ms = time_left_ms(now, job);
        plan.m_reservations.emplace_back(each.m_agent, order);
        m_workers.add_order(each.m_agent, order.m_order, order.m_needs,
                            requested.m_expected * tasks * share / 1'000,
                            std::nullopt);
    }
    auto const forecast = expected_room_wait(agents, tasks);
    auto const wait =
        m_wait_corrections[job.queue().m_rank].corrected(now, forecast);
    plan.m_forecast = std::max(plan.m_forecast, forecast);
    plan.m_wait = std::max(plan.m_wait, wait);
    plan.m_finish = std::max(plan.m_finish, wait + agents.front().m_run);
}

auto job_planner::observe_wait(time_point now, placed_job& job) -> void
{
    if (auto const forecast = job.take_forecast())
        m_wait_corrections[job.queue().m_rank].observe(now, *forecast,
                                                       now - job.arrived());
}

auto job_planner::fill_offer(time_point now, placed_job& job, node_id agent,
                             offer_room const& offered)
    -> std::optional<order_runs>
{
    auto const& steps = job.job().m_steps;
    // The agent may not have received the evacuation of its domain yet.
    if (offered.m_step >= steps.size() || m_workers.is_evacuated(agent))
        return std::nullopt;
    auto order = order_runs{};
    order.m_offer = offered.m_offer;
    auto const limit = steps[offered.m_step].m_worker_limit;
    auto present = std::ranges::count_if(
        job.tasks(),
        [&](placed_task const& task)
        {
            return task.m_index.m_step == offered.m_step &&
                   task.m_state == task_state::placed && task.m_agent == agent;
        });
    for (auto& task : job.tasks())
    {
        if (order.m_runs.size() == offered.m_count ||
            (limit != 0 && present >= limit))
            break;
        if (task.m_state != task_state::ready ||
            task.m_index.m_step != offered.m_step ||
            std::ranges::find(task.m_avoided_agents, agent) !=
                task.m_avoided_agents.end())
            continue;
        if (order.m_order == 0)
            order.m_order = m_workers.next_order(agent);
        add_run(job, task, agent, order);
        ++present;
    }
    if (order.m_runs.empty())
        return std::nullopt;
    set_common_fields(now, job, order);
    return order;
}

auto job_planner::add_run(placed_job const& job, placed_task const& task,
                          node_id agent, order_runs& order) -> void
{
    auto const& step = job.step(task);
    auto const expected = expected_run(job.queue(), step);
    order.m_runs.push_back(
        {task.m_index, task.m_run + 1, step.m_needs, whole_ms(expected)});
    m_workers.add_order(agent, order.m_order, step.m_needs, expected,
                        to_queue_key(job.queue().m_name));
}

auto job_planner::set_common_fields(time_point now, placed_job const& job,
                                    order_runs& order) -> void
{
    order.m_job = job.number();
    order.m_job_id = job.job().m_id;
    order.m_body = job.job().m_body;
    order.m_rank = job.queue().m_rank;
    order.m_time_left_ms = time_left_ms(now, job);
    if (m_workers.interference() != nullptr)
        order.m_queue = to_queue_key(job.queue().m_name);
}

auto job_planner::choose(time_point now, placed_job const& job,
                         placed_task& task, job_plan const& plan,
                         random_source& random) const
    -> std::optional<placement_choice>
{
    auto requested = make_request(job.queue(), job.step(task));
    auto const full = agents_at_limit(job, plan, task.m_index.m_step);
    auto avoided = task.m_avoided_agents;
    avoided.insert(avoided.end(), full.begin(), full.end());
    requested.m_avoided_agents = avoided;
    auto const choice = m_workers.choose(now, requested, random);
    if (choice || std::exchange(task.m_avoided_agents, {}).empty())
        return choice;
    requested.m_avoided_agents = full;
    return m_workers.choose(now, requested, random);
}

auto job_planner::discard(job_plan const& discarded) -> void
{
    for (auto const& [agent, reservation] : discarded.m_reservations)
        m_workers.remove_order(agent, reservation.m_order);
    for (auto const& [agent, order] : discarded.m_orders)
        m_workers.remove_order(agent, order.m_order);
}

auto job_planner::observe(placed_job const& job, placed_task const& task,
                          duration actual) -> void
{
    auto const declared =
        std::chrono::milliseconds{job.step(task).m_declared_ms};
    m_run_time_ratios[job.queue().m_name].observe(
        declared, actual, m_workers.slowness(task.m_agent));
}

auto job_planner::objective(placed_job const& job) const -> duration
{
    // Length of the longest dependency chain that ends with each step.
    auto chains = std::vector<duration>{};
    for (auto const& step : job.job().m_steps)
    {
        auto before = duration{0};
        for (auto const earlier : step.m_depends_on)
            before = std::max(before, chains.at(earlier));
        chains.push_back(before + expected_run(job.queue(), step));
    }
    auto const longest = std::ranges::max(chains);
    return scaled(longest, job.queue().m_slack_factor) +
           std::chrono::milliseconds{job.queue().m_latency_ms};
}

auto job_planner::make_request(job_queue const& queue,
                               job_step const& step) const -> placement_request
{
    auto requested = placement_request{};
    requested.m_service = queue.m_service;
    requested.m_rank = queue.m_rank;
    requested.m_step = &step;
    requested.m_expected = expected_run(queue, step);
    requested.m_queue = to_queue_key(queue.m_name);
    return requested;
}

auto job_planner::expected_run(job_queue const& queue,
                               job_step const& step) const -> duration
{
    auto const declared = std::chrono::milliseconds{step.m_declared_ms};
    auto const ratio = m_run_time_ratios.find(queue.m_name);
    return ratio == m_run_time_ratios.end() ? duration{declared}
                                            : ratio->second.expected(declared);
}

auto job_planner::agents_at_limit(placed_job const& job, job_plan const& plan,
                                  std::uint32_t step) -> std::vector<node_id>
{
    auto const limit = job.job().m_steps[step].m_worker_limit;
    if (limit == 0)
        return {};
    auto counts = std::map<node_id, std::uint32_t>{};
    for (auto const& task : job.tasks())
        if (task.m_index.m_step == step && task.m_state == task_state::placed)
            ++counts[task.m_agent];
    for (auto const& [agent, order] : plan.m_orders)
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
