#ifndef HICKORYLATCH_CORE_PLACEMENT_EXECUTOR_HPP
#define HICKORYLATCH_CORE_PLACEMENT_EXECUTOR_HPP

#include "core/dispatch/agent_health.hpp"
#include "core/model/effect.hpp"
#include "core/placement/claim_table.hpp"
#include "core/placement/concurrent_runs.hpp"
#include "core/placement/configuration_copy.hpp"
#include "core/placement/known_evacuations.hpp"
#include "core/placement/link_targets.hpp"
#include "core/placement/live_run.hpp"
#include "core/placement/requester.hpp"
#include "core/placement/room_offers.hpp"
#include "core/placement/run_queue.hpp"
#include "core/placement/slowness_estimate.hpp"
#include "core/placement/unconfirmed_worker.hpp"
#include "core/placement/worker_clock.hpp"
#include "core/placement/worker_polls.hpp"
#include "core/placement/worker_reports.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hickorylatch::core
{

struct executor_settings
{
    /// Name of this process.
    std::string m_name;
    /// Addresses of the control replicas to connect to first.
    std::vector<std::string> m_seeds;
    std::string m_failure_domain;
    /// Longest lease that the worker grants, by its own clock.
    duration m_lease = std::chrono::milliseconds{1000};
};

/// Manages one worker and is the only process that sends it orders. Queues the
/// runs that entries and the leader of the control group order, starts them
/// when there is room, renews their lease and reports their ends. Works without
/// any control replica.
class executor
{
public:
    explicit executor(executor_settings settings);

    auto connected(time_point now, hello const& peer, effects& out) -> void;
    auto disconnected(time_point now, node_id peer, effects& out) -> void;
    auto receive(time_point now, node_id from, message const& incoming,
                 effects& out) -> void;
    /// A report changes nothing until the worker at the worker's address has
    /// confirmed that it comes from there.
    auto reported(time_point now, worker_report const& report, effects& out)
        -> void;
    auto left(time_point now, worker_left const& departure, effects& out)
        -> void;
    /// A late answer of an earlier incarnation counts only if it says that the
    /// run was not started there.
    auto answered(time_point now, run_start_answered const& answer,
                  effects& out) -> void;
    auto answered(time_point now, run_stop_answered const& answer, effects& out)
        -> void;
    auto answered(time_point now, runs_polled const& answer, effects& out)
        -> void;
    auto answered(time_point now, worker_checked const& answer, effects& out)
        -> void;
    auto tick(time_point now, effects& out) -> void;
    /// This machine was suspended, and perhaps the worker's clock with it.
    auto resumed(duration suspended, effects& out) -> void;
    /// Sets the control replicas of reloaded settings.
    auto replace_seeds(time_point now, std::vector<std::string> const& seeds,
                       effects& out) -> void;
    auto stop(time_point now, effects& out) -> void;

    /// True once a stop was requested and nothing runs, waits or remains to be
    /// acknowledged.
    [[nodiscard]] auto is_idle() const -> bool;
    [[nodiscard]] auto next_deadline() const -> time_point;
    /// True if this agent serves the configuration to entries that start while
    /// no control replica can be reached. Only some agents do.
    [[nodiscard]] auto serves_configuration() const -> bool;
    /// Null until the first report of the worker.
    [[nodiscard]] auto worker() const -> worker_report const*;
    [[nodiscard]] auto running() const -> std::size_t;
    [[nodiscard]] auto waiting() const -> std::size_t;

private:
    using requesters = std::map<node_id, requester>;

    using live_key = std::pair<std::string, task_index>;
    using live_runs = std::map<live_key, live_run>;

    auto on(time_point now, node_id from, order_runs const& order, effects& out)
        -> void;
    auto on(time_point now, node_id from, withdraw_runs const& order,
            effects& out) -> void;
    auto on(time_point now, node_id from, contact_confirmed const& confirmation,
            effects& out) -> void;
    auto on(time_point now, node_id from, reserve_room const& wanted,
            effects& out) -> void;
    auto on(node_id from, lead_jobs const& announcement, effects& out) -> void;
    auto on(time_point now, evacuations const& received, effects& out) -> void;
    auto on(time_point now, node_id from, claim_job const& wanted, effects& out)
        -> void;
    /// Adds a process that orders runs, or resets the state of its link.
    auto add_requester(node_id peer) -> requester&;
    /// Updates the links to keep.
    auto update_links(time_point now, effects& out) -> void;
    /// True if no run of the process runs or waits and no end remains to be
    /// reported to it.
    [[nodiscard]] auto is_idle(requesters::value_type const& each) const
        -> bool;
    [[nodiscard]] auto leader() -> requesters::iterator;
    /// Transfers the runs of the previous leader to the current one.
    auto transfer_runs(requesters::value_type const& old, node_id to,
                       requester& current) -> void;
    /// Queues the ends without a known order for the leader, if there is one.
    auto assign_unmatched_ends() -> void;
    /// Accepts and renews no runs until the worker's lease has expired once:
    /// ends that the leader may already count as lost must not be acknowledged
    /// before.
    auto await_lease_expiry(time_point now, effects& out) -> void;
    /// Marks the ends in messages up to this number as recorded by the leader.
    auto mark_ends_recorded(std::uint64_t confirmed) -> void;
    /// True if the worker must be polled even if nothing runs.
    [[nodiscard]] auto needs_poll() const -> bool;
    /// Number of the last end that may be acknowledged to the worker.
    [[nodiscard]] auto last_acknowledgeable_end() const -> std::uint64_t;

    /// True if the worker or incarnation is the one that is served.
    [[nodiscard]] auto is_served(std::string_view name,
                                 std::int64_t incarnation) const -> bool;
    /// True for the answer to an order that was not for the incarnation that is
    /// served. 0 is an unknown incarnation.
    [[nodiscard]] auto is_outdated(std::int64_t incarnation) const -> bool;
    /// Handles a report of draining of the worker that is served.
    auto stop_accepting(time_point now, worker_report const& report,
                        effects& out) -> void;
    /// Logs a change and announces it to the requesters.
    auto worker_changed(worker_report const& report, effects& out) -> void;
    /// Handles a report of the worker that is served.
    auto update_worker(time_point now, worker_report const& report,
                       effects& out) -> void;
    auto begin_incarnation(time_point now, confirmed_worker const& confirmed,
                           effects& out) -> void;
    auto dispatch(time_point now, effects& out) -> void;
    auto start(time_point now, waiting_run const& next, effects& out) -> void;
    /// Offers room to the requester of a reservation. Returns the next position
    /// in the queue.
    auto offer(time_point now, run_queue::runs::const_iterator reserved,
               effects& out) -> run_queue::runs::const_iterator;
    auto order_start(time_point now, live_runs::value_type& started,
                     effects& out) -> void;
    /// Sends a start again that the worker rejected, unless no more runs may
    /// be started here.
    auto resend_start(time_point now, live_runs::iterator rejected,
                      worker_answer answer, effects& out) -> void;
    auto confirm_start(time_point now, live_runs::value_type& started,
                       effects& out) -> void;
    /// The order to start was rejected or not sent.
    auto start_rejected(time_point now, live_runs::iterator rejected,
                        worker_answer answer, effects& out) -> void;
    auto order_stop(time_point now, live_runs::value_type& wanted, effects& out)
        -> void;
    /// `number` is the number of the end in the worker's list; 0 if it is not
    /// listed.
    auto finish(time_point now, live_runs::iterator ended, run_outcome outcome,
                reason why, effects& out, std::uint64_t number = 0) -> void;
    /// Reports to the requester that a waiting run was not started.
    auto refuse(time_point now, waiting_run const& refused, reason why,
                effects& out) -> void;
    auto record_outcome(time_point now, live_run const& ended,
                        run_outcome outcome) -> void;
    auto handle_end(time_point now, ended_run const& ended, effects& out)
        -> void;
    auto handle_list(time_point now, time_point sent_at,
                     runs_polled const& answer, effects& out) -> void;
    /// Uses a list to find out whether a run has started. A list of a later
    /// incarnation than the start was ordered at leaves that unknown.
    auto resolve_unknown_start(time_point now, live_runs::iterator run,
                               bool is_listed, time_point sent_at, effects& out)
        -> void;
    auto poll_failed(time_point now, runs_polled const& answer, effects& out)
        -> void;
    auto stop_strays(time_point now, std::vector<worker_run> strays,
                     effects& out) -> void;
    /// Leaves it to the first list of this incarnation which runs continue. A
    /// run may have been started here before the incarnation was known.
    auto transfer_to_incarnation(time_point now) -> void;
    /// Ends the runs of a worker whose process has certainly ended, or whose
    /// lease has certainly expired.
    auto end_all_runs(time_point now, effects& out) -> void;
    auto refuse_all_waiting(time_point now, reason why, effects& out) -> void;
    auto poll(time_point now, effects& out) -> void;
    auto check_runs(time_point now, effects& out) -> void;
    auto check_requesters(time_point now, effects& out) -> void;
    /// Closes draining links that are no longer in use.
    auto check_links(time_point now, effects& out) -> void;
    auto refuse_expired_runs(time_point now, effects& out) -> void;
    /// Sends all orders, polls and messages that are due after an event.
    auto process_pending(time_point now, effects& out) -> void;
    auto send_ends(effects& out) -> void;
    auto announce(node_id to, requester& requester, effects& out) -> void;
    auto send_load(time_point now, effects& out) -> void;

    /// True if no more runs may be started in this agent's failure domain.
    [[nodiscard]] auto is_evacuated() const -> bool;
    [[nodiscard]] auto accepts(time_point now) const -> acceptance;
    [[nodiscard]] auto load(time_point now) const -> worker_load;
    [[nodiscard]] auto free_room() const -> resources;
    /// True if there is room for the run in addition to all queued runs of the
    /// same or a more urgent rank.
    [[nodiscard]] auto can_start(waiting_run const& wanted) const -> bool;
    /// Reason to refuse a run or a reservation; `none` if it is accepted.
    [[nodiscard]] auto refusal(time_point now, waiting_run const& wanted,
                               requester const& requester) const -> reason;
    /// Chooses a token that is larger than any that the worker has seen.
    auto raise_token(time_point now) -> void;
    [[nodiscard]] auto target() const -> worker_target;

    executor_settings m_settings;
    link_targets m_links;
    /// Kept for entries that start while no control replica can be reached. Not
    /// used by the agent itself.
    configuration_copy m_configuration;
    known_evacuations m_evacuations;
    std::optional<worker_report> m_worker;
    unconfirmed_worker m_unconfirmed;
    worker_reports m_reports;
    worker_clock m_clock;
    std::uint64_t m_token = 0;
    /// The current incarnation of the worker has listed its runs, so that its
    /// room is known.
    bool m_has_run_list = false;
    /// Runs that an earlier process of this agent started. It is unknown how
    /// much room they use, so nothing is started until they have ended.
    std::vector<worker_run> m_strays;
    time_point m_strays_stopped_at{0};
    agent_health m_health;
    slowness_estimate m_slowness;
    concurrent_runs m_concurrent_runs;
    /// Needs of the last run or reservation; load reports forecast the wait of
    /// another one like it.
    resources m_last_needs;

    run_queue m_queue;
    room_offers m_offers;
    claim_table m_claims;
    live_runs m_live;
    requesters m_requesters;
    /// Highest term of any leader so far. Leaders of earlier terms are ignored,
    /// even after the later leader was removed from the requesters.
    term_number m_leader_term = 0;
    /// Number of the last `runs_ended`. Counted across all requesters, because
    /// an entry that was frozen still knows the numbers from before it was
    /// removed here.
    std::uint64_t m_last_runs_ended = 0;

    worker_polls m_polls;
    /// Send time of the poll whose list was applied last. Answers on different
    /// connections may overtake each other.
    time_point m_list_polled_at{0};
    /// Number of the last end that was handled.
    std::uint64_t m_last_handled_end = 0;
    /// Number of the last end that was acknowledged to the worker.
    std::uint64_t m_acknowledged_end = 0;
    /// The worker must be polled even if nothing runs.
    bool m_is_poll_due = false;
    /// Ends that the leader must record before they are acknowledged: number in
    /// the worker's list to number of the message that reports the end, 0 if it
    /// is not sent yet.
    std::map<std::uint64_t, std::uint64_t> m_unrecorded_ends;
    /// Ends without a known order, kept until a leader is known.
    std::vector<std::pair<std::uint64_t, unmatched_end>> m_unmatched_ends;
    /// No runs are accepted or renewed until the worker's lease has expired.
    bool m_is_awaiting_lease_expiry = false;
    /// Longest lease of any order, by the worker's clock.
    std::int64_t m_lease_until_ms = 0;

    /// The load has changed since it was last reported.
    bool m_is_load_changed = true;
    /// When the load was last sent to any requester.
    time_point m_load_sent_at{0};
    bool m_is_stopping = false;
};

} // namespace hickorylatch::core

#endif
