#ifndef HICKORYLATCH_NET_LISTENER_HPP
#define HICKORYLATCH_NET_LISTENER_HPP

#include "net/event_loop.hpp"
#include "net/socket_address.hpp"

#include <boost/leaf/result.hpp>

#include <memory>
#include <string_view>

struct evconnlistener;

namespace hickorylatch::net
{

struct listener_deleter
{
    auto operator()(evconnlistener* handle) const noexcept -> void;
};
using listener_handle = std::unique_ptr<evconnlistener, listener_deleter>;

/// Opens a listening socket without an accept callback. Fails with a
/// `net::error` that contains the address, for example if the port is in use.
[[nodiscard]] auto open_listener(event_loop& loop, std::string_view address)
    -> boost::leaf::result<listener_handle>;

/// The address that a listener is bound to.
[[nodiscard]] auto bound_address(evconnlistener* listener) -> socket_address;

} // namespace hickorylatch::net

#endif
