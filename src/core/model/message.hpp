#ifndef HICKORYLATCH_CORE_MODEL_MESSAGE_HPP
#define HICKORYLATCH_CORE_MODEL_MESSAGE_HPP

#include "core/model/command.hpp"
#include "core/model/configuration.hpp"
#include "core/model/configuration_patch.hpp"
#include "core/model/evacuations.hpp"
#include "core/model/ids.hpp"
#include "core/model/job.hpp"
#include "core/model/submission.hpp"
#include "core/model/time.hpp"
#include "core/model/verdict.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace hickorylatch::core
{

enum class role : std::uint8_t
{
    entry,
    control,
    agent
};

/// First message that each side sends on a new link.
struct hello
{
    node_id m_node = no_node;
    role m_role = role::entry;
    /// Name from the settings, for logs and status.
    std::string m_name;
    /// Address where this process accepts links; empty if it does not.
    std::string m_address;
    /// Identity of the control group; 0 if not known yet.
    std::uint64_t m_cluster = 0;
    std::string m_secret;
    /// Runs an entry or an agent, which need the configuration. A process can
    /// be a control replica as well.
    bool m_needs_configuration = false;
    /// Uses the newest configuration received from any replica and needs no
    /// leader for that.
    bool m_follows_any_replica = false;
    /// A control process without durable state: it stores no part of the log
    /// and forwards operations.
    bool m_is_volatile = false;
    std::string m_failure_domain;
};
BOOST_DESCRIBE_STRUCT(hello, (),
                      (m_node, m_role, m_name, m_address, m_cluster, m_secret,
                       m_needs_configuration, m_follows_any_replica,
                       m_is_volatile, m_failure_domain))

// Messages between an entry and the control leader.

/// Extends a lease. Sent on its own or as part of another message.
struct renewed
{
    /// Send time of the answered message, by the lease holder's clock.
    time_point m_sent_at{0};
    term_number m_term = 0;
    duration m_lease{0};
    configuration_version m_version = 0;
};
BOOST_DESCRIBE_STRUCT(renewed, (), (m_sent_at, m_term, m_lease, m_version))

/// A submission from an entry. The answer and a cancellation refer to it by the
/// entry's sequence number.
struct submit
{
    std::uint64_t m_sequence = 0;
    submission m_submission;
    /// Send time by the entry's clock; requests a lease renewal.
    time_point m_sent_at{0};
    /// Term of the leader that it is addressed to. A copy that arrives in
    /// another term is rejected: the entry may meanwhile have told its caller
    /// that the submission did not run.
    term_number m_term = 0;
    /// Number of this transmission of the submission, from 1.
    std::uint32_t m_copy = 0;
};
BOOST_DESCRIBE_STRUCT(submit, (),
                      (m_sequence, m_submission, m_sent_at, m_term, m_copy))

/// Cancels a submission whose caller no longer waits.
struct cancel
{
    std::uint64_t m_sequence = 0;
};
BOOST_DESCRIBE_STRUCT(cancel, (), (m_sequence))

struct submit_result
{
    std::uint64_t m_sequence = 0;
    verdict m_verdict;
    /// One answer for each task if the submission ran, else empty.
    std::vector<task_answer> m_answers;
    renewed m_renewed;
};
BOOST_DESCRIBE_STRUCT(submit_result, (),
                      (m_sequence, m_verdict, m_answers, m_renewed))

/// Rejects a message because the receiver is not the leader. The message had no
/// effect.
struct not_leader
{
    std::uint64_t m_sequence = 0;
    node_id m_leader = no_node;
    /// `submit::m_copy` of the answered message; 0 for an operation.
    std::uint32_t m_copy = 0;
};
BOOST_DESCRIBE_STRUCT(not_leader, (), (m_sequence, m_leader, m_copy))

// Operations, which operators and entries request of the control leader.

struct query_status
{
    /// Document to return: "status", "jobs", "configuration", "agents"
    /// or "evacuations".
    std::string m_subject;
};
BOOST_DESCRIBE_STRUCT(query_status, (), (m_subject))

struct cancel_job
{
    std::string m_request_id;
    std::string m_customer;
    std::string m_key;
};
BOOST_DESCRIBE_STRUCT(cancel_job, (), (m_request_id, m_customer, m_key))

/// Creates the control group from the receiving replica and the other blank
/// replicas that it has links to. Sent to a control process directly, as there
/// is no leader yet.
struct bootstrap_control_group
{
    /// Number of members, including this replica.
    std::uint32_t m_members = 0;
};
BOOST_DESCRIBE_STRUCT(bootstrap_control_group, (), (m_members))

/// Linearizable read of the current configuration: a quorum confirms the leader
/// after the request has arrived.
struct read_configuration
{
    std::uint64_t m_unused = 0;
};
BOOST_DESCRIBE_STRUCT(read_configuration, (), (m_unused))

/// Stores a durable job. Idempotent.
struct post_job
{
    step_job m_job;
    job_queue m_queue;
};
BOOST_DESCRIBE_STRUCT(post_job, (), (m_job, m_queue))

/// Returns the state of a durable job. Reports a job as unknown only if a
/// quorum confirms the leader after the request has arrived.
struct find_job
{
    std::string m_id;
    /// How long the answer may wait for the job to end, in milliseconds.
    std::uint32_t m_wait_ms = 0;
};
BOOST_DESCRIBE_STRUCT(find_job, (), (m_id, m_wait_ms))

/// Cancels a durable job.
struct cancel_durable_job
{
    std::string m_id;
};
BOOST_DESCRIBE_STRUCT(cancel_durable_job, (), (m_id))

/// Returns how many durable jobs of a queue wait for their first run.
struct count_waiting_jobs
{
    std::string m_queue;
};
BOOST_DESCRIBE_STRUCT(count_waiting_jobs, (), (m_queue))

/// Issued by the leader. It admits one evacuation command, and only if the
/// leader has admitted no other one since then.
struct fencing_token
{
    /// Term of the leader that issued it; 0 for no token.
    term_number m_term = 0;
    /// Number of the commands that the leader had admitted in this term.
    std::uint64_t m_admitted = 0;

    auto operator==(fencing_token const&) const -> bool = default;
};
BOOST_DESCRIBE_STRUCT(fencing_token, (), (m_term, m_admitted))

/// Returns a fencing token in `operate_result::m_token`.
struct issue_fencing_token
{
    std::uint64_t m_unused = 0;
};
BOOST_DESCRIBE_STRUCT(issue_fencing_token, (), (m_unused))

/// An evacuation command from the process that got it from the operator. The
/// operator was waiting for the answer when the token had been issued. Refused
/// with `reason::version_conflict` if the token is outdated.
struct fenced_evacuation
{
    set_evacuation m_change;
    fencing_token m_token;
};
BOOST_DESCRIBE_STRUCT(fenced_evacuation, (), (m_change, m_token))

using operation =
    std::variant<query_status, change_configuration, cancel_job,
                 change_membership, bootstrap_control_group,
                 install_configuration, read_configuration, post_job, find_job,
                 cancel_durable_job, count_waiting_jobs, set_evacuation,
                 issue_fencing_token, fenced_evacuation>;

struct operate
{
    std::uint64_t m_sequence = 0;
    operation m_operation;
};
BOOST_DESCRIBE_STRUCT(operate, (), (m_sequence, m_operation))

struct operate_result
{
    std::uint64_t m_sequence = 0;
    verdict m_verdict;
    configuration_version m_version = 0;
    /// Requested document as JSON text; empty for a change.
    std::string m_document;
    /// State of the requested job.
    job_state m_job_state = job_state::queued;
    /// Result of `count_waiting_jobs`.
    std::uint64_t m_count = 0;
    /// Leader known to the replica. Sending later operations to it directly
    /// saves the forwarding.
    node_id m_leader = no_node;
    /// Result of `issue_fencing_token`.
    fencing_token m_token;
};
BOOST_DESCRIBE_STRUCT(operate_result, (),
                      (m_sequence, m_verdict, m_version, m_document,
                       m_job_state, m_count, m_leader, m_token))

// Messages between an agent and the control leader.

enum class agent_kind : std::uint8_t
{
    endpoint,
    worker
};

/// Describes an agent and the endpoint or worker that it serves.
struct agent_info
{
    node_id m_node = no_node;
    std::string m_name;
    agent_kind m_kind = agent_kind::endpoint;
    std::string m_service;
    /// Maximum number of tasks in progress.
    std::uint32_t m_slots = 0;
    std::uint32_t m_cores = 0;
    std::uint32_t m_memory_mb = 0;
    std::uint32_t m_accelerators = 0;
    std::string m_rack;
    std::string m_failure_domain;
    /// Shutting down; accepts no new work.
    bool m_leaving = false;
};
BOOST_DESCRIBE_STRUCT(agent_info, (),
                      (m_node, m_name, m_kind, m_service, m_slots, m_cores,
                       m_memory_mb, m_accelerators, m_rack, m_failure_domain,
                       m_leaving))

/// Identifies the entry's request that an attempt belongs to.
struct caller_ref
{
    node_id m_entry = no_node;
    std::uint64_t m_sequence = 0;

    auto operator<=>(caller_ref const&) const = default;
};
BOOST_DESCRIBE_STRUCT(caller_ref, (), (m_entry, m_sequence))

/// An attempt at an idempotent request. Such attempts are not committed, so a
/// new leader learns of them from the agents only.
struct volatile_attempt
{
    attempt_id m_attempt;
    caller_ref m_caller;
};
BOOST_DESCRIBE_STRUCT(volatile_attempt, (), (m_attempt, m_caller))

/// The agent's state that a new leader needs. Sent on each new link to a leader
/// and when the agent starts to shut down.
struct announce
{
    agent_info m_agent;
    std::vector<attempt_id> m_running;
    /// Finished attempts whose results no leader has acknowledged by `forget`.
    std::vector<attempt_id> m_finished;
    time_point m_sent_at{0};
    /// The uncommitted attempts among the above, with their callers: a new
    /// leader matches a resent request to its attempt instead of starting it
    /// again.
    std::vector<volatile_attempt> m_volatile;
};
BOOST_DESCRIBE_STRUCT(announce, (),
                      (m_agent, m_running, m_finished, m_sent_at, m_volatile))

/// Answers `announce`.
struct welcome
{
    renewed m_renewed;
    configuration m_configuration;
    std::vector<member> m_members;
};
BOOST_DESCRIBE_STRUCT(welcome, (), (m_renewed, m_configuration, m_members))

/// Orders an agent to start an attempt. Idempotent for one incarnation of the
/// agent.
struct start
{
    term_number m_term = 0;
    attempt_id m_attempt;
    std::string m_service;
    std::string m_path;
    task m_task;
    /// Time left until the deadline at sending, in milliseconds; 0 for no
    /// deadline.
    std::uint32_t m_deadline_ms = 0;
    trace_context m_trace;
    renewed m_renewed;
    /// Set for idempotent requests.
    caller_ref m_caller;
};
BOOST_DESCRIBE_STRUCT(start, (),
                      (m_term, m_attempt, m_service, m_path, m_task,
                       m_deadline_ms, m_trace, m_renewed, m_caller))

/// Result of an attempt. With `run_state::not_run` the agent guarantees that it
/// will never start this attempt.
struct finished
{
    attempt_id m_attempt;
    verdict m_verdict;
    task_answer m_answer;
    /// Send time by the agent's clock; requests a lease renewal.
    time_point m_sent_at{0};
};
BOOST_DESCRIBE_STRUCT(finished, (), (m_attempt, m_verdict, m_answer, m_sent_at))

/// Stops an attempt. Answered by `finished`. An attempt that was not started is
/// answered with `run_state::not_run` and refused from then on.
struct stop_attempt
{
    term_number m_term = 0;
    attempt_id m_attempt;
};
BOOST_DESCRIBE_STRUCT(stop_attempt, (), (m_term, m_attempt))

/// Acknowledges results that the leader has stored durably or no longer needs.
struct forget
{
    term_number m_term = 0;
    std::vector<attempt_id> m_attempts;
};
BOOST_DESCRIBE_STRUCT(forget, (), (m_term, m_attempts))

/// Requests a lease renewal. Sent by agents and entries.
struct renew
{
    /// Send time by the sender's clock, echoed in the answer.
    time_point m_sent_at{0};
    /// Measured resource usage of the worker, in thousandths of a core and in
    /// MB.
    std::uint32_t m_used_millicores = 0;
    std::uint32_t m_used_memory_mb = 0;
};
BOOST_DESCRIBE_STRUCT(renew, (),
                      (m_sent_at, m_used_millicores, m_used_memory_mb))

/// The current configuration. Sent by the leader on each change and on each new
/// link, to the processes that get it from the leader only: those with
/// `hello::m_needs_configuration` but not `hello::m_follows_any_replica`.
struct configuration_changed
{
    term_number m_term = 0;
    configuration m_configuration;
    /// Members of the control group, to which the receiver opens links.
    std::vector<member> m_members;
};
BOOST_DESCRIBE_STRUCT(configuration_changed, (),
                      (m_term, m_configuration, m_members))

// Messages between control replicas.

struct vote_request
{
    term_number m_term = 0;
    log_index m_last_index = 0;
    term_number m_last_term = 0;
    /// Pre-vote: asks whether the vote would be granted and changes no state.
    bool m_is_pre_vote = false;
    /// Start of the election round by the sender's clock, echoed in the reply.
    time_point m_sent_at{0};
    /// The previous leader has stepped down and requested this election.
    bool m_is_hand_over = false;
};
BOOST_DESCRIBE_STRUCT(vote_request, (),
                      (m_term, m_last_index, m_last_term, m_is_pre_vote,
                       m_sent_at, m_is_hand_over))

struct vote_reply
{
    term_number m_term = 0;
    bool m_granted = false;
    bool m_is_pre_vote = false;
    time_point m_sent_at{0};
};
BOOST_DESCRIBE_STRUCT(vote_reply, (),
                      (m_term, m_granted, m_is_pre_vote, m_sent_at))

struct append_request
{
    term_number m_term = 0;
    log_index m_previous_index = 0;
    term_number m_previous_term = 0;
    std::vector<log_entry> m_entries;
    log_index m_commit = 0;
    /// Send time by the leader's clock, echoed in the reply.
    time_point m_sent_at{0};
};
BOOST_DESCRIBE_STRUCT(append_request, (),
                      (m_term, m_previous_index, m_previous_term, m_entries,
                       m_commit, m_sent_at))

struct append_reply
{
    term_number m_term = 0;
    bool m_matched = false;
    /// Last index synced at the follower; if not matched, a hint where to
    /// retry.
    log_index m_index = 0;
    time_point m_sent_at{0};
    /// The follower has no state at all, not even the initial membership.
    bool m_is_blank = false;
};
BOOST_DESCRIBE_STRUCT(append_reply, (),
                      (m_term, m_matched, m_index, m_sent_at, m_is_blank))

/// One part of a snapshot. Parts are sent in order.
struct install_snapshot
{
    term_number m_term = 0;
    log_index m_last_index = 0;
    term_number m_last_term = 0;
    std::uint64_t m_offset = 0;
    std::string m_data;
    bool m_is_last = false;
    time_point m_sent_at{0};
    std::uint64_t m_cluster = 0;
    /// Membership as of the last index.
    std::vector<member> m_members{};
};
BOOST_DESCRIBE_STRUCT(install_snapshot, (),
                      (m_term, m_last_index, m_last_term, m_offset, m_data,
                       m_is_last, m_sent_at, m_cluster, m_members))

struct install_reply
{
    term_number m_term = 0;
    log_index m_last_index = 0;
    /// Bytes received; the size of the snapshot once all of it has arrived.
    std::uint64_t m_next_offset = 0;
    time_point m_sent_at{0};
};
BOOST_DESCRIBE_STRUCT(install_reply, (),
                      (m_term, m_last_index, m_next_offset, m_sent_at))

/// Leadership transfer: the leader has stepped down to shut down, and the
/// receiver should start an election at once.
struct hand_over
{
    term_number m_term = 0;
};
BOOST_DESCRIBE_STRUCT(hand_over, (), (m_term))

/// Creates a control group. Sent to each initial member, and again with each
/// pre-vote for members that missed it.
struct found_group
{
    std::uint64_t m_cluster = 0;
    std::vector<member> m_members;
};
BOOST_DESCRIBE_STRUCT(found_group, (), (m_cluster, m_members))

// Messages for the discovery of processes and for the placement of job runs at
// agents. Most of them need no control leader.

/// Where an entry accepts links.
struct entry_location
{
    std::string m_address;
    std::string m_failure_domain;

    auto operator==(entry_location const&) const -> bool = default;
};
BOOST_DESCRIBE_STRUCT(entry_location, (), (m_address, m_failure_domain))

/// Addresses where other processes accept links, as known to the sending
/// replica.
struct process_list
{
    std::vector<std::string> m_controls;
    /// Sent to agents only.
    std::vector<entry_location> m_entries;
    /// Address of the leader; empty if none is known.
    std::string m_leader;

    auto operator==(process_list const&) const -> bool = default;
};
BOOST_DESCRIBE_STRUCT(process_list, (), (m_controls, m_entries, m_leader))

/// Announces the version of the configuration that the sender has.
struct configuration_notice
{
    configuration_version m_version = 0;
};
BOOST_DESCRIBE_STRUCT(configuration_notice, (), (m_version))

/// Requests the `configuration_patch` from this version to the newest. Not
/// answered if there is no newer version.
struct fetch_configuration
{
    configuration_version m_version = 0;
};
BOOST_DESCRIBE_STRUCT(fetch_configuration, (), (m_version))

/// Identifies one run of a task of an entry's job.
struct run_ref
{
    /// The entry's number for the job.
    std::uint64_t m_job = 0;
    task_index m_task;
    /// Number of this run of the task, from 1.
    std::uint32_t m_run = 0;

    auto operator<=>(run_ref const&) const = default;
};
BOOST_DESCRIBE_STRUCT(run_ref, (), (m_job, m_task, m_run))

/// Describes an agent's worker and the receiver's runs that the agent holds.
/// First message of an agent on a link to an entry; sent again on each change.
struct worker_announcement
{
    worker_report m_worker;
    std::string m_failure_domain;
    std::vector<run_ref> m_runs;
    /// Number of the receiver's last order that `m_runs` takes into account.
    std::uint64_t m_last_order = 0;
};
BOOST_DESCRIBE_STRUCT(worker_announcement, (),
                      (m_worker, m_failure_domain, m_runs, m_last_order))

/// How long a new task of this queue rank would wait for free capacity.
struct rank_wait
{
    std::uint32_t m_rank = 0;
    std::uint32_t m_wait_ms = 0;
};
BOOST_DESCRIBE_STRUCT(rank_wait, (), (m_rank, m_wait_ms))

enum class acceptance : std::uint8_t
{
    none,  ///< Accepts no new runs.
    trial, ///< Failed recently; accepts one run at a time until one succeeds.
    full
};

/// Identifies a queue in messages of agents, which know no configuration: the
/// lower half of the stable hash of its name.
using queue_key = std::uint32_t;

/// Number of runs of a queue at a worker.
struct queue_count
{
    queue_key m_queue = 0;
    std::uint32_t m_count = 0;
};
BOOST_DESCRIBE_STRUCT(queue_count, (), (m_queue, m_count))

/// Mean number of runs of a queue that were at a worker during a run there, in
/// thousandths.
struct queue_concurrency
{
    queue_key m_queue = 0;
    std::uint32_t m_mean_permille = 0;
};
BOOST_DESCRIBE_STRUCT(queue_concurrency, (), (m_queue, m_mean_permille))

/// Free capacity of a worker and the state of its queue, from its agent.
struct worker_load
{
    acceptance m_accepts = acceptance::none;
    resources m_free;
    /// Ranks with tasks in the agent's queue, in order of service.
    std::vector<rank_wait> m_waits;
    /// Ratio of the run time of tasks here to the time expected on a worker of
    /// average speed, in thousandths.
    std::uint32_t m_slowness_permille = 1000;
    /// Number of the receiver's last order that the load takes into account.
    std::uint64_t m_last_order = 0;
    /// Send time by the agent's clock, echoed in `contact_confirmed`.
    time_point m_sent_at{0};
    /// Runs at the worker, if the receiver's orders name their queues.
    std::optional<std::vector<queue_count>> m_running;
};
BOOST_DESCRIBE_STRUCT(worker_load, (),
                      (m_accepts, m_free, m_waits, m_slowness_permille,
                       m_last_order, m_sent_at, m_running))

/// Heartbeat of an entry, or of the leader that places durable jobs, in answer
/// to `worker_load`. An agent that gets none in time stops the sender's runs.
struct contact_confirmed
{
    /// Send time of the load that this answers.
    time_point m_sent_at{0};
    /// Number of the last `runs_ended` that arrived.
    std::uint64_t m_acknowledged_ends = 0;
    /// Version of the configuration that the entry uses; 0 for none. An agent
    /// that has a newer one sends it.
    configuration_version m_version = 0;
    /// Minimum time between two `worker_load` messages from this agent, in
    /// milliseconds. Limits the message rate at an entry with many agents.
    std::uint32_t m_load_interval_ms = 0;
};
BOOST_DESCRIBE_STRUCT(contact_confirmed, (),
                      (m_sent_at, m_acknowledged_ends, m_version,
                       m_load_interval_ms))

struct run_order
{
    task_index m_task;
    std::uint32_t m_run = 0;
    resources m_needs;
    /// Expected run time on a worker of average speed, in milliseconds.
    std::uint32_t m_expected_ms = 0;
    /// Refuse the run at once instead of queueing it: the entry knows of free
    /// capacity at other workers.
    bool m_must_start_now = false;
};
BOOST_DESCRIBE_STRUCT(run_order, (),
                      (m_task, m_run, m_needs, m_expected_ms, m_must_start_now))

/// Orders runs of tasks of one job. Each run is answered by a `run_end`.
struct order_runs
{
    /// Number of the order among those of this entry to this agent, from 1.
    std::uint64_t m_order = 0;
    std::uint64_t m_job = 0;
    std::string m_job_id;
    std::string m_body;
    std::uint32_t m_rank = 0;
    /// Time left until the runs must have ended, in milliseconds. A run that
    /// can't end in time is refused.
    std::uint32_t m_time_left_ms = 0;
    std::vector<run_order> m_runs;
    /// Number of the `offer_room` that this order accepts; 0 for none.
    std::uint64_t m_offer = 0;
    /// Queue of the job, if the sender wants to know what ran beside its runs.
    std::optional<queue_key> m_queue;
};
BOOST_DESCRIBE_STRUCT(order_runs, (),
                      (m_order, m_job, m_job_id, m_body, m_rank, m_time_left_ms,
                       m_runs, m_offer, m_queue))

/// Queues a request for capacity at an agent for tasks of one step (late
/// binding). The entry decides which tasks run there, if any, when the agent
/// offers the capacity.
struct reserve_room
{
    /// Shares its numbering with `order_runs::m_order`.
    std::uint64_t m_order = 0;
    std::uint64_t m_job = 0;
    std::uint32_t m_step = 0;
    std::uint32_t m_rank = 0;
    resources m_needs;
    std::uint32_t m_expected_ms = 0;
    /// Number of tasks to offer capacity for, one by one or together.
    std::uint32_t m_count = 0;
    /// Share of these tasks that the entry expects to run at this agent, in
    /// thousandths; it expects the others to run elsewhere.
    std::uint32_t m_share_permille = 1000;
    /// Time left until the runs must have ended, in milliseconds.
    std::uint32_t m_time_left_ms = 0;
};
BOOST_DESCRIBE_STRUCT(reserve_room, (),
                      (m_order, m_job, m_step, m_rank, m_needs, m_expected_ms,
                       m_count, m_share_permille, m_time_left_ms))

/// Offers capacity for tasks of the step. The agent reserves it until it gets
/// an order with this offer's number or `decline_room`, or until a short
/// timeout.
struct offer_room
{
    std::uint64_t m_offer = 0;
    std::uint64_t m_job = 0;
    std::uint32_t m_step = 0;
    std::uint32_t m_count = 0;
};
BOOST_DESCRIBE_STRUCT(offer_room, (), (m_offer, m_job, m_step, m_count))

/// Declines an offer: no task of the job needs the capacity any more.
struct decline_room
{
    std::uint64_t m_offer = 0;
};
BOOST_DESCRIBE_STRUCT(decline_room, (), (m_offer))

/// Removes the reservations of a job from the agent's queue.
struct release_room
{
    std::uint64_t m_job = 0;
};
BOOST_DESCRIBE_STRUCT(release_room, (), (m_job))

/// Tells the entry that the agent has dropped a reservation and won't offer
/// capacity for its tasks.
struct reservation_dropped
{
    std::uint64_t m_job = 0;
    std::uint32_t m_step = 0;
};
BOOST_DESCRIBE_STRUCT(reservation_dropped, (), (m_job, m_step))

/// Cancels runs: queued ones are refused, started ones are stopped. Each is
/// answered by a `run_end` as usual.
struct withdraw_runs
{
    std::vector<run_ref> m_runs;
};
BOOST_DESCRIBE_STRUCT(withdraw_runs, (), (m_runs))

/// Announces that the sender leads the control group and places durable jobs.
/// It takes over the runs that the agent holds for an earlier leader.
struct lead_jobs
{
    term_number m_term = 0;
};
BOOST_DESCRIBE_STRUCT(lead_jobs, (), (m_term))

/// Claims the placement of a job for the sender. One agent per job arbitrates
/// between the entries, so that a job that its client sent to two entries is
/// run by one of them at a time.
struct claim_job
{
    std::string m_job_id;
    /// The sender orders no runs before the `claim_answer`. Otherwise it has
    /// ordered some already and gets no answer, but `yield_job` if another
    /// entry keeps the job.
    bool m_awaits_grant = false;
    /// Time until the claim expires, in milliseconds.
    std::uint32_t m_time_left_ms = 0;
};
BOOST_DESCRIBE_STRUCT(claim_job, (), (m_job_id, m_awaits_grant, m_time_left_ms))

struct claim_answer
{
    std::string m_job_id;
    /// No other entry has runs of the job. Otherwise the other entry was asked
    /// to yield the job, and a second answer may follow.
    bool m_is_granted = false;
    /// Time after which the runs of the other entry have certainly ended, in
    /// milliseconds.
    std::uint32_t m_wait_ms = 0;
};
BOOST_DESCRIBE_STRUCT(claim_answer, (), (m_job_id, m_is_granted, m_wait_ms))

/// Asks an entry to give up a job because its client has sent it to another
/// entry.
struct yield_job
{
    std::string m_job_id;
};
BOOST_DESCRIBE_STRUCT(yield_job, (), (m_job_id))

/// The sender has no runs of the job any more. Answers `yield_job`, and is also
/// sent by an entry that has waited for a grant and then refuses the job.
struct job_yielded
{
    std::string m_job_id;
};
BOOST_DESCRIBE_STRUCT(job_yielded, (), (m_job_id))

struct run_end
{
    run_ref m_run;
    run_outcome m_outcome = run_outcome::refused;
    /// Why the run was refused.
    reason m_reason = reason::none;
    /// Run time in milliseconds, if it ran.
    std::uint32_t m_run_ms = 0;
    /// What ran beside it, if its order named its queue. Absent if the run was
    /// not successful or its worker had just started.
    std::optional<std::vector<queue_concurrency>> m_beside;
};
BOOST_DESCRIBE_STRUCT(run_end, (),
                      (m_run, m_outcome, m_reason, m_run_ms, m_beside))

/// The end of a run that the worker reports and the agent has no order for: an
/// earlier process of the agent started it.
struct unmatched_end
{
    std::string m_job_id;
    task_index m_task;
    run_outcome m_outcome = run_outcome::failed;
};
BOOST_DESCRIBE_STRUCT(unmatched_end, (), (m_job_id, m_task, m_outcome))

/// Reports ends of the receiver's runs. Sent again on each new link until
/// `contact_confirmed` acknowledges it.
struct runs_ended
{
    /// Number of this message, from 1, counted over all receivers.
    std::uint64_t m_number = 0;
    std::vector<run_end> m_ends;
    /// Sent to the leader of the control group only.
    std::vector<unmatched_end> m_unmatched_ends;
};
BOOST_DESCRIBE_STRUCT(runs_ended, (), (m_number, m_ends, m_unmatched_ends))

/// All messages between processes of the system. The position of an alternative
/// is its number on the wire: new alternatives go to the end.
using message = std::variant<
    hello, submit, cancel, submit_result, not_leader, operate, operate_result,
    announce, welcome, start, finished, stop_attempt, forget, renew, renewed,
    configuration_changed, vote_request, vote_reply, append_request,
    append_reply, install_snapshot, install_reply, found_group, hand_over,
    process_list, worker_announcement, worker_load, contact_confirmed,
    order_runs, withdraw_runs, runs_ended, reserve_room, offer_room,
    decline_room, release_room, reservation_dropped, lead_jobs,
    configuration_notice, fetch_configuration, configuration_patch, claim_job,
    claim_answer, yield_job, job_yielded, evacuations>;

/// Name of the alternative, for logs and metrics.
[[nodiscard]] auto message_name(message const& content) -> std::string_view;
/// The same by the position of the alternative, which must be valid.
[[nodiscard]] auto message_name(std::size_t alternative) -> std::string_view;

} // namespace hickorylatch::core

#endif
