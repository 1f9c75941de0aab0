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

/// Time limits and bounds of the control leader.
struct control_settings
{
    /// For durable step jobs.
    job_runner_settings m_jobs;
    /// Lease of entries and agents, from the send time of the renewal.
    duration m_lease = std::chrono::milliseconds{3000};
    /// An agent that was not heard from gets no new work after this time.
    duration m_agent_suspect = std::chrono::milliseconds{2500};
    /// An agent that was not heard from is given up after this time.
    duration m_agent_lost = std::chrono::milliseconds{5000};
    /// How long ended submissions are kept for resends.
    unix_milliseconds m_key_retention_ms = 24LL * 3600 * 1000;
    /// Submissions kept at most; more are refused.
    std::size_t m_key_limit = 1'000'000;
    /// Bytes of all tasks or of all answers of a committed submission at most.
    /// Each is one entry of the log and has to fit into a frame.
    std::size_t m_content_limit = std::size_t{4} << 20U;
    /// Further starts of an idempotent request after its agent was lost or its
    /// endpoint failed it.
    std::uint32_t m_retry_limit = 2;
    /// Retries at most as a share of first starts, in percent.
    std::uint32_t m_retry_percent = 10;
    /// Entries between two snapshots.
    log_index m_snapshot_interval = 20'000;
    /// Bytes of content between two snapshots; bounds what a restart reads.
    std::size_t m_snapshot_bytes = std::size_t{64} << 20U;
};

/// What the leader knows of an announced agent.
struct agent_link
{
    agent_info m_info;
    time_point m_heard_at{0};
    bool m_is_connected = true;
    /// It announced itself on its present link. Before that, what it was sent
    /// on an earlier link is not known to have arrived.
    bool m_has_announced = false;
    time_point m_last_sent_at{0};
    std::vector<attempt_id> m_to_forget;
    time_point m_forgot_at{0};
};

/// What a call into the coordinator works with.
struct control_context
{
    time_point m_now{0};
    unix_milliseconds m_wall = 0;
    replica& m_replica;
    control_state const& m_state;
    random_source& m_random;
    effects& m_out;
};

/// Work of the control leader for one term: takes submissions, binds tasks to
/// agents and ends submissions. Made when a replica begins to lead with the
/// whole committed state, dropped when it stops.
class coordinator
{
public:
    coordinator(control_settings const& settings, control_context const& with);

    /// False if it can't be taken yet and nothing was done with it.
    auto submit(control_context const& with, node_id from,
                core::submit const& request) -> bool;
    auto cancel(control_context const& with, node_id from,
                core::cancel const& request) -> void;
    auto cancel_job(control_context const& with, core::cancel_job const& order)
        -> verdict;
    /// A link to this process is new; messages on an older one may be lost.
    auto connected(node_id peer) -> void;
    auto announced(control_context const& with, announce const& news) -> void;
    auto finished(control_context const& with, node_id from,
                  core::finished const& outcome) -> void;
    auto renewed(control_context const& with, node_id from, renew const& ask)
        -> void;
    auto disconnected(control_context const& with, node_id peer) -> void;
    auto committed(control_context const& with, log_entry const& entry) -> void;
    auto tick(control_context const& with) -> void;
    /// Binds waiting tasks to free slots. Called after each event.
    auto dispatch(control_context const& with) -> void;

    [[nodiscard]] auto next_deadline(time_point now) const -> time_point;
    [[nodiscard]] auto agents() const -> std::map<node_id, agent_link> const&;
    [[nodiscard]] auto work() const -> dispatcher const&;
    [[nodiscard]] auto live() const
        -> std::map<submission_id, live_submission> const&;
    [[nodiscard]] auto grant(control_context const& with,
                             time_point sent_at) const -> core::renewed;

private:
    /// An attempt of an earlier leader whose caller may ask again.
    struct orphan
    {
        attempt_id m_attempt;
        node_id m_agent = no_node;
        /// Its result, if the agent reported it before the caller asked.
        std::optional<core::finished> m_outcome;
    };

    using key_of = std::pair<std::string, std::string>;

