#ifndef HICKORYLATCH_CORE_MODEL_MESSAGE_HPP
#define HICKORYLATCH_CORE_MODEL_MESSAGE_HPP

#include "core/model/command.hpp"
#include "core/model/configuration.hpp"
#include "core/model/configuration_patch.hpp"
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

/// First message on each link, from both sides.
struct hello
{
    node_id m_node = no_node;
    role m_role = role::entry;
    /// Name from the settings, for logs and status.
    std::string m_name;
    /// Where this process accepts links; empty if it does not.
    std::string m_address;
    /// Identity of the control group; 0 if not known yet.
    std::uint64_t m_cluster = 0;
    std::string m_secret;
    /// It has an entry or an agent, which serve by the configuration. A process
    /// may be that and a control replica.
    bool m_needs_configuration = false;
    /// It serves by the newest configuration it has heard of, from whichever
    /// replica, and needs no leader to do so.
    bool m_follows_any_replica = false;
    /// A control process whose state would end with it: it holds no part of the
    /// log and passes operations on.
    bool m_is_volatile = false;
    std::string m_failure_domain;
};
BOOST_DESCRIBE_STRUCT(hello, (),
                      (m_node, m_role, m_name, m_address, m_cluster, m_secret,
                       m_needs_configuration, m_follows_any_replica,
                       m_is_volatile, m_failure_domain))

// Entry and control leader.

/// Extends a lease. Travels on its own or with another message.
struct renewed
{
    /// Send time, by the holder's clock, of the message that this answers.
    time_point m_sent_at{0};
    term_number m_term = 0;
    duration m_lease{0};
    configuration_version m_version = 0;
};
BOOST_DESCRIBE_STRUCT(renewed, (), (m_sent_at, m_term, m_lease, m_version))

/// A submission from an entry. The entry's sequence number names it in the
/// answer and in a cancellation.
struct submit
{
    std::uint64_t m_sequence = 0;
    submission m_submission;
    /// Send time by the entry's clock; asks for a longer lease.
    time_point m_sent_at{0};
    /// Term of the leader that it is meant for. A copy that arrives in another
    /// term is not taken: the entry may have told its caller since then that
    /// it did not run.
    term_number m_term = 0;
    /// Counts the copies of this submission, from 1.
    std::uint32_t m_copy = 0;
};
BOOST_DESCRIBE_STRUCT(submit, (),
                      (m_sequence, m_submission, m_sent_at, m_term, m_copy))

/// The caller no longer waits.
struct cancel
{
    std::uint64_t m_sequence = 0;
};
BOOST_DESCRIBE_STRUCT(cancel, (), (m_sequence))

struct submit_result
{
    std::uint64_t m_sequence = 0;
    verdict m_verdict;
    /// One answer for each task if it ran, else empty.
    std::vector<task_answer> m_answers;
    renewed m_renewed;
};
BOOST_DESCRIBE_STRUCT(submit_result, (),
                      (m_sequence, m_verdict, m_answers, m_renewed))

/// The receiver does not lead. Nothing was done with the message it answers.
struct not_leader
{
    std::uint64_t m_sequence = 0;
    node_id m_leader = no_node;
    /// Copy of the submission that it answers; 0 for an operation.
    std::uint32_t m_copy = 0;
};
BOOST_DESCRIBE_STRUCT(not_leader, (), (m_sequence, m_leader, m_copy))

// Operators.

