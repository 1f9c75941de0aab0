#ifndef HICKORYLATCH_CORE_DISPATCH_SERVICE_QUEUE_HPP
#define HICKORYLATCH_CORE_DISPATCH_SERVICE_QUEUE_HPP

#include "core/dispatch/work_item.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace hickorylatch::core
{

/// A work item in a queue.
struct queued_item
{
    work_item m_item;
    time_point m_arrived_at{0};
    /// The item can't meet its deadline if it starts later; `never` if it has
    /// no deadline.
    time_point m_latest_start = never;
    /// Run time charged to the customer when the item is taken.
    duration m_cost{0};
    /// Order of arrival.
    std::uint64_t m_serial = 0;
};

/// Priority queue with aging. Customers of the same priority share by run time;
/// items of one customer and priority are served in order of arrival.
/// Operations take logarithmic time.
class service_queue
{
public:
    /// A wait of this length raises an item by one level of priority.
    static constexpr auto aging_step = duration{5'000'000};
    /// At most one of this many items is taken out of priority order because of
    /// its age, so that old items can't starve urgent ones under overload.
    static constexpr auto aged_item_interval = std::uint32_t{8};

    auto push(queued_item item) -> void;
    /// The next item; null if there is none.
    [[nodiscard]] auto front(time_point now) const -> queued_item const*;
    /// The first of up to `limit` items, in queue order, for which `accepts`
    /// returns true. Only the oldest item of each customer and priority is
    /// considered.
    [[nodiscard]] auto
    find(time_point now, std::size_t limit,
         std::function<bool(queued_item const&)> const& accepts) const
        -> queued_item const*;
    /// The oldest item of the lowest priority; null if there is none.
    [[nodiscard]] auto least_urgent() const -> queued_item const*;
    /// The item to displace first: at the lowest priority, the newest item of
    /// the customer that is furthest ahead of its fair share. Null if there is
    /// none.
    [[nodiscard]] auto displacement_candidate() const -> queued_item const*;
    /// Removes an item that is about to run, and charges its customer.
    auto take(time_point now, attempt_id attempt) -> std::optional<queued_item>;
    /// Removes an item without charging its customer.
    auto remove(attempt_id attempt) -> std::optional<queued_item>;
    /// Corrects the charge of a customer once the run time is known.
    auto charge(priority level, std::string const& customer, duration extra)
        -> void;

    [[nodiscard]] auto contains(attempt_id attempt) const -> bool;
    [[nodiscard]] auto size() const -> std::size_t;
    /// Number of items of at least this priority.
    [[nodiscard]] auto size_from(priority level) const -> std::size_t;
    [[nodiscard]] auto attempts() const -> std::vector<attempt_id>;

private:
    /// Items of one customer at one priority.
    struct customer_queue
    {
        std::list<queued_item> m_items;
        /// Run time charged so far, on the scale of the level's virtual time.
        duration m_charged{0};
    };
    struct priority_level
    {
        std::map<std::string, customer_queue> m_queues;
        // Both index the queues with items; the serial of a queue's first item
        // makes each key unique.
        std::map<std::pair<duration, std::uint64_t>, customer_queue*>
            m_by_charge;
        std::map<std::uint64_t, customer_queue*> m_by_age;
        duration m_virtual_time{0};
        std::size_t m_count = 0;
    };
    struct position
    {
        priority m_level = 0;
        customer_queue* m_queue = nullptr;
        std::list<queued_item>::iterator m_item;
    };

    static constexpr auto level_count = std::size_t{highest_priority} + 1;

    static auto index(priority_level& level, customer_queue& queue) -> void;
    static auto unindex(priority_level& level, customer_queue& queue) -> void;
    static auto erase_idle_queues(priority_level& level) -> void;
    [[nodiscard]] auto next_aged(time_point now) const -> queued_item const*;
    auto extract(position const& at) -> queued_item;

    std::array<priority_level, level_count> m_levels;
    std::unordered_map<attempt_id, position> m_positions;
    std::uint64_t m_next_serial = 0;
    std::uint32_t m_taken_since_aged = 0;
};

} // namespace hickorylatch::core

#endif
