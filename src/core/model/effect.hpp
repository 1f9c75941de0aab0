#ifndef HICKORYLATCH_CORE_MODEL_EFFECT_HPP
#define HICKORYLATCH_CORE_MODEL_EFFECT_HPP

#include "core/model/event.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace hickorylatch::core
{

/// Sends a message to a peer. Dropped if there is no link to it.
struct send
{
    node_id m_to = no_node;
    message m_message;
};

/// Persistent Raft state besides the log: term and vote.
struct hard_state
{
    term_number m_term = 0;
    node_id m_voted_for = no_node;

    auto operator==(hard_state const&) const -> bool = default;
};
BOOST_DESCRIBE_STRUCT(hard_state, (), (m_term, m_voted_for))

/// Sends the same message to several peers.
struct send_copies
{
    std::vector<node_id> m_to;
    message m_message;
};

/// Writes to the log and syncs it; `log_synced` with the same number follows.
/// Several writes may be outstanding; they may be synced together, in order.
struct append_log
{
    std::uint64_t m_write = 0;
    /// Set if term or vote changed.
    std::optional<hard_state> m_hard_state;
    /// Removes entries from this index on before appending; 0 for none.
    log_index m_truncate_from = 0;
    std::vector<log_entry> m_entries;
};
// `m_write` has no meaning after a restart and is not stored.
BOOST_DESCRIBE_STRUCT(append_log, (),
                      (m_hard_state, m_truncate_from, m_entries))

/// Serialized state of the control role up to a log index.
struct snapshot
{
    log_index m_last_index = 0;
    term_number m_last_term = 0;
    std::vector<member> m_members;
    std::uint64_t m_cluster = 0;
    std::string m_data;
};
BOOST_DESCRIBE_STRUCT(snapshot, (),
                      (m_last_index, m_last_term, m_members, m_cluster, m_data))

/// Writes and syncs a snapshot, then removes the log entries that it covers.
/// `snapshot_saved` follows.
struct save_snapshot
{
    snapshot m_snapshot;
};

/// Answers a caller.
struct reply
{
    exchange_id m_exchange = 0;
    submission_kind m_kind = submission_kind::request;
    verdict m_verdict;
    std::vector<task_answer> m_answers;
    trace_context m_trace;
};

/// Answers an operator.
struct reply_operator
{
    exchange_id m_exchange = 0;
    operate_result m_result;
};

/// Checks the connection of an exchange. `exchange_checked` follows if its
/// client still waits for the answer.
struct check_exchange
{
    exchange_id m_exchange = 0;
    /// Number of the check within the exchange.
    std::uint64_t m_check = 0;
};

/// Calls the endpoint or worker of this agent. `call_finished` follows.
struct start_call
{
    attempt_id m_attempt;
    std::string m_path;
    task m_task;
    /// Time left until the deadline, in milliseconds; 0 for no deadline.
    std::uint32_t m_deadline_ms = 0;
    trace_context m_trace;
};

/// Asks the worker to stop an attempt. `call_finished` still follows.
struct cancel_call
{
    attempt_id m_attempt;
};

/// Answers a client that posted a step job or queried its state.
struct answer_job
{
    exchange_id m_exchange = 0;
    /// `run_state::ran` if the job is known; `m_state` is then valid.
    verdict m_verdict;
    job_state m_state = job_state::failed;
};

/// Answers a client that queried how many jobs of a queue wait.
struct answer_pending_count
{
    exchange_id m_exchange = 0;
    verdict m_verdict;
    std::uint64_t m_pending = 0;
};

/// Addressee of an order to a worker.
struct worker_target
{
    std::string m_worker;
    /// Generation of this agent. A worker rejects orders with a lower token
    /// than the highest it has seen.
    std::uint64_t m_fencing_token = 0;
    /// Incarnation that the order is for; no other one gets it. 0 if unknown.
    std::int64_t m_incarnation = 0;
};

/// Orders the worker of this agent to start a run. `run_start_answered`
/// follows.
struct start_run
{
    worker_target m_target;
    worker_run m_run;
    std::string m_body;
    /// End of the lease of all runs at the worker, by the worker's clock in
    /// milliseconds.
    std::int64_t m_lease_until_ms = 0;
};

/// Orders the worker to stop a run. `run_stop_answered` follows.
struct stop_run
{
    worker_target m_target;
    worker_run m_run;
};

/// Asks the worker for its active and ended runs, and extends the lease of the
/// active ones. `runs_polled` with the same number follows.
struct poll_runs
{
    std::uint64_t m_poll = 0;
    worker_target m_target;
    /// Number of the last end that was processed; the worker need not list the
    /// ends up to it again.
    std::uint64_t m_acknowledged = 0;
    /// 0 leaves the lease as it is.
    std::int64_t m_lease_until_ms = 0;
    /// Long poll: the worker answers at the next end or after this time.
    std::uint32_t m_wait_ms = 0;
};

/// Asks for the identity of the worker that can be reached now, on a new
/// connection. `worker_checked` follows.
struct check_worker
{
    worker_target m_target;
};

/// Closes callers' connections that have no request in progress, so that the
/// callers connect to another process.
struct close_idle_callers
{
};

/// Sets the node's only timer, replacing its previous time.
struct set_timer
{
    time_point m_at = never;
};

/// Replaces the set of links that this process keeps open, by peer address.
struct keep_links
{
    std::vector<std::string> m_addresses;
};

enum class log_level : std::uint8_t
{
    debug,
    info,
    warning,
    error
};

/// One log line of key=value pairs.
struct log_line
{
    log_level m_level = log_level::info;
    std::string m_event;
    std::vector<std::pair<std::string, std::string>> m_fields;
};

/// One finished span of a trace.
struct record_span
{
    trace_context m_context;
    std::string m_parent_span;
    std::string m_name;
    time_point m_start{0};
    time_point m_end{0};
    std::vector<std::pair<std::string, std::string>> m_attributes;
};

/// One sample of a metric: added to a counter, observed by a histogram or set
/// on a gauge. Labels must have few distinct values.
struct observe_metric
{
    std::string_view m_name;
    std::vector<std::pair<std::string_view, std::string>> m_labels;
    double m_value = 1;
};

/// Sample that counts a refused or failed request or job.
[[nodiscard]] auto count_refusal(verdict const& why) -> observe_metric;

/// Exits the process with code 0. Emitted when no work is in progress.
struct exit_process
{
};

using effect =
    std::variant<send, send_copies, append_log, save_snapshot, reply,
                 reply_operator, start_call, cancel_call, set_timer, keep_links,
                 log_line, record_span, observe_metric, exit_process,
                 answer_job, answer_pending_count, start_run, stop_run,
                 poll_runs, close_idle_callers, check_worker, check_exchange>;

using effects = std::vector<effect>;

} // namespace hickorylatch::core

#endif
