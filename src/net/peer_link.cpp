#include "net/peer_link.hpp"

#include "net/error.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/bufferevent_ssl.h>
#include <event2/event.h>
#include <event2/util.h>

#include <boost/leaf/handle_errors.hpp>

#include <openssl/err.h>

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <array>
#include <optional>
#include <utility>

namespace hickorylatch::net
{

namespace leaf = boost::leaf;

namespace
{

// A silent cut is noticed within 10 s: by probes on an idle link (3 + 3 * 2 s)
// and by the limit on unacknowledged data on a busy one.
constexpr auto keepalive_idle_s = 3;
constexpr auto keepalive_interval_s = 2;
constexpr auto keepalive_probes = 3;
constexpr auto user_timeout_ms = 9'000;

auto set_option(int socket, int level, int option, int value) -> void
{
    setsockopt(socket, level, option, &value, sizeof value);
}

auto configure_socket(int socket) -> void
{
    set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1);
    set_option(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, keepalive_idle_s);
    set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL, keepalive_interval_s);
    set_option(socket, IPPROTO_TCP, TCP_KEEPCNT, keepalive_probes);
    set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, user_timeout_ms);
}

auto failure_text(bufferevent* connection) -> std::string
{
    if (auto const code = bufferevent_get_openssl_error(connection))
    {
        auto text = std::array<char, 256>{};
        ERR_error_string_n(code, text.data(), text.size());
        return text.data();
    }
    return evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR());
}

} // namespace

auto bufferevent_deleter::operator()(bufferevent* handle) const noexcept -> void
{
    bufferevent_free(handle);
}

peer_link::peer_link(bufferevent_handle connection, std::size_t frame_limit,
                     peer_link_handlers handlers)
    : m_connection{std::move(connection)}, m_frames{frame_limit},
      m_handlers{std::move(handlers)}
{
    auto const on_read = [](bufferevent*, void* self)
    {
        static_cast<peer_link*>(self)->read();
    };
    auto const on_event = [](bufferevent*, short what, void* self)
    {
        static_cast<peer_link*>(self)->handle_event(what);
    };
    bufferevent_setcb(m_connection.get(), on_read, nullptr, on_event, this);
    bufferevent_enable(m_connection.get(), EV_READ | EV_WRITE);
}

auto peer_link::connect(socket_address const& address) -> void
{
    auto const failed = bufferevent_socket_connect(
        m_connection.get(), address.data(), static_cast<int>(address.size()));
    if (failed != 0 && !is_closed())
        fail(failure_text(m_connection.get()));
}

auto peer_link::start() -> void
{
    open();
}

auto peer_link::set_frame_limit(std::size_t limit) -> void
{
    m_frames.set_limit(limit);
}

auto peer_link::send_frame(std::string_view body) -> void
{
    if (is_closed())
        return;
    auto const header = frame_header(body.size());
    auto* const output = bufferevent_get_output(m_connection.get());
    evbuffer_add(output, header.data(), header.size());
    evbuffer_add(output, body.data(), body.size());
}

auto peer_link::unsent() const -> std::size_t
{
    if (is_closed())
        return 0;
    return evbuffer_get_length(bufferevent_get_output(m_connection.get()));
}

auto peer_link::close() -> void
{
    m_connection.reset();
}

auto peer_link::is_closed() const -> bool
{
    return m_connection == nullptr;
}

auto peer_link::read() -> void
{
    auto* const input = bufferevent_get_input(m_connection.get());
    while (auto const size = evbuffer_get_contiguous_space(input))
    {
        auto const* const bytes =
            evbuffer_pullup(input, static_cast<ev_ssize_t>(size));
        m_frames.append({reinterpret_cast<char const*>(bytes), size});
        evbuffer_drain(input, size);
    }
    auto const next_frame = [this]
    {
        return m_frames.next();
    };
    auto const report = [this](error const& failure)
    {
        fail(failure.m_text);
        return std::optional<std::string_view>{};
    };
    auto const report_unknown = []
    {
        return std::optional<std::string_view>{};
    };
    while (!is_closed())
    {
        auto const body =
            leaf::try_handle_all(next_frame, report, report_unknown);
        if (!body)
            return;
        m_handlers.m_frame_received(*body);
    }
}

auto peer_link::handle_event(short what) -> void
{
    if ((what & BEV_EVENT_CONNECTED) != 0)
        return open();
    if ((what & BEV_EVENT_EOF) != 0)
    {
        return fail(m_frames.pending() == 0 ? "closed by the peer"
                                            : "closed by the peer in a frame");
    }
    fail(failure_text(m_connection.get()));
}

auto peer_link::open() -> void
{
    if (m_is_open)
        return;
    m_is_open = true;
    configure_socket(bufferevent_getfd(m_connection.get()));
    m_handlers.m_opened();
}

auto peer_link::fail(std::string_view cause) -> void
{
    close();
    m_handlers.m_failed(cause);
}

} // namespace hickorylatch::net
