#ifndef HICKORYLATCH_CORE_PLACEMENT_BROKER_HPP
#define HICKORYLATCH_CORE_PLACEMENT_BROKER_HPP

#include "core/model/configuration.hpp"
#include "core/model/effect.hpp"
#include "core/model/random_source.hpp"
#include "core/placement/job_planner.hpp"
#include "core/placement/link_targets.hpp"
#include "core/placement/placed_job.hpp"
#include "core/placement/worker_directory.hpp"

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
    /// Addresses of control replicas to begin with.
    std::vector<std::string> m_seeds;
    /// How much longer a task runs away from the rack with its data.
    double m_spread_factor = 1.0;
    /// Longest lease that a worker grants.
    duration m_lease = std::chrono::milliseconds{1000};
    /// Loads of workers that this process has the processor time to hear, per
    /// second.
    std::uint32_t m_loads_per_s = 3'000;
};

/// Takes step jobs that need not survive this process, places their tasks on
/// workers through the agents beside them, and answers when they have ended.
/// Works by the last configuration heard of and needs no control replica.
class broker
{
public:
    explicit broker(broker_settings settings);
    broker(broker const&) = delete;
    auto operator=(broker const&) -> broker& = delete;

    auto start(time_point now) -> void;
    auto connected(hello const& peer) -> void;
    auto disconnected(time_point now, node_id peer) -> void;
    auto receive(time_point now, node_id from, message const& incoming,
                 random_source& random, effects& out) -> void;
    auto arrived(time_point now, job_arrived const& request,
                 random_source& random, effects& out) -> void;
    auto asked(job_asked const& request, effects& out) -> void;
    auto abandoned(time_point now, exchange_id exchange, effects& out) -> void;
    auto tick(time_point now, random_source& random, effects& out) -> void;
    /// Takes the control replicas that changed settings name.
    auto replace_seeds(std::vector<std::string> const& seeds, effects& out)
        -> void;
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
    /// What an agent's silence does to the runs it holds.
    struct agent_contact
    {
        bool m_is_connected = false;
        /// Name of the worker beside it, for logs about runs that were lost
        /// with the agent: the directory has no view of it by then.
        std::string m_worker;
        std::uint64_t m_ends = 0;
        /// Last time that runs there were confirmed to be wanted.
        time_point m_confirmed_at{0};
        /// The agent starts nothing on a new link before it is confirmed.
        bool m_is_confirmed = false;
        /// When all runs there have certainly ended; `never` while connected.
        time_point m_gone_at = never;
        std::set<std::uint64_t> m_jobs;
    };

    using live_jobs = std::map<std::uint64_t, placed_job>;

    auto on(time_point now, node_id from, worker_announcement const& news,
            random_source& random, effects& out) -> void;
    auto on(time_point now, node_id from, worker_load const& load, effects& out)
        -> void;
    auto on(time_point now, node_id from, runs_ended const& news,
            random_source& random, effects& out) -> void;
    auto on(time_point now, node_id from, offer_room const& offered,
            effects& out) -> void;
    auto on(configuration_changed const& change, effects& out) -> void;
    auto take_end(time_point now, node_id agent, run_end const& end,
                  random_source& random, effects& out) -> void;
    [[nodiscard]] auto refusal(time_point now, job_arrived const& request,
                               job_queue const* queue) const -> verdict;
    /// True while this process may still learn what it needs to serve.
    [[nodiscard]] auto is_starting(time_point now) const -> bool;
    auto refuse(job_arrived const& request, verdict const& why, effects& out)
        -> void;
    /// Takes a job, or refuses it because it would be late.
    auto take(time_point now, job_arrived const& request,
              job_queue const& queue, random_source& random, effects& out)
        -> void;
    /// Takes the jobs that came before this process could serve.
    auto take_early(time_point now, random_source& random, effects& out)
        -> void;

    auto carry_out(placed_job& job, job_plan&& wanted, effects& out) -> void;
    /// Least time between two loads of one agent.
    [[nodiscard]] auto load_interval() const -> duration;
    auto send_order(placed_job& job, node_id agent, order_runs&& order,
                    effects& out) -> void;
    /// What decided whether a job is taken, and where its tasks go.
    [[nodiscard]] auto describe(time_point now, placed_job const& job,
                                job_plan const& made, duration longest) const
        -> log_line;
    auto lose_runs(time_point now, node_id agent, random_source& random,
                   effects& out) -> void;
    /// A run has certainly ended, or never started, without a word of its end.
    auto lose_run(placed_job& job, placed_task& task, std::string_view cause,
                  duration silence, effects& out) -> void;
    /// Places what came back, or ends the job if that is of no use.
    auto carry_on(time_point now, live_jobs::iterator job,
                  random_source& random, effects& out) -> void;
    auto fail(time_point now, live_jobs::iterator job, reason why, effects& out)
        -> void;
    auto finish(time_point now, live_jobs::iterator job, verdict const& outcome,
                job_state state, effects& out) -> void;
    auto withdraw(placed_job const& job, effects& out) -> void;
    auto release(placed_job& job, effects& out) -> void;
    /// All tasks of the job that may start have a worker.
    auto note_placed(time_point now, placed_job& job, effects& out) -> void;
    /// The agent lost the reservations that it held.
    auto forget_reservations(node_id agent) -> void;
    auto retry_later(time_point now, std::uint64_t job) -> void;

    broker_settings m_settings;
    link_targets m_links;
    configuration m_configuration;
    worker_directory m_workers;
    job_planner m_planner{m_workers};
    std::map<node_id, agent_contact> m_agents;
    live_jobs m_jobs;
    std::map<std::string, std::uint64_t, std::less<>> m_by_id;
    std::map<exchange_id, std::uint64_t> m_exchanges;
    /// Jobs that came before this process knew a configuration and a worker,
    /// and when each came.
    std::vector<std::pair<time_point, job_arrived>> m_early;
    time_point m_started_at = never;
    /// Jobs with tasks that wait for room, or that found no worker.
    std::set<std::uint64_t> m_unplaced;
    time_point m_retry_at = never;
    std::set<std::pair<time_point, std::uint64_t>> m_deadlines;
    std::uint64_t m_last_job = 0;
    /// When callers are sent away; `never` unless a stop was asked for.
    time_point m_close_at = never;
    /// When jobs are no longer taken; `never` unless a stop was asked for.
    time_point m_refuse_at = never;
};

} // namespace hickorylatch::core

#endif
