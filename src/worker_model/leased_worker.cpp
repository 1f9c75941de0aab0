#include "worker_model/leased_worker.hpp"

#include <algorithm>
#include <utility>

namespace hickorylatch::worker_model
{

namespace
{

// Reading of the worker's clock when the caller's clock is 0, so that no
// reading is 0.
constexpr auto clock_offset_ms = std::int64_t{1'000};
// Maximum number of ends returned by one poll.
constexpr auto max_listed_ends = std::size_t{500};
// Time after which a failing run ends.
constexpr auto failing_run_time = core::duration{std::chrono::milliseconds{5}};

} // namespace

leased_worker::leased_worker(leased_worker_settings settings)
    : m_settings{std::move(settings)}
{
}

auto leased_worker::start(core::time_point now, start_order const& order)
    -> core::worker_answer
{
    advance(now);
    if (!check_fencing_token(order.m_fencing_token))
        return core::worker_answer::fenced;
    extend_lease(now, order.m_lease_until_ms);
    auto const task = task_key{order.m_run.m_job_id, order.m_run.m_task};
    if (auto const present = m_running.find(task); present != m_running.end())
        return present->second.m_run == order.m_run.m_run
                   ? core::worker_answer::accepted
                   : core::worker_answer::outdated;
    if (auto const ended = m_highest_ended_run.find(task);
        ended != m_highest_ended_run.end() &&
        order.m_run.m_run <= ended->second)
        return core::worker_answer::outdated;
    if (order.m_lease_until_ms <= clock_ms(now))
        return core::worker_answer::late;
    auto available = m_settings.m_capacity;
    for (auto const& [other, run] : m_running)
        available -= run.m_needs;
    if (!available.fits(order.m_needs))
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
        run.m_ends_at = now + failing_run_time;
        run.m_outcome = core::run_outcome::failed;
    }
    else if (!m_hangs)
        run.m_ends_at =
            now + std::chrono::duration_cast<core::duration>(
                      std::chrono::duration<double, core::duration::period>(
                          order.m_run_time) *
                      m_settings.m_run_time_factor);
    m_running.emplace(task, run);
    update_slowdowns(now);
    return core::worker_answer::accepted;
}

auto leased_worker::stop(core::time_point now, core::worker_run const& run,
                         std::uint64_t fencing_token) -> core::worker_answer
{
    advance(now);
    if (!check_fencing_token(fencing_token))
        return core::worker_answer::fenced;
    auto const task = task_key{run.m_job_id, run.m_task};
    auto& ended = m_highest_ended_run[task];
    ended = std::max(ended, run.m_run);
    auto const found = m_running.find(task);
    if (found == m_running.end() || found->second.m_run > run.m_run)
        return core::worker_answer::accepted;
    auto const stopped_at = now + m_settings.m_stop_delay;
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
    auto result = core::runs_polled{};
    result.m_clock_ms = clock_ms(now);
    if (!check_fencing_token(fencing_token))
    {
        result.m_answer = core::worker_answer::fenced;
        return result;
    }
    result.m_answer = core::worker_answer::accepted;
    extend_lease(now, lease_until_ms);
    while (!m_ends.empty() && m_ends.front().m_number <= acknowledged)
        m_ends.pop_front();
    for (auto const& [task, run] : m_running)
        result.m_running.push_back({task.first, task.second, run.m_run});
    auto const count = std::min(m_ends.size(), max_listed_ends);
    result.m_ended.assign(m_ends.begin(),
                          m_ends.begin() + static_cast<std::ptrdiff_t>(count));
    return result;
}

auto leased_worker::advance(core::time_point now) -> void
{
    while (true)
    {
        auto earliest = m_running.end();
        for (auto each = m_running.begin(); each != m_running.end(); ++each)
            if (each->second.m_ends_at <= now &&
                (earliest == m_running.end() ||
                 each->second.m_ends_at < earliest->second.m_ends_at))
                earliest = each;
        auto const lease_end = lease_expires_at();
        auto const is_lease_end_first = earliest == m_running.end() ||
                                        lease_end < earliest->second.m_ends_at;
        if (!m_running.empty() && lease_end <= now && is_lease_end_first)
        {
            while (!m_running.empty())
                end_run(m_running.begin(), core::run_outcome::lapsed);
            continue;
        }
        if (earliest == m_running.end())
            return;
        auto const ended_at = earliest->second.m_ends_at;
        end_run(earliest, earliest->second.m_outcome);
        update_slowdowns(ended_at);
    }
}

auto leased_worker::set_failing(bool fails) -> void
{
    m_fails = fails;
}

auto leased_worker::set_hanging(bool hangs) -> void
{
    m_hangs = hangs;
}

auto leased_worker::set_run_time_factor(double factor) -> void
{
    m_settings.m_run_time_factor = factor;
}

auto leased_worker::clock_ms(core::time_point now) const -> std::int64_t
{
    auto const passed = std::chrono::duration<double, std::milli>(now) *
                        m_settings.m_clock_rate;
    return clock_offset_ms + static_cast<std::int64_t>(passed.count());
}

auto leased_worker::next_event() const -> core::time_point
{
    auto earliest = core::never;
    for (auto const& [task, run] : m_running)
        earliest = std::min({earliest, run.m_ends_at, lease_expires_at()});
    return earliest;
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
    return m_running.contains(task_key{job, task});
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

auto leased_worker::check_fencing_token(std::uint64_t fencing_token) -> bool
{
    if (fencing_token < m_fencing_token)
        return false;
    m_fencing_token = fencing_token;
    return true;
}

auto leased_worker::lease_expires_at() const -> core::time_point
{
    auto const left = std::chrono::duration<double, std::milli>(
        static_cast<double>(m_lease_until_ms - clock_offset_ms) /
        m_settings.m_clock_rate);
    return std::chrono::ceil<core::time_point>(left);
}

auto leased_worker::extend_lease(core::time_point now,
                                 std::int64_t lease_until_ms) -> void
{
    auto const max_lease_until_ms =
        clock_ms(now) + std::chrono::duration_cast<std::chrono::milliseconds>(
                            m_settings.m_max_lease)
                            .count();
    m_lease_until_ms = std::max(m_lease_until_ms,
                                std::min(lease_until_ms, max_lease_until_ms));
}

auto leased_worker::update_slowdowns(core::time_point now) -> void
{
    if (!m_settings.m_slowdown)
        return;
    for (auto& [task, run] : m_running)
    {
        if (run.m_ends_at == core::never ||
            run.m_outcome != core::run_outcome::succeeded)
            continue;
        auto slowdown = 1.0;
        for (auto const& [other, beside] : m_running)
            if (other != task)
                slowdown *= m_settings.m_slowdown(task.first, other.first);
        auto const left =
            core::scaled(std::max(run.m_ends_at - now, core::duration{0}),
                         slowdown / run.m_slowdown);
        run.m_ends_at = now + left;
        run.m_slowdown = slowdown;
    }
}

auto leased_worker::end_run(std::map<task_key, run_state>::iterator run,
                            core::run_outcome outcome) -> void
{
    m_successes += outcome == core::run_outcome::succeeded ? 1 : 0;
    auto& ended = m_highest_ended_run[run->first];
    ended = std::max(ended, run->second.m_run);
    m_ends.push_back({++m_last_end_number,
                      {run->first.first, run->first.second, run->second.m_run},
                      outcome});
    m_running.erase(run);
}

} // namespace hickorylatch::worker_model
