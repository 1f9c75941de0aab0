#include "net/evhttp_connection.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include <poll.h>

#include <string>
#include <string_view>

namespace hickorylatch::net
{

namespace
{

auto method_name(evhttp_cmd_type method) -> std::string_view
{
    switch (method)
    {
    case EVHTTP_REQ_GET:
        return "GET";
    case EVHTTP_REQ_POST:
        return "POST";
    case EVHTTP_REQ_HEAD:
        return "HEAD";
    case EVHTTP_REQ_PUT:
        return "PUT";
    case EVHTTP_REQ_DELETE:
        return "DELETE";
    case EVHTTP_REQ_PATCH:
        return "PATCH";
    default:
        return "";
    }
}

auto remote_address(evhttp_connection* connection) -> std::string
{
    char* host = nullptr;
    auto port = ev_uint16_t{0};
    evhttp_connection_get_peer(connection, &host, &port);
    if (host == nullptr)
        return {};
    auto const is_v6 =
        std::string_view{host}.find(':') != std::string_view::npos;
    auto text = std::string{is_v6 ? "[" : ""};
    text += host;
    text += is_v6 ? "]:" : ":";
    return text + std::to_string(port);
}

} // namespace

auto to_request(evhttp_request* source) -> http_request
{
    auto request = http_request{};
    request.m_method = method_name(evhttp_request_get_command(source));
    auto const* const uri = evhttp_request_get_evhttp_uri(source);
    if (auto const* const path = evhttp_uri_get_path(uri))
        request.m_path = path;
    if (auto const* const query = evhttp_uri_get_query(uri))
        request.m_query = query;
    auto const* const headers = evhttp_request_get_input_headers(source);
    for (auto const* header = headers->tqh_first; header != nullptr;
         header = header->next.tqe_next)
        request.m_headers.emplace_back(header->key, header->value);
    auto* const body = evhttp_request_get_input_buffer(source);
    request.m_body.resize(evbuffer_get_length(body));
    evbuffer_remove(body, request.m_body.data(), request.m_body.size());
    request.m_remote = remote_address(evhttp_request_get_connection(source));
    return request;
}

auto to_timeval(core::duration duration) -> timeval
{
    return {static_cast<time_t>(duration.count() / 1'000'000),
            static_cast<suseconds_t>(duration.count() % 1'000'000)};
}

auto is_closed_by_client(evhttp_connection* connection) -> bool
{
    auto state = pollfd{};
    state.fd = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
    state.events = POLLRDHUP;
    return ::poll(&state, 1, 0) > 0;
}

auto is_freed_by_evhttp(bufferevent* connection) -> bool
{
    bufferevent_event_cb event_callback = nullptr;
    bufferevent_getcb(connection, nullptr, nullptr, &event_callback, nullptr);
    return event_callback == nullptr;
}

auto free_connection(evhttp_connection* connection) -> void
{
    // libevent frees the stream in a later loop iteration. Until then the
    // unsent bytes of many connections could exceed the memory of the process.
    auto* const output =
        bufferevent_get_output(evhttp_connection_get_bufferevent(connection));
    evbuffer_unfreeze(output, 1);
    evbuffer_drain(output, evbuffer_get_length(output));
    evbuffer_freeze(output, 1);
    evhttp_connection_free(connection);
}

auto trigger_timeout(bufferevent* connection) -> void
{
    // The stream may be kept by a reference for some time, but not its input.
    // Without reading, no request can complete from what arrives later.
    bufferevent_disable(connection, EV_READ);
    auto* const input = bufferevent_get_input(connection);
    evbuffer_drain(input, evbuffer_get_length(input));
    bufferevent_trigger_event(connection, BEV_EVENT_READING | BEV_EVENT_TIMEOUT,
                              0);
}

} // namespace hickorylatch::net
