#ifndef HICKORYLATCH_CORE_PLACEMENT_EXECUTOR_HPP
#define HICKORYLATCH_CORE_PLACEMENT_EXECUTOR_HPP

#include "core/dispatch/agent_health.hpp"
#include "core/model/effect.hpp"
#include "core/placement/claim_table.hpp"
#include "core/placement/configuration_copy.hpp"
#include "core/placement/link_targets.hpp"
#include "core/placement/load_pace.hpp"
#include "core/placement/room_offers.hpp"
#include "core/placement/run_queue.hpp"
#include "core/placement/worker_clock.hpp"
#include "core/placement/worker_pace.hpp"
#include "core/placement/worker_polls.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace hickorylatch::core
{

struct executor_settings
{
    /// Name of this process.
    std::string m_name;
    /// Addresses of control replicas to begin with.
    std::vector<std::string> m_seeds;
    std::string m_failure_domain;
    /// Longest lease that the worker grants, by its own clock.
    duration m_lease = std::chrono::milliseconds{1000};
};

/// Stands beside one worker and is the only one that gives it orders. Queues
/// the runs that entries order, starts them when there is room, keeps their
/// lease and reports their ends. Needs no control replica.
class executor
{
public:
    explicit executor(executor_settings settings);

    auto connected(time_point now, hello const& peer, effects& out) -> void;
    auto disconnected(time_point now, node_id peer, effects& out) -> void;
    auto receive(time_point now, node_id from, message const& incoming,
                 effects& out) -> void;
    auto reported(time_point now, worker_report const& report, effects& out)
        -> void;
    auto left(time_point now, worker_left const& news, effects& out) -> void;
    auto answered(time_point now, run_start_answered const& answer,
                  effects& out) -> void;
    auto answered(time_point now, run_stop_answered const& answer, effects& out)
        -> void;
    auto answered(time_point now, runs_polled const& answer, effects& out)
        -> void;
    auto tick(time_point now, effects& out) -> void;
    /// This machine was suspended, and perhaps the worker's clock with it.
    auto resumed(duration suspended, effects& out) -> void;
    /// Takes the control replicas that changed settings name.
    auto replace_seeds(time_point now, std::vector<std::string> const& seeds,
                       effects& out) -> void;
    auto stop(time_point now, effects& out) -> void;

    /// True once a stop was asked for and nothing runs or waits.
    [[nodiscard]] auto is_idle() const -> bool;
    [[nodiscard]] auto next_deadline() const -> time_point;
    /// True if this agent passes the configuration on to entries that start
    /// while no control replica can be reached. Only some agents do.
    [[nodiscard]] auto holds_configuration() const -> bool;
    /// Null until the worker has reported itself.
    [[nodiscard]] auto worker() const -> worker_report const*;
    [[nodiscard]] auto running() const -> std::size_t;
    [[nodiscard]] auto waiting() const -> std::size_t;

private:
    enum class run_state : std::uint8_t
    {
        starting, ///< Ordered, not answered yet.
        unsure,   ///< Ordered without an answer; may still start.
        running,
        stopping
    };

    struct live_run
    {
        std::shared_ptr<ordered_job> m_job;
        run_ref m_ref;
        resources m_needs;
        duration m_expected{0};
        run_state m_state = run_state::starting;
        /// Run number that the worker knows.
        std::uint32_t m_number = 0;
        time_point m_queued_at{0};
        time_point m_started_at{0};
        /// When it was known to run. Lists that were asked for earlier may have
        /// been made before it started.
        time_point m_confirmed_at{0};
        /// Lease of the start, by the worker's clock.
        std::int64_t m_lease_until_ms = 0;
        /// Its end counts as a failure of the worker: it made no progress.
        bool m_is_hung = false;
        /// Stopped for a run of the same task that another entry ordered.
        bool m_is_superseded = false;
        /// To be stopped as soon as it is known to have started.
        bool m_is_unwanted = false;
        /// Since when it is unsure whether it has started.
        time_point m_unsure_at = never;
        /// It will not start any more after that: the worker confirmed so, or
        /// the lease of its start had run out. It may have started before.
        time_point m_revoked_at = never;
        time_point m_stop_again_at = never;
    };

    /// What is known of a process that orders runs: an entry, or the leader of
    /// the control group.
    struct contact
    {
        /// Term in which it leads; 0 for an entry.
        term_number m_term = 0;
        /// Where it accepts links.
        std::string m_address;
        /// When its link was chosen to be given up; `never` if it is not.
        time_point m_retired_at = never;
        bool m_is_connected = false;
        bool m_is_announced = false;
        /// Configuration that was sent on this link.
        configuration_version m_told_version = 0;
        std::uint64_t m_last_order = 0;
        load_pace m_loads;
        /// Runs of this entry may go on until then.
        time_point m_until{0};
        /// That time has passed, and its runs were told to stop.
        bool m_is_expired = true;
        std::deque<runs_ended> m_unconfirmed;
        /// Ends of this turn, not sent yet.
        std::vector<run_end> m_new_ends;
        std::vector<unmatched_end> m_unmatched_ends;
        /// Numbers of both in the worker's list, if they must be recorded.
        std::vector<std::uint64_t> m_new_numbers;
    };

    using contacts = std::map<node_id, contact>;

    using live_key = std::pair<std::string, task_index>;
    using live_runs = std::map<live_key, live_run>;

    auto on(time_point now, node_id from, order_runs const& order, effects& out)
        -> void;
    auto on(time_point now, node_id from, withdraw_runs const& order,
            effects& out) -> void;
    auto on(time_point now, node_id from, contact_confirmed const& news,
            effects& out) -> void;
    auto on(time_point now, node_id from, reserve_room const& wanted,
            effects& out) -> void;
    auto on(node_id from, lead_jobs const& news, effects& out) -> void;
    auto on(time_point now, node_id from, claim_job const& wanted, effects& out)
        -> void;
    /// A link to a process that orders runs is open.
    auto open_contact(node_id peer) -> contact&;
    /// Gives links up that are not needed any more, and opens others.
    auto update_links(time_point now, effects& out) -> void;
    /// True if nothing of the process runs, waits or is to be told to it.
    [[nodiscard]] auto is_idle(contacts::value_type const& each) const -> bool;
    [[nodiscard]] auto leader() -> contacts::iterator;
    /// Passes the runs of the leader before on to the present one.
    auto hand_over(contacts::value_type const& old, node_id to,
                   contact& present) -> void;
    /// Tells the leader of ends that no order is known of.
    auto tell_found_ends() -> void;
    /// Lets the worker's lease run out once: ends that the leader may have
    /// given up must not be acknowledged before.
    auto begin_lapse(time_point now, effects& out) -> void;
    /// Takes note that ends with these numbers are recorded.
    auto release_ends(std::uint64_t confirmed) -> void;
    [[nodiscard]] auto has_unacknowledged() const -> bool;
    /// Ends up to this one may be forgotten by the worker.
    [[nodiscard]] auto acknowledgeable() const -> std::uint64_t;

    auto begin_lifetime(time_point now, worker_report const& report,
                        effects& out) -> void;
    auto dispatch(time_point now, effects& out) -> void;
    auto start(time_point now, waiting_run const& next, effects& out) -> void;
    /// Offers room to the entry of a reservation. Returns the next place in the
    /// queue.
    auto offer(time_point now, run_queue::runs::const_iterator reserved,
               effects& out) -> run_queue::runs::const_iterator;
    auto order_start(time_point now, live_runs::value_type& started,
                     effects& out) -> void;
    auto confirm_start(time_point now, live_runs::value_type& started,
                       effects& out) -> void;
    auto order_stop(time_point now, live_runs::value_type& wanted, effects& out)
        -> void;
    /// `number` is that of the worker's list; 0 if the end is not listed.
    auto finish(time_point now, live_runs::iterator ended, run_outcome outcome,
                reason why, effects& out, std::uint64_t number = 0) -> void;
    /// Tells the entry that a run which waited was not started.
    auto refuse(time_point now, waiting_run const& refused, reason why,
                effects& out) -> void;
    auto log_end(time_point now, std::string const& job, live_run const& run,
                 run_outcome outcome, reason why, effects& out) const -> void;
    auto learn(time_point now, live_run const& ended, run_outcome outcome)
        -> void;
    auto take_end(time_point now, ended_run const& ended, effects& out) -> void;
    auto take_list(time_point now, time_point sent_at,
                   runs_polled const& answer, effects& out) -> void;
    /// Settles a run of which it is unsure whether it has started.
    auto settle_unsure(time_point now, live_runs::iterator run, bool is_listed,
                       time_point sent_at, effects& out) -> void;
    auto poll_failed(time_point now, runs_polled const& answer, effects& out)
        -> void;
    auto stop_strays(time_point now, std::vector<worker_run> strays,
                     effects& out) -> void;
    auto lose_worker(time_point now, effects& out) -> void;
    auto poll(time_point now, effects& out) -> void;
    auto check_runs(time_point now, effects& out) -> void;
    auto check_contacts(time_point now, effects& out) -> void;
    /// Closes links that were given up and are not used any more.
    auto check_links(time_point now, effects& out) -> void;
    auto drop_late(time_point now, effects& out) -> void;
    /// Orders, polls and messages that the events so far call for.
    auto settle(time_point now, effects& out) -> void;
    auto send_ends(effects& out) -> void;
    auto announce(node_id to, contact& entry, effects& out) -> void;
    auto send_load(time_point now, effects& out) -> void;

    [[nodiscard]] auto accepts(time_point now) const -> acceptance;
    [[nodiscard]] auto load(time_point now) const -> worker_load;
    [[nodiscard]] auto free_room() const -> resources;
    /// True if there is room for the run behind those that go first.
    [[nodiscard]] auto can_start(waiting_run const& wanted) const -> bool;
    /// Why the run of an order is refused; `none` if it is not.
    [[nodiscard]] auto refusal(time_point now, waiting_run const& wanted,
                               contact const& entry) const -> reason;
    /// Takes a token that is larger than one which the worker has seen.
    auto raise_token(time_point now) -> void;
    [[nodiscard]] auto target() const -> worker_target;
    [[nodiscard]] auto hang_limit(time_point now, live_run const& run) const
        -> duration;

    executor_settings m_settings;
    link_targets m_links;
    /// For entries that start while no control replica can tell them. Not used
    /// here.
    configuration_copy m_configuration;
    std::optional<worker_report> m_worker;
    worker_clock m_clock;
    std::uint64_t m_token = 0;
    /// The worker's runs were listed once in its lifetime, so that its room is
    /// known.
    bool m_is_surveyed = false;
    /// Runs that an earlier process of this agent started. They hold room that
    /// is not known, so nothing is started beside them.
    std::vector<worker_run> m_strays;
    time_point m_strays_stopped_at{0};
    agent_health m_health;
    worker_pace m_pace;
    resources m_probe;

    run_queue m_queue;
    room_offers m_offers;
    claim_table m_claims;
    live_runs m_live;
    contacts m_contacts;
    /// Highest term of a leader that made itself known. An earlier one has no
    /// say any more, also once the later one is forgotten.
    term_number m_leader_term = 0;
    /// Number of the last `runs_ended`. One for all entries: an entry that was
    /// frozen knows numbers of a contact that is forgotten here.
    std::uint64_t m_last_ends = 0;

    worker_polls m_polls;
    /// Send time of the newest list that was taken into account. Answers on
    /// different connections may overtake each other.
    time_point m_listed_at{0};
    /// Last end that was taken into account.
    std::uint64_t m_listed = 0;
    /// End up to which the worker was last told to forget.
    std::uint64_t m_acknowledged = 0;
    /// The worker must be asked although nothing runs.
    bool m_is_poll_due = false;
    /// Ends that the leader must record first, by their number in the worker's
    /// list, and the message that tells of each; 0 if it is not sent yet.
    std::map<std::uint64_t, std::uint64_t> m_unrecorded;
    /// Ends that no order is known of, until a leader is.
    std::vector<std::pair<std::uint64_t, unmatched_end>> m_unmatched_ends;
    bool m_is_lapsing = false;
    /// Longest lease of any order, by the worker's clock.
    std::int64_t m_lease_until_ms = 0;

    /// The load has changed since entries were told it.
    bool m_is_load_changed = true;
    /// Last time that the load was sent to some entry.
    time_point m_load_sent_at{0};
    bool m_is_stopping = false;
};

} // namespace hickorylatch::core

#endif
