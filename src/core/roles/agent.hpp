#ifndef HICKORYLATCH_CORE_ROLES_AGENT_HPP
#define HICKORYLATCH_CORE_ROLES_AGENT_HPP

#include "core/model/effect.hpp"
#include "core/model/random_source.hpp"
#include "core/placement/known_evacuations.hpp"
#include "core/roles/lease.hpp"

#include <map>
#include <set>

namespace hickorylatch::core
{

/// Serves one endpoint or worker. Starts an attempt only with a free slot, a
/// valid lease and an order of the current term, and only once.
class agent
{
public:
    explicit agent(agent_info info);

    auto connected(hello const& peer) -> void;
    auto disconnected(node_id peer) -> void;
    auto receive(time_point now, node_id from, message const& incoming,
                 random_source& random, effects& out) -> void;
    auto call_finished(time_point now, core::call_finished const& call,
                       effects& out) -> void;
    auto tick(time_point now, effects& out) -> void;
    auto stop(time_point now, effects& out) -> void;

    /// True after a stop request once no work is in progress.
    [[nodiscard]] auto is_idle(time_point now) const -> bool;
    [[nodiscard]] auto has_lease(time_point now) const -> bool;
    [[nodiscard]] auto next_deadline() const -> time_point;
    [[nodiscard]] auto config() const -> configuration const&;
    [[nodiscard]] auto held_lease() const -> lease const&;

private:
    struct running_call
    {
        core::start m_start;
        trace_context m_span;
        time_point m_started{0};
    };

    auto on(time_point now, node_id from, welcome const& answer, effects& out)
        -> void;
    auto on(time_point now, node_id from, configuration_changed const& change,
            effects& out) -> void;
    auto on(time_point now, node_id from, core::start const& order,
            random_source& random, effects& out) -> void;
    auto on(time_point now, stop_attempt const& order, effects& out) -> void;
    auto on(core::forget const& order) -> void;
    auto on(evacuations const& received, effects& out) -> void;
    /// Drops results of uncommitted attempts that the leader has received.
    auto drop_received_results() -> void;

    auto announce_to(time_point now, node_id leader, effects& out) -> void;
    auto refuse(time_point now, attempt_id attempt, reason why, effects& out)
        -> void;
    auto report(time_point now, finished outcome, effects& out) -> void;
    [[nodiscard]] auto refusal_reason(time_point now,
                                      core::start const& order) const -> reason;

    agent_info m_info;
    known_evacuations m_evacuations;
    lease m_lease;
    std::map<attempt_id, running_call> m_running;
    struct retained_result
    {
        finished m_outcome;
        caller_ref m_caller;
    };

    /// Results of committed attempts that no leader has acknowledged, and of
    /// uncommitted ones that no leader is known to have received.
    std::map<attempt_id, retained_result> m_finished;
    /// Committed attempts that must never start here.
    std::set<attempt_id> m_refused;
    /// Peers with a new link on which no announcement was sent yet.
    std::set<node_id> m_unannounced_peers;
    bool m_is_stopping = false;
    time_point m_stop_deadline = never;
};

} // namespace hickorylatch::core

#endif
