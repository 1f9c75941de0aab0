#ifndef HICKORYLATCH_CORE_PLACEMENT_CONTROL_REQUESTS_HPP
#define HICKORYLATCH_CORE_PLACEMENT_CONTROL_REQUESTS_HPP

#include "core/model/effect.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace hickorylatch::core
{

/// What clients asked that the control group must answer.
struct control_request
{
    exchange_id m_exchange = 0;
    operation m_operation;
    /// When the client stops waiting.
    time_point m_deadline = never;
};

/// A request that has its answer.
struct answered_request
{
    control_request m_request;
    operate_result m_result;
};

/// Asks any control replica on behalf of clients, and another one when the link
/// or an answer fails. All operations may be repeated.
class control_requests
{
public:
    auto connected(node_id replica, effects& out) -> void;
    auto disconnected(node_id replica, effects& out) -> void;
    auto ask(control_request request, effects& out) -> void;
    /// The answer to a request; none if it is not known or is asked again.
    auto answered(node_id from, operate_result const& result, effects& out)
        -> std::optional<answered_request>;
    /// The client no longer waits.
    auto abandon(exchange_id exchange) -> void;
    /// Requests without an answer at their deadline, which are dropped.
    [[nodiscard]] auto expire(time_point now) -> std::vector<control_request>;

    [[nodiscard]] auto size() const -> std::size_t;
    [[nodiscard]] auto next_deadline() const -> time_point;

private:
    struct open_request
    {
        control_request m_request;
        /// Replica that has it; `no_node` while there is no link to any.
        node_id m_sent_to = no_node;
    };

    auto send_to_next(std::uint64_t sequence, open_request& open, effects& out)
        -> void;

    std::set<node_id> m_replicas;
    /// The leader as far as it is known; asked first.
    node_id m_preferred = no_node;
    std::uint64_t m_last_sequence = 0;
    std::map<std::uint64_t, open_request> m_open;
};

} // namespace hickorylatch::core

#endif
