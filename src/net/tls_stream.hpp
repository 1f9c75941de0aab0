#ifndef HICKORYLATCH_NET_TLS_STREAM_HPP
#define HICKORYLATCH_NET_TLS_STREAM_HPP

#include "net/byte_stream.hpp"
#include "net/tls_context.hpp"

#include <cstddef>
#include <string_view>

namespace hickorylatch::net
{

/// A TCP connection with mutual TLS.
class tls_stream
{
public:
    /// Takes a connection that `tls_context::open` created.
    tls_stream(bufferevent_handle connection, stream_handlers handlers);
    tls_stream(tls_stream const&) = delete;
    auto operator=(tls_stream const&) -> tls_stream& = delete;
    ~tls_stream() = default;

    auto connect(socket_address const& address, socket_address const* source)
        -> void;
    /// Does nothing: `m_opened` is called after the handshake.
    auto start() -> void;
    auto write(std::string_view bytes) -> void;
    auto close() -> void;
    [[nodiscard]] auto unsent() const -> std::size_t;
    [[nodiscard]] auto is_closed() const -> bool;

private:
    auto read() -> void;
    auto handle_event(short what) -> void;
    auto fail(std::string_view cause) -> void;

    bufferevent_handle m_connection;
    stream_handlers m_handlers;
};

static_assert(byte_stream<tls_stream>);

} // namespace hickorylatch::net

#endif
