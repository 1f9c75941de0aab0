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

/// Jobs that an entry does not begin yet, because runs of them may be in
/// progress: at another entry that had the job before, or here, where they are
/// being stopped.
class job_claims
{
public:
    /// A request that may be served now.
    struct ready_request
    {
        job_arrived m_request;
        duration m_waited{0};
    };

    /// Lets the request wait until the agent at `place` has answered, if there
    /// is one. `deadline` is that of the client.
    auto ask(time_point now, job_arrived const& request,
             claim_place const& place, time_point deadline, effects& out)
        -> void;
    /// Tells the agent that the job with this number is begun.
    auto claim(time_point now, placed_job const& job, claim_place const& place,
               effects& out) -> void;
    /// The job with this number has ended.
    auto release(std::uint64_t number) -> void;
    /// Repeats claims that the agent may not have heard or has forgotten.
    auto announced(time_point now, node_id agent, std::string_view worker,
                   effects& out) -> void;
    auto answered(time_point now, claim_answer const& answer, effects& out)
        -> void;
    /// The client of a waiting request has gone.
    auto abandon(exchange_id exchange) -> void;
    /// Another entry wants the job. The agent is told when no run of it is left
    /// here. Returns the requests that waited here for the same job.
    auto yield(node_id agent, std::string const& job_id, effects& out)
        -> std::vector<job_arrived>;

    /// Runs of the job with this number are being stopped.
    auto retire(std::string const& job_id, std::uint64_t number) -> void;
    /// These runs have ended.
    auto ended(std::uint64_t number, effects& out) -> void;
    /// Takes the requests that need not wait any longer.
    auto take_ready(time_point now, effects& out) -> std::vector<ready_request>;

    [[nodiscard]] auto is_waiting(std::string_view job_id) const -> bool;
    [[nodiscard]] auto is_retiring(std::string_view job_id) const -> bool;
    /// Jobs that wait.
    [[nodiscard]] auto size() const -> std::size_t;
    [[nodiscard]] auto next_deadline() const -> time_point;

private:
    /// A claim of a job that is in progress or waits.
    struct claim_state
    {
        std::string m_job_id;
        /// Name of the worker beside the agent.
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
        time_point m_since{0};
        /// When it is begun without an answer.
        time_point m_until{0};
        bool m_is_granted = false;
        /// Another entry has had the job, or this one.
        bool m_is_held = false;
    };

    std::map<std::string, waiting_job, std::less<>> m_waiting;
    /// Claims of jobs in progress, by their numbers.
    std::map<std::uint64_t, claim_state> m_claims;
    std::map<std::string, std::set<std::uint64_t>, std::less<>> m_retiring;
    std::map<std::uint64_t, std::string> m_retiring_ids;
    /// Agents to be told when the runs of a job have ended.
    std::map<std::string, std::set<node_id>, std::less<>> m_yields;
};

} // namespace hickorylatch::core

#endif
