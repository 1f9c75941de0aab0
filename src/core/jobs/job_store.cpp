#include "core/jobs/job_store.hpp"

#include <algorithm>
#include <utility>

namespace hickorylatch::core
{

namespace
{

auto count_tasks(step_job const& job) -> std::size_t
{
    auto total = std::size_t{0};
    for (auto const& step : job.m_steps)
        total += step.m_count;
    return total;
}

} // namespace

auto durable_job::has_ended() const -> bool
{
    return m_state != job_state::queued && m_state != job_state::active;
}

job_store::job_store(job_store_image image)
    : m_agents{image.m_agents.begin(), image.m_agents.end()}
{
    for (auto& job : image.m_jobs)
    {
        m_by_id[job.m_job.m_id] = job.m_number;
        m_open_count += job.has_ended() ? 0 : 1;
        auto const number = job.m_number;
        m_jobs.emplace(number, std::move(job));
    }
}

auto job_store::apply(log_index index, accept_job const& accepted) -> void
{
    if (!m_by_id.emplace(accepted.m_job.m_id, index).second)
        return;
    auto& added = m_jobs[index];
    added.m_number = index;
    added.m_job = accepted.m_job;
    added.m_queue = accepted.m_queue;
    ++m_open_count;
}

auto job_store::apply(record_ends const& ended) -> void
{
    for (auto const& each : ended.m_ends)
        record_end(each);
}

auto job_store::record_end(task_end const& end) -> void
{
    auto const found = m_jobs.find(end.m_job);
    if (found == m_jobs.end() || found->second.has_ended())
        return;
    auto& job = found->second;
    job.m_state = job_state::active;
    auto const position = std::ranges::lower_bound(job.m_succeeded, end.m_task);
    if (position != job.m_succeeded.end() && *position == end.m_task)
        return;
    if (end.m_has_succeeded)
    {
        job.m_succeeded.insert(position, end.m_task);
        if (job.m_succeeded.size() == count_tasks(job.m_job))
            end_job(job, job_state::completed);
        return;
    }
    auto failures =
        std::ranges::find(job.m_failures, end.m_task, &task_failures::m_task);
    if (failures == job.m_failures.end())
        failures = job.m_failures.insert(failures, {end.m_task, 0});
    if (++failures->m_count >= job.m_queue.m_failure_limit)
        end_job(job, job_state::failed);
}

auto job_store::apply(drop_job const& dropped) -> void
{
    auto const found = m_jobs.find(dropped.m_job);
    if (found != m_jobs.end() && !found->second.has_ended())
        end_job(found->second, job_state::cancelled);
}

auto job_store::apply(forget_jobs const& forgotten) -> void
{
    for (auto const number : forgotten.m_jobs)
    {
        auto const found = m_jobs.find(number);
        if (found == m_jobs.end() || !found->second.has_ended())
            continue;
        m_by_id.erase(found->second.m_job.m_id);
        m_jobs.erase(found);
    }
}

auto job_store::apply(change_agents const& changed) -> void
{
    m_agents.insert(changed.m_added.begin(), changed.m_added.end());
    for (auto const agent : changed.m_removed)
        m_agents.erase(agent);
}

auto job_store::end_job(durable_job& job, job_state state) -> void
{
    job.m_state = state;
    job.m_job.m_body.clear();
    job.m_job.m_steps.clear();
    job.m_succeeded.clear();
    job.m_failures.clear();
    --m_open_count;
}

auto job_store::image() const -> job_store_image
{
    auto result = job_store_image{};
    for (auto const& [number, job] : m_jobs)
        result.m_jobs.push_back(job);
    result.m_agents.assign(m_agents.begin(), m_agents.end());
    return result;
}

auto job_store::find(std::string_view id) const -> durable_job const*
{
    auto const found = m_by_id.find(id);
    return found == m_by_id.end() ? nullptr : find(found->second);
}

auto job_store::find(std::uint64_t number) const -> durable_job const*
{
    auto const found = m_jobs.find(number);
    return found == m_jobs.end() ? nullptr : &found->second;
}

auto job_store::jobs() const -> std::map<std::uint64_t, durable_job> const&
{
    return m_jobs;
}

auto job_store::open_jobs() const -> std::size_t
{
    return m_open_count;
}

auto job_store::agents() const -> std::set<node_id> const&
{
    return m_agents;
}

} // namespace hickorylatch::core
