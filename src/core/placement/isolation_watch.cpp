#include "core/placement/isolation_watch.hpp"

#include "core/placement/log_fields.hpp"

namespace hickorylatch::core
{

namespace
{

// A lost link is reopened within 0.1 s and then announces its worker at once.
constexpr auto isolation_delay = duration{std::chrono::milliseconds{300}};

// Workers that fall silent cause no event, so contact is checked at this
// interval.
constexpr auto check_interval = duration{std::chrono::milliseconds{300}};

auto report_release(bool is_released, duration isolated, effects& out) -> void
{
    out.emplace_back(
        log_line{is_released ? log_level::warning : log_level::info,
                 is_released ? "callers_released" : "callers_kept",
                 {{"isolated_ms", ms_field(isolated)}}});
    out.emplace_back(observe_metric{
        "hickorylatch_callers_released", {}, is_released ? 1.0 : 0.0});
}

} // namespace

isolation_watch::isolation_watch(bool is_enabled) : m_is_enabled{is_enabled}
{
    if (is_enabled)
        m_next_check = time_point{0};
}

auto isolation_watch::lost_agent(bool accepted) -> void
{
    m_has_lost_agent = m_has_lost_agent || accepted;
}

auto isolation_watch::observe(time_point now, worker_contact contact,
                              bool has_control_link, effects& out) -> void
{
    if (!m_is_enabled)
        return;
    m_next_check = now + check_interval;
    if (contact == worker_contact::usable)
    {
        m_had_worker = true;
        m_has_lost_agent = false;
        m_was_evacuated = false;
        end(now, out);
        return;
    }
    m_was_evacuated = m_was_evacuated || contact == worker_contact::evacuated;
    if (!m_had_worker || !others_may_serve(contact, has_control_link))
    {
        end(now, out);
        return;
    }
    if (m_releases_callers)
        return;
    if (m_isolated_since == never)
        m_isolated_since = now;
    if (now - m_isolated_since < isolation_delay)
    {
        m_next_check = m_isolated_since + isolation_delay;
        return;
    }
    m_releases_callers = true;
    report_release(true, now - m_isolated_since, out);
    out.emplace_back(close_idle_callers{});
}

auto isolation_watch::others_may_serve(worker_contact contact,
                                       bool has_control_link) const -> bool
{
    if (m_has_lost_agent || contact == worker_contact::silent)
        return true;
    // All workers are evacuated or have left. Without a link to the control
    // group, an entry may have missed workers that joined since.
    return !m_was_evacuated && !has_control_link;
}

auto isolation_watch::end(time_point now, effects& out) -> void
{
    if (m_releases_callers)
        report_release(false, now - m_isolated_since, out);
    m_releases_callers = false;
    m_isolated_since = never;
}

auto isolation_watch::releases_callers() const -> bool
{
    return m_releases_callers;
}

auto isolation_watch::next_deadline() const -> time_point
{
    return m_next_check;
}

} // namespace hickorylatch::core
