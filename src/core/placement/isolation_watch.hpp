#ifndef HICKORYLATCH_CORE_PLACEMENT_ISOLATION_WATCH_HPP
#define HICKORYLATCH_CORE_PLACEMENT_ISOLATION_WATCH_HPP

#include "core/model/effect.hpp"
#include "core/model/time.hpp"
#include "core/placement/worker_contact.hpp"

namespace hickorylatch::core
{

/// Decides when an entry that has lost contact with all workers releases its
/// clients, so that they move to an entry that can serve them.
///
/// Load balancers send no new connections to such an entry, but clients keep
/// using the connections that are open.
class isolation_watch
{
public:
    /// Without `is_enabled`, clients are never released.
    explicit isolation_watch(bool is_enabled);

    /// The link to an agent was closed. `accepted` is true if its worker
    /// accepted runs by its last load, so that it did not leave.
    auto lost_agent(bool accepted) -> void;
    /// Must be called after each event. `has_control_link` is true if a control
    /// replica can be reached.
    auto observe(time_point now, worker_contact contact, bool has_control_link,
                 effects& out) -> void;

    /// True if responses must close their connections.
    [[nodiscard]] auto releases_callers() const -> bool;
    /// When `observe` must be called at the latest.
    [[nodiscard]] auto next_deadline() const -> time_point;

private:
    [[nodiscard]] auto others_may_serve(worker_contact contact,
                                        bool has_control_link) const -> bool;

    auto end(time_point now, effects& out) -> void;

    bool m_is_enabled = false;
    bool m_had_worker = false;
    /// An agent whose worker accepted runs was lost since a worker was usable.
    bool m_has_lost_agent = false;
    /// All workers were evacuated since a worker was usable.
    bool m_was_evacuated = false;
    bool m_releases_callers = false;
    time_point m_isolated_since = never;
    time_point m_next_check = never;
};

} // namespace hickorylatch::core

#endif
