#include "net/tls_stream.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/bufferevent_ssl.h>
#include <event2/event.h>
#include <event2/util.h>

#include <openssl/err.h>

#include <array>
#include <string>
#include <utility>

namespace hickorylatch::net
{

namespace
{

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

tls_stream::tls_stream(bufferevent_handle connection, stream_handlers handlers)
    : m_connection{std::move(connection)}, m_handlers{std::move(handlers)}
{
    auto const on_read = [](bufferevent*, void* self)
    {
        static_cast<tls_stream*>(self)->read();
    };
    auto const on_event = [](bufferevent*, short what, void* self)
    {
        static_cast<tls_stream*>(self)->handle_event(what);
    };
    bufferevent_setcb(m_connection.get(), on_read, nullptr, on_event, this);
    bufferevent_enable(m_connection.get(), EV_READ | EV_WRITE);
}

auto tls_stream::connect(socket_address const& address,
                         socket_address const* /*source*/) -> void
{
    auto const failed = bufferevent_socket_connect(
        m_connection.get(), address.data(), static_cast<int>(address.size()));
    if (failed != 0 && !is_closed())
        fail(failure_text(m_connection.get()));
}

auto tls_stream::start() -> void
{
}

auto tls_stream::write(std::string_view bytes) -> void
{
    if (!is_closed())
        evbuffer_add(bufferevent_get_output(m_connection.get()), bytes.data(),
                     bytes.size());
}

auto tls_stream::close() -> void
{
    m_connection.reset();
}

auto tls_stream::unsent() const -> std::size_t
{
    if (is_closed())
        return 0;
    return evbuffer_get_length(bufferevent_get_output(m_connection.get()));
}

auto tls_stream::is_closed() const -> bool
{
    return m_connection == nullptr;
}

auto tls_stream::read() -> void
{
    while (!is_closed())
    {
        auto* const input = bufferevent_get_input(m_connection.get());
        auto const size = evbuffer_get_contiguous_space(input);
        if (size == 0)
            return;
        auto const* const bytes =
            evbuffer_pullup(input, static_cast<ev_ssize_t>(size));
        auto const copy =
            std::string{reinterpret_cast<char const*>(bytes), size};
        evbuffer_drain(input, size);
        m_handlers.m_received(copy);
    }
}

auto tls_stream::handle_event(short what) -> void
{
    if ((what & BEV_EVENT_CONNECTED) != 0)
    {
        set_link_options(bufferevent_getfd(m_connection.get()));
        return m_handlers.m_opened();
    }
    if ((what & BEV_EVENT_EOF) != 0)
        return fail("closed by the peer");
    fail(failure_text(m_connection.get()));
}

auto tls_stream::fail(std::string_view cause) -> void
{
    close();
    m_handlers.m_failed(cause);
}

} // namespace hickorylatch::net
