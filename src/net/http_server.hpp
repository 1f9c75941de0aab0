#ifndef HICKORYLATCH_NET_HTTP_SERVER_HPP
#define HICKORYLATCH_NET_HTTP_SERVER_HPP

#include "core/model/event.hpp"
#include "net/connection_account.hpp"
#include "net/connection_ledger.hpp"
#include "net/event_loop.hpp"
#include "net/http_message.hpp"
#include "net/timer.hpp"

#include <boost/leaf/result.hpp>
#include <sigc++/signal.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <vector>

struct bufferevent;
struct evhttp;
struct evhttp_bound_socket;
struct evhttp_connection;
struct evhttp_request;

namespace hickorylatch::net
{

struct http_server_settings
{
    /// Largest accepted body in bytes; a larger one is answered 413.
    std::size_t m_body_limit = std::size_t{8} << 20U;
    /// Largest request line and headers together, in bytes.
    std::size_t m_header_limit = std::size_t{16} << 10U;
    /// Limit from accepting a connection to its first complete request, from
    /// the first byte of a later request to its end, between requests, and
    /// without progress while a client reads a response.
    core::duration m_read_timeout = std::chrono::seconds{10};
    /// Connections beyond this number are answered 503 and closed.
    std::size_t m_connection_limit = 1024;
    /// Bounds on the connections of all servers that share it; by default the
    /// server has its own.
    std::shared_ptr<connection_ledger> m_ledger;
};

struct evhttp_deleter
{
    auto operator()(evhttp* handle) const noexcept -> void;
};
using evhttp_handle = std::unique_ptr<evhttp, evhttp_deleter>;

/// Accepts HTTP/1.1 requests. Each request opens an exchange, which ends with
/// `answer`, with `abort` or when the client closes its connection.
class http_server
{
public:
    using handler = std::function<void(http_request)>;

    /// The handler is called for each complete request and may answer it
    /// synchronously.
    http_server(event_loop& loop, http_server_settings settings,
                handler handle);
    http_server(http_server const&) = delete;
    auto operator=(http_server const&) -> http_server& = delete;
    ~http_server();

    /// Replaces the handler. Must not be called from within it.
    auto set_handler(handler handle) -> void;
    /// Accepts connections on one more address and returns the bound port.
    [[nodiscard]] auto listen(std::string_view address)
        -> boost::leaf::result<std::uint16_t>;
    /// Makes each later answer close its connection, so that clients reconnect
    /// to another server.
    auto drain() -> void;
    /// Closes the connections on which no request is in progress.
    auto close_idle() -> void;
    /// Closes the listening sockets. Exchanges stay open; each later answer
    /// closes its connection.
    auto stop_accepting() -> void;

    /// Answers an exchange. Does nothing if it was abandoned.
    auto answer(core::exchange_id exchange, std::uint16_t status,
                http_headers const& headers, std::string_view body) -> void;
    /// Closes the connection of an exchange without an answer, or after sending
    /// the given bytes unmodified.
    auto abort(core::exchange_id exchange, std::string_view raw_bytes = {})
        -> void;
    /// True unless the exchange was answered or its client has closed the
    /// connection. Sees a closing that was not handled yet.
    [[nodiscard]] auto is_waiting(core::exchange_id exchange) const -> bool;
    /// Number of exchanges that are neither answered nor abandoned.
    [[nodiscard]] auto open_exchanges() const -> std::size_t;
    /// Number of open connections, including those refused with 503.
    [[nodiscard]] auto connections() const -> std::size_t;

    /// No exchange is open, and all answers were passed to the kernel.
    [[nodiscard]] auto is_idle() const -> bool;

    /// Emitted when `is_idle` becomes true.
    auto became_idle() -> sigc::signal<void()>&;
    /// Emitted when the client closes the connection, or only its sending side,
    /// or resets it before its request is answered.
    auto exchange_abandoned() -> sigc::signal<void(core::exchange_id)>&;

private:
    struct open_exchange;
    struct pending_connection;
    struct connection_state
    {
        std::unique_ptr<connection_account> m_account;
        /// Accepted within `m_connection_limit`, so not refused.
        bool m_is_served = false;
        /// An answer was not passed to the kernel completely yet.
        bool m_is_sending = false;
        /// Last exchange on this connection; 0 before the first.
        core::exchange_id m_exchange = 0;
    };

    auto add_connection() -> bufferevent*;
    auto handle_request(evhttp_request* request) -> void;
    auto track(evhttp_connection* connection) -> void;
    auto answer_sent(evhttp_connection* connection) -> void;
    auto count_sent() -> void;
    auto connection_closed(evhttp_connection* connection) -> void;
    /// Handles an event on the connection of an open exchange.
    auto check_client(open_exchange& exchange) -> void;
    auto client_closed(core::exchange_id exchange) -> void;
    auto check_connections() -> void;
    auto check_pending() -> void;
    /// Closes connections that do not make progress in time.
    auto check_progress() -> void;
    /// Enters accepted connections in the ledger and closes connections as
    /// long as a bound is exceeded.
    auto enforce_bounds() -> void;
    auto enforce_bounds_later() -> void;
    /// Makes room for a response. False if there is not enough.
    auto make_room(std::size_t bytes) -> bool;
    /// Closes a connection that the ledger chose, if it is one of this server.
    auto close(connection_closing closing) -> void;
    auto update_listeners() -> void;

    event_loop& m_loop;
    http_server_settings m_settings;
    handler m_handler;
    evhttp_handle m_http;
    std::vector<evhttp_bound_socket*> m_listeners;
    bool m_is_stopping = false;
    std::unordered_map<core::exchange_id, std::unique_ptr<open_exchange>>
        m_exchanges;
    /// Connections that have not sent a complete request yet.
    std::vector<pending_connection> m_pending;
    /// Connections that have sent a complete request.
    std::unordered_map<evhttp_connection*, connection_state> m_connections;
    std::size_t m_served_count = 0;
    std::size_t m_sending_count = 0;
    timer m_check;
    /// Calls `enforce_bounds` before other events are handled. Within one loop
    /// iteration, many connections could receive far more than the bound.
    event_handle m_enforcement;
    /// Accepted connections that are not in the ledger yet.
    std::size_t m_unopened = 0;
    sigc::connection m_close_requested;
    sigc::signal<void()> m_became_idle;
    sigc::signal<void(core::exchange_id)> m_exchange_abandoned;
};

} // namespace hickorylatch::net

#endif
