#ifndef HICKORYLATCH_NET_ARRIVAL_BOUND_HPP
#define HICKORYLATCH_NET_ARRIVAL_BOUND_HPP

#include "net/event_loop.hpp"
#include "net/timer.hpp"

#include <array>

namespace hickorylatch::net
{

/// Bounds how long data that is read now may have waited in a socket while this
/// process or its machine stood still. A timer notes that the loop runs.
class arrival_bound
{
public:
    /// Must be constructed before the process listens.
    explicit arrival_bound(event_loop& loop);

    /// Starts the timer. Called right before the loop runs.
    auto start() -> void;
    /// What is read in the current loop iteration has arrived after this time.
    /// Does not hold for a connection that waited for being accepted, or for
    /// data behind a request that is not answered yet.
    [[nodiscard]] auto earliest() const -> core::time_point;

private:
    auto note() -> void;

    event_loop& m_loop;
    timer m_timer;
    /// Times of the last notes, oldest first.
    std::array<core::time_point, 4> m_notes;
};

} // namespace hickorylatch::net

#endif
