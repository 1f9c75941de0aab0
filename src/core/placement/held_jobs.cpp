#include "core/placement/held_jobs.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace hickorylatch::core
{

namespace
{

constexpr auto max_held_jobs = std::size_t{500};

} // namespace

auto order_of(time_point now, held_job const& job, job_queue const& queue,
              duration objective) -> held_job_order
{
    auto const run =
        scaled(objective - std::chrono::milliseconds{queue.m_latency_ms},
               1.0 / std::max(queue.m_slack_factor, 1.0));
    auto const due = job.m_since - job.m_request.m_waited + objective;
    return {now + run > due, queue.m_rank, due};
}

auto held_jobs::has_room() const -> bool
{
    return m_jobs.size() < max_held_jobs;
}

auto held_jobs::add(held_job job) -> void
{
    m_jobs.push_back(std::move(job));
}

auto held_jobs::abandon(exchange_id exchange) -> void
{
    std::erase_if(m_jobs,
                  [exchange](held_job const& job)
                  {
                      return job.m_request.m_exchange == exchange;
                  });
}

auto held_jobs::take(std::string_view job_id) -> std::vector<held_job>
{
    auto const is_other = [job_id](held_job const& job)
    {
        return job.m_request.m_job.m_id != job_id;
    };
    auto const first =
        std::stable_partition(m_jobs.begin(), m_jobs.end(), is_other);
    auto taken = std::vector<held_job>{std::make_move_iterator(first),
                                       std::make_move_iterator(m_jobs.end())};
    m_jobs.erase(first, m_jobs.end());
    return taken;
}

auto held_jobs::take_all() -> std::vector<held_job>
{
    return std::exchange(m_jobs, {});
}

auto held_jobs::contains(std::string_view job_id) const -> bool
{
    return std::ranges::any_of(m_jobs,
                               [job_id](held_job const& job)
                               {
                                   return job.m_request.m_job.m_id == job_id;
                               });
}

auto held_jobs::empty() const -> bool
{
    return m_jobs.empty();
}

auto sort_held_jobs(std::vector<held_job>& jobs,
                    std::function<held_job_order(held_job const&)> const& order)
    -> void
{
    auto keyed = std::vector<std::pair<held_job_order, held_job>>{};
    for (auto& job : jobs)
    {
        auto const key = order(job);
        keyed.emplace_back(key, std::move(job));
    }
    std::ranges::stable_sort(keyed, {},
                             &std::pair<held_job_order, held_job>::first);
    jobs.clear();
    for (auto& [key, job] : keyed)
        jobs.push_back(std::move(job));
}

} // namespace hickorylatch::core
