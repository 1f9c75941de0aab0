#ifndef HICKORYLATCH_CORE_JOBS_JOB_RUNNER_HPP
#define HICKORYLATCH_CORE_JOBS_JOB_RUNNER_HPP

#include "core/jobs/job_store.hpp"
#include "core/model/effect.hpp"
#include "core/model/random_source.hpp"
#include "core/placement/run_placer.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hickorylatch::core
{

struct job_runner_settings
{
    /// The contact timeout is replaced by that of leaders.
    run_placer_settings m_placer;
    /// How long the state of an ended job can be queried.
    duration m_retention = std::chrono::seconds{120};
};

/// Places the durable jobs while this process leads the control group. Relies
/// only on committed state: an end counts once it is committed, and runs are
/// ordered only at agents whose addition is committed, so that the next leader
/// knows which agents may hold runs.
class job_runner
{
public:
    /// Continues the jobs of earlier leaders. `store` must outlive this object.
    job_runner(job_runner_settings settings, job_store const& store,
               time_point now, term_number term);

    /// A connection to an agent was established.
    auto connected(node_id agent, effects& out) -> void;
    auto disconnected(time_point now, node_id agent) -> void;
    /// Handles a message from an agent; false if it is not for this class.
    auto receive(time_point now, node_id from, message const& incoming,
                 configuration_version version, random_source& random,
                 effects& out) -> bool;
    /// To be called after an entry was committed and applied to the store.
    auto applied(time_point now, log_entry const& entry, random_source& random,
                 effects& out) -> void;
    auto tick(time_point now, random_source& random, effects& out) -> void;
    /// Orders no more runs in these failure domains. Jobs that can run only
    /// there wait until they are restored.
    auto set_evacuations(time_point now, evacuations const& known,
                         random_source& random, effects& out) -> void;

    /// Returns and clears the commands to propose, in order.
    [[nodiscard]] auto take_proposals() -> std::vector<command>;
    /// Number of durable jobs of the queue of which no task has a run.
    [[nodiscard]] auto waiting_jobs(std::string_view queue) const
        -> std::uint64_t;
    [[nodiscard]] auto next_deadline() const -> time_point;

private:
    /// Ends reported by an agent that are processed after their commit.
    struct pending_ends
    {
        node_id m_agent = no_node;
        std::uint64_t m_number = 0;
        std::vector<run_end> m_ends;
        std::vector<task_end> m_unmatched_ends;
        /// Number of recordings that have to be committed first, including the
        /// one that contains these ends.
        std::uint64_t m_required_recordings = 0;
    };

    /// Numbers of the last messages with ends from an agent.
    struct ends_progress
    {
        std::uint64_t m_received = 0;
        std::uint64_t m_confirmed = 0;
    };

    auto receive_ends(time_point now, node_id from, runs_ended const& report,
                      random_source& random, effects& out) -> void;
    /// Converts unmatched ends that belong to a job in progress.
    [[nodiscard]] auto match_ends(std::span<unmatched_end const> found) const
        -> std::vector<task_end>;
    auto process_recorded_ends(time_point now, random_source& random,
                               effects& out) -> void;
    auto restore_job(time_point now, durable_job const& job) -> void;
    auto place_accepted_job(time_point now, std::uint64_t number,
                            random_source& random, effects& out) -> void;
    /// Starts to use a connected agent whose addition is committed.
    auto attach_agent(node_id agent, effects& out) -> void;
    auto agent_announced(time_point now, node_id agent, random_source& random,
                         effects& out) -> void;
    /// Places the tasks that may have runs of an earlier leader, once every
    /// agent has announced its runs or these have certainly ended.
    auto resolve_unknown_runs(time_point now, random_source& random,
                              effects& out) -> void;
    auto propose_agent_removal(std::vector<node_id> removed) -> void;
    /// Removes ended jobs from the placer and schedules their removal from the
    /// store.
    auto remove_ended_jobs(time_point now, effects& out) -> void;
    auto schedule_forget(time_point now, std::uint64_t number) -> void;

    job_store const& m_store;
    term_number m_term;
    duration m_retention;
    run_placer m_placer;
    std::vector<command> m_proposals;

    std::set<node_id> m_connected;
    /// Agents whose removal is proposed but not committed.
    std::set<node_id> m_removing;
    /// Agents that may hold runs of an earlier leader and have not announced
    /// themselves yet.
    std::set<node_id> m_unannounced;
    /// When runs at these agents have certainly ended.
    time_point m_unknown_runs_end_at = never;

    std::deque<pending_ends> m_pending_ends;
    std::map<node_id, ends_progress> m_progress;
    /// Number of `record_ends` commands proposed and committed by this leader.
    std::uint64_t m_recordings_proposed = 0;
    std::uint64_t m_recordings_committed = 0;
    std::vector<task_end> m_unproposed_ends;

    /// Ended jobs with the time at which they may be removed from the store.
    std::deque<std::pair<time_point, std::uint64_t>> m_ended_jobs;
};

} // namespace hickorylatch::core

#endif
