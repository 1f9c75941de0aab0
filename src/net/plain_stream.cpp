#include "net/plain_stream.hpp"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/util.h>

#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <new>
#include <system_error>
#include <utility>

namespace hickorylatch::net
{

namespace
{

// Holds what a peer sends within a few milliseconds; the rest is read in the
// next loop iteration.
constexpr auto read_size = std::size_t{32} << 10U;

auto is_retriable(int error) -> bool
{
    return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

auto new_event(event_loop& loop, int socket, short what,
               event_callback_fn callback, void* self) -> event_handle
{
    auto handle =
        event_handle{event_new(loop.base(), socket, what, callback, self)};
    if (!handle)
        throw std::bad_alloc{};
    return handle;
}

} // namespace

auto evbuffer_deleter::operator()(evbuffer* handle) const noexcept -> void
{
    evbuffer_free(handle);
}

plain_stream::plain_stream(event_loop& loop, int socket,
                           stream_handlers handlers)
    : m_loop{loop}, m_handlers{std::move(handlers)}, m_socket{socket},
      m_output{evbuffer_new()}
{
    if (!m_output)
        throw std::bad_alloc{};
    m_flush = new_event(
        loop, -1, 0,
        [](evutil_socket_t, short, void* self)
        {
            static_cast<plain_stream*>(self)->flush();
        },
        this);
}

plain_stream::~plain_stream()
{
    close();
}

auto plain_stream::connect(socket_address const& address,
                           socket_address const* source) -> void
{
    m_socket = ::socket(address.data()->sa_family,
                        SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (m_socket < 0)
        return fail(errno);
    create_events();
    if (source != nullptr &&
        ::bind(m_socket, source->data(), source->size()) != 0)
        return fail(errno);
    if (::connect(m_socket, address.data(), address.size()) != 0 &&
        errno != EINPROGRESS)
        return fail(errno);
    event_add(m_writable.get(), nullptr);
}

auto plain_stream::start() -> void
{
    create_events();
    m_is_open = true;
    set_link_options(m_socket);
    event_add(m_readable.get(), nullptr);
    m_handlers.m_opened();
}

auto plain_stream::write(std::string_view bytes) -> void
{
    if (m_is_closed)
        return;
    evbuffer_add(m_output.get(), bytes.data(), bytes.size());
    if (m_is_open && event_pending(m_writable.get(), EV_WRITE, nullptr) == 0)
        event_active(m_flush.get(), 0, 0);
}

auto plain_stream::close() -> void
{
    if (std::exchange(m_is_closed, true))
        return;
    m_readable.reset();
    m_writable.reset();
    m_flush.reset();
    if (m_socket >= 0)
        evutil_closesocket(m_socket);
    m_socket = -1;
}

auto plain_stream::unsent() const -> std::size_t
{
    return m_is_closed ? 0 : evbuffer_get_length(m_output.get());
}

auto plain_stream::is_closed() const -> bool
{
    return m_is_closed;
}

auto plain_stream::create_events() -> void
{
    m_readable = new_event(
        m_loop, m_socket, EV_READ | EV_PERSIST,
        [](evutil_socket_t, short, void* self)
        {
            static_cast<plain_stream*>(self)->read();
        },
        this);
    m_writable = new_event(
        m_loop, m_socket, EV_WRITE,
        [](evutil_socket_t, short, void* self)
        {
            static_cast<plain_stream*>(self)->handle_writable();
        },
        this);
}

auto plain_stream::read() -> void
{
    // Shared by all streams of the thread; handlers copy the bytes they need
    // later.
    thread_local auto buffer = std::array<char, read_size>{};
    auto const size = ::recv(m_socket, buffer.data(), buffer.size(), 0);
    if (size > 0)
        return m_handlers.m_received(
            {buffer.data(), static_cast<std::size_t>(size)});
    if (size == 0)
        return fail(0);
    if (!is_retriable(errno))
        fail(errno);
}

auto plain_stream::flush() -> void
{
    while (evbuffer_get_length(m_output.get()) != 0)
    {
        if (evbuffer_write(m_output.get(), m_socket) >= 0)
            continue;
        if (!is_retriable(errno))
            return fail(errno);
        event_add(m_writable.get(), nullptr);
        return;
    }
}

auto plain_stream::handle_writable() -> void
{
    if (m_is_open)
        return flush();
    auto error = 0;
    auto size = static_cast<socklen_t>(sizeof error);
    if (getsockopt(m_socket, SOL_SOCKET, SO_ERROR, &error, &size) != 0)
        error = errno;
    if (error != 0)
        return fail(error);
    m_is_open = true;
    set_link_options(m_socket);
    event_add(m_readable.get(), nullptr);
    m_handlers.m_opened();
    if (!m_is_closed)
        flush();
}

auto plain_stream::fail(int error) -> void
{
    if (m_is_closed)
        return;
    close();
    m_handlers.m_failed(error == 0 ? std::string{"closed by the peer"}
                                   : std::generic_category().message(error));
}

} // namespace hickorylatch::net
