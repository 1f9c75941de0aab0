#ifndef HICKORYLATCH_CORE_MODEL_EVENT_HPP
#define HICKORYLATCH_CORE_MODEL_EVENT_HPP

#include "core/model/message.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace hickorylatch::core
{

/// Identifies a caller's or operator's open HTTP exchange within one process.
using exchange_id = std::uint64_t;

/// The process started. Always the first event.
struct started
{
    /// Seed of the node's random numbers.
    std::uint64_t m_seed = 0;
};

/// The time set by `set_timer` has come. Early or extra events are harmless.
struct timer_fired
{
};

/// The machine was suspended. The clock of the events includes the time of the
/// suspension; the clocks of other processes on the machine may not.
struct process_resumed
{
    duration m_suspended{0};
};

/// A link is ready: both sides have exchanged `hello`.
struct peer_connected
{
    hello m_peer;
};

struct peer_disconnected
{
    node_id m_peer = no_node;
};

struct message_received
{
    node_id m_from = no_node;
    message m_message;
};

/// All `append_log` effects up to this write number are synced.
struct log_synced
{
    std::uint64_t m_write = 0;
};

/// The snapshot of a `save_snapshot` effect is synced.
struct snapshot_saved
{
    log_index m_last_index = 0;
};

/// A caller's request or an operator's job record, already parsed.
struct request_arrived
{
    exchange_id m_exchange = 0;
    submission m_submission;
    /// Wall clock of this process at arrival.
    unix_milliseconds m_now = 0;
};

/// The caller closed its connection before the answer.
struct request_abandoned
{
    exchange_id m_exchange = 0;
};

struct operation_arrived
{
    exchange_id m_exchange = 0;
    operation m_operation;
    /// Upper bound of the time that the request has waited in this process's
    /// sockets.
    duration m_waited{0};
};

/// The client of an exchange has not closed its connection. Answers
/// `check_exchange`.
struct exchange_checked
{
    exchange_id m_exchange = 0;
    /// `check_exchange::m_check`
    std::uint64_t m_check = 0;
};

/// The endpoint or worker answered, or the call failed.
struct call_finished
{
    attempt_id m_attempt;
    verdict m_verdict;
    task_answer m_answer;
};

/// A client posted a step job.
struct job_arrived
{
    exchange_id m_exchange = 0;
    std::string m_host;
    std::string m_path;
    step_job m_job;
    /// How long the client waits, in milliseconds; 0 if unknown.
    std::uint32_t m_client_wait_ms = 0;
    /// The client may have sent the job to another process before: this is the
    /// first request of its connection.
    bool m_may_be_resent = false;
    /// Another process held the job, which may have run there.
    bool m_may_have_run = false;
    /// Time for which this process has delayed the request.
    duration m_waited{0};
    /// It arrived before this process could serve, or knew all its workers.
    bool m_was_held = false;
};

/// What a client requests for posted jobs.
enum class job_query : std::uint8_t
{
    state,
    cancel,
    pending
};

/// A client queries or cancels a job, or queries a queue if the identifier is
/// empty.
struct job_query_arrived
{
    exchange_id m_exchange = 0;
    job_query m_query = job_query::state;
    std::string m_host;
    std::string m_path;
    std::string m_job_id;
    /// How long the client waits, in milliseconds; 0 if unknown.
    std::uint32_t m_client_wait_ms = 0;
};

/// The worker of this agent reported its state. Reports that can't be parsed
/// cause no event.
struct worker_reported
{
    worker_report m_report;
};

/// The worker reported that it shuts down.
struct worker_left
{
    std::string m_name;
};

/// Identifies a run of a task at a worker, by the job identifier that the
/// client chose.
struct worker_run
{
    std::string m_job_id;
    task_index m_task;
    std::uint32_t m_run = 0;

    auto operator<=>(worker_run const&) const = default;
};

/// How a worker answered an order.
enum class worker_answer : std::uint8_t
{
    accepted,
    fenced,         ///< Rejected: it has seen a higher fencing token.
    outdated,       ///< Rejected: this run or a later one has ended there.
    late,           ///< Rejected: the lease in the order had expired.
    no_room,        ///< Rejected: it enforces its capacity and is full.
    unhealthy,      ///< It is unhealthy and did not execute the order.
    other_lifetime, ///< A worker of another name answered and did nothing.
    invalid,        ///< It could not parse the order.
    unreachable,    ///< The order was never sent.
    unknown,        ///< No answer; the order may still be executed later.
    restarted       ///< Another incarnation of the worker can be reached. The
                    ///< order was never sent.
};

[[nodiscard]] auto to_string(worker_answer answer) -> std::string_view;

/// True if an order with this answer was not executed and will not be.
[[nodiscard]] auto is_rejection(worker_answer answer) -> bool;

/// A worker answered `start_run`.
struct run_start_answered
{
    worker_run m_run;
    worker_answer m_answer = worker_answer::unknown;
    /// The worker's clock in milliseconds; 0 if the answer has none.
    std::int64_t m_clock_ms = 0;
    /// Incarnation that the order was for; 0 if unknown.
    std::int64_t m_incarnation = 0;
};

/// A worker answered `stop_run`.
struct run_stop_answered
{
    worker_run m_run;
    worker_answer m_answer = worker_answer::unknown;
    std::int64_t m_clock_ms = 0;
    std::int64_t m_incarnation = 0;
};

/// A worker answered `check_worker`.
struct worker_checked
{
    /// Name and incarnation that the check was for.
    std::string m_name;
    std::int64_t m_incarnation = 0;
    worker_answer m_answer = worker_answer::unknown;
    std::int64_t m_clock_ms = 0;
};

/// A run that has ended at a worker.
struct ended_run
{
    /// Position in the worker's list of ends, from 1 in each incarnation.
    std::uint64_t m_number = 0;
    worker_run m_run;
    run_outcome m_outcome = run_outcome::failed;
};

/// A worker answered `poll_runs`.
struct runs_polled
{
    std::uint64_t m_poll = 0;
    worker_answer m_answer = worker_answer::unknown;
    std::int64_t m_clock_ms = 0;
    /// Incarnation of the worker that answered; 0 if the answer has none.
    std::int64_t m_incarnation = 0;
    std::vector<worker_run> m_running;
    std::vector<ended_run> m_ended;
};

/// SIGTERM or an operator asked for a graceful shutdown.
struct stop_requested
{
};

/// Reading of the wall clock, delivered about once a second.
struct clock_read
{
    unix_milliseconds m_now = 0;
};

/// The settings were reloaded with other seeds, the control replicas to connect
/// to first.
struct seeds_changed
{
    /// Addresses where the seeds accept links.
    std::vector<std::string> m_seeds;
};

using event =
    std::variant<started, timer_fired, process_resumed, peer_connected,
                 peer_disconnected, message_received, log_synced,
                 snapshot_saved, request_arrived, request_abandoned,
                 operation_arrived, call_finished, stop_requested, clock_read,
                 job_arrived, job_query_arrived, worker_reported, worker_left,
                 run_start_answered, run_stop_answered, runs_polled,
                 worker_checked, seeds_changed, exchange_checked>;

} // namespace hickorylatch::core

#endif
