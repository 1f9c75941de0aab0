#ifndef HICKORYLATCH_CORE_PLACEMENT_LOAD_REPORT_SCHEDULE_HPP
#define HICKORYLATCH_CORE_PLACEMENT_LOAD_REPORT_SCHEDULE_HPP

#include "core/model/time.hpp"

namespace hickorylatch::core
{

/// Schedules the load reports of an agent to one requester: soon after a
/// change, but not more often than the requester asks for, and without a change
/// often enough to renew the contact.
class load_report_schedule
{
public:
    /// Sets the shortest time between two reports, as asked for by the
    /// requester.
    auto set_interval(duration interval) -> void;
    auto changed() -> void;
    auto sent(time_point now) -> void;

    /// When the next report is due.
    [[nodiscard]] auto due_at() const -> time_point;

private:
    duration m_interval{0};
    bool m_is_changed = true;
    time_point m_sent_at{0};
};

} // namespace hickorylatch::core

#endif
