#ifndef HICKORYLATCH_NET_PEER_LINK_HPP
#define HICKORYLATCH_NET_PEER_LINK_HPP

#include "net/event_loop.hpp"
#include "net/frame_buffer.hpp"
#include "net/socket_address.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

struct bufferevent;

namespace hickorylatch::net
{

struct bufferevent_deleter
{
    auto operator()(bufferevent* handle) const noexcept -> void;
};
using bufferevent_handle = std::unique_ptr<bufferevent, bufferevent_deleter>;

/// What a link reports to its owner.
struct peer_link_handlers
{
    /// The connection is open in both directions.
    std::function<void()> m_opened;
    /// A whole frame's body, valid during the call.
    std::function<void(std::string_view)> m_frame_received;
    /// The link closed by itself, with the cause. Not called after `close`.
    std::function<void(std::string_view)> m_failed;
};

/// One TCP connection that carries frames. A handler may close the link, but
/// must not destroy it.
class peer_link
{
public:
    /// Takes a socket that is connected, or one that `connect` will open.
    peer_link(bufferevent_handle connection, std::size_t frame_limit,
              peer_link_handlers handlers);
    peer_link(peer_link const&) = delete;
    auto operator=(peer_link const&) -> peer_link& = delete;
    ~peer_link() = default;

    /// Opens the connection; `m_opened` or `m_failed` follows.
    auto connect(socket_address const& address) -> void;
    /// Reports an accepted connection that needs no handshake as open.
    auto start() -> void;
    auto set_frame_limit(std::size_t limit) -> void;
    auto send_frame(std::string_view body) -> void;
    /// Bytes written by `send_frame` and not yet taken by the kernel.
    [[nodiscard]] auto unsent() const -> std::size_t;
    auto close() -> void;
    [[nodiscard]] auto is_closed() const -> bool;

private:
    auto read() -> void;
    auto handle_event(short what) -> void;
    auto open() -> void;
    auto fail(std::string_view cause) -> void;

    bufferevent_handle m_connection;
    frame_buffer m_frames;
    peer_link_handlers m_handlers;
    bool m_is_open = false;
};

} // namespace hickorylatch::net

#endif
