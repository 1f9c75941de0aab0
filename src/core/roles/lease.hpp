#ifndef HICKORYLATCH_CORE_ROLES_LEASE_HPP
#define HICKORYLATCH_CORE_ROLES_LEASE_HPP

#include "core/model/effect.hpp"
#include "core/model/message.hpp"

#include <span>

namespace hickorylatch::core
{

/// Permission of an entry or agent to serve by the configuration that it
/// holds, granted by the control leader for a time on the holder's own clock.
class lease
{
public:
    /// Takes a leader's configuration. False if it is of an older term.
    auto follow(node_id leader, term_number term, configuration const& config)
        -> bool;
    /// Keeps links to the members of the control group.
    static auto keep_links_to(std::span<member const> members, effects& out)
        -> void;
    /// Extends the lease. Ignored if it names another configuration version
    /// than the one held, or comes from another leader.
    auto extend(node_id from, renewed const& grant) -> void;
    auto lose_leader(node_id peer) -> void;

    /// Asks for a longer lease if it runs out soon and nothing else does so.
    auto tick(time_point now, effects& out) -> void;
    /// Tells that a message that asks for a longer lease was sent.
    auto asked(time_point now) -> void;

    [[nodiscard]] auto is_valid(time_point now) const -> bool;
    [[nodiscard]] auto leader() const -> node_id;
    [[nodiscard]] auto term() const -> term_number;
    [[nodiscard]] auto config() const -> configuration const&;
    [[nodiscard]] auto next_deadline() const -> time_point;
    /// Send time of the renewal that the lease counts from; 0 if there is none.
    [[nodiscard]] auto granted_at() const -> time_point;

private:
    node_id m_leader = no_node;
    term_number m_term = 0;
    configuration m_configuration;
    time_point m_expires_at{0};
    time_point m_granted_at{0};
    time_point m_ask_at = never;
};

} // namespace hickorylatch::core

#endif
