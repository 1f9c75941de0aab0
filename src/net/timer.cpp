#include "net/timer.hpp"

#include <event2/event.h>

#include <algorithm>
#include <new>
#include <utility>

namespace hickorylatch::net
{

timer::timer(event_loop& loop, std::function<void()> callback)
    : m_loop{loop}, m_callback{std::move(callback)}
{
    auto const on_timeout = [](evutil_socket_t, short, void* self)
    {
        // A copy, because the callback may destroy this timer.
        auto const copy = static_cast<timer*>(self)->m_callback;
        copy();
    };
    m_event.reset(event_new(loop.base(), -1, 0, on_timeout, this));
    if (!m_event)
        throw std::bad_alloc{};
}

auto timer::start(core::duration delay) -> void
{
    auto const bounded = std::max(delay, core::duration{0}).count();
    auto const interval =
        timeval{static_cast<time_t>(bounded / 1'000'000),
                static_cast<suseconds_t>(bounded % 1'000'000)};
    event_add(m_event.get(), &interval);
}

auto timer::start_at(core::time_point when) -> void
{
    if (when == core::never)
        return stop();
    start(when - m_loop.now());
}

auto timer::stop() -> void
{
    event_del(m_event.get());
}

auto timer::is_running() const -> bool
{
    return event_pending(m_event.get(), EV_TIMEOUT, nullptr) != 0;
}

} // namespace hickorylatch::net
