#ifndef HICKORYLATCH_CORE_ROLES_LEASE_HPP
#define HICKORYLATCH_CORE_ROLES_LEASE_HPP

#include "core/model/effect.hpp"
#include "core/model/message.hpp"

#include <span>

namespace hickorylatch::core
{

/// Permission of an entry or agent to serve with its configuration, granted by
/// the control leader for a period on the holder's own clock.
class lease
{
public:
    /// Follows a leader and adopts its configuration if that is newer. False if
    /// the leader is of an older term.
    auto follow(node_id leader, term_number term, configuration const& config)
        -> bool;
    /// Keeps links to the members of the control group.
    static auto keep_links_to(std::span<member const> members, effects& out)
        -> void;
    /// Extends the lease. Ignored if the grant is for another configuration
    /// version or from another leader.
    auto extend(node_id from, renewed const& grant) -> void;
    /// Forgets the leader if it is this peer. The lease stays valid until it
    /// expires.
    auto clear_leader(node_id peer) -> void;

    /// Requests a renewal if one is due and no other message has requested it.
    auto tick(time_point now, effects& out) -> void;
    /// Records that a message that requests a renewal was sent.
    auto renewal_requested(time_point now) -> void;

    [[nodiscard]] auto is_valid(time_point now) const -> bool;
    [[nodiscard]] auto leader() const -> node_id;
    [[nodiscard]] auto term() const -> term_number;
    [[nodiscard]] auto config() const -> configuration const&;
    [[nodiscard]] auto next_deadline() const -> time_point;
    /// Send time of the request from which the lease period counts; 0 if there
    /// is none.
    [[nodiscard]] auto granted_at() const -> time_point;

private:
    node_id m_leader = no_node;
    term_number m_term = 0;
    configuration m_configuration;
    time_point m_expires_at{0};
    time_point m_granted_at{0};
    time_point m_renew_at = never;
};

} // namespace hickorylatch::core

#endif
