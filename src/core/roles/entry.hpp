#ifndef HICKORYLATCH_CORE_ROLES_ENTRY_HPP
#define HICKORYLATCH_CORE_ROLES_ENTRY_HPP

#include "core/model/effect.hpp"
#include "core/model/random_source.hpp"
#include "core/roles/evacuation_order.hpp"
#include "core/roles/lease.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace hickorylatch::core
{

/// Accepts callers' requests and operators' operations, forwards them to the
/// control leader and answers each exchange once.
class entry
{
public:
    auto connected(hello const& peer) -> void;
    auto disconnected(node_id peer) -> void;
    auto receive(time_point now, node_id from, message const& incoming,
                 effects& out) -> void;
    auto arrived(time_point now, request_arrived const& request,
                 random_source& random, effects& out) -> void;
    auto arrived(time_point now, operation_arrived const& request, effects& out)
        -> void;
    auto abandoned(exchange_id exchange, effects& out) -> void;
    auto checked(time_point now, exchange_checked const& answer, effects& out)
        -> void;
    auto tick(time_point now, effects& out) -> void;
    auto stop() -> void;

    /// True after a stop request once no exchange is open.
    [[nodiscard]] auto is_idle() const -> bool;
    [[nodiscard]] auto has_lease(time_point now) const -> bool;
    [[nodiscard]] auto is_stopping() const -> bool;
    [[nodiscard]] auto next_deadline() const -> time_point;
    [[nodiscard]] auto config() const -> configuration const&;
    [[nodiscard]] auto held_lease() const -> lease const&;
    [[nodiscard]] auto pending_requests() const -> std::size_t;

private:
    struct pending_request
    {
        exchange_id m_exchange = 0;
        submission m_submission;
        std::string m_parent_span;
        time_point m_arrived{0};
        time_point m_deadline = never;
        /// Number of times it was sent to a leader.
        unsigned m_send_count = 0;
        /// Its acceptance is committed before it runs, so that every leader
        /// knows it.
        bool m_is_durable = false;
    };

    struct pending_operation
    {
        exchange_id m_exchange = 0;
        operation m_operation;
        /// Set for an evacuation command.
        std::optional<evacuation_order> m_order;
        time_point m_deadline = never;
        bool m_was_sent = false;
    };

    [[nodiscard]] auto refusal(time_point now, submission const& work) const
        -> std::optional<verdict>;
    [[nodiscard]] auto priority_label(submission const& work) const
        -> std::string;
    [[nodiscard]] auto is_durable(submission const& work) const -> bool;
    /// Sends the requests and operations that the current leader does not have
    /// yet.
    auto forward(time_point now, effects& out) -> void;
    auto forward(time_point now, std::uint64_t sequence,
                 pending_request& request, effects& out) -> void;
    auto on(submit_result const& result, node_id from, time_point now,
            effects& out) -> void;
    auto forward(std::uint64_t sequence, pending_operation& request,
                 effects& out) -> void;
    auto on(operate_result const& result, effects& out) -> void;
    /// Handles a fencing token or the refusal of one. False for other results.
    auto update_order(operate_result const& result, effects& out) -> bool;
    auto on(not_leader const& refusal) -> void;
    auto follow(time_point now, node_id from,
                configuration_changed const& change, effects& out) -> void;
    auto finish(time_point now, std::uint64_t sequence, verdict outcome,
                std::vector<task_answer> answers, effects& out) -> void;

    lease m_lease;
    std::uint64_t m_last_sequence = 0;
    std::map<std::uint64_t, pending_request> m_requests;
    std::map<std::uint64_t, pending_operation> m_operations;
    std::map<exchange_id, std::uint64_t> m_exchanges;
    /// Sequence numbers that the current leader does not have yet.
    std::set<std::uint64_t> m_unsent;
    /// Deadlines of requests and operations, by sequence number.
    std::multimap<time_point, std::uint64_t> m_deadlines;
    time_point m_retry_at = never;
    duration m_retry_delay{0};
    bool m_is_stopping = false;
};

} // namespace hickorylatch::core

#endif
