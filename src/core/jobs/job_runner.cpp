#include "core/jobs/job_runner.hpp"

#include "core/placement/contact_timeouts.hpp"
#include "core/placement/log_fields.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace hickorylatch::core
{

namespace
{

// As in run_placer: leases are measured by the slowest clock, and agents need
// time to stop runs.
constexpr auto slowest_clock_percent = 103;
constexpr auto stop_margin = duration{std::chrono::milliseconds{150}};
// The last confirmation by an earlier leader may arrive this long after the
// election of this one. A leader without a quorum confirms nothing.
constexpr auto max_confirmation_delay =
    duration{std::chrono::milliseconds{500}};
// Maximum number of jobs in one `forget_jobs` command.
constexpr auto max_jobs_per_forget = std::size_t{256};

auto with_leader_timeout(run_placer_settings settings) -> run_placer_settings
{
    settings.m_contact_timeout = leader_contact_timeout;
    return settings;
}

auto to_task_end(run_end const& end) -> task_end
{
    return {end.m_run.m_job, end.m_run.m_task,
            end.m_outcome == run_outcome::succeeded};
}

} // namespace

job_runner::job_runner(job_runner_settings settings, job_store const& store,
                       time_point now, term_number term)
    : m_store{store}, m_term{term}, m_retention{settings.m_retention},
      m_placer{with_leader_timeout(settings.m_placer)},
      m_unannounced{store.agents()}, m_unknown_runs_end_at{now}
{
    if (!m_unannounced.empty())
        m_unknown_runs_end_at +=
            max_confirmation_delay + leader_contact_timeout +
            settings.m_placer.m_lease * slowest_clock_percent / 100 +
            stop_margin;
    for (auto const& [number, job] : m_store.jobs())
    {
        if (job.has_ended())
            schedule_forget(now, number);
        else
            restore_job(now, job);
    }
}

auto job_runner::restore_job(time_point now, durable_job const& job) -> void
{
    auto placed = placed_job{job.m_number, job.m_job, job.m_queue, now};
    for (auto const& index : job.m_succeeded)
        if (auto* const task = placed.find(index))
            placed.set_succeeded(*task);
    for (auto const& [index, count] : job.m_failures)
        if (auto* const task = placed.find(index))
        {
            task->m_failures = count;
            placed.set_may_have_started();
        }
    if (!m_unannounced.empty())
        placed.mark_in_doubt();
    m_placer.add(std::move(placed));
}

auto job_runner::connected(node_id agent, effects& out) -> void
{
    m_connected.insert(agent);
    if (m_store.agents().contains(agent) && !m_removing.contains(agent))
        attach_agent(agent, out);
    else
        m_proposals.emplace_back(change_agents{{agent}, {}});
}

auto job_runner::attach_agent(node_id agent, effects& out) -> void
{
    m_placer.connected(agent);
    m_placer.confirm(agent, m_progress[agent].m_confirmed);
    out.emplace_back(send{agent, lead_jobs{m_term}});
}

auto job_runner::disconnected(time_point now, node_id agent) -> void
{
    m_connected.erase(agent);
    m_placer.disconnected(now, agent);
}

auto job_runner::receive(time_point now, node_id from, message const& incoming,
                         configuration_version version, random_source& random,
                         effects& out) -> bool
{
    if (auto const* ends = std::get_if<runs_ended>(&incoming))
    {
        receive_ends(now, from, *ends, random, out);
        return true;
    }
    if (!m_placer.receive(now, from, incoming, version, random, out))
        return false;
    if (std::holds_alternative<worker_announcement>(incoming))
        agent_announced(now, from, random, out);
    return true;
}

auto job_runner::receive_ends(time_point now, node_id from,
                              runs_ended const& report, random_source& random,
                              effects& out) -> void
{
    auto& progress = m_progress[from];
    if (report.m_number <= progress.m_received)
        return;
    progress.m_received = report.m_number;
    auto pending = pending_ends{
        from, report.m_number, {}, match_ends(report.m_unmatched_ends), 0};
    auto immediate = std::vector<run_end>{};
    for (auto const& each : report.m_ends)
    {
        auto const needs_commit = each.m_outcome == run_outcome::succeeded ||
                                  each.m_outcome == run_outcome::failed;
        (needs_commit ? pending.m_ends : immediate).push_back(each);
        if (!needs_commit)
            continue;
        m_placer.set_end_pending(from, each);
        m_unproposed_ends.push_back(to_task_end(each));
    }
    for (auto const& each : pending.m_unmatched_ends)
    {
        m_placer.set_task_end_pending(each);
        m_unproposed_ends.push_back(each);
    }
    auto const has_recording =
        !pending.m_ends.empty() || !pending.m_unmatched_ends.empty();
    pending.m_required_recordings =
        m_recordings_proposed + (has_recording ? 1 : 0);
    m_pending_ends.push_back(std::move(pending));
    for (auto const& each : immediate)
        m_placer.apply_end(now, from, each, random, out);
    process_recorded_ends(now, random, out);
}

auto job_runner::match_ends(std::span<unmatched_end const> found) const
    -> std::vector<task_end>
{
    auto ends = std::vector<task_end>{};
    for (auto const& each : found)
        if (auto const* job = m_store.find(each.m_job_id);
            job != nullptr && !job->has_ended())
            ends.push_back({job->m_number, each.m_task,
                            each.m_outcome == run_outcome::succeeded});
    return ends;
}

auto job_runner::process_recorded_ends(time_point now, random_source& random,
                                       effects& out) -> void
{
    while (!m_pending_ends.empty() &&
           m_pending_ends.front().m_required_recordings <=
               m_recordings_committed)
    {
        auto const pending = std::move(m_pending_ends.front());
        m_pending_ends.pop_front();
        for (auto const& each : pending.m_ends)
            if (!m_placer.apply_end(now, pending.m_agent, each, random, out))
                m_placer.apply_task_end(now, to_task_end(each), random, out);
        for (auto const& each : pending.m_unmatched_ends)
            m_placer.apply_task_end(now, each, random, out);
        m_progress[pending.m_agent].m_confirmed = pending.m_number;
        m_placer.confirm(pending.m_agent, pending.m_number);
    }
    remove_ended_jobs(now, out);
}

auto job_runner::applied(time_point now, log_entry const& entry,
                         random_source& random, effects& out) -> void
{
    if (std::holds_alternative<accept_job>(entry.m_command))
        place_accepted_job(now, entry.m_index, random, out);
    else if (std::holds_alternative<record_ends>(entry.m_command))
    {
        // Entries of earlier terms are applied before this object exists, so
        // only its own recordings are counted.
        ++m_recordings_committed;
        process_recorded_ends(now, random, out);
    }
    else if (auto const* dropped = std::get_if<drop_job>(&entry.m_command))
    {
        if (m_placer.find(dropped->m_job) != nullptr)
        {
            m_placer.remove(dropped->m_job, out);
            schedule_forget(now, dropped->m_job);
        }
    }
    else if (auto const* changed = std::get_if<change_agents>(&entry.m_command))
    {
        for (auto const agent : changed->m_removed)
            m_removing.erase(agent);
        for (auto const agent : changed->m_added)
            if (m_connected.contains(agent))
                attach_agent(agent, out);
    }
}

auto job_runner::place_accepted_job(time_point now, std::uint64_t number,
                                    random_source& random, effects& out) -> void
{
    auto const* job = m_store.find(number);
    // Null if the identifier was already known.
    if (job == nullptr || m_placer.find(number) != nullptr)
        return;
    // A job accepted in this term can't have runs of an earlier leader.
    m_placer.add(placed_job{number, job->m_job, job->m_queue, now});
    auto plan = m_placer.plan(now, number, random);
    out.emplace_back(
        log_line{log_level::info,
                 "job_stored",
                 {{"job", job->m_job.m_id},
                  {"number", std::to_string(number)},
                  {"queue", job->m_queue.m_name},
                  {"open_jobs", std::to_string(m_store.open_jobs())},
                  {"forecast_ms", ms_field(plan.m_forecast)},
                  {"reserved_at", std::to_string(plan.m_reservations.size())},
                  {"unplaced", std::to_string(plan.m_unplaced)}}});
    if (!plan.m_reservations.empty())
        m_placer.find(number)->set_forecast(plan.m_forecast);
    m_placer.execute(now, number, std::move(plan), out);
}

auto job_runner::agent_announced(time_point now, node_id agent,
                                 random_source& random, effects& out) -> void
{
    if (m_unannounced.erase(agent) != 0 && m_unannounced.empty())
        resolve_unknown_runs(now, random, out);
}

auto job_runner::resolve_unknown_runs(time_point now, random_source& random,
                                      effects& out) -> void
{
    out.emplace_back(
        log_line{log_level::info,
                 "runs_of_earlier_leader_settled",
                 {{"agents_unheard", std::to_string(m_unannounced.size())},
                  {"open_jobs", std::to_string(m_store.open_jobs())}}});
    propose_agent_removal({m_unannounced.begin(), m_unannounced.end()});
    m_unannounced.clear();
    m_unknown_runs_end_at = never;
    m_placer.resolve_in_doubt(now, random, out);
    remove_ended_jobs(now, out);
}

auto job_runner::propose_agent_removal(std::vector<node_id> removed) -> void
{
    if (removed.empty())
        return;
    for (auto const agent : removed)
        m_progress.erase(agent);
    m_removing.insert(removed.begin(), removed.end());
    m_proposals.emplace_back(change_agents{{}, std::move(removed)});
}

auto job_runner::tick(time_point now, random_source& random, effects& out)
    -> void
{
    m_placer.tick(now, random, out);
    propose_agent_removal(m_placer.take_lost_agents());
    if (now >= m_unknown_runs_end_at)
        resolve_unknown_runs(now, random, out);
    auto forgotten = forget_jobs{};
    while (!m_ended_jobs.empty() && m_ended_jobs.front().first <= now &&
           forgotten.m_jobs.size() < max_jobs_per_forget)
    {
        forgotten.m_jobs.push_back(m_ended_jobs.front().second);
        m_ended_jobs.pop_front();
    }
    if (!forgotten.m_jobs.empty())
        m_proposals.emplace_back(std::move(forgotten));
    remove_ended_jobs(now, out);
}

auto job_runner::set_evacuations(time_point now, evacuations const& known,
                                 random_source& random, effects& out) -> void
{
    m_placer.set_evacuations(now, known, random, out);
}

auto job_runner::remove_ended_jobs(time_point now, effects& out) -> void
{
    for (auto const& ended : m_placer.take_outcomes())
    {
        auto const& job = *m_placer.find(ended.m_job);
        out.emplace_back(log_line{
            log_level::info,
            "durable_job_ended",
            {{"job", job.job().m_id},
             {"queue", job.queue().m_name},
             {"state", ended.m_reason == reason::none ? "completed" : "failed"},
             {"age_ms", ms_field(now - job.arrived())}}});
        m_placer.remove(ended.m_job, out);
        schedule_forget(now, ended.m_job);
    }
}

auto job_runner::schedule_forget(time_point now, std::uint64_t number) -> void
{
    m_ended_jobs.emplace_back(now + m_retention, number);
}

auto job_runner::take_proposals() -> std::vector<command>
{
    if (!m_unproposed_ends.empty())
    {
        ++m_recordings_proposed;
        m_proposals.emplace_back(
            record_ends{std::exchange(m_unproposed_ends, {})});
    }
    return std::exchange(m_proposals, {});
}

auto job_runner::waiting_jobs(std::string_view queue) const -> std::uint64_t
{
    return static_cast<std::uint64_t>(std::ranges::count_if(
        m_placer.jobs(),
        [queue](auto const& each)
        {
            auto const& job = each.second;
            return job.queue().m_name == queue && !job.may_have_started();
        }));
}

auto job_runner::next_deadline() const -> time_point
{
    auto earliest = std::min(m_placer.next_deadline(), m_unknown_runs_end_at);
    if (!m_ended_jobs.empty())
        earliest = std::min(earliest, m_ended_jobs.front().first);
    return earliest;
}

} // namespace hickorylatch::core
