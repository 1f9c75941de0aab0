#ifndef HICKORYLATCH_CORE_DISPATCH_AGENT_HEALTH_HPP
#define HICKORYLATCH_CORE_DISPATCH_AGENT_HEALTH_HPP

#include "core/model/time.hpp"

#include <cstdint>

namespace hickorylatch::core
{

/// Tracks failures and run times of an agent. Consecutive failures put it on
/// probation; run times well above those of its service make it a straggler.
class agent_health
{
public:
    /// Consecutive failures that lead to probation.
    static constexpr auto probation_threshold = std::uint32_t{3};
    /// Delay before the first trial task; doubles with each failed trial.
    static constexpr auto first_trial_delay = duration{1'000'000};
    /// After this many failed trials the delay is `max_trial_delay`. Trials
    /// never stop, so that a repaired endpoint is detected.
    static constexpr auto backoff_trials = std::uint32_t{6};
    static constexpr auto max_trial_delay = duration{300'000'000};
    /// An agent with a larger slowdown is a straggler.
    static constexpr auto straggler_slowdown = 2.0;
    /// An idle straggler gets one task after this time to measure it again.
    static constexpr auto straggler_recheck = duration{20'000'000};

    auto record_success(time_point now) -> void;
    auto record_failure(time_point now) -> void;
    /// Limits a sample of the slowdown, so that a single long task does not
    /// make an agent a straggler.
    [[nodiscard]] static auto clamp_slowdown(double slowdown) -> double;
    /// Adds a run time, as a multiple of the one expected of any agent.
    auto observe_slowdown(time_point now, double slowdown) -> void;
    /// A task was bound to the agent.
    auto record_binding() -> void;
    /// A task left the agent without a result that says anything about its
    /// health.
    auto record_release() -> void;

    /// True if the agent gets only trial tasks until one succeeds.
    [[nodiscard]] auto is_on_probation() const -> bool;
    /// True if its last task failed.
    [[nodiscard]] auto is_suspect() const -> bool;
    [[nodiscard]] auto is_straggler() const -> bool;
    /// Observed over expected run time; 1 is normal.
    [[nodiscard]] auto slowdown() const -> double;
    /// When the next trial or recheck may be bound; `never` if none is needed
    /// or tasks are in flight.
    [[nodiscard]] auto trial_at() const -> time_point;

private:
    std::uint32_t m_failures = 0;
    std::uint32_t m_failed_trials = 0;
    std::uint32_t m_in_flight = 0;
    bool m_on_probation = false;
    bool m_trial_in_flight = false;
    time_point m_trial_at{0};
    time_point m_recheck_at{0};
    double m_slowdown = 1.0;
};

} // namespace hickorylatch::core

#endif
