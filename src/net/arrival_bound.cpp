#include "net/arrival_bound.hpp"

#include <algorithm>
#include <chrono>

namespace hickorylatch::net
{

namespace
{

// A request that arrives while the loop runs counts as up to four intervals
// old. Operators wait for a second.
constexpr auto interval = core::duration{std::chrono::milliseconds{50}};

} // namespace

arrival_bound::arrival_bound(event_loop& loop)
    : m_loop{loop}, m_timer{loop, [this]
                            {
                                note();
                            }}
{
    m_notes.fill(loop.now());
}

auto arrival_bound::start() -> void
{
    m_timer.start(interval);
}

auto arrival_bound::earliest() const -> core::time_point
{
    // Notes are taken in different loop iterations, the last one perhaps in the
    // current iteration. Connections from before the first note were accepted
    // up to the second one, and their data was read up to the third one.
    return m_notes.front();
}

auto arrival_bound::note() -> void
{
    std::rotate(m_notes.begin(), m_notes.begin() + 1, m_notes.end());
    m_notes.back() = m_loop.now();
    m_timer.start(interval);
}

} // namespace hickorylatch::net
