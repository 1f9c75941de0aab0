#include "core/dispatch/service_queue.hpp"

#include <algorithm>

namespace hickorylatch::core
{

auto service_queue::push(queued_item item) -> void
{
    item.m_serial = m_next_serial++;
    auto const number = std::min(item.m_item.m_priority, highest_priority);
    auto const attempt = item.m_item.m_attempt;
    auto& level = m_levels.at(number);
    if (!level.m_queues.contains(item.m_item.m_customer))
        erase_idle_queues(level);
    auto& queue = level.m_queues[item.m_item.m_customer];
    auto const was_idle = queue.m_items.empty();
    if (was_idle)
        queue.m_charged = std::max(queue.m_charged, level.m_virtual_time);
    queue.m_items.push_back(std::move(item));
    if (was_idle)
        index(level, queue);
    ++level.m_count;
    m_positions.insert_or_assign(
        attempt, position{number, &queue, std::prev(queue.m_items.end())});
}

auto service_queue::front(time_point now) const -> queued_item const*
{
    if (auto const* const item = next_aged(now))
        return item;
    for (auto number = level_count; number-- > 0;)
    {
        auto const& level = m_levels.at(number);
        if (level.m_count > 0)
            return &level.m_by_charge.begin()->second->m_items.front();
    }
    return nullptr;
}

auto service_queue::find(time_point now, std::size_t limit,
                         std::function<bool(queued_item const&)> const& accepts)
    const -> queued_item const*
{
    if (auto const* const item = next_aged(now);
        item != nullptr && accepts(*item))
        return item;
    for (auto number = level_count; number-- > 0;)
    {
        for (auto const& [key, queue] : m_levels.at(number).m_by_charge)
        {
            if (limit-- == 0)
                return nullptr;
            if (accepts(queue->m_items.front()))
                return &queue->m_items.front();
        }
    }
    return nullptr;
}

auto service_queue::least_urgent() const -> queued_item const*
{
    for (auto const& level : m_levels)
    {
        if (level.m_count > 0)
            return &level.m_by_age.begin()->second->m_items.front();
    }
    return nullptr;
}

auto service_queue::displacement_candidate() const -> queued_item const*
{
    for (auto const& level : m_levels)
    {
        if (level.m_count > 0)
            return &level.m_by_charge.rbegin()->second->m_items.back();
    }
    return nullptr;
}

auto service_queue::take(time_point now, attempt_id attempt)
    -> std::optional<queued_item>
{
    auto const found = m_positions.find(attempt);
    if (found == m_positions.end())
        return std::nullopt;
    auto const at = found->second;
    auto const* const aged_item = next_aged(now);
    auto const is_aged =
        aged_item != nullptr && aged_item->m_item.m_attempt == attempt;
    m_taken_since_aged = is_aged ? 0 : m_taken_since_aged + 1;
    auto& level = m_levels.at(at.m_level);
    level.m_virtual_time =
        std::max(level.m_virtual_time, at.m_queue->m_charged);
    auto item = extract(at);
    charge(at.m_level, item.m_item.m_customer, item.m_cost);
    return item;
}

auto service_queue::remove(attempt_id attempt) -> std::optional<queued_item>
{
    auto const found = m_positions.find(attempt);
    if (found == m_positions.end())
        return std::nullopt;
    return extract(position{found->second});
}

auto service_queue::charge(priority number, std::string const& customer,
                           duration extra) -> void
{
    auto& level = m_levels.at(std::min(number, highest_priority));
    auto const found = level.m_queues.find(customer);
    if (found == level.m_queues.end())
        return;
    auto& queue = found->second;
    unindex(level, queue);
    queue.m_charged += extra;
    index(level, queue);
}

auto service_queue::contains(attempt_id attempt) const -> bool
{
    return m_positions.contains(attempt);
}

auto service_queue::size() const -> std::size_t
{
    return m_positions.size();
}

auto service_queue::size_from(priority number) const -> std::size_t
{
    auto total = std::size_t{0};
    for (auto at = std::size_t{number}; at < level_count; ++at)
        total += m_levels.at(at).m_count;
    return total;
}

auto service_queue::attempts() const -> std::vector<attempt_id>
{
    auto all = std::vector<attempt_id>{};
    all.reserve(m_positions.size());
    for (auto const& [attempt, at] : m_positions)
        all.push_back(attempt);
    std::ranges::sort(all);
    return all;
}

auto service_queue::index(priority_level& level, customer_queue& queue) -> void
{
    if (queue.m_items.empty())
        return;
    auto const serial = queue.m_items.front().m_serial;
    level.m_by_charge.emplace(std::pair{queue.m_charged, serial}, &queue);
    level.m_by_age.emplace(serial, &queue);
}

auto service_queue::unindex(priority_level& level, customer_queue& queue)
    -> void
{
    if (queue.m_items.empty())
        return;
    auto const serial = queue.m_items.front().m_serial;
    level.m_by_charge.erase(std::pair{queue.m_charged, serial});
    level.m_by_age.erase(serial);
}

auto service_queue::erase_idle_queues(priority_level& level) -> void
{
    // A sweep is linear in the number of queues, so it runs only if there are
    // many.
    constexpr auto min_queues_to_sweep = std::size_t{256};
    if (level.m_queues.size() < min_queues_to_sweep ||
        level.m_queues.size() < 2 * level.m_by_age.size())
        return;
    std::erase_if(level.m_queues,
                  [&level](auto const& entry)
                  {
                      return entry.second.m_items.empty() &&
                             entry.second.m_charged <= level.m_virtual_time;
                  });
}

auto service_queue::next_aged(time_point now) const -> queued_item const*
{
    if (m_taken_since_aged + 1 < aged_item_interval)
        return nullptr;
    queued_item const* best = nullptr;
    auto best_rank = duration{0};
    auto is_highest = true;
    auto is_out_of_order = false;
    for (auto number = level_count; number-- > 0;)
    {
        auto const& level = m_levels.at(number);
        if (level.m_count == 0)
            continue;
        auto const& oldest = level.m_by_age.begin()->second->m_items.front();
        auto const rank = now - oldest.m_arrived_at +
                          aging_step * static_cast<std::int64_t>(number);
        if (is_highest || rank > best_rank)
        {
            is_out_of_order = !is_highest;
            best = &oldest;
            best_rank = rank;
        }
        is_highest = false;
    }
    return is_out_of_order ? best : nullptr;
}

auto service_queue::extract(position const& at) -> queued_item
{
    auto& level = m_levels.at(at.m_level);
    unindex(level, *at.m_queue);
    auto item = std::move(*at.m_item);
    at.m_queue->m_items.erase(at.m_item);
    index(level, *at.m_queue);
    --level.m_count;
    m_positions.erase(item.m_item.m_attempt);
    return item;
}

} // namespace hickorylatch::core
