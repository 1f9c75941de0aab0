#include "observe/log_rate_limiter.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace hickorylatch::observe
{

namespace
{

constexpr auto report_interval = std::chrono::seconds{1};

} // namespace

log_rate_limiter::log_rate_limiter(log_rate_limit limit)
    : m_limit{limit}, m_tokens{limit.m_burst}
{
}

auto log_rate_limiter::try_acquire(core::time_point now, core::log_level level)
    -> bool
{
    auto const passed = std::chrono::duration<double>{
        std::max(now, m_refilled_at) - m_refilled_at};
    m_refilled_at = std::max(now, m_refilled_at);
    m_tokens = std::min(m_limit.m_burst,
                        m_tokens + passed.count() * m_limit.m_lines_per_second);
    auto const is_urgent =
        level == core::log_level::warning || level == core::log_level::error;
    if (m_tokens < 1.0 + (is_urgent ? 0.0 : m_limit.m_urgent_reserve))
    {
        ++m_suppressed;
        return false;
    }
    m_tokens -= 1.0;
    return true;
}

auto log_rate_limiter::take_suppressed() -> std::uint64_t
{
    return std::exchange(m_suppressed, 0);
}

auto log_rate_limiter::try_acquire_report(core::time_point now) -> bool
{
    if (now < m_next_report_at)
        return false;
    m_next_report_at = now + report_interval;
    return true;
}

} // namespace hickorylatch::observe
