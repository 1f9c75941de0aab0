#ifndef HICKORYLATCH_NET_TIMER_HPP
#define HICKORYLATCH_NET_TIMER_HPP

#include "core/model/time.hpp"
#include "net/event_loop.hpp"

#include <functional>

namespace hickorylatch::net
{

/// One-shot timer: calls a function after a delay.
class timer
{
public:
    timer(event_loop& loop, std::function<void()> callback);
    timer(timer const&) = delete;
    auto operator=(timer const&) -> timer& = delete;
    ~timer() = default;

    /// Starts or restarts the timer. A negative delay counts as zero.
    auto start(core::duration delay) -> void;
    /// Starts the timer for a time of `event_loop::now`; `core::never` stops
    /// it.
    auto start_at(core::time_point when) -> void;
    auto stop() -> void;
    [[nodiscard]] auto is_running() const -> bool;

private:
    event_loop& m_loop;
    std::function<void()> m_callback;
    event_handle m_event;
};

} // namespace hickorylatch::net

#endif