struct query_status
{
    /// What to show: "status", "jobs", "configuration" or "agents".
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

/// What an operator asks of the control leader.
/// Founds the control group from this blank replica and the blank ones that it
/// has links to. Asked of a control process itself.
struct found_control_group
{
    /// Number of members, this one included.
    std::uint32_t m_members = 0;
};
BOOST_DESCRIBE_STRUCT(found_control_group, (), (m_members))

/// Asks for the configuration in force, confirmed by a quorum after the
/// question was asked.
struct read_configuration
{
    std::uint64_t m_unused = 0;
};
BOOST_DESCRIBE_STRUCT(read_configuration, (), (m_unused))

/// Stores a durable job. Repeating it changes nothing.
struct post_job
{
    step_job m_job;
    job_queue m_queue;
};
BOOST_DESCRIBE_STRUCT(post_job, (), (m_job, m_queue))

/// Asks for the state of a durable job, as of after the question.
struct find_job
{
    std::string m_id;
    /// If the job has not ended, the answer may wait for its end for so long,
    /// in milliseconds.
    std::uint32_t m_wait_ms = 0;
};
BOOST_DESCRIBE_STRUCT(find_job, (), (m_id, m_wait_ms))

/// Cancels a durable job.
struct cancel_durable_job
{
    std::string m_id;
};
BOOST_DESCRIBE_STRUCT(cancel_durable_job, (), (m_id))

/// Asks how many durable jobs of a queue wait for their first run.
struct count_waiting_jobs
{
    std::string m_queue;
};
BOOST_DESCRIBE_STRUCT(count_waiting_jobs, (), (m_queue))

using operation =
    std::variant<query_status, change_configuration, cancel_job,
                 change_membership, found_control_group, install_configuration,
                 read_configuration, post_job, find_job, cancel_durable_job,
                 count_waiting_jobs>;

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
    /// JSON text with what was asked for; empty for a change.
    std::string m_document;
    /// State of the job that was asked for.
    job_state m_job_state = job_state::queued;
    /// Number that was asked for.
    std::uint64_t m_count = 0;
    /// Leader that the replica knows of; asked directly it answers sooner.
    node_id m_leader = no_node;
};
BOOST_DESCRIBE_STRUCT(operate_result, (),
                      (m_sequence, m_verdict, m_version, m_document,
                       m_job_state, m_count, m_leader))

// Agent and control leader.

enum class agent_kind : std::uint8_t
{
    endpoint,
    worker
};

/// What an agent stands beside.
struct agent_info
{
    node_id m_node = no_node;
    std::string m_name;
    agent_kind m_kind = agent_kind::endpoint;
    std::string m_service;
    /// Tasks in progress at most.
    std::uint32_t m_slots = 0;
    std::uint32_t m_cores = 0;
    std::uint32_t m_memory_mb = 0;
    std::uint32_t m_accelerators = 0;
    std::string m_rack;
    std::string m_failure_domain;
    /// Takes no new work: it is shutting down.
    bool m_leaving = false;
};
BOOST_DESCRIBE_STRUCT(agent_info, (),
                      (m_node, m_name, m_kind, m_service, m_slots, m_cores,
                       m_memory_mb, m_accelerators, m_rack, m_failure_domain,
                       m_leaving))

/// The entry's request that an attempt serves.
struct caller_ref
{
    node_id m_entry = no_node;
    std::uint64_t m_sequence = 0;

    auto operator<=>(caller_ref const&) const = default;
};
BOOST_DESCRIBE_STRUCT(caller_ref, (), (m_entry, m_sequence))

/// An attempt at an idempotent request that an earlier leader ordered.
struct volatile_attempt
{
    attempt_id m_attempt;
    caller_ref m_caller;
};
BOOST_DESCRIBE_STRUCT(volatile_attempt, (), (m_attempt, m_caller))

/// Everything an agent knows that a new leader needs. Sent on each new link
/// to a leader and when the agent starts to leave.
struct announce
{
    agent_info m_agent;
    std::vector<attempt_id> m_running;
    /// Finished, and not yet forgotten at a leader's request.
    std::vector<attempt_id> m_finished;
    time_point m_sent_at{0};
    /// Those of the above that are not committed, with their callers: a new
    /// leader joins a resent request to its attempt instead of starting it
    /// again.
    std::vector<volatile_attempt> m_volatile;
};
BOOST_DESCRIBE_STRUCT(announce, (),
                      (m_agent, m_running, m_finished, m_sent_at, m_volatile))

