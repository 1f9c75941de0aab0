#ifndef HICKORYLATCH_NET_PROCESS_SIGNALS_HPP
#define HICKORYLATCH_NET_PROCESS_SIGNALS_HPP

#include "net/event_loop.hpp"

#include <sigc++/signal.h>

#include <vector>

namespace hickorylatch::net
{

/// Emits a sigc++ signal on the loop's thread for each POSIX signal. SIGPIPE
/// stays ignored until the process exits. At most one object at a time.
class process_signals
{
public:
    explicit process_signals(event_loop& loop);
    process_signals(process_signals const&) = delete;
    auto operator=(process_signals const&) -> process_signals& = delete;
    ~process_signals() = default;

    /// Emitted for each SIGTERM or SIGINT.
    auto stop_requested() -> sigc::signal<void()>&;
    /// Emitted for each SIGHUP: log files may have been rotated.
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
