#ifndef HICKORYLATCH_NET_EVENT_LOOP_HPP
#define HICKORYLATCH_NET_EVENT_LOOP_HPP

#include "core/model/time.hpp"

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

struct event;
struct event_base;

namespace hickorylatch::net
{

struct event_deleter
{
    auto operator()(::event* handle) const noexcept -> void;
};
using event_handle = std::unique_ptr<::event, event_deleter>;

struct event_base_deleter
{
    auto operator()(event_base* handle) const noexcept -> void;
};
using event_base_handle = std::unique_ptr<event_base, event_base_deleter>;

/// Priority of events that are handled right after the current callback, before
/// others that are due. Other events have the default priority.
inline constexpr auto urgent_priority = 0;

/// The one libevent base of a process. Everything in this library runs on the
/// thread that calls `run()`, except where a comment says otherwise.
class event_loop
{
public:
    event_loop();
    ~event_loop();
    event_loop(event_loop const&) = delete;
    auto operator=(event_loop const&) -> event_loop& = delete;

    /// Handles events until `stop()`.
    auto run() -> void;
    /// Makes `run()` return after the current callback.
    auto stop() -> void;
    /// Runs a function in a later loop iteration. Callable from any thread.
    auto post(std::function<void()> function) -> void;
    /// Monotonic time. Includes the time that the machine is suspended, because
    /// leases expire during a suspension too.
    [[nodiscard]] auto now() const -> core::time_point;
    /// Total time that the machine has been suspended since boot. The
    /// difference of two values is the suspended part of an interval of
    /// `now()`.
    [[nodiscard]] auto suspended_time() const -> core::duration;
    /// For objects that create their own libevent handles.
    [[nodiscard]] auto base() const -> event_base*;

private:
    auto run_posted() -> void;

    event_base_handle m_base;
    event_handle m_wakeup;
    std::mutex m_mutex;
    std::vector<std::function<void()>> m_posted;
};

} // namespace hickorylatch::net

#endif
