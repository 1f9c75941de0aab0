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

/// Names a caller's or operator's open HTTP exchange within one process.
using exchange_id = std::uint64_t;

/// The process started. Comes first.
struct started
{
    /// Seeds the node's random choices.
    std::uint64_t m_seed = 0;
};

/// The time asked for by `set_timer` has come. Early or extra ones are
/// harmless.
struct timer_fired
{
};

/// This machine was suspended. The clock that stamps events counts that time;
/// those of other processes on the machine may not.
struct process_resumed
{
    duration m_suspended{0};
};

/// A link is ready: both sides said hello.
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

/// Everything given to `append_log` up to this effect number is synced.
struct log_synced
{
    std::uint64_t m_write = 0;
};

/// The snapshot given to `save_snapshot` is synced.
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

/// The caller closed its connection.
struct request_abandoned
{
    exchange_id m_exchange = 0;
};

struct operator_arrived
{
    exchange_id m_exchange = 0;
    operation m_operation;
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
    /// How long the client waits, in milliseconds; 0 if it did not say.
    std::uint32_t m_client_wait_ms = 0;
    /// The client may have sent it to another process before: it is the first
    /// request of its connection.
    bool m_may_be_resent = false;
    /// Another process had the job, which may have run there.
    bool m_may_have_run = false;
};

/// What a client asks about jobs that were posted.
enum class job_question : std::uint8_t
{
    state,
    cancel,
    pending
};

/// A client asks about a job, or about a queue if the identifier is empty.
struct job_asked
{
    exchange_id m_exchange = 0;
    job_question m_question = job_question::state;
    std::string m_host;
    std::string m_path;
    std::string m_job_id;
    /// How long the client waits, in milliseconds; 0 if it did not say.
    std::uint32_t m_client_wait_ms = 0;
};

/// The worker beside this agent reported itself. A report that could not be
/// understood is not an event.
struct worker_reported
{
    worker_report m_report;
};

/// The worker says that this lifetime ends.
struct worker_left
{
    std::string m_name;
};

/// A run of a task of a job at a worker. The worker knows jobs by the
/// identifiers that their clients chose.
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
    fenced,         ///< It has seen a higher fencing token.
    outdated,       ///< This run or a later one has ended there.
    late,           ///< The lease of the order had run out.
    no_room,        ///< It guards its capacity.
    unhealthy,      ///< It did nothing.
    other_lifetime, ///< Another lifetime answered and did nothing.
    invalid,        ///< It could not read the order.
    unreachable,    ///< The order was never sent.
    unknown         ///< No answer: it may be carried out later.
};

[[nodiscard]] auto to_string(worker_answer answer) -> std::string_view;

/// A worker answered `start_run`.
struct run_start_answered
{
    worker_run m_run;
    worker_answer m_answer = worker_answer::unknown;
    /// The worker's clock in milliseconds; 0 if it gave none.
    std::int64_t m_clock_ms = 0;
};

/// A worker answered `stop_run`.
struct run_stop_answered
{
    worker_run m_run;
    worker_answer m_answer = worker_answer::unknown;
    std::int64_t m_clock_ms = 0;
};

/// A run that has ended at a worker.
struct ended_run
{
    /// Position in the worker's list of ends, from 1 in each lifetime.
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
    /// Lifetime that answered; 0 if it did not say.
    std::int64_t m_incarnation = 0;
    std::vector<worker_run> m_running;
    std::vector<ended_run> m_ended;
};

/// SIGTERM or an operator asked for a graceful shutdown.
struct stop_requested
{
};

/// Wall clock reading, delivered about once a second.
struct clock_read
{
    unix_milliseconds m_now = 0;
};

/// The settings name other control replicas to begin with.
struct seeds_changed
{
    /// Where they accept links.
    std::vector<std::string> m_seeds;
};

using event = std::variant<
    started, timer_fired, process_resumed, peer_connected, peer_disconnected,
    message_received, log_synced, snapshot_saved, request_arrived,
    request_abandoned, operator_arrived, call_finished, stop_requested,
    clock_read, job_arrived, job_asked, worker_reported, worker_left,
    run_start_answered, run_stop_answered, runs_polled, seeds_changed>;

} // namespace hickorylatch::core

#endif
