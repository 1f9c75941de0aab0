#ifndef HICKORYLATCH_CORE_PLACEMENT_LOAD_PACE_HPP
#define HICKORYLATCH_CORE_PLACEMENT_LOAD_PACE_HPP

#include "core/model/time.hpp"

namespace hickorylatch::core
{

/// When an agent tells one entry the load of its worker: soon after a change,
/// but not more often than the entry wants to hear it, and without a change
/// often enough to renew the contact.
class load_pace
{
public:
    /// Shortest time between two loads, as the entry asks for it.
    auto set_interval(duration interval) -> void;
    auto changed() -> void;
    auto sent(time_point now) -> void;

    /// When the next load should be sent.
    [[nodiscard]] auto due_at() const -> time_point;

private:
    duration m_interval{0};
    bool m_is_changed = true;
    time_point m_sent_at{0};
};

} // namespace hickorylatch::core

#endif
