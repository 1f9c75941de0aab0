#include "net/process_signals.hpp"

#include <event2/event.h>

#include <csignal>
#include <new>

namespace hickorylatch::net
{

process_signals::process_signals(event_loop& loop)
{
    static_cast<void>(std::signal(SIGPIPE, SIG_IGN));
    watch(loop, SIGTERM, m_stop_requested);
    watch(loop, SIGINT, m_stop_requested);
    watch(loop, SIGHUP, m_reopen_requested);
}

auto process_signals::stop_requested() -> sigc::signal<void()>&
{
    return m_stop_requested;
}

auto process_signals::reopen_requested() -> sigc::signal<void()>&
{
    return m_reopen_requested;
}

auto process_signals::watch(event_loop& loop, int number,
                            sigc::signal<void()>& signal) -> void
{
    auto const arrived = [](evutil_socket_t, short, void* emitter)
    {
        static_cast<sigc::signal<void()>*>(emitter)->emit();
    };
    auto handle =
        event_handle{evsignal_new(loop.base(), number, arrived, &signal)};
    if (!handle)
        throw std::bad_alloc{};
    event_add(handle.get(), nullptr);
    m_events.push_back(std::move(handle));
}

} // namespace hickorylatch::net
