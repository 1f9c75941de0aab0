#include "worker_model/leased_worker.hpp"

#include <algorithm>
#include <utility>

namespace hickorylatch::worker_model
{

namespace
{

// Its clock shows this much when the caller's clock shows 0, so that no reading
// is 0.
constexpr auto clock_offset_ms = std::int64_t{1'000};
// Ends that one poll lists at most.
constexpr auto listed_ends = std::size_t{500};
// Time until a failing run ends.
constexpr auto failure_time = core::duration{std::chrono::milliseconds{5}};

} // namespace

leased_worker::leased_worker(leased_worker_settings settings)
    : m_settings{settings}
{
}

auto leased_worker::start(core::time_point now, start_order const& order)
    -> core::worker_answer
{
    advance(now);
    if (!accepts(order.m_fencing_token))
        return core::worker_answer::fenced;
    extend(now, order.m_lease_until_ms);
    auto const name = key{order.m_run.m_job_id, order.m_run.m_task};
    if (auto const present = m_running.find(name); present != m_running.end())
        return present->second.m_run == order.m_run.m_run
                   ? core::worker_answer::accepted
                   : core::worker_answer::outdated;
    if (auto const ended = m_ended_runs.find(name);
        ended != m_ended_runs.end() && order.m_run.m_run <= ended->second)
        return core::worker_answer::outdated;
    if (order.m_lease_until_ms <= clock_ms(now))
        return core::worker_answer::late;
    auto room = m_settings.m_capacity;
    for (auto const& [other, run] : m_running)
        room -= run.m_needs;
    if (!room.fits(order.m_needs))
    {
        if (m_settings.m_enforces_capacity)
            return core::worker_answer::no_room;
        ++m_overloads;
    }
    ++m_starts;
    auto run = run_state{};
    run.m_run = order.m_run.m_run;
    run.m_needs = order.m_needs;
    if (m_fails)
    {
        run.m_ends_at = now + failure_time;
        run.m_outcome = core::run_outcome::failed;
    }
    else if (!m_hangs)
        run.m_ends_at =
            now + std::chrono::duration_cast<core::duration>(
                      std::chrono::duration<double, core::duration::period>(
                          order.m_run_time) *
                      m_settings.m_slowness);
    m_running.emplace(name, run);
    return core::worker_answer::accepted;
}

auto leased_worker::stop(core::time_point now, core::worker_run const& run,
                         std::uint64_t fencing_token) -> core::worker_answer
{
    advance(now);
    if (!accepts(fencing_token))
        return core::worker_answer::fenced;
    auto const name = key{run.m_job_id, run.m_task};
    auto& ended = m_ended_runs[name];
    ended = std::max(ended, run.m_run);
    auto const found = m_running.find(name);
    if (found == m_running.end() || found->second.m_run > run.m_run)
        return core::worker_answer::accepted;
    auto const stopped_at = now + m_settings.m_stop_time;
    if (stopped_at < found->second.m_ends_at)
    {
        found->second.m_ends_at = stopped_at;
        found->second.m_outcome = core::run_outcome::stopped;
    }
    return core::worker_answer::accepted;
}

auto leased_worker::poll(core::time_point now, std::uint64_t acknowledged,
                         std::int64_t lease_until_ms,
                         std::uint64_t fencing_token) -> core::runs_polled
{
    advance(now);
    auto listed = core::runs_polled{};
    listed.m_clock_ms = clock_ms(now);
    if (!accepts(fencing_token))
    {
        listed.m_answer = core::worker_answer::fenced;
        return listed;
    }
    listed.m_answer = core::worker_answer::accepted;
    extend(now, lease_until_ms);
    while (!m_ends.empty() && m_ends.front().m_number <= acknowledged)
        m_ends.pop_front();
    for (auto const& [name, run] : m_running)
        listed.m_running.push_back({name.first, name.second, run.m_run});
    auto const count = std::min(m_ends.size(), listed_ends);
    listed.m_ended.assign(m_ends.begin(),
                          m_ends.begin() + static_cast<std::ptrdiff_t>(count));
    return listed;
}

auto leased_worker::advance(core::time_point now) -> void
{
    while (true)
    {
        auto first = m_running.end();
        for (auto each = m_running.begin(); each != m_running.end(); ++each)
            if (each->second.m_ends_at <= now &&
                (first == m_running.end() ||
                 each->second.m_ends_at < first->second.m_ends_at))
                first = each;
        auto const lapse = lapse_at();
        auto const is_lapse_first =
            first == m_running.end() || lapse < first->second.m_ends_at;
        if (!m_running.empty() && lapse <= now && is_lapse_first)
        {
            while (!m_running.empty())
                end(m_running.begin(), core::run_outcome::lapsed);
            continue;
        }
        if (first == m_running.end())
            return;
        end(first, first->second.m_outcome);
    }
}

auto leased_worker::set_fails(bool fails) -> void
{
    m_fails = fails;
}

auto leased_worker::set_hangs(bool hangs) -> void
{
    m_hangs = hangs;
}

auto leased_worker::set_slowness(double slowness) -> void
{
    m_settings.m_slowness = slowness;
}

auto leased_worker::clock_ms(core::time_point now) const -> std::int64_t
{
    auto const passed = std::chrono::duration<double, std::milli>(now) *
                        m_settings.m_clock_rate;
    return clock_offset_ms + static_cast<std::int64_t>(passed.count());
}

auto leased_worker::next_event() const -> core::time_point
{
    auto first = core::never;
    for (auto const& [name, run] : m_running)
        first = std::min({first, run.m_ends_at, lapse_at()});
    return first;
}

auto leased_worker::has_ends() const -> bool
{
    return !m_ends.empty();
}

auto leased_worker::running() const -> std::size_t
{
    return m_running.size();
}

auto leased_worker::is_running(std::string const& job,
                               core::task_index task) const -> bool
{
    return m_running.contains(key{job, task});
}

auto leased_worker::overloads() const -> unsigned
{
    return m_overloads;
}

auto leased_worker::starts() const -> unsigned
{
    return m_starts;
}

auto leased_worker::successes() const -> unsigned
{
    return m_successes;
}

auto leased_worker::accepts(std::uint64_t fencing_token) -> bool
{
    if (fencing_token < m_token)
        return false;
    m_token = fencing_token;
    return true;
}

auto leased_worker::lapse_at() const -> core::time_point
{
    auto const left = std::chrono::duration<double, std::milli>(
        static_cast<double>(m_lease_until_ms - clock_offset_ms) /
        m_settings.m_clock_rate);
    return std::chrono::ceil<core::time_point>(left);
}

auto leased_worker::extend(core::time_point now, std::int64_t lease_until_ms)
    -> void
{
    auto const longest =
        clock_ms(now) + std::chrono::duration_cast<std::chrono::milliseconds>(
                            m_settings.m_longest_lease)
                            .count();
    m_lease_until_ms =
        std::max(m_lease_until_ms, std::min(lease_until_ms, longest));
}

auto leased_worker::end(std::map<key, run_state>::iterator run,
                        core::run_outcome outcome) -> void
{
    m_successes += outcome == core::run_outcome::succeeded ? 1 : 0;
    auto& ended = m_ended_runs[run->first];
    ended = std::max(ended, run->second.m_run);
    m_ends.push_back({++m_last_end,
                      {run->first.first, run->first.second, run->second.m_run},
                      outcome});
    m_running.erase(run);
}

} // namespace hickorylatch::worker_model
