#ifndef HICKORYLATCH_NET_EVHTTP_CONNECTION_HPP
#define HICKORYLATCH_NET_EVHTTP_CONNECTION_HPP

#include "core/model/time.hpp"
#include "net/http_message.hpp"

#include <sys/time.h>

struct bufferevent;
struct evhttp_connection;
struct evhttp_request;

namespace hickorylatch::net
{

/// Copies a complete request of evhttp; its body is moved.
[[nodiscard]] auto to_request(evhttp_request* source) -> http_request;

[[nodiscard]] auto to_timeval(core::duration duration) -> timeval;

/// True if the client closed the connection or it was reset.
[[nodiscard]] auto is_closed_by_client(evhttp_connection* connection) -> bool;

[[nodiscard]] auto is_freed_by_evhttp(bufferevent* connection) -> bool;

/// Closes a connection and drops its unsent bytes at once. Must not be called
/// from a callback of this connection.
auto free_connection(evhttp_connection* connection) -> void;

/// Makes evhttp close a connection that has not sent a complete request. Must
/// not be called from a callback of this connection.
auto trigger_timeout(bufferevent* connection) -> void;

} // namespace hickorylatch::net

#endif
