#include "net/listener.hpp"

#include "net/error.hpp"

#include <event2/listener.h>

#include <boost/leaf/error.hpp>

#include <cerrno>
#include <string>
#include <system_error>

namespace hickorylatch::net
{

namespace leaf = boost::leaf;

namespace
{

constexpr auto listen_backlog = 1024;

} // namespace

auto listener_deleter::operator()(evconnlistener* handle) const noexcept -> void
{
    evconnlistener_free(handle);
}

auto open_listener(event_loop& loop, std::string_view address)
    -> leaf::result<listener_handle>
{
    BOOST_LEAF_AUTO(parsed, socket_address::parse(address));
    auto listener = listener_handle{evconnlistener_new_bind(
        loop.base(), nullptr, nullptr,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
        listen_backlog, parsed.data(), static_cast<int>(parsed.size()))};
    if (listener)
        return listener;
    auto const reason = std::generic_category().message(errno);
    return leaf::new_error(
        error{"cannot listen on " + std::string{address} + ": " + reason});
}

auto bound_address(evconnlistener* listener) -> socket_address
{
    return socket_address::of_socket(evconnlistener_get_fd(listener));
}

} // namespace hickorylatch::net
