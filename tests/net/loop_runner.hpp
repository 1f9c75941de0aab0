#ifndef HICKORYLATCH_TESTS_NET_LOOP_RUNNER_HPP
#define HICKORYLATCH_TESTS_NET_LOOP_RUNNER_HPP

#include "net/event_loop.hpp"

#include <event2/event.h>

#include <functional>

/// Limit for waiting for a condition, after which a test fails.
inline constexpr auto wait_timeout =
    hickorylatch::core::duration{std::chrono::seconds{10}};

/// Runs the loop until a condition is true; false after a timeout.
inline auto run_until(hickorylatch::net::event_loop& loop,
                      std::function<bool()> const& condition) -> bool
{
    auto const deadline = loop.now() + wait_timeout;
    // Limits one iteration, so that the condition is checked again even if no
    // event occurs.
    auto const iteration_limit = timeval{0, 20'000};
    while (!condition())
    {
        if (loop.now() > deadline)
            return false;
        event_base_loopexit(loop.base(), &iteration_limit);
        event_base_loop(loop.base(), EVLOOP_ONCE | EVLOOP_NO_EXIT_ON_EMPTY);
    }
    return true;
}

#endif
