#include "core/placement/run_queue.hpp"

#include <algorithm>
#include <functional>
#include <limits>

namespace hickorylatch::core
{

namespace
{

// Longer forecasts change no decision: the wait is long by then.
constexpr auto forecast_run_limit = std::size_t{64};

auto release_order(room_release const& left, room_release const& right) -> bool
{
    return left.m_at > right.m_at;
}

/// Simulates when runs end and free their room.
class room_forecast
{
public:
    room_forecast(time_point now, resources room,
                  std::vector<room_release> releases)
        : m_now{now}, m_room{room}, m_releases{std::move(releases)}
    {
        std::ranges::make_heap(m_releases, release_order);
    }

    /// Advances to the earliest time at which there is room and returns it;
    /// `never` if there is none after all runs have ended.
    auto earliest_start(resources const& needs) -> time_point
    {
        while (!m_room.fits(needs))
        {
            if (m_releases.empty())
                return never;
            std::ranges::pop_heap(m_releases, release_order);
            m_now = std::max(m_now, m_releases.back().m_at);
            m_room += m_releases.back().m_freed;
            m_releases.pop_back();
        }
        return m_now;
    }

    auto start(resources const& needs, duration expected) -> void
    {
        m_room -= needs;
        m_releases.push_back({m_now + expected, needs});
        std::ranges::push_heap(m_releases, release_order);
    }

    /// Simulates one item of a queue. False if there is never room for it.
    auto simulate(waiting_run const& waiting) -> bool
    {
        // Only a part of the tasks of a reservation will run here.
        auto remaining = waiting.m_reserved_tasks == 0
                             ? 1.0
                             : waiting.m_reserved_tasks * waiting.m_local_share;
        for (; remaining > 0.0; remaining -= 1.0)
        {
            if (earliest_start(waiting.m_needs) == never)
                return false;
            start(waiting.m_needs,
                  scaled(waiting.m_expected, std::min(remaining, 1.0)));
        }
        return true;
    }

private:
    time_point m_now;
    resources m_room;
    std::vector<room_release> m_releases;
};

auto to_wait_ms(time_point now, time_point start) -> std::uint32_t
{
    if (start == never)
        return std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(start - now)
            .count());
}

} // namespace

auto run_queue::add(waiting_run run) -> void
{
    auto const place = position{run.m_job->m_rank, ++m_arrivals};
    m_by_expiry.emplace(expiry_of(run), place);
    m_runs.emplace(place, std::move(run));
}

auto run_queue::erase(runs::const_iterator at) -> runs::const_iterator
{
    m_by_expiry.erase({expiry_of(at->second), at->first});
    return m_runs.erase(at);
}

auto run_queue::expiry_of(waiting_run const& run) -> time_point
{
    return run.m_job->m_deadline == never
               ? never
               : run.m_job->m_deadline - run.m_expected + duration{1};
}

auto run_queue::next_expiry() const -> time_point
{
    return m_by_expiry.empty() ? never : m_by_expiry.begin()->first;
}

auto run_queue::next_to_expire() const -> runs::const_iterator
{
    return m_runs.find(m_by_expiry.begin()->second);
}

auto run_queue::take(node_id requester, run_ref const& wanted)
    -> std::optional<waiting_run>
{
    auto const found = std::ranges::find_if(
        m_runs,
        [&](auto const& each)
        {
            return each.second.m_job->m_requester == requester &&
                   each.second.m_ref == wanted;
        });
    if (found == m_runs.end())
        return std::nullopt;
    auto taken = found->second;
    erase(found);
    return taken;
}

auto run_queue::reduce_reservation(runs::const_iterator at, std::uint32_t count)
    -> runs::const_iterator
{
    auto const place = m_runs.find(at->first);
    place->second.m_reserved_tasks -=
        std::min(count, place->second.m_reserved_tasks);
    return place->second.m_reserved_tasks == 0 ? erase(place)
                                               : std::next(place);
}

auto run_queue::release_reservations(node_id requester,
                                     std::optional<std::uint64_t> job) -> void
{
    for (auto place = m_runs.begin(); place != m_runs.end();)
    {
        auto const& run = place->second;
        auto const is_released = run.m_reserved_tasks != 0 &&
                                 run.m_job->m_requester == requester &&
                                 (!job || run.m_ref.m_job == *job);
        if (is_released)
            m_by_expiry.erase({expiry_of(run), place->first});
        place = is_released ? m_runs.erase(place) : std::next(place);
    }
}

auto run_queue::all() const -> runs const&
{
    return m_runs;
}

auto run_queue::size() const -> std::size_t
{
    return m_runs.size();
}

auto forecast_waits(time_point now, run_queue const& queue, resources room,
                    std::vector<room_release> releases, resources const& needs)
    -> std::vector<rank_wait>
{
    auto waits = std::vector<rank_wait>{};
    auto forecast = room_forecast{now, room, std::move(releases)};
    auto place = queue.all().begin();
    auto counted = std::size_t{0};
    if (place == queue.all().end() || place->first.first != 0)
    {
        auto empty_rank = forecast;
        waits.push_back({0, to_wait_ms(now, empty_rank.earliest_start(needs))});
    }
    while (place != queue.all().end() && counted < forecast_run_limit)
    {
        auto const rank = place->first.first;
        for (; place != queue.all().end() && place->first.first == rank &&
               counted < forecast_run_limit;
             ++place, ++counted)
        {
            if (!forecast.simulate(place->second))
                return waits;
        }
        auto after_rank = forecast;
        waits.push_back(
            {rank, to_wait_ms(now, after_rank.earliest_start(needs))});
    }
    return waits;
}

} // namespace hickorylatch::core
