#ifndef HICKORYLATCH_CORE_PLACEMENT_UNCONFIRMED_WORKER_HPP
#define HICKORYLATCH_CORE_PLACEMENT_UNCONFIRMED_WORKER_HPP

#include "core/model/effect.hpp"
#include "core/model/event.hpp"
#include "core/model/job.hpp"
#include "core/model/time.hpp"

#include <cstdint>
#include <optional>
#include <string_view>

namespace hickorylatch::core
{

/// A report that the worker has confirmed.
struct confirmed_worker
{
    worker_report m_report;
    /// The worker's clock when it confirmed the report, in milliseconds; 0 if
    /// not known.
    std::int64_t m_clock_ms = 0;
};

/// A report of a worker that the agent does not serve: a new incarnation, or
/// one that has ended, or none, as reports may be delayed or come from another
/// process. The worker that answers at the worker's address decides which.
class unconfirmed_worker
{
public:
    /// Replaces an earlier report, unless this one is an older report of the
    /// same incarnation.
    auto reported(time_point now, worker_report const& report) -> void;
    /// The check to send now, if one is due.
    auto next(time_point now) -> std::optional<check_worker>;
    /// The worker of this name shuts down.
    auto left(std::string_view name) -> void;
    /// Returns the report once the worker has confirmed it.
    auto answered(time_point now, worker_checked const& answer)
        -> std::optional<confirmed_worker>;

    [[nodiscard]] auto next_deadline() const -> time_point;

private:
    std::optional<worker_report> m_report;
    std::uint64_t m_token = 0;
    bool m_is_outstanding = false;
    duration m_retry_delay{0};
    time_point m_due_at = never;
};

} // namespace hickorylatch::core

#endif
