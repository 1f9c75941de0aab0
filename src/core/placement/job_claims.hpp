#ifndef HICKORYLATCH_CORE_PLACEMENT_JOB_CLAIMS_HPP
#define HICKORYLATCH_CORE_PLACEMENT_JOB_CLAIMS_HPP

#include "core/model/effect.hpp"
#include "core/model/event.hpp"
#include "core/placement/placed_job.hpp"
#include "core/placement/worker_directory.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace hickorylatch::core
{

/// Delays jobs of which runs may still be in progress: at another entry that
/// held the job before, or here, where they are being stopped. Claims the jobs
/// of this entry at agents, so that other entries notice them.
class job_claims
{
public:
    /// A request that may be admitted now.
    struct ready_request
    {
        job_arrived m_request;
        duration m_waited{0};
    };

    /// Delays the request until the agent at `location` has granted the claim,
    /// if there is an agent. `deadline` is that of the client.
    auto await_grant(time_point now, job_arrived const& request,
                     claim_location const& location, time_point deadline,
                     effects& out) -> void;
    /// Notifies the agent that the job with this number is in progress here.
    auto claim(time_point now, placed_job const& job,
               claim_location const& location, effects& out) -> void;
    /// The job with this number has ended.
    auto release(std::uint64_t number) -> void;
    /// Repeats claims that the agent may not have received or has lost in a
    /// restart.
    auto agent_announced(time_point now, node_id agent, std::string_view worker,
                         effects& out) -> void;
    auto answered(time_point now, claim_answer const& answer, effects& out)
        -> void;
    /// Drops a waiting request: its client has disconnected.
    auto abandon(exchange_id exchange) -> void;
    /// Another entry requests the job. Notifies the agent once no run of it is
    /// left here. Returns the requests that waited here for the same job.
    auto yield(node_id agent, std::string const& job_id, effects& out)
        -> std::vector<job_arrived>;

    /// Runs of the job with this number are being stopped.
    auto mark_stopping(std::string const& job_id, std::uint64_t number) -> void;
    /// The runs of the job with this number have ended.
    auto runs_stopped(std::uint64_t number, effects& out) -> void;
    /// Removes and returns the requests that need not wait any longer.
    auto take_ready(time_point now, effects& out) -> std::vector<ready_request>;

    [[nodiscard]] auto is_waiting(std::string_view job_id) const -> bool;
    [[nodiscard]] auto is_stopping(std::string_view job_id) const -> bool;
    /// Number of waiting jobs.
    [[nodiscard]] auto size() const -> std::size_t;
    [[nodiscard]] auto next_deadline() const -> time_point;

private:
    /// A claim of a job that is in progress or waits.
    struct claim_state
    {
        std::string m_job_id;
        /// Name of the agent's worker.
        std::string m_worker;
        time_point m_deadline{0};
        bool m_awaits_grant = false;
    };

    static auto send_claim(time_point now, node_id agent,
                           claim_state const& claim, effects& out) -> void;

    struct waiting_job
    {
        claim_state m_claim;
        std::vector<job_arrived> m_requests;
        time_point m_waiting_since{0};
        /// When the job is admitted without a grant.
        time_point m_wait_until{0};
        bool m_is_granted = false;
        /// The job was in progress at another entry or this one.
        bool m_was_held = false;
    };

    std::map<std::string, waiting_job, std::less<>> m_waiting;
    /// Claims of jobs in progress, by their numbers.
    std::map<std::uint64_t, claim_state> m_claims;
    std::map<std::string, std::set<std::uint64_t>, std::less<>> m_stopping;
    std::map<std::uint64_t, std::string> m_stopping_ids;
    /// Agents to notify when the runs of a job have ended.
    std::map<std::string, std::set<node_id>, std::less<>> m_yield_agents;
};

} // namespace hickorylatch::core

#endif
