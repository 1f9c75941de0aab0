#include "net/connection_account.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <linux/sockios.h>
#include <netdb.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <new>
#include <string>
#include <utility>

namespace hickorylatch::net
{

namespace
{

// evhttp removes a header line from the input in two steps, the text and its
// end, and allocates about 112 bytes for it besides the text.
constexpr auto bytes_per_removal = std::size_t{64};

auto ip_address(int socket) -> std::string
{
    auto address = sockaddr_storage{};
    auto size = static_cast<socklen_t>(sizeof address);
    auto text = std::array<char, NI_MAXHOST>{};
    auto* const general = reinterpret_cast<sockaddr*>(&address);
    if (getpeername(socket, general, &size) != 0 ||
        getnameinfo(general, size, text.data(), text.size(), nullptr, 0,
                    NI_NUMERICHOST) != 0)
        return {};
    return text.data();
}

auto queued_bytes(int socket, unsigned long request) -> std::size_t
{
    auto count = 0;
    if (::ioctl(socket, request, &count) != 0)
        return 0;
    return static_cast<std::size_t>(std::max(count, 0));
}

auto new_length(evbuffer_cb_info const& change) -> std::size_t
{
    return change.orig_size + change.n_added - change.n_deleted;
}

} // namespace

auto connection_account::release::operator()(bufferevent* handle) const noexcept
    -> void
{
    bufferevent_decref(handle);
}

connection_account::connection_account(event_loop& loop,
                                       connection_ledger& ledger,
                                       bufferevent* stream,
                                       connection_account_settings settings,
                                       std::function<void()> changed)
    : m_loop{loop}, m_ledger{ledger}, m_settings{settings}, m_changed{std::move(
                                                                changed)}
{
    bufferevent_incref(stream);
    m_stream.reset(stream);
    bufferevent_setwatermark(stream, EV_READ, 0, m_settings.m_input_limit);
    m_input_callback = evbuffer_add_cb(
        bufferevent_get_input(stream),
        [](evbuffer*, evbuffer_cb_info const* change, void* self)
        {
            static_cast<connection_account*>(self)->input_changed(*change);
        },
        this);
    m_output_callback = evbuffer_add_cb(
        bufferevent_get_output(stream),
        [](evbuffer*, evbuffer_cb_info const* change, void* self)
        {
            static_cast<connection_account*>(self)->output_changed(*change);
        },
        this);
    if (m_input_callback == nullptr || m_output_callback == nullptr)
        throw std::bad_alloc{};
}

connection_account::~connection_account()
{
    auto* const stream = m_stream.get();
    evbuffer_remove_cb_entry(bufferevent_get_input(stream), m_input_callback);
    evbuffer_remove_cb_entry(bufferevent_get_output(stream), m_output_callback);
    m_ledger.remove(m_id);
}

auto connection_account::open() -> void
{
    m_progress_at = m_loop.now();
    m_id = m_ledger.add(ip_address(bufferevent_getfd(m_stream.get())),
                        m_progress_at);
    m_ledger.set_bytes(m_id, m_total);
}

auto connection_account::id() const -> std::uint64_t
{
    return m_id;
}

auto connection_account::stream() const -> bufferevent*
{
    return m_stream.get();
}

auto connection_account::request_received() -> void
{
    m_is_processing = true;
    m_request_began_at.reset();
    m_progress_at = m_loop.now();
    m_ledger.set_progress(m_id, m_progress_at);
    m_ledger.set_processing(m_id, true);
}

auto connection_account::response_started() -> void
{
    m_progress_at = m_loop.now();
    m_ledger.set_progress(m_id, m_progress_at);
    m_ledger.set_processing(m_id, false);
    bufferevent_setwatermark(m_stream.get(), EV_READ, 0,
                             m_settings.m_pipelined_limit);
}

auto connection_account::response_sent() -> void
{
    m_is_processing = false;
    m_request = 0;
    m_kernel = 0;
    m_progress_at = m_loop.now();
    m_ledger.set_progress(m_id, m_progress_at);
    if (m_input > 0)
        m_request_began_at = m_progress_at;
    else
        m_request_began_at.reset();
    bufferevent_setwatermark(m_stream.get(), EV_READ, 0,
                             m_settings.m_input_limit);
    update();
}

auto connection_account::measure_kernel() -> void
{
    auto const socket = bufferevent_getfd(m_stream.get());
    m_kernel = queued_bytes(socket, FIONREAD) + queued_bytes(socket, SIOCOUTQ);
    update();
}

auto connection_account::request_began_at() const
    -> std::optional<core::time_point>
{
    return m_is_processing ? std::nullopt : m_request_began_at;
}

auto connection_account::progress_at() const -> core::time_point
{
    return m_progress_at;
}

auto connection_account::input_changed(evbuffer_cb_info const& change) -> void
{
    m_input = new_length(change);
    if (change.n_added > 0 && !m_request_began_at)
        m_request_began_at = m_loop.now();
    // An oversized body is read to its end and dropped, so that the sum must
    // not grow without a bound.
    if (change.n_deleted > 0 && !m_is_processing)
        m_request =
            std::min(m_request + change.n_deleted + bytes_per_removal,
                     m_settings.m_input_limit +
                         m_settings.m_pipelined_limit * bytes_per_removal / 2);
    update();
}

auto connection_account::output_changed(evbuffer_cb_info const& change) -> void
{
    m_output = new_length(change);
    if (change.n_deleted > 0)
    {
        m_progress_at = m_loop.now();
        m_ledger.set_progress(m_id, m_progress_at);
    }
    update();
}

auto connection_account::update() -> void
{
    auto const total = m_input + m_output + m_request + m_kernel;
    auto const has_grown = total > std::exchange(m_total, total);
    m_ledger.set_bytes(m_id, total);
    if (has_grown)
        m_changed();
}

} // namespace hickorylatch::net
