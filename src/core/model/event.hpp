#ifndef HICKORYLATCH_CORE_MODEL_EVENT_HPP
#define HICKORYLATCH_CORE_MODEL_EVENT_HPP

#include "core/model/message.hpp"

#include <cstdint>
#include <variant>

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

/// SIGTERM or an operator asked for a graceful shutdown.
struct stop_requested
{
};

/// Wall clock reading, delivered about once a second.
struct clock_read
{
    unix_milliseconds m_now = 0;
};

using event =
    std::variant<started, timer_fired, peer_connected, peer_disconnected,
                 message_received, log_synced, snapshot_saved, request_arrived,
                 request_abandoned, operator_arrived, call_finished,
                 stop_requested, clock_read>;

} // namespace hickorylatch::core

#endif
