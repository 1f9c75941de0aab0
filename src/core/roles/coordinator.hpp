#ifndef HICKORYLATCH_CORE_ROLES_COORDINATOR_HPP
#define HICKORYLATCH_CORE_ROLES_COORDINATOR_HPP

#include "core/dispatch/dispatcher.hpp"
#include "core/jobs/job_runner.hpp"
#include "core/model/effect.hpp"
#include "core/model/random_source.hpp"
#include "core/replication/replica.hpp"
#include "core/roles/control_state.hpp"
#include "core/roles/live_submission.hpp"

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace hickorylatch::core
{

/// Settings of a control replica.
struct control_settings
{
    /// For durable step jobs.
    job_runner_settings m_jobs;
    /// Duration of a lease of an entry or agent, from the send time of the
    /// renewal.
    duration m_lease = std::chrono::milliseconds{3000};
    /// After this time without a message an agent gets no new work.
    duration m_agent_suspect_timeout = std::chrono::milliseconds{2500};
    /// After this time without a message an agent is considered lost.
    duration m_agent_lost_timeout = std::chrono::milliseconds{5000};
    /// How long ended submissions are kept to answer resends.
    unix_milliseconds m_key_retention_ms = 24LL * 3600 * 1000;
    /// Maximum number of submissions kept; further ones are refused.
    std::size_t m_key_limit = 1'000'000;
    /// Maximum size in bytes of all tasks, or of all answers, of a committed
    /// submission. Either is one log entry and has to fit into a frame.
    std::size_t m_content_limit = std::size_t{4} << 20U;
    /// Maximum number of retries of an idempotent request after its agent was
    /// lost or its endpoint reported a failure of the request.
    std::uint32_t m_retry_limit = 2;
    /// Retry budget: the maximum ratio of retries to first starts, in percent.
    std::uint32_t m_retry_percent = 10;
    /// Log entries between two snapshots.
    log_index m_snapshot_interval = 20'000;
    /// Bytes of content between two snapshots. Limits what a restart reads.
    std::size_t m_snapshot_bytes = std::size_t{64} << 20U;
    /// The failure domains that can be evacuated; every domain if empty.
    std::vector<std::string> m_failure_domains;
};

/// The leader's state of an agent that has announced itself.
struct agent_link
{
    agent_info m_info;
    time_point m_last_heard_at{0};
    bool m_is_connected = true;
    /// The agent has announced itself on its current link. Until then it is not
    /// known whether messages sent on an earlier link arrived.
    bool m_has_announced = false;
    /// Send time, by the agent's clock, of its last announcement, result or
    /// renewal.
    time_point m_last_sent_at{0};
    /// Attempts of ended submissions whose results the agent may drop.
    std::vector<attempt_id> m_forgettable_attempts;
    time_point m_forget_sent_at{0};
};

/// Inputs and outputs of a call into the coordinator.
struct control_context
{
    time_point m_now{0};
    unix_milliseconds m_wall_clock = 0;
    replica& m_replica;
    control_state const& m_state;
    random_source& m_random;
    effects& m_out;
};

/// Duties of the control leader in one term: accepts submissions, binds tasks
/// to agents and ends submissions. Created once the leader has applied the
/// whole committed state, destroyed when it stops leading.
class coordinator
{
public:
    coordinator(control_settings const& settings,
                control_context const& context);

    /// False if the submission can't be handled yet; nothing has changed then.
    auto submit(control_context const& context, node_id from,
                core::submit const& request) -> bool;
    auto cancel(control_context const& context, node_id from,
                core::cancel const& request) -> void;
    auto cancel_job(control_context const& context,
                    core::cancel_job const& request) -> verdict;
    /// A new link to this process was opened. Messages on an earlier link may
    /// be lost.
    auto connected(node_id peer) -> void;
    auto announced(control_context const& context, announce const& announcement)
        -> void;
    auto finished(control_context const& context, node_id from,
                  core::finished const& outcome) -> void;
    auto renewed(control_context const& context, node_id from,
                 renew const& renewal) -> void;
    auto disconnected(control_context const& context, node_id peer) -> void;
    auto committed(control_context const& context, log_entry const& entry)
        -> void;
    auto tick(control_context const& context) -> void;
    /// Binds waiting tasks to free slots. Called at the end of each event.
    auto dispatch(control_context const& context) -> void;

    [[nodiscard]] auto next_deadline(time_point now) const -> time_point;
    [[nodiscard]] auto agents() const -> std::map<node_id, agent_link> const&;
    [[nodiscard]] auto task_dispatcher() const -> dispatcher const&;
    [[nodiscard]] auto live_submissions() const
        -> std::map<submission_id, live_submission> const&;
    [[nodiscard]] auto lease_grant(control_context const& context,
                                   time_point sent_at) const -> core::renewed;

private:
    /// An attempt started by an earlier leader whose caller has not resent its
    /// request to this leader yet.
    struct orphan
    {
        attempt_id m_attempt;
        node_id m_agent = no_node;
        /// Its result, if the agent reported it before the resend arrived.
        std::optional<core::finished> m_outcome;
    };

    using customer_key = std::pair<std::string, std::string>;

    auto recover(control_context const& context) -> void;
    /// Answers a resend by its key, or adds it to the waiters of the submission
    /// in progress. False if the key is not known.
    [[nodiscard]] auto join_existing(control_context const& context,
                                     core::submit const& request,
                                     waiter const& who) -> bool;
    /// Verdict on a submission that is not admitted; empty if it is.
    [[nodiscard]] auto check_admission(control_context const& context,
                                       submission const& work) const
        -> std::optional<verdict>;
    auto add_live_submission(control_context const& context,
                             core::submit const& request, waiter const& who,
                             bool is_volatile) -> live_submission&;
    /// Makes an attempt started by an earlier leader the attempt of a request
    /// that has not been started here.
    auto attach_to_attempt(submission_id id, orphan const& running) -> void;
    /// Attaches the announced attempts to the requests that wait for them, and
    /// records the others as orphans.
    auto match_orphans(announce const& announcement) -> void;
    /// Stores a result until the caller of the attempt resends its request.
    auto store_orphan_result(core::finished const& outcome) -> void;
    auto propose_acceptance(control_context const& context,
                            live_submission& work) -> void;
    /// Queues a task for one agent, or for any. False if this ended the
    /// submission.
    auto enqueue(control_context const& context, live_submission& work,
                 std::uint32_t task, node_id agent) -> bool;
    auto bind_to_agent(control_context const& context, placement const& where)
        -> void;
    auto send_start(control_context const& context, live_submission& work,
                    std::uint32_t task) -> void;
    auto on_accepted(control_context const& context, submission_id id) -> void;
    auto on_reallotted(control_context const& context,
                       core::reallot const& moved) -> void;
    auto on_ended(control_context const& context, submission_id id) -> void;
    auto start_committed(control_context const& context, live_submission& work,
                         std::uint32_t task) -> void;
    auto task_ended(control_context const& context, live_submission& work,
                    core::finished const& outcome) -> void;
    auto task_refused(control_context const& context, live_submission& work,
                      std::uint32_t task, verdict const& why) -> void;
    auto task_lost(control_context const& context, attempt_id attempt) -> void;
    [[nodiscard]] auto may_retry(live_submission const& work,
                                 std::uint32_t task) const -> bool;
    [[nodiscard]] auto new_submission_id(bool is_volatile) -> submission_id;
    auto change_submission_id(submission_id from, submission_id to) -> void;
    auto retry_task(control_context const& context, live_submission& work,
                    std::uint32_t task) -> void;
    auto finish_submission(control_context const& context,
                           live_submission& work, verdict const& outcome)
        -> void;
    /// Ends an unsuccessful submission. The verdict is "not run" only if no
    /// task can have started.
    auto fail_submission(control_context const& context, live_submission& work,
                         reason why, std::string_view detail,
                         std::uint32_t retry_after_ms = 0) -> void;
    auto release_task(control_context const& context, live_submission& work,
                      std::uint32_t task) -> void;
    auto propose_end(control_context const& context,
                     live_submission const& work,
                     std::vector<task_answer> answers) -> void;
    auto send_answer(control_context const& context, waiter const& who,
                     verdict const& outcome,
                     std::span<task_answer const> answers) -> void;
    /// Compares the attempts sent to an agent with those that it announced, and
    /// queues or fails the missing ones.
    auto reconcile_attempts(control_context const& context,
                            announce const& announcement) -> void;
    auto handle_lost_link(control_context const& context, node_id agent)
        -> void;
    auto remove_lost_agent(control_context const& context, node_id agent)
        -> void;
    auto check_agents(control_context const& context) -> void;
    auto send_forget(control_context const& context, agent_link& link) -> void;
    auto propose_moves(control_context const& context) -> void;
    auto expire_tasks(control_context const& context) -> void;
    auto expire_keys(control_context const& context) -> void;
    auto report_load(control_context const& context) -> void;

    control_settings m_settings;
    term_number m_term = 0;
    std::uint64_t m_last_counter = 0;
    dispatcher m_dispatcher;
    std::map<node_id, agent_link> m_agents;
    std::map<submission_id, live_submission> m_live;
    std::map<customer_key, submission_id> m_ids_by_key;
    std::map<std::pair<node_id, std::uint64_t>, submission_id>
        m_waiting_requests;
    std::map<caller_ref, orphan> m_orphans;
    /// Agents in committed allotments that have not announced themselves yet.
    std::set<node_id> m_unannounced_agents;
    time_point m_started_at{0};
    std::uint64_t m_first_starts = 0;
    std::uint64_t m_retries = 0;
    time_point m_next_tick{0};
    time_point m_next_expiry{0};
    time_point m_next_report{0};
};

} // namespace hickorylatch::core

#endif
