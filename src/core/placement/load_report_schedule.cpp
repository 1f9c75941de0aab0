#include "core/placement/load_report_schedule.hpp"

#include <algorithm>

namespace hickorylatch::core
{

namespace
{

// Renews the contact three times within its timeout of 500 ms.
constexpr auto renewal_interval = duration{std::chrono::milliseconds{150}};

} // namespace

auto load_report_schedule::set_interval(duration interval) -> void
{
    m_interval = std::min(interval, renewal_interval);
}

auto load_report_schedule::changed() -> void
{
    m_is_changed = true;
}

auto load_report_schedule::sent(time_point now) -> void
{
    m_is_changed = false;
    m_sent_at = now;
}

auto load_report_schedule::due_at() const -> time_point
{
    return m_sent_at + (m_is_changed ? m_interval : renewal_interval);
}

} // namespace hickorylatch::core
