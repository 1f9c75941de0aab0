#include "core/placement/unconfirmed_worker.hpp"

#include <algorithm>
#include <utility>

namespace hickorylatch::core
{

namespace
{

// Exponential backoff for checks of a worker without a conclusive answer.
constexpr auto retry_minimum = duration{std::chrono::milliseconds{20}};
constexpr auto retry_maximum = duration{std::chrono::milliseconds{500}};

} // namespace

auto unconfirmed_worker::reported(time_point now, worker_report const& report)
    -> void
{
    auto const is_same = m_report && m_report->m_name == report.m_name &&
                         m_report->m_incarnation == report.m_incarnation;
    if (is_same && report.m_sequence <= m_report->m_sequence)
        return;
    m_report = report;
    if (is_same)
        return;
    m_token = 1;
    m_is_outstanding = false;
    m_retry_delay = {};
    m_due_at = now;
}

auto unconfirmed_worker::next(time_point now) -> std::optional<check_worker>
{
    if (!m_report || m_is_outstanding || now < m_due_at)
        return std::nullopt;
    m_is_outstanding = true;
    return check_worker{{m_report->m_name, m_token, m_report->m_incarnation}};
}

auto unconfirmed_worker::left(std::string_view name) -> void
{
    if (m_report && m_report->m_name == name)
        m_report.reset();
}

auto unconfirmed_worker::answered(time_point now, worker_checked const& answer)
    -> std::optional<confirmed_worker>
{
    if (!m_report || !m_is_outstanding || m_report->m_name != answer.m_name ||
        m_report->m_incarnation != answer.m_incarnation)
        return std::nullopt;
    m_is_outstanding = false;
    m_retry_delay = std::clamp(2 * m_retry_delay, retry_minimum, retry_maximum);
    m_due_at = now + m_retry_delay;
    switch (answer.m_answer)
    {
    case worker_answer::accepted:
    {
        auto confirmed =
            confirmed_worker{std::move(*m_report), answer.m_clock_ms};
        m_report.reset();
        return confirmed;
    }
    case worker_answer::other_lifetime:
    case worker_answer::restarted:
        m_report.reset();
        return std::nullopt;
    case worker_answer::fenced:
        // Tokens follow the worker's own clock. A number from a report that
        // is not confirmed could fence off all later orders.
        m_token = std::max(m_token + 1,
                           static_cast<std::uint64_t>(
                               std::max(answer.m_clock_ms, std::int64_t{0})));
        m_due_at = now;
        return std::nullopt;
    default:
        return std::nullopt;
    }
}

auto unconfirmed_worker::next_deadline() const -> time_point
{
    return !m_report || m_is_outstanding ? never : m_due_at;
}

} // namespace hickorylatch::core
