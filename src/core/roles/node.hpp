#ifndef HICKORYLATCH_CORE_ROLES_NODE_HPP
#define HICKORYLATCH_CORE_ROLES_NODE_HPP

#include "core/model/event.hpp"
#include "core/placement/broker.hpp"
#include "core/placement/executor.hpp"
#include "core/roles/agent.hpp"
#include "core/roles/control.hpp"
#include "core/roles/entry.hpp"

#include <optional>
#include <string>

namespace hickorylatch::core
{

/// State of one process: its roles and the data that they share.
struct node
{
    /// Identifies this process to its peers: the identity of the replica if
    /// there is one, else the incarnation.
    node_id m_id = no_node;
    std::string m_name;
    std::string m_address;
    std::string m_failure_domain;
    std::string m_secret;
    random_source m_random;
    std::optional<entry> m_entry;
    std::optional<control> m_control;
    std::optional<agent> m_agent;
    std::optional<broker> m_broker;
    std::optional<executor> m_executor;
    bool m_is_stopping = false;
    bool m_has_exited = false;
    time_point m_timer = never;
};

/// Handles an event: changes the state of the node and appends the effects.
auto reduce(node& target, time_point now, event const& incoming, effects& out)
    -> void;

/// Makes the first message that this node sends on a link.
[[nodiscard]] auto make_hello(node const& target) -> hello;

/// True if a load balancer may send callers here: the node is not stopping, its
/// entry holds a valid lease, and its broker has a configuration and a worker.
[[nodiscard]] auto is_ready(node const& target, time_point now) -> bool;
/// True if responses to clients must close their connections.
[[nodiscard]] auto releases_callers(node const& target) -> bool;

} // namespace hickorylatch::core

#endif
