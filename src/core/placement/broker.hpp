#ifndef HICKORYLATCH_CORE_PLACEMENT_BROKER_HPP
#define HICKORYLATCH_CORE_PLACEMENT_BROKER_HPP

#include "core/model/configuration.hpp"
#include "core/model/effect.hpp"
#include "core/model/random_source.hpp"
#include "core/placement/configuration_copy.hpp"
#include "core/placement/control_requests.hpp"
#include "core/placement/job_claims.hpp"
#include "core/placement/link_targets.hpp"
#include "core/placement/run_placer.hpp"

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
    /// Addresses of control replicas to begin with.
    std::vector<std::string> m_seeds;
    std::string m_failure_domain;
    run_placer_settings m_placer;
    /// Passes durable jobs on to the control group. Otherwise they are refused.
    bool m_takes_durable_jobs = false;
};

/// Takes step jobs. It places those that need not survive this process itself,
/// through the agents beside workers, and answers when they have ended; for
/// that it works by the last configuration heard of and needs no control
/// replica. It passes durable jobs, and questions about them, on to the control
/// group.
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
    auto asked(time_point now, job_query_arrived const& request, effects& out)
        -> void;
    auto abandoned(time_point now, exchange_id exchange, effects& out) -> void;
    auto tick(time_point now, random_source& random, effects& out) -> void;
    /// Takes the control replicas that changed settings name.
    auto replace_seeds(time_point now, std::vector<std::string> const& seeds,
                       effects& out) -> void;
    /// Jobs are taken for a while more, until balancers have noticed.
    auto stop(time_point now) -> void;

    /// True if a balancer may send callers here.
    [[nodiscard]] auto is_ready(time_point now) const -> bool;
    /// True once a stop was asked for and every job is answered.
    [[nodiscard]] auto is_idle(time_point now) const -> bool;
    [[nodiscard]] auto next_deadline() const -> time_point;
    [[nodiscard]] auto config() const -> configuration const&;
    [[nodiscard]] auto jobs() const -> std::size_t;
    [[nodiscard]] auto workers() const -> worker_directory const&;

private:
    /// Answers the jobs that came to their end, and begins those that waited
    /// for it.
    auto settle(time_point now, random_source& random, effects& out) -> void;
    /// True if the job may have runs of another copy of it.
    [[nodiscard]] auto must_ask(job_arrived const& request) const -> bool;
    /// Takes a job whose other copies have no runs, joins it or refuses it.
    auto begin(time_point now, job_arrived const& request,
               random_source& random, effects& out) -> void;
    [[nodiscard]] auto claim_agent(time_point now,
                                   std::string_view job_id) const
        -> claim_place;
    /// Another entry wants a job that may be in progress here.
    auto yield(time_point now, node_id agent, std::string const& job_id,
               effects& out) -> void;
    /// Answers a client for which the control group was asked.
    auto answer(control_request const& request, operate_result const& result,
                effects& out) -> void;
    [[nodiscard]] auto refusal(time_point now, job_arrived const& request,
                               job_queue const* queue) const -> verdict;
    [[nodiscard]] auto unknown_queue() const -> verdict;
    /// No client waits for an answer.
    [[nodiscard]] auto is_empty() const -> bool;
    /// True while this process may still learn what it needs to serve.
    [[nodiscard]] auto is_starting(time_point now) const -> bool;
    auto refuse(job_arrived const& request, verdict const& why, effects& out)
        -> void;
    /// Takes a job, or refuses it because it would be late.
    auto take(time_point now, job_arrived const& request,
              job_queue const& queue, random_source& random, effects& out)
        -> void;
    /// Lets a caller wait for a job that is in progress here: its client lost
    /// the connection and sent it again.
    auto join(time_point now, job_arrived const& request, std::uint64_t job,
              effects& out) -> void;
    auto add_caller(exchange_id exchange, std::uint64_t job) -> void;
    /// Takes the jobs that came before this process could serve.
    auto take_early(time_point now, random_source& random, effects& out)
        -> void;

    /// What decided whether a job is taken, and where its tasks go.
    [[nodiscard]] auto describe(time_point now, placed_job const& job,
                                job_plan const& made, duration longest) const
        -> log_line;
    auto fail(time_point now, std::uint64_t job, reason why, effects& out)
        -> void;
    auto finish(time_point now, std::uint64_t job, verdict const& outcome,
                job_state state, effects& out) -> void;

    bool m_takes_durable_jobs = false;
    std::string m_failure_domain;
    link_targets m_links;
    configuration_copy m_configuration;
    run_placer m_placer;
    control_requests m_requests;
    job_claims m_claims;
    std::map<std::string, std::uint64_t, std::less<>> m_by_id;
    /// Jobs by the callers that wait for them, and the reverse.
    std::map<exchange_id, std::uint64_t> m_exchanges;
    std::map<std::uint64_t, std::vector<exchange_id>> m_callers;
    /// Jobs that came before this process knew a configuration and a worker,
    /// and when each came.
    std::vector<std::pair<time_point, job_arrived>> m_early;
    time_point m_started_at = never;
    std::set<std::pair<time_point, std::uint64_t>> m_deadlines;
    std::uint64_t m_last_job = 0;
    /// When callers are sent away; `never` unless a stop was asked for.
    time_point m_close_at = never;
    /// When jobs are no longer taken; `never` unless a stop was asked for.
    time_point m_refuse_at = never;
};

} // namespace hickorylatch::core

#endif
