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

// As in run_placer: the lease by the slowest clock, and time for the stops.
constexpr auto slowest_clock_percent = 103;
constexpr auto stop_margin = duration{std::chrono::milliseconds{150}};
// The last confirmation of an earlier leader may have been on its way for this
// long when this one was elected; a leader without a quorum confirms nothing.
constexpr auto longest_delay = duration{std::chrono::milliseconds{500}};
// Forgotten jobs are proposed together.
constexpr auto most_forgotten = std::size_t{256};

auto for_leader(run_placer_settings settings) -> run_placer_settings
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
      m_placer{for_leader(settings.m_placer)}, m_unheard{store.agents()},
      m_doubts_end_at{now}
{
    if (!m_unheard.empty())
        m_doubts_end_at +=
            longest_delay + leader_contact_timeout +
            settings.m_placer.m_lease * slowest_clock_percent / 100 +
            stop_margin;
    for (auto const& [number, job] : m_store.jobs())
    {
        if (job.has_ended())
            note_end(now, number);
        else
            add(now, job);
    }
}

auto job_runner::add(time_point now, durable_job const& job) -> void
{
    auto placed = placed_job{job.m_number, job.m_job, job.m_queue, now};
    for (auto const& index : job.m_succeeded)
        if (auto* const task = placed.find(index))
            placed.set_succeeded(*task);
    for (auto const& [index, count] : job.m_failures)
        if (auto* const task = placed.find(index))
            task->m_failures = count;
    if (!m_unheard.empty())
        placed.mark_in_doubt();
    m_placer.add(std::move(placed));
}

auto job_runner::connected(node_id agent, effects& out) -> void
{
    m_linked.insert(agent);
    if (m_store.agents().contains(agent) && !m_removing.contains(agent))
        follow(agent, out);
    else
        m_proposals.emplace_back(change_agents{{agent}, {}});
}

auto job_runner::follow(node_id agent, effects& out) -> void
{
    m_placer.connected(agent);
    m_placer.confirm(agent, m_progress[agent].m_confirmed);
    out.emplace_back(send{agent, lead_jobs{m_term}});
}

auto job_runner::disconnected(time_point now, node_id agent) -> void
{
    m_linked.erase(agent);
    m_placer.disconnected(now, agent);
}

auto job_runner::receive(time_point now, node_id from, message const& incoming,
                         configuration_version version, random_source& random,
                         effects& out) -> bool
{
    if (auto const* ends = std::get_if<runs_ended>(&incoming))
    {
        take(now, from, *ends, random, out);
        return true;
    }
    if (!m_placer.receive(now, from, incoming, version, random, out))
        return false;
    if (std::holds_alternative<worker_announcement>(incoming))
        heard(now, from, random, out);
    return true;
}

auto job_runner::take(time_point now, node_id from, runs_ended const& news,
                      random_source& random, effects& out) -> void
{
    auto& progress = m_progress[from];
    if (news.m_number <= progress.m_taken)
        return;
    progress.m_taken = news.m_number;
    auto held =
        held_ends{from, news.m_number, {}, known(news.m_unmatched_ends), 0};
    auto prompt = std::vector<run_end>{};
    for (auto const& each : news.m_ends)
    {
        auto const is_lasting = each.m_outcome == run_outcome::succeeded ||
                                each.m_outcome == run_outcome::failed;
        (is_lasting ? held.m_ends : prompt).push_back(each);
        if (!is_lasting)
            continue;
        m_placer.set_end_pending(from, each);
        m_unproposed.push_back(to_task_end(each));
    }
    for (auto const& each : held.m_unmatched_ends)
    {
        m_placer.set_task_end_pending(each);
        m_unproposed.push_back(each);
    }
    auto const needs_record =
        !held.m_ends.empty() || !held.m_unmatched_ends.empty();
    held.m_proposal = m_recordings_proposed + (needs_record ? 1 : 0);
    m_held.push_back(std::move(held));
    for (auto const& each : prompt)
        m_placer.apply_end(now, from, each, random, out);
    release_ends(now, random, out);
}

auto job_runner::known(std::span<unmatched_end const> found) const
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

auto job_runner::release_ends(time_point now, random_source& random,
                              effects& out) -> void
{
    while (!m_held.empty() &&
           m_held.front().m_proposal <= m_recordings_committed)
    {
        auto const held = std::move(m_held.front());
        m_held.pop_front();
        for (auto const& each : held.m_ends)
            if (!m_placer.apply_end(now, held.m_agent, each, random, out))
                m_placer.apply_task_end(now, to_task_end(each), random, out);
        for (auto const& each : held.m_unmatched_ends)
            m_placer.apply_task_end(now, each, random, out);
        m_progress[held.m_agent].m_confirmed = held.m_number;
        m_placer.confirm(held.m_agent, held.m_number);
    }
    settle(now, out);
}

