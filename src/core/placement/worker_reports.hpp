#ifndef HICKORYLATCH_CORE_PLACEMENT_WORKER_REPORTS_HPP
#define HICKORYLATCH_CORE_PLACEMENT_WORKER_REPORTS_HPP

#include "core/model/job.hpp"
#include "core/model/time.hpp"
#include "core/placement/unconfirmed_worker.hpp"
#include "core/placement/worker_clock.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hickorylatch::core
{

enum class report_decision : std::uint8_t
{
    outdated,    ///< Made before a report that was used.
    implausible, ///< Probably damaged or from another process.
    current
};

/// Decides which reports of a worker are used. Reports may be delayed, damaged
/// or come from another process.
///
/// Each report of draining is obeyed, whatever its numbers are: to obey a wrong
/// one costs only room until the worker's next report, and one that is not
/// obeyed was acknowledged all the same. Only a report that the worker has made
/// later by its own clock ends the draining.
class worker_reports
{
public:
    /// True if the worker accepts runs according to its first report in this
    /// incarnation.
    [[nodiscard]] auto begin_incarnation(time_point now,
                                         confirmed_worker const& confirmed)
        -> bool;
    /// Handles a report of draining under the name and incarnation of the
    /// worker that is served, or its departure.
    auto served_worker_drains(time_point now, worker_report const& report,
                              worker_clock const& clock) -> void;
    /// Handles a report of draining of another worker or incarnation.
    auto other_worker_drains(worker_report const& report) -> void;
    /// Decides about a report under the name and incarnation of the worker that
    /// is served; `last` is its last report that was used.
    [[nodiscard]] auto decide(time_point now, worker_report const& last,
                              worker_report const& report,
                              worker_clock const& clock) -> report_decision;

private:
    /// The last report of draining of an incarnation.
    struct notice
    {
        std::string m_name;
        std::int64_t m_incarnation = 0;
        /// The worker's clock when the notice arrived; 0 if not known.
        std::int64_t m_clock_ms = 0;
        std::uint64_t m_sequence = 0;
        bool m_is_served = false;
    };

    auto find(std::string_view name, std::int64_t incarnation)
        -> std::vector<notice>::iterator;
    auto add(worker_report const& report, std::int64_t clock_ms, bool is_served)
        -> void;
    /// True if the worker was not draining, or not any more, when it made this
    /// report.
    [[nodiscard]] auto is_after_draining(worker_report const& report) const
        -> bool;

    /// Oldest first.
    std::vector<notice> m_notices;
    /// When the last report was used.
    time_point m_used_at{0};
};

} // namespace hickorylatch::core

#endif
