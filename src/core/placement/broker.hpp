#ifndef HICKORYLATCH_CORE_PLACEMENT_BROKER_HPP
#define HICKORYLATCH_CORE_PLACEMENT_BROKER_HPP

#include "core/model/configuration.hpp"
#include "core/model/effect.hpp"
#include "core/model/random_source.hpp"
#include "core/placement/configuration_copy.hpp"
#include "core/placement/control_requests.hpp"
#include "core/placement/held_jobs.hpp"
#include "core/placement/isolation_watch.hpp"
#include "core/placement/job_claims.hpp"
#include "core/placement/known_evacuations.hpp"
#include "core/placement/link_targets.hpp"
#include "core/placement/run_placer.hpp"
#include "core/placement/startup_admission.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hickorylatch::core
{

struct broker_settings
{
    /// Name of this process.
    std::string m_name;
    /// Addresses of the control replicas to connect to first.
    std::vector<std::string> m_seeds;
    std::string m_failure_domain;
    run_placer_settings m_placer;
    /// Forwards durable jobs to the control group. Otherwise they are refused.
    bool m_takes_durable_jobs = false;
    /// Holds jobs that would be late while the set of workers grows after the
    /// start.
    bool m_awaits_workers_after_start = false;
    /// Releases clients while no worker can be reached.
    bool m_releases_callers_when_isolated = false;
};

/// Accepts step jobs. It places jobs that are not durable on workers through
/// their agents and answers when they have ended; this uses the last known
/// configuration and needs no control replica. Durable jobs, and queries about
/// them, are forwarded to the control group.
class broker
{
public:
    explicit broker(broker_settings settings);
    broker(broker const&) = delete;
    auto operator=(broker const&) -> broker& = delete;

    auto start(time_point now) -> void;
    auto connected(time_point now, hello const& peer, effects& out) -> void;
    auto disconnected(time_point now, node_id peer, effects& out) -> void;
    auto receive(time_point now, node_id from, message const& incoming,
                 random_source& random, effects& out) -> void;
    auto arrived(time_point now, job_arrived const& request,
                 random_source& random, effects& out) -> void;
    auto query_arrived(time_point now, job_query_arrived const& request,
                       effects& out) -> void;
    auto abandoned(time_point now, exchange_id exchange, effects& out) -> void;
    auto tick(time_point now, random_source& random, effects& out) -> void;
    /// Applies reloaded settings that name other control replicas.
    auto replace_seeds(time_point now, std::vector<std::string> const& seeds,
                       effects& out) -> void;
    /// Begins a graceful shutdown. Jobs are accepted until load balancers have
    /// noticed it.
    auto stop(time_point now) -> void;

    /// True if load balancers may send clients here.
    [[nodiscard]] auto is_ready(time_point now) const -> bool;
    /// True if responses must close their connections, so that clients move to
    /// another entry.
    [[nodiscard]] auto releases_callers() const -> bool;
    /// True once a stop was requested and every job is answered.
    [[nodiscard]] auto is_idle(time_point now) const -> bool;
    [[nodiscard]] auto next_deadline() const -> time_point;
    [[nodiscard]] auto config() const -> configuration const&;
    [[nodiscard]] auto jobs() const -> std::size_t;
    [[nodiscard]] auto workers() const -> worker_directory const&;

private:
    /// Answers the jobs that have ended, and admits the requests that waited
    /// for the runs of another copy of their job.
    auto process_outcomes(time_point now, random_source& random, effects& out)
        -> void;
    /// Adopts a newer set and forwards it to the agents.
    auto adopt(time_point now, evacuations const& received,
               random_source& random, effects& out) -> void;
    /// True if another copy of the job is in progress here, in the same queue.
    [[nodiscard]] auto is_in_progress(job_arrived const& request,
                                      job_queue const& queue) const -> bool;
    /// True if another copy of the job may have runs in progress.
    [[nodiscard]] auto needs_claim(job_arrived const& request) const -> bool;
    /// Accepts, joins, forwards or refuses a job of which no other copy has
    /// runs at another entry.
    auto admit(time_point now, job_arrived const& request,
               random_source& random, effects& out) -> void;
    /// Other entries need not wait for a job that is not accepted here.
    auto yield_unless_accepted(time_point now, std::string const& job_id,
                               effects& out) -> void;
    [[nodiscard]] auto claim_agent(time_point now,
                                   std::string_view job_id) const
        -> claim_location;
    /// Another entry requests a job that may be in progress here.
    auto yield(time_point now, node_id agent, std::string const& job_id,
               effects& out) -> void;
    /// Answers a client with the result of the control group.
    auto answer(control_request const& request, operate_result const& result,
                effects& out) -> void;
    [[nodiscard]] auto refusal(time_point now, job_arrived const& request,
                               job_queue const* queue) const -> verdict;
    [[nodiscard]] auto unknown_queue_verdict() const -> verdict;
    /// No client waits for an answer.
    [[nodiscard]] auto is_empty() const -> bool;
    /// True while this process may still receive the configuration and worker
    /// announcements that it requires to serve.
    [[nodiscard]] auto is_starting(time_point now) const -> bool;
    auto refuse(job_arrived const& request, verdict const& why, effects& out)
        -> void;
    /// Accepts a job, holds it, or refuses it because it would be late.
    auto accept_or_refuse(time_point now, job_arrived const& request,
                          job_queue const& queue, random_source& random,
                          effects& out) -> void;
    /// Attaches a caller to a job that is in progress here: the client lost its
    /// connection and sent the job again.
    auto join(time_point now, job_arrived const& request, std::uint64_t job,
              effects& out) -> void;
    auto add_caller(exchange_id exchange, std::uint64_t job) -> void;
    auto hold(time_point now, job_arrived const& request, bool is_claimed,
              effects& out) -> void;
    /// Decides about the jobs that were held.
    auto process_held(time_point now, random_source& random, effects& out)
        -> void;
    [[nodiscard]] auto held_order(time_point now, held_job const& job) const
        -> held_job_order;

    auto fail(time_point now, std::uint64_t job, reason why, effects& out)
        -> void;
    auto finish(time_point now, std::uint64_t job, verdict const& outcome,
                job_state state, effects& out) -> void;

    bool m_takes_durable_jobs = false;
    std::string m_failure_domain;
    link_targets m_links;
    configuration_copy m_configuration;
    run_placer m_placer;
    known_evacuations m_evacuations;
    control_requests m_requests;
    job_claims m_claims;
    std::map<std::string, std::uint64_t, std::less<>> m_jobs_by_id;
    /// Jobs by the exchanges that wait for them, and the reverse.
    std::map<exchange_id, std::uint64_t> m_jobs_by_exchange;
    std::map<std::uint64_t, std::vector<exchange_id>> m_callers;
    startup_admission m_startup;
    isolation_watch m_isolation;
    /// Jobs that arrived before this process could serve, or that would be late
    /// at the workers that it knew after its start.
    held_jobs m_held;
    std::set<std::pair<time_point, std::uint64_t>> m_deadlines;
    std::uint64_t m_last_job_number = 0;
    /// When idle callers' connections are closed; `never` unless a stop was
    /// requested.
    time_point m_close_idle_at = never;
    /// When jobs are no longer accepted; `never` unless a stop was requested.
    time_point m_refuse_at = never;
};

} // namespace hickorylatch::core

#endif
