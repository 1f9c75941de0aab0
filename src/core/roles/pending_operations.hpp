#ifndef HICKORYLATCH_CORE_ROLES_PENDING_OPERATIONS_HPP
#define HICKORYLATCH_CORE_ROLES_PENDING_OPERATIONS_HPP

#include "core/jobs/job_runner.hpp"
#include "core/model/effect.hpp"
#include "core/replication/replica.hpp"
#include "core/roles/control_state.hpp"
#include "core/roles/evacuation_fence.hpp"
#include "core/roles/evacuation_order.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace hickorylatch::core
{

/// Addressee of the result of an operation.
struct operation_requester
{
    /// `no_node` for an operator's request to this process.
    node_id m_entry = no_node;
    std::uint64_t m_sequence = 0;

    auto operator==(operation_requester const&) const -> bool = default;
};

/// The result of an operation and its addressee.
struct completed_operation
{
    operation_requester m_requester;
    operate_result m_result;
};

/// Operations that every replica accepts: installations and reads of the
/// configuration, evacuations and restorations of failure domains, and the
/// entries' operations on durable jobs. The leader completes them; another
/// replica forwards them as soon as it knows a leader. An evacuation command is
/// forwarded as an `evacuation_order`.
class pending_operations
{
public:
    /// Numbers the operations from a random number on. A replica keeps its node
    /// id on disk, so the leader may answer a request of an earlier process of
    /// this replica.
    auto start(std::uint64_t first_number) -> void;
    /// True for the operations that this class handles.
    [[nodiscard]] static auto accepts(operation const& requested) -> bool;

    /// False if too many operations are pending. An evacuation command that has
    /// waited in a socket before has that much less time left.
    auto add(time_point now, operation_requester requester, operation requested,
             duration waited = duration{0}) -> bool;
    /// Removes the evacuation command of an operator that has given up. It is
    /// not executed unless it was admitted already.
    auto abandon(operation_requester requester) -> void;
    /// The operator still waited for the answer at this check of its exchange.
    auto requester_waits(exchange_checked const& answer) -> void;
    /// Handles the leader's answer to a forwarded operation. A refusal becomes
    /// uncertain if the operation may have been proposed before.
    auto handle_result(operate_result const& result)
        -> std::optional<completed_operation>;
    /// Handles a new or lost link to this peer; messages on it may be lost.
    auto link_changed(node_id peer) -> void;
    /// Proposes, forwards or completes each operation where possible. With
    /// `is_leading` this replica leads with a quorum and has applied the first
    /// entry of its term. Otherwise `runner` is null, and `forward_to` is the
    /// replica to forward operations to, or `no_node`.
    [[nodiscard]] auto advance(time_point now, replica& log,
                               control_state const& state, bool is_leading,
                               node_id forward_to, job_runner const* runner,
                               effects& out)
        -> std::vector<completed_operation>;

    [[nodiscard]] auto next_deadline() const -> time_point;
    [[nodiscard]] auto size() const -> std::size_t;

private:
    struct pending
    {
        std::uint64_t m_number = 0;
        operation_requester m_requester;
        operation m_operation;
        /// Set for the evacuation command of an operator.
        std::optional<evacuation_order> m_order;
        time_point m_deadline = never;
        /// Until this time the answer waits for the job to end.
        time_point m_wait_until{0};
        /// Replica to which it was forwarded.
        node_id m_forwarded_to = no_node;
        /// Earlier leaders that it was forwarded to may have proposed it.
        unsigned m_forward_count = 0;
        /// Last term in which this replica proposed it.
        term_number m_proposed_term = 0;
        /// When this replica first handled the read as leader of `m_read_term`.
        time_point m_read_at{0};
        term_number m_read_term = 0;
        /// Last term in which this replica admitted the evacuation command as
        /// leader.
        term_number m_admitted_term = 0;
        /// The domain was in the requested state when the command was admitted.
        bool m_is_fulfilled = false;
    };

    auto execute_as_leader(time_point now, pending& waiting, replica& log,
                           control_state const& state, job_runner const* runner)
        -> std::optional<operate_result>;
    auto execute_as_leader(time_point now, pending& waiting, replica& log,
                           control_state const& state, evacuation_order& order)
        -> std::optional<operate_result>;
    auto execute_as_leader(time_point now, pending& waiting, replica& log,
                           control_state const& state,
                           fenced_evacuation const& command)
        -> std::optional<operate_result>;
    /// Decides whether a command changes the set of evacuations, and proposes
    /// it if so. Returns a result if it is refused.
    auto admit(pending& waiting, replica& log, control_state const& state,
               fenced_evacuation const& command)
        -> std::optional<operate_result>;
    auto forward(pending& waiting, node_id to, effects& out) -> void;
    /// Proposes the command once per term.
    auto propose(pending& waiting, replica& log, command wanted) -> void;
    /// True once a quorum has confirmed that this replica led when the request
    /// arrived.
    auto is_leadership_confirmed(time_point now, pending& waiting,
                                 replica const& log) -> bool;

    std::uint64_t m_last_number = 0;
    std::vector<pending> m_pending;
    time_point m_advanced_at{0};
    evacuation_fence m_fence;
    /// Log entry of the last evacuation command that this replica proposed.
    log_index m_last_evacuation_index = 0;
};

} // namespace hickorylatch::core

#endif
