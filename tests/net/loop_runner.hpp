#ifndef HICKORYLATCH_TESTS_NET_LOOP_RUNNER_HPP
#define HICKORYLATCH_TESTS_NET_LOOP_RUNNER_HPP

#include "net/event_loop.hpp"

#include <event2/event.h>

#include <functional>

/// Longest wait for an awaited event before a test fails.
inline constexpr auto patience =
    hickorylatch::core::duration{std::chrono::seconds{10}};

/// Runs the loop until a condition holds; false if it did not in time.
inline auto run_until(hickorylatch::net::event_loop& loop,
                      std::function<bool()> const& condition) -> bool
{
    auto const deadline = loop.now() + patience;
    // Bounds one turn, so that a condition without a further event is seen.
    auto const turn = timeval{0, 20'000};
    while (!condition())
    {
        if (loop.now() > deadline)
            return false;
        event_base_loopexit(loop.base(), &turn);
        event_base_loop(loop.base(), EVLOOP_ONCE | EVLOOP_NO_EXIT_ON_EMPTY);
    }
    return true;
}

#endif
