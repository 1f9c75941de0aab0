#ifndef HICKORYLATCH_NET_PLAIN_STREAM_HPP
#define HICKORYLATCH_NET_PLAIN_STREAM_HPP

#include "net/byte_stream.hpp"
#include "net/event_loop.hpp"

#include <cstddef>
#include <memory>
#include <string_view>

struct evbuffer;

namespace hickorylatch::net
{

struct evbuffer_deleter
{
    auto operator()(evbuffer* handle) const noexcept -> void;
};
using evbuffer_handle = std::unique_ptr<evbuffer, evbuffer_deleter>;

/// A TCP connection without encryption. All writes of one loop iteration are
/// sent with one system call at its end, and received bytes take one call. A
/// bufferevent takes four and two calls, which would be most of the processor
/// time of a process that receives thousands of small messages a second.
class plain_stream
{
public:
    /// Takes an accepted socket, or -1 if `connect` will open one.
    plain_stream(event_loop& loop, int socket, stream_handlers handlers);
    plain_stream(plain_stream const&) = delete;
    auto operator=(plain_stream const&) -> plain_stream& = delete;
    ~plain_stream();

    auto connect(socket_address const& address, socket_address const* source)
        -> void;
    auto start() -> void;
    auto write(std::string_view bytes) -> void;
    auto close() -> void;
    [[nodiscard]] auto unsent() const -> std::size_t;
    [[nodiscard]] auto is_closed() const -> bool;

private:
    auto create_events() -> void;
    auto read() -> void;
    auto flush() -> void;
    /// The socket has connected, or can be written again.
    auto handle_writable() -> void;
    auto fail(int error) -> void;

    event_loop& m_loop;
    stream_handlers m_handlers;
    int m_socket = -1;
    bool m_is_open = false;
    bool m_is_closed = false;
    evbuffer_handle m_output;
    event_handle m_readable;
    event_handle m_writable;
    /// Activated by the first write of a loop iteration.
    event_handle m_flush;
};

static_assert(byte_stream<plain_stream>);

} // namespace hickorylatch::net

#endif
