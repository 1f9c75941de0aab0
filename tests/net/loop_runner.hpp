#ifndef HICKORYLATCH_TESTS_NET_LOOP_RUNNER_HPP
#define HICKORYLATCH_TESTS_NET_LOOP_RUNNER_HPP

#include "net/event_loop.hpp"

#include <functional>

/// Longest wait for an awaited event before a test fails.
inline constexpr auto patience =
    hickorylatch::core::duration{std::chrono::seconds{10}};

/// Runs the loop until a condition holds; false if it did not in time.
auto run_until(hickorylatch::net::event_loop& loop,
               std::function<bool()> const& condition) -> bool;

#endif
