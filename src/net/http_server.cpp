#include "net/http_server.hpp"

#include "net/evhttp_connection.hpp"
#include "net/listener.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <atomic>
#include <new>
#include <utility>

namespace hickorylatch::net
{

namespace leaf = boost::leaf;

namespace
{

// Connections over the limit that may be open while they wait for their 503.
// With more, accepting is paused.
constexpr auto max_refused_connections = std::size_t{64};

// Connections accepted in one loop iteration beyond the bounds of the ledger,
// which decides in the next iteration which ones stay.
constexpr auto max_accepted_over_bounds = std::size_t{16};

// Bytes that the kernel may hold for a connection in each direction. By default
// it holds megabytes, which count towards the memory of the process. It doubles
// these values for its own overhead.
constexpr auto kernel_receive_buffer = 128 << 10;
constexpr auto kernel_send_buffer = 128 << 10;

constexpr auto check_interval = core::duration{std::chrono::milliseconds{250}};

// Responses up to this size are sent without making room for them first, so
// that those to jobs are not dropped while many jobs are in process.
constexpr auto small_response = std::size_t{16} << 10U;

// Interval at which a client that pipelines requests is checked for a closed
// connection.
constexpr auto pipelined_check_interval = timeval{0, 50'000};

constexpr auto allowed_methods = EVHTTP_REQ_GET | EVHTTP_REQ_POST |
                                 EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT |
                                 EVHTTP_REQ_DELETE | EVHTTP_REQ_PATCH;

/// Exchange ids are unique in the process, so that several servers can share
/// one table of exchanges.
auto next_exchange() -> core::exchange_id
{
    static auto last = std::atomic<core::exchange_id>{0};
    return ++last;
}

} // namespace

struct http_server::open_exchange
{
    http_server& m_server;
    core::exchange_id m_id = 0;
    evhttp_request* m_request = nullptr;
    /// Triggered when the client closes or resets the connection. evhttp stops
    /// reading while a request is handled and so does not detect this.
    event_handle m_close_event = nullptr;
};

/// The account holds a reference so that the stream stays valid until it has
/// sent a request. evhttp has no callback for a connection that closes before
/// that.
struct http_server::pending_connection
{
    std::unique_ptr<connection_account> m_account;
    core::time_point m_deadline{0};
};

auto evhttp_deleter::operator()(evhttp* handle) const noexcept -> void
{
    evhttp_free(handle);
}

http_server::http_server(event_loop& loop, http_server_settings settings,
                         handler handle)
    : m_loop{loop}, m_settings{std::move(settings)}, m_handler{std::move(
                                                         handle)},
      m_http{evhttp_new(loop.base())}, m_check{loop, [this]
                                               {
                                                   check_connections();
                                               }}
{
    if (!m_http)
        throw std::bad_alloc{};
    if (!m_settings.m_ledger)
        m_settings.m_ledger = std::make_shared<connection_ledger>();
    auto const enforce = [](evutil_socket_t, short, void* self)
    {
        static_cast<http_server*>(self)->enforce_bounds();
    };
    m_enforcement.reset(event_new(loop.base(), -1, 0, enforce, this));
    if (!m_enforcement)
        throw std::bad_alloc{};
    event_priority_set(m_enforcement.get(), urgent_priority);
    m_close_requested = m_settings.m_ledger->close_requested().connect(
        [this](connection_closing closing)
        {
            close(closing);
        });
    auto* const http = m_http.get();
    evhttp_set_allowed_methods(http, allowed_methods);
    evhttp_set_default_content_type(http, nullptr);
    evhttp_set_max_body_size(http,
                             static_cast<ev_ssize_t>(m_settings.m_body_limit));
    evhttp_set_max_headers_size(
        http, static_cast<ev_ssize_t>(m_settings.m_header_limit));
    auto const interval = to_timeval(m_settings.m_read_timeout);
    evhttp_set_timeout_tv(http, &interval);
    // Reads an oversized body to its end; otherwise the client might see a
    // connection reset instead of the 413.
    evhttp_set_flags(http, EVHTTP_SERVER_LINGERING_CLOSE);
    evhttp_set_bevcb(
        http,
        [](event_base*, void* self)
        {
            return static_cast<http_server*>(self)->add_connection();
        },
        this);
    evhttp_set_gencb(
        http,
        [](evhttp_request* request, void* self)
        {
            static_cast<http_server*>(self)->handle_request(request);
        },
        this);
}

http_server::~http_server()
{
    m_close_requested.disconnect();
    for (auto const& [connection, state] : m_connections)
        evhttp_connection_set_closecb(connection, nullptr, nullptr);
    m_exchanges.clear();
}

auto http_server::set_handler(handler handle) -> void
{
    m_handler = std::move(handle);
}

auto http_server::listen(std::string_view address)
    -> leaf::result<std::uint16_t>
{
    BOOST_LEAF_AUTO(listener, open_listener(m_loop, address));
    // Accepted connections inherit these options.
    auto const socket = evconnlistener_get_fd(listener.get());
    setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &kernel_receive_buffer,
               sizeof kernel_receive_buffer);
    setsockopt(socket, SOL_SOCKET, SO_SNDBUF, &kernel_send_buffer,
               sizeof kernel_send_buffer);
    auto const port = bound_address(listener.get()).port();
    auto* const bound = evhttp_bind_listener(m_http.get(), listener.get());
    if (bound == nullptr)
        throw std::bad_alloc{};
    // evhttp owns the listener now.
    static_cast<void>(listener.release());
    m_listeners.push_back(bound);
    // Accepting fails when the process is out of file descriptors; retrying
    // immediately would be a busy loop. `check_connections` enables it again.
    evconnlistener_set_error_cb(evhttp_bound_socket_get_listener(bound),
                                [](evconnlistener* failed, void*)
                                {
                                    evconnlistener_disable(failed);
                                });
    m_check.start(check_interval);
    return port;
}

auto http_server::drain() -> void
{
    m_is_stopping = true;
}

auto http_server::close_idle() -> void
{
    auto idle = std::vector<evhttp_connection*>{};
    for (auto const& [connection, state] : m_connections)
        if (!state.m_is_sending && !m_exchanges.contains(state.m_exchange))
            idle.push_back(connection);
    for (auto* const connection : idle)
        evhttp_connection_free(connection);
}

auto http_server::stop_accepting() -> void
{
    drain();
    for (auto* const listener : std::exchange(m_listeners, {}))
        evhttp_del_accept_socket(m_http.get(), listener);
}

auto http_server::answer(core::exchange_id exchange, std::uint16_t status,
                         http_headers const& headers, std::string_view body)
    -> void
{
    if (!m_exchanges.contains(exchange))
        return;
    if (body.size() > small_response && !make_room(body.size()))
    {
        m_settings.m_ledger->count_closed(close_cause::memory);
        return abort(exchange);
    }
    auto const found = m_exchanges.find(exchange);
    auto* const request = found->second->m_request;
    m_exchanges.erase(found);
    auto* const output = evhttp_request_get_output_headers(request);
    for (auto const& [name, value] : headers)
        evhttp_add_header(output, name.c_str(), value.c_str());
    if (m_is_stopping)
        evhttp_add_header(output, "Connection", "close");
    evbuffer_add(evhttp_request_get_output_buffer(request), body.data(),
                 body.size());
    auto const sent = [](evhttp_request* done, void* self)
    {
        static_cast<http_server*>(self)->answer_sent(
            evhttp_request_get_connection(done));
    };
    evhttp_request_set_on_complete_cb(request, sent, this);
    auto& state = m_connections.at(evhttp_request_get_connection(request));
    state.m_is_sending = true;
    ++m_sending_count;
    state.m_account->response_started();
    // Otherwise evhttp would close the connection of a client that reads a
    // response for longer than the timeout. `check_progress` closes those that
    // do not read.
    bufferevent_set_timeouts(state.m_account->stream(), nullptr, nullptr);
    evhttp_send_reply(request, status, nullptr, nullptr);
}

auto http_server::abort(core::exchange_id exchange, std::string_view raw_bytes)
    -> void
{
    auto const found = m_exchanges.find(exchange);
    if (found == m_exchanges.end())
        return;
    auto* const connection =
        evhttp_request_get_connection(found->second->m_request);
    m_exchanges.erase(found);
    auto const socket =
        bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
    // Sent directly, because freeing the connection discards its output buffer.
    if (!raw_bytes.empty())
        ::send(socket, raw_bytes.data(), raw_bytes.size(), MSG_NOSIGNAL);
    evhttp_connection_free(connection);
    if (is_idle())
        m_became_idle.emit();
}

auto http_server::is_waiting(core::exchange_id exchange) const -> bool
{
    auto const found = m_exchanges.find(exchange);
    return found != m_exchanges.end() &&
           !is_closed_by_client(
               evhttp_request_get_connection(found->second->m_request));
}

auto http_server::open_exchanges() const -> std::size_t
{
    return m_exchanges.size();
}

auto http_server::connections() const -> std::size_t
{
    return m_connections.size() + m_pending.size();
}

auto http_server::is_idle() const -> bool
{
    return m_exchanges.empty() && m_sending_count == 0;
}

auto http_server::became_idle() -> sigc::signal<void()>&
{
    return m_became_idle;
}

auto http_server::exchange_abandoned() -> sigc::signal<void(core::exchange_id)>&
{
    return m_exchange_abandoned;
}

auto http_server::add_connection() -> bufferevent*
{
    // evhttp closes the socket itself, even while a reference is held.
    auto* const connection = bufferevent_socket_new(m_loop.base(), -1, 0);
    if (connection == nullptr)
        return nullptr;
    auto pending = pending_connection{};
    pending.m_account = std::make_unique<connection_account>(
        m_loop, *m_settings.m_ledger, connection,
        connection_account_settings{m_settings.m_header_limit +
                                        m_settings.m_body_limit,
                                    m_settings.m_header_limit},
        [this]
        {
            if (m_settings.m_ledger->bytes() >
                m_settings.m_ledger->bounds().m_bytes)
                enforce_bounds_later();
        });
    pending.m_deadline = m_loop.now() + m_settings.m_read_timeout;
    m_pending.push_back(std::move(pending));
    ++m_unopened;
    update_listeners();
    // The socket is set when this returns.
    enforce_bounds_later();
    return connection;
}

auto http_server::handle_request(evhttp_request* request) -> void
{
    auto* const connection = evhttp_request_get_connection(request);
    track(connection);
    auto& state = m_connections.at(connection);
    state.m_account->request_received();
    if (!state.m_is_served)
    {
        evhttp_add_header(evhttp_request_get_output_headers(request),
                          "Connection", "close");
        evhttp_send_reply(request, HTTP_SERVUNAVAIL, nullptr, nullptr);
        return;
    }
    auto exchange = std::make_unique<open_exchange>(
        open_exchange{*this, next_exchange(), request});
    auto const socket =
        bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
    auto const changed = [](evutil_socket_t, short, void* self)
    {
        auto& exchange = *static_cast<open_exchange*>(self);
        exchange.m_server.check_client(exchange);
    };
    // libevent reports a reset as readable, not as closed.
    exchange->m_close_event.reset(event_new(
        m_loop.base(), socket, EV_READ | EV_CLOSED, changed, exchange.get()));
    if (!exchange->m_close_event)
        throw std::bad_alloc{};
    event_add(exchange->m_close_event.get(), nullptr);
    auto arrived = to_request(request);
    arrived.m_exchange = exchange->m_id;
    arrived.m_is_first_on_connection = state.m_exchange == 0;
    state.m_exchange = exchange->m_id;
    m_exchanges.emplace(exchange->m_id, std::move(exchange));
    // After a reset the client retries at another server, so the request must
    // not be handled here. The event above ends the exchange.
    if (!is_closed_by_client(connection))
        m_handler(std::move(arrived));
}

auto http_server::track(evhttp_connection* connection) -> void
{
    if (m_connections.contains(connection))
        return;
    auto* const stream = evhttp_connection_get_bufferevent(connection);
    auto const enabled = 1;
    setsockopt(bufferevent_getfd(stream), IPPROTO_TCP, TCP_NODELAY, &enabled,
               sizeof enabled);
    auto const pending = std::ranges::find(m_pending, stream,
                                           [](auto const& item)
                                           {
                                               return item.m_account->stream();
                                           });
    auto account = std::move(pending->m_account);
    m_pending.erase(pending);
    if (account->id() == 0)
        account->open();
    auto const is_served = m_served_count < m_settings.m_connection_limit &&
                           !m_settings.m_ledger->is_refused(account->id());
    m_served_count += is_served ? 1 : 0;
    m_connections.emplace(connection,
                          connection_state{std::move(account), is_served});
    evhttp_connection_set_closecb(
        connection,
        [](evhttp_connection* closed, void* self)
        {
            static_cast<http_server*>(self)->connection_closed(closed);
        },
        this);
}

auto http_server::answer_sent(evhttp_connection* connection) -> void
{
    auto const found = m_connections.find(connection);
    if (found == m_connections.end() ||
        !std::exchange(found->second.m_is_sending, false))
        return;
    auto& account = *found->second.m_account;
    account.response_sent();
    auto const timeout = to_timeval(m_settings.m_read_timeout);
    bufferevent_set_timeouts(account.stream(), &timeout, &timeout);
    count_sent();
}

auto http_server::count_sent() -> void
{
    --m_sending_count;
    if (is_idle())
        m_became_idle.emit();
}

auto http_server::connection_closed(evhttp_connection* connection) -> void
{
    auto const found = m_connections.find(connection);
    if (found == m_connections.end())
        return;
    if (std::exchange(found->second.m_is_sending, false))
        count_sent();
    auto const exchange = found->second.m_exchange;
    m_served_count -= found->second.m_is_served ? 1 : 0;
    m_connections.erase(found);
    update_listeners();
    if (m_exchanges.erase(exchange) > 0)
        m_exchange_abandoned.emit(exchange);
}

auto http_server::check_client(open_exchange& exchange) -> void
{
    auto* const connection = evhttp_request_get_connection(exchange.m_request);
    if (is_closed_by_client(connection))
        return client_closed(exchange.m_id);
    m_connections.at(connection).m_account->measure_kernel();
    // A pipelined request keeps the socket readable and would trigger the event
    // in every loop iteration, so a timer replaces the event.
    exchange.m_close_event.reset(event_new(
        m_loop.base(), -1, 0,
        [](evutil_socket_t, short, void* self)
        {
            auto& waiting = *static_cast<open_exchange*>(self);
            waiting.m_server.check_client(waiting);
        },
        &exchange));
    if (!exchange.m_close_event)
        throw std::bad_alloc{};
    event_add(exchange.m_close_event.get(), &pipelined_check_interval);
}

auto http_server::client_closed(core::exchange_id exchange) -> void
{
    abort(exchange);
    m_exchange_abandoned.emit(exchange);
}

auto http_server::check_connections() -> void
{
    check_pending();
    check_progress();
    m_check.start(check_interval);
    update_listeners();
}

auto http_server::check_pending() -> void
{
    auto const now = m_loop.now();
    std::erase_if(m_pending,
                  [](auto const& pending)
                  {
                      return is_freed_by_evhttp(pending.m_account->stream());
                  });
    // Makes evhttp close connections whose first request is not complete in
    // time.
    for (auto const& pending : m_pending)
    {
        if (pending.m_deadline > now)
            continue;
        if (pending.m_account->request_began_at())
            m_settings.m_ledger->count_closed(close_cause::slow_request);
        trigger_timeout(pending.m_account->stream());
    }
}

auto http_server::check_progress() -> void
{
    auto const expired = m_loop.now() - m_settings.m_read_timeout;
    auto closings = std::vector<std::pair<evhttp_connection*, close_cause>>{};
    for (auto const& [connection, state] : m_connections)
    {
        auto& account = *state.m_account;
        if (state.m_is_sending)
        {
            account.measure_kernel();
            if (account.progress_at() < expired)
                closings.emplace_back(connection, close_cause::unread_response);
        }
        else if (auto const began_at = account.request_began_at();
                 began_at && *began_at < expired)
            closings.emplace_back(connection, close_cause::slow_request);
    }
    for (auto const& [connection, cause] : closings)
    {
        m_settings.m_ledger->count_closed(cause);
        free_connection(connection);
    }
}

auto http_server::enforce_bounds() -> void
{
    m_unopened = 0;
    for (auto const& pending : m_pending)
    {
        if (pending.m_account->id() == 0)
            pending.m_account->open();
    }
    auto& ledger = *m_settings.m_ledger;
    while (auto const closing = ledger.take_closing(m_loop.now()))
        ledger.close_requested().emit(*closing);
    update_listeners();
}

auto http_server::enforce_bounds_later() -> void
{
    event_active(m_enforcement.get(), 0, 0);
}

auto http_server::make_room(std::size_t bytes) -> bool
{
    auto& ledger = *m_settings.m_ledger;
    while (auto const closing = ledger.take_closing_for(bytes, m_loop.now()))
        ledger.close_requested().emit(*closing);
    return ledger.bytes() + bytes <= ledger.bounds().m_bytes;
}

auto http_server::close(connection_closing closing) -> void
{
    auto const has_id = [&](auto const& account)
    {
        return account->id() == closing.m_connection;
    };
    auto const pending =
        std::ranges::find_if(m_pending, has_id, &pending_connection::m_account);
    if (pending != m_pending.end())
    {
        auto* const stream = pending->m_account->stream();
        trigger_timeout(stream);
        if (is_freed_by_evhttp(stream))
            m_pending.erase(pending);
        return;
    }
    auto const found =
        std::ranges::find_if(m_connections,
                             [&](auto const& item)
                             {
                                 return has_id(item.second.m_account);
                             });
    if (found != m_connections.end())
        free_connection(found->first);
}

auto http_server::update_listeners() -> void
{
    auto const& ledger = *m_settings.m_ledger;
    auto const is_full = connections() >= m_settings.m_connection_limit +
                                              max_refused_connections ||
                         ledger.connections() + m_unopened >=
                             ledger.bounds().m_connections +
                                 ledger.bounds().m_refused_connections +
                                 max_accepted_over_bounds;
    for (auto* const listener : m_listeners)
    {
        auto* const socket = evhttp_bound_socket_get_listener(listener);
        is_full ? evconnlistener_disable(socket)
                : evconnlistener_enable(socket);
    }
}

} // namespace hickorylatch::net