    auto recover(control_context const& with) -> void;
    [[nodiscard]] auto join(control_context const& with,
                            core::submit const& request, waiter const& who)
        -> bool;
    [[nodiscard]] auto refusal(control_context const& with,
                               submission const& work) const
        -> std::optional<verdict>;
    auto add_live(control_context const& with, core::submit const& request,
                  waiter const& who, bool is_volatile) -> live_submission&;
    /// Joins a request that is not running to an attempt of an earlier leader.
    auto adopt(submission_id id, orphan const& running) -> void;
    auto take_orphans(announce const& news) -> void;
    /// Keeps a result until the caller of the attempt asks again.
    auto keep_for_orphan(core::finished const& outcome) -> void;
    auto accept_job(control_context const& with, live_submission& work) -> void;
    /// Queues a task, for one agent or for any. False if that ended the work.
    auto enqueue(control_context const& with, live_submission& work,
                 std::uint32_t task, node_id bound) -> bool;
    auto place(control_context const& with, placement const& where) -> void;
    auto send_start(control_context const& with, live_submission& work,
                    std::uint32_t task) -> void;
    auto on_accepted(control_context const& with, submission_id id) -> void;
    auto on_moved(control_context const& with, core::reallot const& moved)
        -> void;
    auto on_ended(control_context const& with, submission_id id) -> void;
    auto start_committed(control_context const& with, live_submission& work,
                         std::uint32_t task) -> void;
    auto task_ended(control_context const& with, live_submission& work,
                    core::finished const& outcome) -> void;
    auto task_refused(control_context const& with, live_submission& work,
                      std::uint32_t task, verdict const& why) -> void;
    auto task_lost(control_context const& with, attempt_id attempt) -> void;
    [[nodiscard]] auto may_retry(live_submission const& work,
                                 std::uint32_t task) const -> bool;
    [[nodiscard]] auto new_submission_id(bool is_volatile) -> submission_id;
    auto rename(submission_id from, submission_id to) -> void;
    auto retry(control_context const& with, live_submission& work,
               std::uint32_t task) -> void;
    auto end(control_context const& with, live_submission& work,
             verdict const& outcome) -> void;
    /// Ends work that did not succeed, with a verdict true to its tasks.
    auto fail(control_context const& with, live_submission& work, reason why,
              std::string_view detail, std::uint32_t retry_after_ms = 0)
        -> void;
    auto release(control_context const& with, live_submission& work,
                 std::uint32_t task) -> void;
    auto propose_end(control_context const& with, live_submission const& work,
                     std::vector<task_answer> answers) -> void;
    auto answer(control_context const& with, waiter const& who,
                verdict const& outcome, std::span<task_answer const> answers)
        -> void;
    auto resolve_unknown(control_context const& with, announce const& news)
        -> void;
    auto abandon_link(control_context const& with, node_id agent) -> void;
    auto give_up(control_context const& with, node_id agent) -> void;
    auto check_agents(control_context const& with) -> void;
    auto flush_forget(control_context const& with, agent_link& link) -> void;
    auto move_waiting(control_context const& with) -> void;
    auto expire(control_context const& with) -> void;
    auto expire_keys(control_context const& with) -> void;
    auto report_load(control_context const& with) -> void;

    control_settings m_settings;
    term_number m_term = 0;
    std::uint64_t m_counter = 0;
    dispatcher m_dispatcher;
    std::map<node_id, agent_link> m_agents;
    std::map<submission_id, live_submission> m_live;
    std::map<key_of, submission_id> m_keys;
    std::map<std::pair<node_id, std::uint64_t>, submission_id> m_waiting;
    std::map<caller_ref, orphan> m_orphans;
    /// Agents named by committed allotments that have not announced yet.
    std::set<node_id> m_expected;
    time_point m_began{0};
    std::uint64_t m_first_starts = 0;
    std::uint64_t m_retries = 0;
    time_point m_next_tick{0};
    time_point m_next_expiry{0};
    time_point m_next_report{0};
};

} // namespace hickorylatch::core

#endif
