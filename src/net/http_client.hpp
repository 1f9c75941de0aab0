#ifndef HICKORYLATCH_NET_HTTP_CLIENT_HPP
#define HICKORYLATCH_NET_HTTP_CLIENT_HPP

#include "core/model/time.hpp"
#include "core/model/verdict.hpp"
#include "net/event_loop.hpp"
#include "net/http_message.hpp"
#include "net/socket_address.hpp"
#include "net/timer.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

struct evhttp_connection;
struct evhttp_request;

namespace hickorylatch::net
{

struct http_client_settings
{
    /// A larger answer body is an error. Bytes.
    std::size_t m_answer_limit = std::size_t{8} << 20U;
    /// Status line and headers of an answer together, in bytes.
    std::size_t m_header_limit = std::size_t{64} << 10U;
    /// How long an unused connection is kept for another call; 0 opens one
    /// connection per call. A server that closes a kept connection just as a
    /// call is written to it makes that call `may_have_run`; with one
    /// connection per call this cannot happen.
    core::duration m_idle_limit{0};
    /// Unused connections kept at most.
    std::size_t m_idle_connections = 16;
};

/// A call to make.
struct http_call
{
    /// "GET" or "POST".
    std::string m_method = "POST";
    /// Path and query as sent.
    std::string m_path = "/";
    http_headers m_headers;
    std::string m_body;
    /// Longest time for the whole call; 0 for no limit.
    core::duration m_deadline{0};
};

/// How a call ended.
struct http_result
{
    /// `ran` if a whole answer arrived, `not_run` if no byte of the request
    /// was written, else `may_have_run`.
    core::run_state m_run = core::run_state::not_run;
    /// Meaningful only if a whole answer arrived.
    http_answer m_answer;
    /// Cause of a failure; empty if a whole answer arrived.
    std::string m_error;
};

/// Calls one HTTP server. Never repeats a call by itself.
class http_client
{
public:
    using call_id = std::uint64_t;
    using callback = std::function<void(http_result)>;

    http_client(event_loop& loop, socket_address target,
                http_client_settings settings);
    http_client(http_client const&) = delete;
    auto operator=(http_client const&) -> http_client& = delete;
    /// Drops calls in progress; their callbacks are not called.
    ~http_client();

    /// Starts a call. The callback is called once, after this function has
    /// returned. It may start and cancel calls, but must not destroy the
    /// client.
    auto start(http_call const& call, callback finished) -> call_id;
    /// Ends a call and closes its connection. Its callback is called before
    /// this function returns. Does nothing if the call has ended.
    auto cancel(call_id call) -> void;
    /// Calls in progress.
    [[nodiscard]] auto active() const -> std::size_t;

private:
    struct connection;
    struct active_call;

    auto take_connection() -> std::unique_ptr<connection>;
    auto make_request(http_call const& call, active_call& state) -> bool;
    auto answered(active_call& call, evhttp_request* answer) -> void;
    auto failure(active_call const& call) const -> http_result;
    /// Ends a call from outside evhttp's callbacks.
    auto interrupt(call_id id, std::string_view cause) -> void;
    auto finish(call_id id, http_result result) -> void;
    auto clean_up() -> void;

    event_loop& m_loop;
    socket_address m_target;
    http_client_settings m_settings;
    call_id m_last_id = 0;
    std::unordered_map<call_id, std::unique_ptr<active_call>> m_calls;
    std::vector<std::unique_ptr<connection>> m_idle;
    /// Destroyed in a later turn, because evhttp may still be using them.
    std::vector<std::unique_ptr<connection>> m_discarded;
    timer m_cleanup;
};

} // namespace hickorylatch::net

#endif
