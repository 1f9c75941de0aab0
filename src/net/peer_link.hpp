#ifndef HICKORYLATCH_NET_PEER_LINK_HPP
#define HICKORYLATCH_NET_PEER_LINK_HPP

#include "net/frame_buffer.hpp"
#include "net/plain_stream.hpp"
#include "net/socket_address.hpp"
#include "net/tls_stream.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>
#include <variant>

namespace hickorylatch::net
{

/// Callbacks of a link to its owner.
struct peer_link_handlers
{
    /// The connection is open in both directions.
    std::function<void()> m_opened;
    /// Receives the body of a complete frame, valid during the call.
    std::function<void(std::string_view)> m_frame_received;
    /// The peer or an error closed the link; receives the cause. Not called
    /// after `close`.
    std::function<void(std::string_view)> m_failed;
};

/// A connection that transfers frames. A handler may close the link, but must
/// not destroy it.
class peer_link
{
public:
    /// Takes an accepted socket, or -1 if `connect` will open one. Encrypted if
    /// `tls` is not null.
    peer_link(event_loop& loop, int socket, tls_context const* tls,
              std::size_t frame_limit, peer_link_handlers handlers);
    peer_link(peer_link const&) = delete;
    auto operator=(peer_link const&) -> peer_link& = delete;
    ~peer_link() = default;

    /// Opens the connection, from the local address `source` if it is not null;
    /// calls `m_opened` or `m_failed`, perhaps before it returns.
    auto connect(socket_address const& address, socket_address const* source)
        -> void;
    /// Starts an accepted connection; calls `m_opened` or `m_failed`, perhaps
    /// before it returns.
    auto start() -> void;
    auto set_frame_limit(std::size_t limit) -> void;
    auto send_frame(std::string_view body) -> void;
    /// Bytes written by `send_frame` but not yet passed to the kernel.
    [[nodiscard]] auto unsent() const -> std::size_t;
    auto close() -> void;
    [[nodiscard]] auto is_closed() const -> bool;

private:
    using stream = std::variant<std::unique_ptr<plain_stream>,
                                std::unique_ptr<tls_stream>>;

    [[nodiscard]] auto open_stream(event_loop& loop, int socket,
                                   tls_context const* tls) -> stream;
    auto received(std::string_view bytes) -> void;

    frame_buffer m_frames;
    peer_link_handlers m_handlers;
    stream m_stream;
};

} // namespace hickorylatch::net

#endif
