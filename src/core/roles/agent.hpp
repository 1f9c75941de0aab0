#ifndef HICKORYLATCH_CORE_ROLES_AGENT_HPP
#define HICKORYLATCH_CORE_ROLES_AGENT_HPP

#include "core/model/effect.hpp"
#include "core/model/random_source.hpp"
#include "core/roles/lease.hpp"

#include <map>
#include <set>

namespace hickorylatch::core
{

/// Stands beside one endpoint or worker and gates every start: slots, lease,
/// term and duplicates.
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

    /// True once a stop was asked for and nothing is left to do.
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

    auto on(time_point now, node_id from, welcome const& greeting, effects& out)
        -> void;
    auto on(time_point now, node_id from, configuration_changed const& change,
            effects& out) -> void;
    auto on(time_point now, node_id from, core::start const& order,
            random_source& random, effects& out) -> void;
    auto on(time_point now, stop_attempt const& order, effects& out) -> void;
    auto on(core::forget const& order) -> void;
    /// Drops results of uncommitted requests that the leader has received.
    auto drop_received() -> void;

    auto announce_to(time_point now, node_id leader, effects& out) -> void;
    auto refuse(time_point now, attempt_id attempt, reason why, effects& out)
        -> void;
    auto report(time_point now, finished outcome, effects& out) -> void;
    [[nodiscard]] auto why_not(time_point now, core::start const& order) const
        -> reason;

    agent_info m_info;
    lease m_lease;
    std::map<attempt_id, running_call> m_running;
    struct kept_result
    {
        finished m_outcome;
        caller_ref m_caller;
    };

    /// Results of committed attempts that the leader has not yet stored, and
    /// of all that ended while there was no leader.
    std::map<attempt_id, kept_result> m_finished;
    /// Committed attempts that must never start here.
    std::set<attempt_id> m_refused;
    /// Peers with a new link on which nothing was announced yet.
    std::set<node_id> m_unannounced;
    bool m_is_stopping = false;
    time_point m_stop_at = never;
};

} // namespace hickorylatch::core

#endif
