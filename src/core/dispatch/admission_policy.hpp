#ifndef HICKORYLATCH_CORE_DISPATCH_ADMISSION_POLICY_HPP
#define HICKORYLATCH_CORE_DISPATCH_ADMISSION_POLICY_HPP

#include "core/dispatch/work_ledger.hpp"
#include "core/model/verdict.hpp"

#include <optional>
#include <span>
#include <string_view>

namespace hickorylatch::core
{

/// Decides whether work is queued or refused: sizes that fit nowhere, quotas,
/// deadlines that can't be met, full queues.
class admission_policy
{
public:
    explicit admission_policy(work_ledger const& ledger);

    /// Refuses an item that needs no agent in particular, queue length aside.
    [[nodiscard]] auto check(time_point now, work_item const& item) const
        -> std::optional<verdict>;
    /// Refuses a job's tasks.
    [[nodiscard]] auto check(std::string_view customer,
                             std::span<task const> tasks) const
        -> std::optional<verdict>;
    /// True if the queue of the item's service has no place left.
    [[nodiscard]] auto is_full(std::string_view service) const -> bool;
    /// A queued item that is less urgent than this priority and may be given up
    /// for it; null if there is none.
    [[nodiscard]] auto dispensable(std::string_view service,
                                   priority level) const -> queued_item const*;
    /// Suggested delay before a resend, from the drain rate of the queue, in
    /// milliseconds.
    [[nodiscard]] auto retry_after(std::string_view service) const
        -> std::uint32_t;

private:
    [[nodiscard]] auto could_run(std::string_view service,
                                 demand const& wanted) const -> bool;
    /// Time in which the service works off so many items.
    [[nodiscard]] auto time_to_drain(std::string_view service,
                                     std::size_t items) const -> duration;
    [[nodiscard]] auto meets_deadline(time_point now,
                                      work_item const& item) const -> bool;

    work_ledger const* m_ledger;
};

} // namespace hickorylatch::core

#endif
