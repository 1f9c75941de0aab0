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
    time_point m_arrived{0};
    /// After this time the item can't meet its deadline; `never` if it has no
    /// deadline.
    time_point m_latest_start = never;
    /// Run time charged to its customer when it is taken.
    duration m_cost{0};
    /// Order of arrival.
    std::uint64_t m_serial = 0;
};

/// Waiting items in priority order with aging, fair between the customers of
/// one priority by run time, first come first served for each customer. Each
/// operation takes logarithmic time.
class service_queue
{
public:
    /// Waiting this long counts as much as one level of priority.
    static constexpr auto aging_step = duration{5'000'000};
    /// Only one of this many items is taken out of priority order because of
    /// its age, so that old items can't crowd out urgent ones in an overload.
    static constexpr auto aged_share = std::uint32_t{8};

    auto push(queued_item item) -> void;
    /// The item to take next; null if there is none.
    [[nodiscard]] auto front(time_point now) const -> queued_item const*;
    /// The first of up to `limit` items, in queue order, that `accepts`
    /// accepts. Only the oldest item of each customer and priority is tried.
    [[nodiscard]] auto
    find(time_point now, std::size_t limit,
         std::function<bool(queued_item const&)> const& accepts) const
        -> queued_item const*;
    /// The oldest item of the lowest priority; null if there is none.
    [[nodiscard]] auto least_urgent() const -> queued_item const*;
    /// The item to give up first: of the lowest priority, from the customer
    /// that is most ahead of its share, the newest.
    [[nodiscard]] auto most_dispensable() const -> queued_item const*;
    /// Takes an item to run it and charges its customer.
    auto take(time_point now, attempt_id attempt) -> std::optional<queued_item>;
    /// Takes out an item that will not run.
    auto remove(attempt_id attempt) -> std::optional<queued_item>;
    /// Corrects what a customer was charged, once a run time is known.
    auto charge(priority level, std::string const& customer, duration extra)
        -> void;

    [[nodiscard]] auto contains(attempt_id attempt) const -> bool;
    [[nodiscard]] auto size() const -> std::size_t;
    /// Items of at least this priority.
    [[nodiscard]] auto size_from(priority level) const -> std::size_t;
    [[nodiscard]] auto attempts() const -> std::vector<attempt_id>;

private:
    /// Items of one customer at one priority.
    struct line
    {
        std::list<queued_item> m_items;
        /// Run time charged so far, as a virtual time of the level.
        duration m_charged{0};
    };
    struct level
    {
        std::map<std::string, line> m_lines;
        // Both hold the lines with items; the serial of a line's first item
        // makes each key unique.
        std::map<std::pair<duration, std::uint64_t>, line*> m_by_charge;
        std::map<std::uint64_t, line*> m_by_age;
        duration m_virtual_time{0};
        std::size_t m_count = 0;
    };
    struct position
    {
        priority m_level = 0;
        line* m_line = nullptr;
        std::list<queued_item>::iterator m_item;
    };

    static constexpr auto levels = std::size_t{highest_priority} + 1;

    static auto index(level& on, line& of) -> void;
    static auto unindex(level& on, line& of) -> void;
    static auto forget_idle_lines(level& on) -> void;
    [[nodiscard]] auto aged(time_point now) const -> queued_item const*;
    auto extract(position const& at) -> queued_item;

    std::array<level, levels> m_levels;
    std::unordered_map<attempt_id, position> m_positions;
    std::uint64_t m_next_serial = 0;
    std::uint32_t m_taken_since_aged = 0;
};

} // namespace hickorylatch::core

#endif