/// Answers an announcement.
struct welcome
{
    renewed m_renewed;
    configuration m_configuration;
    std::vector<member> m_members;
};
BOOST_DESCRIBE_STRUCT(welcome, (), (m_renewed, m_configuration, m_members))

/// Orders an attempt. Repeating it to the same incarnation is safe.
struct start
{
    term_number m_term = 0;
    attempt_id m_attempt;
    std::string m_service;
    std::string m_path;
    task m_task;
    /// Time left when it was sent, in milliseconds; 0 for none.
    std::uint32_t m_deadline_ms = 0;
    trace_context m_trace;
    renewed m_renewed;
    /// Set for idempotent requests.
    caller_ref m_caller;
};
BOOST_DESCRIBE_STRUCT(start, (),
                      (m_term, m_attempt, m_service, m_path, m_task,
                       m_deadline_ms, m_trace, m_renewed, m_caller))

/// The end of an attempt. With `not_run` the agent guarantees that it will
/// never start this attempt.
struct finished
{
    attempt_id m_attempt;
    verdict m_verdict;
    task_answer m_answer;
    /// Send time by the agent's clock; asks for a longer lease.
    time_point m_sent_at{0};
};
BOOST_DESCRIBE_STRUCT(finished, (), (m_attempt, m_verdict, m_answer, m_sent_at))

/// Stops an attempt. Answered by `finished`; an attempt that was not started
/// is answered `not_run` and refused from then on.
struct stop_attempt
{
    term_number m_term = 0;
    attempt_id m_attempt;
};
BOOST_DESCRIBE_STRUCT(stop_attempt, (), (m_term, m_attempt))

/// The leader holds these results durably or no longer needs them.
struct forget
{
    term_number m_term = 0;
    std::vector<attempt_id> m_attempts;
};
BOOST_DESCRIBE_STRUCT(forget, (), (m_term, m_attempts))

/// Asks for a longer lease, from an agent or an entry.
struct renew
{
    /// Send time by the sender's clock, echoed in the answer.
    time_point m_sent_at{0};
    /// Measured use of the worker, in thousandths of a core and in MB.
    std::uint32_t m_used_millicores = 0;
    std::uint32_t m_used_memory_mb = 0;
};
BOOST_DESCRIBE_STRUCT(renew, (),
                      (m_sent_at, m_used_millicores, m_used_memory_mb))

/// The configuration in force and the leader that vouches for it. Sent on each
/// change and to each process that connects.
struct configuration_changed
{
    term_number m_term = 0;
    configuration m_configuration;
    /// The control group, so that links follow its membership.
    std::vector<member> m_members;
};
BOOST_DESCRIBE_STRUCT(configuration_changed, (),
                      (m_term, m_configuration, m_members))

// Control replicas.

struct vote_request
{
    term_number m_term = 0;
    log_index m_last_index = 0;
    term_number m_last_term = 0;
    /// True asks only whether a vote would be given; changes no state.
    bool m_is_probe = false;
    /// Start of the round by the sender's clock, echoed in the reply.
    time_point m_sent_at{0};
    /// The last leader has stepped down and asked for this election.
    bool m_is_hand_over = false;
};
BOOST_DESCRIBE_STRUCT(vote_request, (),
                      (m_term, m_last_index, m_last_term, m_is_probe, m_sent_at,
                       m_is_hand_over))

struct vote_reply
{
    term_number m_term = 0;
    bool m_granted = false;
    bool m_is_probe = false;
    time_point m_sent_at{0};
};
BOOST_DESCRIBE_STRUCT(vote_reply, (),
                      (m_term, m_granted, m_is_probe, m_sent_at))

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
    /// Last index synced at the follower, or a hint where to retry.
    log_index m_index = 0;
    time_point m_sent_at{0};
    /// The follower holds no state at all, not even the founding one.
    bool m_is_blank = false;
};
BOOST_DESCRIBE_STRUCT(append_reply, (),
                      (m_term, m_matched, m_index, m_sent_at, m_is_blank))

/// One part of a snapshot, in order.
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

