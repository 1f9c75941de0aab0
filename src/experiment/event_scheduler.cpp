#include "experiment/event_scheduler.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace hickorylatch::experiment
{

auto event_scheduler::at(core::time_point time, std::function<void()> action)
    -> void
{
    m_events.push_back(
        {std::max(time, m_now), m_next_sequence++, std::move(action)});
    std::ranges::push_heap(m_events, later{});
}

auto event_scheduler::after(core::duration delay, std::function<void()> action)
    -> void
{
    at(m_now + delay, std::move(action));
}

auto event_scheduler::run(core::time_point end) -> void
{
    while (!m_events.empty() && m_events.front().m_at < end)
    {
        std::ranges::pop_heap(m_events, later{});
        auto const next = std::move(m_events.back());
        m_events.pop_back();
        m_now = next.m_at;
        next.m_action();
    }
}

auto event_scheduler::now() const -> core::time_point
{
    return m_now;
}

auto event_scheduler::later::operator()(event const& left,
                                        event const& right) const -> bool
{
    return std::tie(left.m_at, left.m_sequence) >
           std::tie(right.m_at, right.m_sequence);
}

} // namespace hickorylatch::experiment
