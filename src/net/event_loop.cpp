#include "net/event_loop.hpp"

#include <event2/event.h>
#include <event2/thread.h>

#include <algorithm>
#include <ctime>
#include <new>
#include <utility>

namespace hickorylatch::net
{

namespace
{

struct configuration_deleter
{
    auto operator()(event_config* handle) const noexcept -> void
    {
        event_config_free(handle);
    }
};
using configuration_handle =
    std::unique_ptr<event_config, configuration_deleter>;

auto read_clock(clockid_t clock) -> core::time_point
{
    auto reading = timespec{};
    clock_gettime(clock, &reading);
    return std::chrono::duration_cast<core::time_point>(
        std::chrono::seconds{reading.tv_sec} +
        std::chrono::nanoseconds{reading.tv_nsec});
}

} // namespace

auto event_deleter::operator()(::event* handle) const noexcept -> void
{
    event_free(handle);
}

auto event_base_deleter::operator()(event_base* handle) const noexcept -> void
{
    event_base_free(handle);
}

event_loop::event_loop()
{
    static auto const threads_enabled = evthread_use_pthreads();
    auto const configuration = configuration_handle{event_config_new()};
    if (threads_enabled != 0 || !configuration)
        throw std::bad_alloc{};
    // By default libevent measures timers from the start of the loop iteration
    // with a coarse clock, so they may fire before their delay has passed.
    event_config_set_flag(configuration.get(), EVENT_BASE_FLAG_PRECISE_TIMER);
    event_config_set_flag(configuration.get(), EVENT_BASE_FLAG_NO_CACHE_TIME);
    m_base.reset(event_base_new_with_config(configuration.get()));
    if (!m_base || event_base_priority_init(m_base.get(), 2) != 0)
        throw std::bad_alloc{};
    auto const wake = [](evutil_socket_t, short, void* self)
    {
        static_cast<event_loop*>(self)->run_posted();
    };
    m_wakeup.reset(event_new(m_base.get(), -1, EV_PERSIST, wake, this));
    if (!m_wakeup)
        throw std::bad_alloc{};
}

event_loop::~event_loop() = default;

auto event_loop::run() -> void
{
    event_base_loop(m_base.get(), EVLOOP_NO_EXIT_ON_EMPTY);
}

auto event_loop::stop() -> void
{
    event_base_loopbreak(m_base.get());
}

auto event_loop::post(std::function<void()> function) -> void
{
    {
        auto const lock = std::scoped_lock{m_mutex};
        m_posted.push_back(std::move(function));
    }
    event_active(m_wakeup.get(), EV_TIMEOUT, 0);
}

auto event_loop::now() const -> core::time_point
{
    return read_clock(CLOCK_BOOTTIME);
}

auto event_loop::suspended_time() const -> core::duration
{
    auto const running = read_clock(CLOCK_MONOTONIC);
    return std::max(read_clock(CLOCK_BOOTTIME) - running, core::duration{0});
}

auto event_loop::base() const -> event_base*
{
    return m_base.get();
}

auto event_loop::run_posted() -> void
{
    auto functions = std::vector<std::function<void()>>{};
    {
        auto const lock = std::scoped_lock{m_mutex};
        functions.swap(m_posted);
    }
    for (auto const& function : functions)
        function();
}

} // namespace hickorylatch::net