/// A leader that stops has stepped down; the receiver should lead next.
struct hand_over
{
    term_number m_term = 0;
};
BOOST_DESCRIBE_STRUCT(hand_over, (), (m_term))

/// Founds a control group: sent once to each first member.
struct found_group
{
    std::uint64_t m_cluster = 0;
    std::vector<member> m_members;
};
BOOST_DESCRIBE_STRUCT(found_group, (), (m_cluster, m_members))

// Entry and agent, without control.

/// An entry that accepts links.
struct entry_place
{
    std::string m_address;
    std::string m_failure_domain;

    auto operator==(entry_place const&) const -> bool = default;
};
BOOST_DESCRIBE_STRUCT(entry_place, (), (m_address, m_failure_domain))

/// Where other processes accept links, as far as the sending replica knows.
struct process_list
{
    std::vector<std::string> m_controls;
    /// Told to agents only.
    std::vector<entry_place> m_entries;
    /// Address of the leader; empty if none is known.
    std::string m_leader;

    auto operator==(process_list const&) const -> bool = default;
};
BOOST_DESCRIBE_STRUCT(process_list, (), (m_controls, m_entries, m_leader))

/// The sender has this version of the configuration.
struct configuration_notice
{
    configuration_version m_version = 0;
};
BOOST_DESCRIBE_STRUCT(configuration_notice, (), (m_version))

/// Asks for what leads from this version to the newest, as a
/// `configuration_patch`. Not answered if there is nothing newer.
struct fetch_configuration
{
    configuration_version m_version = 0;
};
BOOST_DESCRIBE_STRUCT(fetch_configuration, (), (m_version))

/// One run of a task of an entry's job.
struct run_ref
{
    /// The entry's number of the job.
    std::uint64_t m_job = 0;
    task_index m_task;
    /// Counts the runs of the task, from 1.
    std::uint32_t m_run = 0;

    auto operator<=>(run_ref const&) const = default;
};
BOOST_DESCRIBE_STRUCT(run_ref, (), (m_job, m_task, m_run))

/// What an agent's worker is, and the runs of the receiver's tasks that the
/// agent holds. First message of an agent on a link to an entry, and sent again
/// on each change.
struct worker_announcement
{
    worker_report m_worker;
    std::string m_failure_domain;
    std::vector<run_ref> m_runs;
    /// Last order of the receiver that `m_runs` takes into account.
    std::uint64_t m_order = 0;
};
BOOST_DESCRIBE_STRUCT(worker_announcement, (),
                      (m_worker, m_failure_domain, m_runs, m_order))

/// How long a task of a queue's rank would wait for room.
struct rank_wait
{
    std::uint32_t m_rank = 0;
    std::uint32_t m_wait_ms = 0;
};
BOOST_DESCRIBE_STRUCT(rank_wait, (), (m_rank, m_wait_ms))

enum class acceptance : std::uint8_t
{
    none,  ///< Takes no new runs.
    trial, ///< Failed lately; takes one run at a time to show that it works.
    full
};

/// Room at a worker and its queue, from its agent.
struct worker_load
{
    acceptance m_accepts = acceptance::none;
    resources m_free;
    /// Ranks with tasks in the agent's queue, in order of service.
    std::vector<rank_wait> m_waits;
    /// Run time of a task here over the one expected anywhere, in thousandths.
    std::uint32_t m_slowness_permille = 1000;
    /// Last order of the receiver that is taken into account.
    std::uint64_t m_order = 0;
    /// Send time by the agent's clock, echoed in `contact_confirmed`.
    time_point m_sent_at{0};
};
BOOST_DESCRIBE_STRUCT(worker_load, (),
                      (m_accepts, m_free, m_waits, m_slowness_permille, m_order,
                       m_sent_at))

