#ifndef HICKORYLATCH_CORE_DISPATCH_RUN_TIME_ESTIMATOR_HPP
#define HICKORYLATCH_CORE_DISPATCH_RUN_TIME_ESTIMATOR_HPP

#include "core/model/time.hpp"

#include <cstdint>

namespace hickorylatch::core
{

/// Learns the run times of one service from its successful tasks, and how far
/// declared run times can be trusted.
class run_time_estimator
{
public:
    /// Above a few round trips a wrong prediction costs urgent work more than
    /// the round trip that it saves.
    static constexpr auto largest_uncertainty = duration{5'000};

    /// Adds a finished task. `declared` is 0 if unknown.
    auto observe(duration declared, duration actual) -> void;
    /// Expected run time of a task; 0 if nothing is known.
    [[nodiscard]] auto expected(duration declared) const -> duration;
    /// Run time that a task needs at least, as far as its declared one can be
    /// trusted; 0 if it can't.
    [[nodiscard]] auto least(duration declared) const -> duration;
    /// Expected run time if it is known to within `largest_uncertainty`, else
    /// 0.
    [[nodiscard]] auto predicted(duration declared) const -> duration;
    /// Run time to leave before a deadline that is `budget` away when the task
    /// has to wait: `least` if the declared one can be trusted, else a run time
    /// that 99 of 100 tasks stay below, up to half the budget.
    [[nodiscard]] auto margin(duration declared, duration budget) const
        -> duration;
    /// True once enough tasks were observed to judge single agents by.
    [[nodiscard]] auto is_warm() const -> bool;
    /// Mean observed run time; 0 before the first observation.
    [[nodiscard]] auto mean() const -> duration;

private:
    [[nodiscard]] auto is_declared_reliable() const -> bool;

    std::uint64_t m_count = 0;
    std::uint64_t m_declared_count = 0;
    double m_mean = 0;
    /// Run time that 99 of 100 tasks stay below.
    double m_high = 0;
    /// Mean of log(actual / declared) and of its distance from that mean.
    double m_log_ratio = 0;
    double m_log_error = 0;
};

} // namespace hickorylatch::core

#endif
