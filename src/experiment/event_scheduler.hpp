#ifndef HICKORYLATCH_EXPERIMENT_EVENT_SCHEDULER_HPP
#define HICKORYLATCH_EXPERIMENT_EVENT_SCHEDULER_HPP

#include "core/model/time.hpp"

#include <cstdint>
#include <functional>
#include <vector>

namespace hickorylatch::experiment
{

/// Virtual clock of a discrete-event simulation: runs actions in order of their
/// time, those of equal time in the order in which they were scheduled.
class event_scheduler
{
public:
    auto at(core::time_point time, std::function<void()> action) -> void;
    auto after(core::duration delay, std::function<void()> action) -> void;
    /// Runs all actions before `end`.
    auto run(core::time_point end) -> void;
    [[nodiscard]] auto now() const -> core::time_point;

private:
    struct event
    {
        core::time_point m_at{0};
        std::uint64_t m_sequence = 0;
        std::function<void()> m_action;
    };
    struct later
    {
        auto operator()(event const& left, event const& right) const -> bool;
    };

    std::vector<event> m_events;
    core::time_point m_now{0};
    std::uint64_t m_next_sequence = 0;
};

} // namespace hickorylatch::experiment

#endif
