#ifndef HICKORYLATCH_NET_BYTE_STREAM_HPP
#define HICKORYLATCH_NET_BYTE_STREAM_HPP

#include "net/socket_address.hpp"

#include <concepts>
#include <cstddef>
#include <functional>
#include <string_view>

namespace hickorylatch::net
{

/// Callbacks of a byte stream to its owner.
struct stream_handlers
{
    /// The connection is open in both directions.
    std::function<void()> m_opened;
    /// Bytes have arrived; they are valid during the call.
    std::function<void(std::string_view)> m_received;
    /// The peer or an error closed the stream; receives the cause. Not called
    /// after `close`.
    std::function<void(std::string_view)> m_failed;
};

/// A bidirectional connection that transfers bytes. A handler may close the
/// stream, but must not destroy it.
template <typename T>
concept byte_stream = requires(T stream, T const& const_stream,
                               socket_address const& address,
                               socket_address const* source,
                               std::string_view bytes)
{
    /// Opens a connection, from the local address `source` if it is not null;
    /// calls `m_opened` or `m_failed`, perhaps before it returns.
    stream.connect(address, source);
    /// Starts an accepted connection; calls `m_opened` or `m_failed`, perhaps
    /// before it returns.
    stream.start();
    stream.write(bytes);
    stream.close();
    /// Bytes that were written but not yet passed to the kernel.
    {
        const_stream.unsent()
        } -> std::same_as<std::size_t>;
    {
        const_stream.is_closed()
        } -> std::same_as<bool>;
};

/// Sets the TCP options of a link's socket: disables Nagle's algorithm and
/// enables detection of dead connections.
auto set_link_options(int socket) -> void;

} // namespace hickorylatch::net

#endif
