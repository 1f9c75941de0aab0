#ifndef HICKORYLATCH_OBSERVE_LOG_RATE_LIMITER_HPP
#define HICKORYLATCH_OBSERVE_LOG_RATE_LIMITER_HPP

#include "core/model/effect.hpp"
#include "core/model/time.hpp"

#include <cstdint>

namespace hickorylatch::observe
{

/// Parameters of the token bucket that limits log lines.
struct log_rate_limit
{
    /// Sustained lines per second. About twice as many as an entry writes at a
    /// hundred jobs per second.
    double m_lines_per_second = 250.0;
    /// Lines that may be written at once, for example in a burst of jobs or
    /// when a VM is lost with all its runs.
    double m_burst = 1'000.0;
    /// Part of the burst that is reserved for warnings and errors.
    double m_urgent_reserve = 200.0;
};

/// Limits the volume of a log under load. Lines of lower levels are suppressed
/// before warnings and errors are.
class log_rate_limiter
{
public:
    explicit log_rate_limiter(log_rate_limit limit = {});

    /// True if a line of this level may be written now; otherwise it is counted
    /// as suppressed.
    auto try_acquire(core::time_point now, core::log_level level) -> bool;
    /// Number of lines suppressed since the last call.
    auto take_suppressed() -> std::uint64_t;
    /// True at most once per second, when lines that were left out may be
    /// reported. A report with each line would exceed the limit in a burst.
    auto try_acquire_report(core::time_point now) -> bool;

private:
    log_rate_limit m_limit;
    double m_tokens;
    core::time_point m_refilled_at{0};
    core::time_point m_next_report_at{0};
    std::uint64_t m_suppressed = 0;
};

} // namespace hickorylatch::observe

#endif
