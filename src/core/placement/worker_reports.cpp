#include "core/placement/worker_reports.hpp"

#include <algorithm>
#include <chrono>

namespace hickorylatch::core
{

namespace
{

// One incarnation of a worker keeps its service, capacity and labels and counts
// its reports. A report that differs may be damaged or come from another
// process. It is used only if no other report has arrived for this time.
constexpr auto report_silence = duration{std::chrono::seconds{5}};
constexpr auto sequence_step_limit = std::uint64_t{1'000};
// A worker's clock is never faster than this process's clock; the rest allows
// for a suspension of this process. A report beyond it is never used, as all
// later ones would look outdated. The next answer of the worker corrects an
// estimate that is too low.
constexpr auto clock_lead_limit_ms = std::int64_t{2'000};
// Age of the first report of an incarnation from which it does not show that
// the worker accepts runs: an earlier process of this agent may have got a
// report of draining since. Workers report about each 1.5 s and drain for 2 s
// or longer.
constexpr auto first_report_age_limit_ms = std::int64_t{1'000};
// Reports of other processes may name any number of incarnations.
constexpr auto max_unserved_notices = std::ptrdiff_t{16};

/// True if the worker made the report after the last one that was used.
auto is_newer(worker_report const& report, worker_report const& last) -> bool
{
    // The sequence alone does not decide: after one from another process that
    // is too high, all later reports would be outdated.
    auto const has_clocks = report.m_clock_ms > 0 && last.m_clock_ms > 0;
    return has_clocks && report.m_clock_ms != last.m_clock_ms
               ? report.m_clock_ms > last.m_clock_ms
               : report.m_sequence > last.m_sequence;
}

} // namespace

auto worker_reports::begin_incarnation(time_point now,
                                       confirmed_worker const& confirmed)
    -> bool
{
    m_used_at = now;
    auto const& report = confirmed.m_report;
    for (auto& each : m_notices)
        each.m_is_served = false;
    auto const found = find(report.m_name, report.m_incarnation);
    if (found != m_notices.end())
    {
        found->m_is_served = true;
        if (confirmed.m_clock_ms > 0)
            found->m_clock_ms =
                std::min(found->m_clock_ms, confirmed.m_clock_ms);
    }
    auto const is_recent =
        report.m_clock_ms <= 0 ||
        confirmed.m_clock_ms - report.m_clock_ms < first_report_age_limit_ms;
    return report.m_is_accepting && is_recent && is_after_draining(report);
}

auto worker_reports::served_worker_drains(time_point now,
                                          worker_report const& report,
                                          worker_clock const& clock) -> void
{
    auto const clock_ms = clock.is_known()
                              ? std::clamp(report.m_clock_ms, clock.at(now),
                                           clock.at(now) + clock_lead_limit_ms)
                              : 0;
    add(report, clock_ms, true);
}

auto worker_reports::other_worker_drains(worker_report const& report) -> void
{
    add(report, report.m_clock_ms, false);
}

auto worker_reports::decide(time_point now, worker_report const& last,
                            worker_report const& report,
                            worker_clock const& clock) -> report_decision
{
    if (!is_newer(report, last) ||
        (report.m_is_accepting && !is_after_draining(report)))
        return report_decision::outdated;
    auto const is_from_the_future =
        clock.is_known() &&
        report.m_clock_ms > clock.at(now) + clock_lead_limit_ms;
    auto const is_unchanged =
        report.m_service == last.m_service &&
        report.m_capacity == last.m_capacity &&
        report.m_labels == last.m_labels &&
        report.m_sequence - last.m_sequence <= sequence_step_limit;
    if (is_from_the_future ||
        (!is_unchanged && now - m_used_at < report_silence))
        return report_decision::implausible;
    m_used_at = now;
    return report_decision::current;
}

auto worker_reports::find(std::string_view name, std::int64_t incarnation)
    -> std::vector<notice>::iterator
{
    return std::ranges::find_if(m_notices,
                                [&](notice const& each)
                                {
                                    return each.m_name == name &&
                                           each.m_incarnation == incarnation;
                                });
}

auto worker_reports::add(worker_report const& report, std::int64_t clock_ms,
                         bool is_served) -> void
{
    auto found = find(report.m_name, report.m_incarnation);
    if (found == m_notices.end())
    {
        if (std::ranges::count(m_notices, false, &notice::m_is_served) >=
            max_unserved_notices)
            m_notices.erase(
                std::ranges::find(m_notices, false, &notice::m_is_served));
        found = m_notices.insert(m_notices.end(),
                                 {report.m_name, report.m_incarnation});
    }
    found->m_clock_ms = std::max(found->m_clock_ms, clock_ms);
    found->m_sequence = std::max(found->m_sequence, report.m_sequence);
    found->m_is_served = found->m_is_served || is_served;
}

auto worker_reports::is_after_draining(worker_report const& report) const
    -> bool
{
    return std::ranges::none_of(
        m_notices,
        [&](notice const& each)
        {
            if (each.m_name != report.m_name ||
                each.m_incarnation != report.m_incarnation)
                return false;
            return each.m_clock_ms > 0 && report.m_clock_ms > 0
                       ? report.m_clock_ms < each.m_clock_ms
                       : report.m_sequence <= each.m_sequence;
        });
}

} // namespace hickorylatch::core
