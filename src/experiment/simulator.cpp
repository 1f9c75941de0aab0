#include "experiment/simulator.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace hickorylatch::experiment
{

auto simulator::at(core::time_point time, std::function<void()> action) -> void
{
    m_heap.push_back(
        {std::max(time, m_now), m_next_serial++, std::move(action)});
    std::ranges::push_heap(m_heap, later{});
}

auto simulator::after(core::duration delay, std::function<void()> action)
    -> void
{
    at(m_now + delay, std::move(action));
}

auto simulator::run(core::time_point end) -> void
{
    while (!m_heap.empty() && m_heap.front().m_at < end)
    {
        std::ranges::pop_heap(m_heap, later{});
        auto const next = std::move(m_heap.back());
        m_heap.pop_back();
        m_now = next.m_at;
        next.m_action();
    }
}

auto simulator::now() const -> core::time_point
{
    return m_now;
}

auto simulator::later::operator()(event const& left, event const& right) const
    -> bool
{
    return std::tie(left.m_at, left.m_serial) >
           std::tie(right.m_at, right.m_serial);
}

} // namespace hickorylatch::experiment
