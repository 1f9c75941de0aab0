#include "observe/log_budget.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace hickorylatch::observe
{

namespace
{

constexpr auto report_interval = std::chrono::seconds{1};

} // namespace

log_budget::log_budget(log_budget_settings settings)
    : m_settings{settings}, m_left{settings.m_burst}
{
}

auto log_budget::take(core::time_point now, core::log_level level) -> bool
{
    auto const passed =
        std::chrono::duration<double>{std::max(now, m_filled_at) - m_filled_at};
    m_filled_at = std::max(now, m_filled_at);
    m_left = std::min(m_settings.m_burst,
                      m_left + passed.count() * m_settings.m_lines_per_second);
    auto const is_urgent =
        level == core::log_level::warning || level == core::log_level::error;
    if (m_left < 1.0 + (is_urgent ? 0.0 : m_settings.m_reserve))
    {
        ++m_suppressed;
        return false;
    }
    m_left -= 1.0;
    return true;
}

auto log_budget::take_suppressed() -> std::uint64_t
{
    return std::exchange(m_suppressed, 0);
}

auto log_budget::take_report(core::time_point now) -> bool
{
    if (now < m_report_at)
        return false;
    m_report_at = now + report_interval;
    return true;
}

} // namespace hickorylatch::observe
