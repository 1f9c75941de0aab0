#ifndef HICKORYLATCH_NET_PROCESS_SIGNALS_HPP
#define HICKORYLATCH_NET_PROCESS_SIGNALS_HPP

#include "net/event_loop.hpp"

#include <sigc++/signal.h>

#include <vector>

namespace hickorylatch::net
{

/// Turns POSIX signals into sigc++ signals on the loop. SIGPIPE is ignored for
/// the rest of the process's life. At most one object at a time.
class process_signals
{
public:
    explicit process_signals(event_loop& loop);
    process_signals(process_signals const&) = delete;
    auto operator=(process_signals const&) -> process_signals& = delete;
    ~process_signals() = default;

    /// SIGTERM or SIGINT arrived. Emitted for each of them.
    auto stop_requested() -> sigc::signal<void()>&;
    /// SIGHUP arrived: log files may have been moved away.
    auto reopen_requested() -> sigc::signal<void()>&;

private:
    auto watch(event_loop& loop, int number, sigc::signal<void()>& signal)
        -> void;

    sigc::signal<void()> m_stop_requested;
    sigc::signal<void()> m_reopen_requested;
    std::vector<event_handle> m_events;
};

} // namespace hickorylatch::net

#endif
