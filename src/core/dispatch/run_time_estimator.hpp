#ifndef HICKORYLATCH_CORE_DISPATCH_RUN_TIME_ESTIMATOR_HPP
#define HICKORYLATCH_CORE_DISPATCH_RUN_TIME_ESTIMATOR_HPP

#include "core/model/time.hpp"

#include <cstdint>

namespace hickorylatch::core
{

/// Estimates the run times of one service from its successful tasks, and how
/// reliable declared run times are.
class run_time_estimator
{
public:
    /// A few round trips. With a larger error, a wrong prediction costs urgent
    /// work more than the round trip that early binding saves.
    static constexpr auto max_prediction_error = duration{5'000};

    /// Adds a finished task. `declared` is 0 if unknown.
    auto observe(duration declared, duration actual) -> void;
    /// Expected run time of a task; 0 if it is unknown.
    [[nodiscard]] auto expected(duration declared) const -> duration;
    /// Lower bound of the run time of a task; 0 if declared run times are not
    /// reliable.
    [[nodiscard]] auto lower_bound(duration declared) const -> duration;
    /// Expected run time if its typical error is at most
    /// `max_prediction_error`, else 0.
    [[nodiscard]] auto predicted(duration declared) const -> duration;
    /// Time to reserve for the run of a queued task whose deadline is `budget`
    /// away: `lower_bound` if declared run times are reliable, else the 99th
    /// percentile, but at most half the budget.
    [[nodiscard]] auto deadline_margin(duration declared, duration budget) const
        -> duration;
    /// True once enough tasks were observed to compare single agents with the
    /// service.
    [[nodiscard]] auto has_enough_samples() const -> bool;
    /// Mean observed run time; 0 before the first observation.
    [[nodiscard]] auto mean() const -> duration;

private:
    [[nodiscard]] auto is_declared_reliable() const -> bool;

    std::uint64_t m_count = 0;
    std::uint64_t m_declared_count = 0;
    double m_mean = 0;
    /// Estimated 99th percentile of the run time.
    double m_p99 = 0;
    /// Mean of log(actual / declared) and of its distance from that mean.
    double m_log_ratio = 0;
    double m_log_ratio_deviation = 0;
};

} // namespace hickorylatch::core

#endif
