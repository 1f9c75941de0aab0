#ifndef HICKORYLATCH_CORE_DISPATCH_AGENT_HEALTH_HPP
#define HICKORYLATCH_CORE_DISPATCH_AGENT_HEALTH_HPP

#include "core/model/time.hpp"

#include <cstdint>

namespace hickorylatch::core
{

/// How far an agent can be trusted with work: failures lead to probation, run
/// times above those of its service mark a straggler.
class agent_health
{
public:
    /// Failures in a row that lead to probation.
    static constexpr auto failures_to_probation = std::uint32_t{3};
    /// Time before the first trial; doubles with each failed trial.
    static constexpr auto first_trial_delay = duration{1'000'000};
    /// After this many failed trials only one trial is made in each
    /// `rare_trial_delay`, so that a repaired endpoint is found again.
    static constexpr auto trials = std::uint32_t{6};
    static constexpr auto rare_trial_delay = duration{300'000'000};
    /// Run time over that of the service from which an agent is a straggler.
    static constexpr auto straggler_factor = 2.0;
    /// A straggler gets one task after this time to show whether it still is.
    static constexpr auto straggler_recheck = duration{20'000'000};

    auto succeeded(time_point now) -> void;
    auto failed(time_point now) -> void;
    /// A factor as it counts in means: one long task must not mark an agent.
    [[nodiscard]] static auto limited(double factor) -> double;
    /// Adds a run time as a multiple of the one expected of any agent.
    auto observe_factor(time_point now, double factor) -> void;
    /// Notes that a task was bound to the agent.
    auto bound() -> void;
    /// Notes that a task left the agent without showing anything.
    auto released() -> void;

    /// True if the agent gets nothing but trials until one succeeds.
    [[nodiscard]] auto is_on_probation() const -> bool;
    /// True if its last task failed.
    [[nodiscard]] auto is_suspect() const -> bool;
    [[nodiscard]] auto is_straggler() const -> bool;
    /// Observed run time over the expected one; 1 is normal.
    [[nodiscard]] auto factor() const -> double;
    /// When a trial or recheck may be bound if none is in flight.
    [[nodiscard]] auto trial_at() const -> time_point;

private:
    std::uint32_t m_failures = 0;
    std::uint32_t m_failed_trials = 0;
    std::uint32_t m_in_flight = 0;
    bool m_on_probation = false;
    bool m_trial_in_flight = false;
    time_point m_trial_at{0};
    time_point m_recheck_at{0};
    double m_factor = 1.0;
};

} // namespace hickorylatch::core

#endif
