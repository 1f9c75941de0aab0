#include "core/placement/concurrent_runs.hpp"

#include <algorithm>

namespace hickorylatch::core
{

namespace
{

// A worker that has just started may be slow until its caches are filled, and
// it is emptier than usual at the same time.
constexpr auto cold_time = duration{std::chrono::seconds{3}};

} // namespace

auto concurrent_runs::worker_started(time_point now) -> void
{
    m_warm_at = now + cold_time;
}

auto concurrent_runs::begin(time_point now, std::optional<queue_key> queue)
    -> run_concurrency
{
    auto run = run_concurrency{};
    if (!queue)
        return run;
    advance(now);
    auto* const state = find_or_add(*queue);
    if (state == nullptr)
        return run;
    run.m_queue = queue;
    run.m_begun_at = now;
    for (auto const& each : m_queues)
        run.m_sums.emplace_back(each.m_key, each.m_sum);
    ++state->m_count;
    return run;
}

auto concurrent_runs::end(time_point now, run_concurrency const& ended)
    -> std::optional<std::vector<queue_concurrency>>
{
    if (!ended.m_queue)
        return std::nullopt;
    advance(now);
    auto const time = static_cast<double>((now - ended.m_begun_at).count());
    auto beside = std::vector<queue_concurrency>{};
    for (auto& each : m_queues)
    {
        auto const known = std::ranges::find(
            ended.m_sums, each.m_key, &std::pair<queue_key, double>::first);
        auto sum =
            each.m_sum - (known == ended.m_sums.end() ? 0.0 : known->second);
        if (each.m_key == *ended.m_queue)
        {
            --each.m_count;
            sum -= time;
        }
        auto const permille =
            time <= 0.0 ? 0.0 : std::max(sum / time * 1'000.0 + 0.5, 0.0);
        if (permille >= 1.0)
            beside.push_back(
                {each.m_key, static_cast<std::uint32_t>(permille)});
    }
    if (time <= 0.0 || ended.m_begun_at < m_warm_at)
        return std::nullopt;
    return beside;
}

auto concurrent_runs::running() const -> std::vector<queue_count>
{
    auto counts = std::vector<queue_count>{};
    for (auto const& each : m_queues)
        if (each.m_count != 0)
            counts.push_back({each.m_key, each.m_count});
    return counts;
}

auto concurrent_runs::advance(time_point now) -> void
{
    auto const elapsed =
        static_cast<double>(std::max(now - m_advanced_at, duration{0}).count());
    m_advanced_at = std::max(m_advanced_at, now);
    for (auto& each : m_queues)
        each.m_sum += each.m_count * elapsed;
}

auto concurrent_runs::find_or_add(queue_key key) -> queue_state*
{
    auto found = std::ranges::find(m_queues, key, &queue_state::m_key);
    if (found == m_queues.end() && m_queues.size() == max_queues)
        if (auto const unused = std::ranges::find(m_queues, std::uint32_t{0},
                                                  &queue_state::m_count);
            unused != m_queues.end())
            m_queues.erase(unused);
    found = std::ranges::find(m_queues, key, &queue_state::m_key);
    if (found != m_queues.end())
        return &*found;
    if (m_queues.size() == max_queues)
        return nullptr;
    return &m_queues.emplace_back(queue_state{key});
}

} // namespace hickorylatch::core
