#include "core/dispatch/service_queue.hpp"

#include <algorithm>

namespace hickorylatch::core
{

auto service_queue::push(queued_item item) -> void
{
    item.m_serial = m_next_serial++;
    auto const number = std::min(item.m_item.m_priority, highest_priority);
    auto const attempt = item.m_item.m_attempt;
    auto& on = m_levels.at(number);
    if (!on.m_lines.contains(item.m_item.m_customer))
        forget_idle_lines(on);
    auto& of = on.m_lines[item.m_item.m_customer];
    auto const was_idle = of.m_items.empty();
    if (was_idle)
        of.m_charged = std::max(of.m_charged, on.m_virtual_time);
    of.m_items.push_back(std::move(item));
    if (was_idle)
        index(on, of);
    ++on.m_count;
    m_positions.insert_or_assign(
        attempt, position{number, &of, std::prev(of.m_items.end())});
}

auto service_queue::front(time_point now) const -> queued_item const*
{
    if (auto const* const item = aged(now))
        return item;
    for (auto number = levels; number-- > 0;)
    {
        auto const& on = m_levels.at(number);
        if (on.m_count > 0)
            return &on.m_by_charge.begin()->second->m_items.front();
    }
    return nullptr;
}

auto service_queue::find(time_point now, std::size_t limit,
                         std::function<bool(queued_item const&)> const& accepts)
    const -> queued_item const*
{
    if (auto const* const item = aged(now); item != nullptr && accepts(*item))
        return item;
    for (auto number = levels; number-- > 0;)
    {
        for (auto const& [key, of] : m_levels.at(number).m_by_charge)
        {
            if (limit-- == 0)
                return nullptr;
            if (accepts(of->m_items.front()))
                return &of->m_items.front();
        }
    }
    return nullptr;
}

auto service_queue::least_urgent() const -> queued_item const*
{
    for (auto const& on : m_levels)
    {
        if (on.m_count > 0)
            return &on.m_by_age.begin()->second->m_items.front();
    }
    return nullptr;
}

auto service_queue::most_dispensable() const -> queued_item const*
{
    for (auto const& on : m_levels)
    {
        if (on.m_count > 0)
            return &on.m_by_charge.rbegin()->second->m_items.back();
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
    auto const* const old = aged(now);
    auto const is_aged = old != nullptr && old->m_item.m_attempt == attempt;
    m_taken_since_aged = is_aged ? 0 : m_taken_since_aged + 1;
    auto& on = m_levels.at(at.m_level);
    on.m_virtual_time = std::max(on.m_virtual_time, at.m_line->m_charged);
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
    auto& on = m_levels.at(std::min(number, highest_priority));
    auto const found = on.m_lines.find(customer);
    if (found == on.m_lines.end())
        return;
    auto& of = found->second;
    unindex(on, of);
    of.m_charged += extra;
    index(on, of);
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
    for (auto at = std::size_t{number}; at < levels; ++at)
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

auto service_queue::index(level& on, line& of) -> void
{
    if (of.m_items.empty())
        return;
    auto const serial = of.m_items.front().m_serial;
    on.m_by_charge.emplace(std::pair{of.m_charged, serial}, &of);
    on.m_by_age.emplace(serial, &of);
}

auto service_queue::unindex(level& on, line& of) -> void
{
    if (of.m_items.empty())
        return;
    auto const serial = of.m_items.front().m_serial;
    on.m_by_charge.erase(std::pair{of.m_charged, serial});
    on.m_by_age.erase(serial);
}

auto service_queue::forget_idle_lines(level& on) -> void
{
    // A sweep costs the number of lines, so it runs only when many are kept.
    constexpr auto kept_lines = std::size_t{256};
    if (on.m_lines.size() < kept_lines ||
        on.m_lines.size() < 2 * on.m_by_age.size())
        return;
    std::erase_if(on.m_lines,
                  [&on](auto const& entry)
                  {
                      return entry.second.m_items.empty() &&
                             entry.second.m_charged <= on.m_virtual_time;
                  });
}

auto service_queue::aged(time_point now) const -> queued_item const*
{
    if (m_taken_since_aged + 1 < aged_share)
        return nullptr;
    queued_item const* best = nullptr;
    auto best_rank = duration{0};
    auto is_highest = true;
    auto is_out_of_order = false;
    for (auto number = levels; number-- > 0;)
    {
        auto const& on = m_levels.at(number);
        if (on.m_count == 0)
            continue;
        auto const& oldest = on.m_by_age.begin()->second->m_items.front();
        auto const rank = now - oldest.m_arrived +
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
    auto& on = m_levels.at(at.m_level);
    unindex(on, *at.m_line);
    auto item = std::move(*at.m_item);
    at.m_line->m_items.erase(at.m_item);
    index(on, *at.m_line);
    --on.m_count;
    m_positions.erase(item.m_item.m_attempt);
    return item;
}

} // namespace hickorylatch::core
