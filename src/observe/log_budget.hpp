#ifndef HICKORYLATCH_OBSERVE_LOG_BUDGET_HPP
#define HICKORYLATCH_OBSERVE_LOG_BUDGET_HPP

#include "core/model/effect.hpp"
#include "core/model/time.hpp"

#include <cstdint>

namespace hickorylatch::observe
{

/// How many lines a log takes.
struct log_budget_settings
{
    /// Lines a second over a long time. About twice the lines of an entry with
    /// a hundred jobs a second.
    double m_lines_per_second = 250.0;
    /// Lines that may come at once, such as those of a burst or of a lost VM
    /// with all its runs.
    double m_burst = 1'000.0;
    /// Part of the burst that only warnings and errors may use.
    double m_reserve = 200.0;
};

/// Bounds the volume of a log under load. Lines that tell of progress are left
/// out before warnings are.
class log_budget
{
public:
    explicit log_budget(log_budget_settings settings = {});

    /// True if a line of this level may be written now. Other lines count as
    /// suppressed.
    auto take(core::time_point now, core::log_level level) -> bool;
    /// Lines suppressed since the last call.
    auto take_suppressed() -> std::uint64_t;
    /// True at most once a second, when missing lines may be told. A notice
    /// beside each line would use up the budget in a burst.
    auto take_report(core::time_point now) -> bool;

private:
    log_budget_settings m_settings;
    double m_left;
    core::time_point m_filled_at{0};
    core::time_point m_report_at{0};
    std::uint64_t m_suppressed = 0;
};

} // namespace hickorylatch::observe

#endif
