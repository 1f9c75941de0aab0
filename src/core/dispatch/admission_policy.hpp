#ifndef HICKORYLATCH_CORE_DISPATCH_ADMISSION_POLICY_HPP
#define HICKORYLATCH_CORE_DISPATCH_ADMISSION_POLICY_HPP

#include "core/dispatch/dispatch_state.hpp"
#include "core/model/verdict.hpp"

#include <optional>
#include <span>
#include <string_view>

namespace hickorylatch::core
{

/// Decides whether work is queued or refused. Refuses work that fits no agent,
/// exceeds a quota, can't meet its deadline or finds its queue full.
class admission_policy
{
public:
    explicit admission_policy(dispatch_state const& state);

    /// Checks an item that is not assigned to an agent, except for the queue
    /// limit. Empty if it is admitted.
    [[nodiscard]] auto check(time_point now, work_item const& item) const
        -> std::optional<verdict>;
    /// Checks all tasks of a job. Empty if they are admitted.
    [[nodiscard]] auto check(std::string_view customer,
                             std::span<task const> tasks) const
        -> std::optional<verdict>;
    /// True if the queue of the service has reached its limit.
    [[nodiscard]] auto is_full(std::string_view service) const -> bool;
    /// A queued item of lower priority that may be displaced; null if there is
    /// none.
    [[nodiscard]] auto find_displaceable(std::string_view service,
                                         priority level) const
        -> queued_item const*;
    /// Suggested delay before a retry in milliseconds, derived from the drain
    /// rate of the queue.
    [[nodiscard]] auto retry_after(std::string_view service) const
        -> std::uint32_t;

private:
    [[nodiscard]] auto can_ever_run(std::string_view service,
                                    demand const& wanted) const -> bool;
    /// Expected time until the service has processed this many items.
    [[nodiscard]] auto time_to_drain(std::string_view service,
                                     std::size_t items) const -> duration;
    [[nodiscard]] auto meets_deadline(time_point now,
                                      work_item const& item) const -> bool;

    dispatch_state const* m_state;
};

} // namespace hickorylatch::core

#endif
