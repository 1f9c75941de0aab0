#ifndef HICKORYLATCH_CORE_PLACEMENT_CONTROL_REQUESTS_HPP
#define HICKORYLATCH_CORE_PLACEMENT_CONTROL_REQUESTS_HPP

#include "core/model/effect.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace hickorylatch::core
{

/// A client's request that the control group must answer.
struct control_request
{
    exchange_id m_exchange = 0;
    operation m_operation;
    /// When the client stops waiting.
    time_point m_deadline = never;
};

/// A request with its answer.
struct answered_request
{
    control_request m_request;
    operate_result m_result;
};

/// Sends clients' requests to any control replica, and to another one if the
/// link is lost or the replica knows no leader. All operations are idempotent.
class control_requests
{
public:
    auto connected(node_id replica, effects& out) -> void;
    auto disconnected(node_id replica, effects& out) -> void;
    auto submit(control_request request, effects& out) -> void;
    /// Returns the answered request; none if it is unknown or was sent to
    /// another replica. A refusal becomes uncertain if another replica had the
    /// request before.
    auto answered(node_id from, operate_result const& result, effects& out)
        -> std::optional<answered_request>;
    /// Drops the request: its client has disconnected.
    auto abandon(exchange_id exchange) -> void;
    /// Removes and returns the requests whose deadline has passed.
    [[nodiscard]] auto expire(time_point now) -> std::vector<control_request>;

    [[nodiscard]] auto size() const -> std::size_t;
    /// True if a control replica can be reached.
    [[nodiscard]] auto is_connected() const -> bool;
    [[nodiscard]] auto next_deadline() const -> time_point;

private:
    struct pending_request
    {
        control_request m_request;
        /// Replica that it was sent to; `no_node` while there is no link.
        node_id m_sent_to = no_node;
        /// Earlier replicas that it was sent to may have executed it.
        unsigned m_send_count = 0;
    };

    auto send_to_next(std::uint64_t sequence, pending_request& pending,
                      effects& out) -> void;

    std::set<node_id> m_replicas;
    /// The last known leader; it is tried first.
    node_id m_preferred_replica = no_node;
    std::uint64_t m_last_sequence = 0;
    std::map<std::uint64_t, pending_request> m_pending;
};

} // namespace hickorylatch::core

#endif