/// An entry still wants its runs. An agent that is not told so in time stops
/// them.
struct contact_confirmed
{
    /// Send time of the load that it answers.
    time_point m_sent_at{0};
    /// Last number of `runs_ended` that arrived.
    std::uint64_t m_ends = 0;
    /// Configuration that the entry serves by; 0 for none. An agent that holds
    /// a newer one sends it.
    configuration_version m_version = 0;
    /// Least time between two loads of the agent to this entry, in
    /// milliseconds. An entry with many agents can't take all of their news.
    std::uint32_t m_load_interval_ms = 0;
};
BOOST_DESCRIBE_STRUCT(contact_confirmed, (),
                      (m_sent_at, m_ends, m_version, m_load_interval_ms))

struct run_order
{
    task_index m_task;
    std::uint32_t m_run = 0;
    resources m_needs;
    /// Expected run time on a worker of common speed, in milliseconds.
    std::uint32_t m_expected_ms = 0;
    /// Refused at once if it would have to wait: the entry saw room at other
    /// workers too.
    bool m_needs_room = false;
};
BOOST_DESCRIBE_STRUCT(run_order, (),
                      (m_task, m_run, m_needs, m_expected_ms, m_needs_room))

/// Orders runs of tasks of one job. Each is answered by an end.
struct order_runs
{
    /// Counts the orders of this entry to this agent, from 1.
    std::uint64_t m_order = 0;
    std::uint64_t m_job = 0;
    std::string m_job_id;
    std::string m_body;
    std::uint32_t m_rank = 0;
    /// Time left to the end of the run, in milliseconds. A run that can't end
    /// in time is refused.
    std::uint32_t m_time_left_ms = 0;
    std::vector<run_order> m_runs;
    /// Offer of room that this order takes; 0 for none.
    std::uint64_t m_offer = 0;
};
BOOST_DESCRIBE_STRUCT(order_runs, (),
                      (m_order, m_job, m_job_id, m_body, m_rank, m_time_left_ms,
                       m_runs, m_offer))

/// Puts an entry into an agent's queue for room for tasks of one step. Which
/// tasks run there, if any, is decided when the agent offers the room.
struct reserve_room
{
    /// Counts together with the orders of this entry to this agent.
    std::uint64_t m_order = 0;
    std::uint64_t m_job = 0;
    std::uint32_t m_step = 0;
    std::uint32_t m_rank = 0;
    resources m_needs;
    std::uint32_t m_expected_ms = 0;
    /// Tasks to offer room for, one by one or together.
    std::uint32_t m_count = 0;
    /// Part of these tasks that the agent will run as far as the entry can
    /// tell, in thousandths; the others find room elsewhere.
    std::uint32_t m_share_permille = 1000;
    /// Time left to the end of the runs, in milliseconds.
    std::uint32_t m_time_left_ms = 0;
};
BOOST_DESCRIBE_STRUCT(reserve_room, (),
                      (m_order, m_job, m_step, m_rank, m_needs, m_expected_ms,
                       m_count, m_share_permille, m_time_left_ms))

/// There is room for tasks of the step. The agent holds it until it gets an
/// order with this offer's number or `decline_room`, but not for long.
struct offer_room
{
    std::uint64_t m_offer = 0;
    std::uint64_t m_job = 0;
    std::uint32_t m_step = 0;
    std::uint32_t m_count = 0;
};
BOOST_DESCRIBE_STRUCT(offer_room, (), (m_offer, m_job, m_step, m_count))

/// No task of the job needs the offered room any more.
struct decline_room
{
    std::uint64_t m_offer = 0;
};
BOOST_DESCRIBE_STRUCT(decline_room, (), (m_offer))

/// Takes the reservations of a job out of the agent's queue.
struct release_room
{
    std::uint64_t m_job = 0;
};
BOOST_DESCRIBE_STRUCT(release_room, (), (m_job))

/// The agent won't offer room for the tasks of a reservation.
struct reservation_dropped
{
    std::uint64_t m_job = 0;
    std::uint32_t m_step = 0;
};
BOOST_DESCRIBE_STRUCT(reservation_dropped, (), (m_job, m_step))

/// Takes runs back: those that wait are refused, the others are stopped. Each
/// is answered by an end, as if nothing had been taken back.
struct withdraw_runs
{
    std::vector<run_ref> m_runs;
};
BOOST_DESCRIBE_STRUCT(withdraw_runs, (), (m_runs))

