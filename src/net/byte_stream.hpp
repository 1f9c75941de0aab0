#ifndef HICKORYLATCH_NET_BYTE_STREAM_HPP
#define HICKORYLATCH_NET_BYTE_STREAM_HPP

#include "net/socket_address.hpp"

#include <concepts>
#include <cstddef>
#include <functional>
#include <string_view>

namespace hickorylatch::net
{

/// What a byte stream reports to its owner.
struct stream_handlers
{
    /// The connection is open in both directions.
    std::function<void()> m_opened;
    /// Bytes have arrived; they are valid during the call.
    std::function<void(std::string_view)> m_received;
    /// The stream closed by itself, with the cause. Not called after `close`.
    std::function<void(std::string_view)> m_failed;
};

/// A connection that carries bytes both ways. A handler may close the stream,
/// but must not destroy it.
template <typename T>
concept byte_stream = requires(T stream, T const& view,
                               socket_address const& address,
                               socket_address const* source,
                               std::string_view bytes)
{
    /// Opens a connection, from `source` if it is not null; `m_opened` or
    /// `m_failed` follows.
    stream.connect(address, source);
    /// Reports an accepted connection as open.
    stream.start();
    stream.write(bytes);
    stream.close();
    /// Bytes that were written and that the kernel has not taken yet.
    {
        view.unsent()
        } -> std::same_as<std::size_t>;
    {
        view.is_closed()
        } -> std::same_as<bool>;
};

/// Sets the options of a TCP socket that carries a link: messages leave at
/// once, and a silent cut is noticed.
auto set_link_options(int socket) -> void;

} // namespace hickorylatch::net

#endif