auto job_runner::applied(time_point now, log_entry const& entry,
                         random_source& random, effects& out) -> void
{
    if (std::holds_alternative<accept_job>(entry.m_command))
        accept(now, entry.m_index, random, out);
    else if (std::holds_alternative<record_ends>(entry.m_command))
    {
        // Entries of an earlier term are applied before this object exists.
        ++m_recordings_committed;
        release_ends(now, random, out);
    }
    else if (auto const* dropped = std::get_if<drop_job>(&entry.m_command))
    {
        if (m_placer.find(dropped->m_job) != nullptr)
        {
            m_placer.remove(dropped->m_job, out);
            note_end(now, dropped->m_job);
        }
    }
    else if (auto const* changed = std::get_if<change_agents>(&entry.m_command))
    {
        for (auto const agent : changed->m_removed)
            m_removing.erase(agent);
        for (auto const agent : changed->m_added)
            if (m_linked.contains(agent))
                follow(agent, out);
    }
}

auto job_runner::accept(time_point now, std::uint64_t number,
                        random_source& random, effects& out) -> void
{
    auto const* job = m_store.find(number);
    // The identifier was known already.
    if (job == nullptr || m_placer.find(number) != nullptr)
        return;
    // A job of this term has no run of an earlier leader.
    m_placer.add(placed_job{number, job->m_job, job->m_queue, now});
    auto made = m_placer.plan(now, number, random);
    out.emplace_back(
        log_line{log_level::info,
                 "job_stored",
                 {{"job", job->m_job.m_id},
                  {"number", std::to_string(number)},
                  {"queue", job->m_queue.m_name},
                  {"open_jobs", std::to_string(m_store.open_jobs())},
                  {"forecast_ms", ms_field(made.m_forecast)},
                  {"reserved_at", std::to_string(made.m_reservations.size())},
                  {"unplaced", std::to_string(made.m_unplaced)}}});
    if (!made.m_reservations.empty())
        m_placer.find(number)->set_forecast(made.m_forecast);
    m_placer.execute(now, number, std::move(made), out);
}

auto job_runner::heard(time_point now, node_id agent, random_source& random,
                       effects& out) -> void
{
    if (m_unheard.erase(agent) != 0 && m_unheard.empty())
        end_doubts(now, random, out);
}

auto job_runner::end_doubts(time_point now, random_source& random, effects& out)
    -> void
{
    out.emplace_back(
        log_line{log_level::info,
                 "runs_of_earlier_leader_settled",
                 {{"agents_unheard", std::to_string(m_unheard.size())},
                  {"open_jobs", std::to_string(m_store.open_jobs())}}});
    remove_agents({m_unheard.begin(), m_unheard.end()});
    m_unheard.clear();
    m_doubts_end_at = never;
    m_placer.resolve_in_doubt(now, random, out);
    settle(now, out);
}

auto job_runner::remove_agents(std::vector<node_id> gone) -> void
{
    if (gone.empty())
        return;
    for (auto const agent : gone)
        m_progress.erase(agent);
    m_removing.insert(gone.begin(), gone.end());
    m_proposals.emplace_back(change_agents{{}, std::move(gone)});
}

auto job_runner::tick(time_point now, random_source& random, effects& out)
    -> void
{
    m_placer.tick(now, random, out);
    remove_agents(m_placer.take_lost_agents());
    if (now >= m_doubts_end_at)
        end_doubts(now, random, out);
    auto old = forget_jobs{};
    while (!m_ended.empty() && m_ended.front().first <= now &&
           old.m_jobs.size() < most_forgotten)
    {
        old.m_jobs.push_back(m_ended.front().second);
        m_ended.pop_front();
    }
    if (!old.m_jobs.empty())
        m_proposals.emplace_back(std::move(old));
    settle(now, out);
}

auto job_runner::settle(time_point now, effects& out) -> void
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
        note_end(now, ended.m_job);
    }
}

auto job_runner::note_end(time_point now, std::uint64_t number) -> void
{
    m_ended.emplace_back(now + m_retention, number);
}

auto job_runner::take_proposals() -> std::vector<command>
{
    if (!m_unproposed.empty())
    {
        ++m_recordings_proposed;
        m_proposals.emplace_back(record_ends{std::exchange(m_unproposed, {})});
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
            return job.queue().m_name == queue && !job.may_have_started() &&
                   std::ranges::none_of(job.tasks(),
                                        [](placed_task const& task)
                                        {
                                            return task.m_state ==
                                                   task_state::placed;
                                        });
        }));
}

auto job_runner::next_deadline() const -> time_point
{
    auto first = std::min(m_placer.next_deadline(), m_doubts_end_at);
    if (!m_ended.empty())
        first = std::min(first, m_ended.front().first);
    return first;
}

} // namespace hickorylatch::core