/// The sender leads the control group and places durable jobs. Runs that an
/// agent holds for an earlier leader are the sender's from now on.
struct lead_jobs
{
    term_number m_term = 0;
};
BOOST_DESCRIBE_STRUCT(lead_jobs, (), (m_term))

/// Tells an agent that the sender places the job from now on. Entries agree at
/// one agent for each job, so that a job that its client sent to two of them
/// runs at one at a time.
struct claim_job
{
    std::string m_job_id;
    /// The sender orders nothing before the answer. Otherwise it has ordered
    /// already, and is answered only if another entry has the job.
    bool m_is_asking = false;
    /// How long the claim lasts, in milliseconds.
    std::uint32_t m_time_left_ms = 0;
};
BOOST_DESCRIBE_STRUCT(claim_job, (), (m_job_id, m_is_asking, m_time_left_ms))

struct claim_answer
{
    std::string m_job_id;
    /// No other entry has runs of the job. Otherwise one was told to give it
    /// up, and a second answer may follow.
    bool m_is_granted = false;
    /// When the runs of the other entry have ended in any case, in
    /// milliseconds.
    std::uint32_t m_wait_ms = 0;
};
BOOST_DESCRIBE_STRUCT(claim_answer, (), (m_job_id, m_is_granted, m_wait_ms))

/// Another entry wants the job: its client has sent it there.
struct yield_job
{
    std::string m_job_id;
};
BOOST_DESCRIBE_STRUCT(yield_job, (), (m_job_id))

/// The sender has no runs of the job any more.
struct job_yielded
{
    std::string m_job_id;
};
BOOST_DESCRIBE_STRUCT(job_yielded, (), (m_job_id))

struct run_end
{
    run_ref m_run;
    run_outcome m_outcome = run_outcome::refused;
    /// Why it was refused.
    reason m_reason = reason::none;
    /// Run time in milliseconds, if it ran.
    std::uint32_t m_run_ms = 0;
};
BOOST_DESCRIBE_STRUCT(run_end, (), (m_run, m_outcome, m_reason, m_run_ms))

/// An end that an agent found at its worker and knows no order for: an earlier
/// process of the agent gave it.
struct found_end
{
    std::string m_job_id;
    task_index m_task;
    run_outcome m_outcome = run_outcome::failed;
};
BOOST_DESCRIBE_STRUCT(found_end, (), (m_job_id, m_task, m_outcome))

/// Ends of the receiver's runs. Sent again on a new link until confirmed.
struct runs_ended
{
    /// Counts these messages of the agent to all processes, from 1.
    std::uint64_t m_number = 0;
    std::vector<run_end> m_ends;
    /// Told to the leader of the control group only.
    std::vector<found_end> m_found;
};
BOOST_DESCRIBE_STRUCT(runs_ended, (), (m_number, m_ends, m_found))

/// Everything that travels between processes of the system. The position of
/// an alternative is its number on the wire: new ones go to the end.
using message = std::variant<
    hello, submit, cancel, submit_result, not_leader, operate, operate_result,
    announce, welcome, start, finished, stop_attempt, forget, renew, renewed,
    configuration_changed, vote_request, vote_reply, append_request,
    append_reply, install_snapshot, install_reply, found_group, hand_over,
    process_list, worker_announcement, worker_load, contact_confirmed,
    order_runs, withdraw_runs, runs_ended, reserve_room, offer_room,
    decline_room, release_room, reservation_dropped, lead_jobs,
    configuration_notice, fetch_configuration, configuration_patch, claim_job,
    claim_answer, yield_job, job_yielded>;

/// Name of the alternative, for logs and metrics.
[[nodiscard]] auto message_name(message const& content) -> std::string_view;
/// The same by the position of the alternative, which must exist.
[[nodiscard]] auto message_name(std::size_t alternative) -> std::string_view;

} // namespace hickorylatch::core

#endif
