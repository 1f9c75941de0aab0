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
    /// The contact timeout is that of leaders.
    run_placer_settings m_placer;
    /// How long the state of an ended job can be asked for.
    duration m_retention = std::chrono::seconds{120};
};

/// Places the durable jobs while this process leads the control group. What it
/// decides on survives in the log: an end counts only once it is committed, and
/// runs are ordered only at agents that the log names, so that the next leader
/// knows where runs may be.
class job_runner
{
public:
    /// Takes over from an earlier leader. `store` must outlive this object.
    job_runner(job_runner_settings settings, job_store const& store,
               time_point now, term_number term);

    /// There is a link to an agent.
    auto connected(node_id agent, effects& out) -> void;
    auto disconnected(time_point now, node_id agent) -> void;
    /// Takes a message of an agent; false if it is of another kind.
    auto receive(time_point now, node_id from, message const& incoming,
                 configuration_version version, random_source& random,
                 effects& out) -> bool;
    /// The entry is committed and applied to the store.
    auto applied(time_point now, log_entry const& entry, random_source& random,
                 effects& out) -> void;
    auto tick(time_point now, random_source& random, effects& out) -> void;

    /// Commands to propose, in order.
    [[nodiscard]] auto take_proposals() -> std::vector<command>;
    /// Durable jobs of the queue of which no task has a run.
    [[nodiscard]] auto waiting_jobs(std::string_view queue) const
        -> std::uint64_t;
    [[nodiscard]] auto next_deadline() const -> time_point;

private:
    /// Ends of an agent that wait until they are committed.
    struct held_ends
    {
        node_id m_agent = no_node;
        std::uint64_t m_number = 0;
        std::vector<run_end> m_ends;
        std::vector<task_end> m_unmatched_ends;
        /// Proposals until and with the one that records them.
        std::uint64_t m_proposal = 0;
    };

    /// Numbers of an agent's messages with ends.
    struct ends_progress
    {
        std::uint64_t m_taken = 0;
        std::uint64_t m_confirmed = 0;
    };

    auto take(time_point now, node_id from, runs_ended const& news,
              random_source& random, effects& out) -> void;
    /// Ends that the agent found and that belong to a job in progress.
    [[nodiscard]] auto known(std::span<unmatched_end const> found) const
        -> std::vector<task_end>;
    auto release_ends(time_point now, random_source& random, effects& out)
        -> void;
    auto add(time_point now, durable_job const& job) -> void;
    auto accept(time_point now, std::uint64_t number, random_source& random,
                effects& out) -> void;
    /// Follows an agent that the log names now.
    auto follow(node_id agent, effects& out) -> void;
    auto heard(time_point now, node_id agent, random_source& random,
               effects& out) -> void;
    /// Starts what was in doubt once every agent was heard or is gone.
    auto end_doubts(time_point now, random_source& random, effects& out)
        -> void;
    auto remove_agents(std::vector<node_id> gone) -> void;
    /// Removes jobs that have ended, and remembers when.
    auto settle(time_point now, effects& out) -> void;
    auto note_end(time_point now, std::uint64_t number) -> void;

    job_store const& m_store;
    term_number m_term;
    duration m_retention;
    run_placer m_placer;
    std::vector<command> m_proposals;

    std::set<node_id> m_linked;
    /// Agents whose removal is proposed.
    std::set<node_id> m_removing;
    /// Agents that may hold runs of an earlier leader and were not heard yet.
    std::set<node_id> m_unheard;
    /// When runs of agents that were not heard have certainly ended.
    time_point m_doubts_end_at = never;

    std::deque<held_ends> m_held;
    std::map<node_id, ends_progress> m_progress;
    /// Proposals that record ends, made and committed.
    std::uint64_t m_recordings_proposed = 0;
    std::uint64_t m_recordings_committed = 0;
    std::vector<task_end> m_unproposed;

    /// Ended jobs, by when they may be forgotten.
    std::deque<std::pair<time_point, std::uint64_t>> m_ended;
};

} // namespace hickorylatch::core

#endif
