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
#include <optional>
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
    /// Largest accepted answer body in bytes; a larger one is an error.
    std::size_t m_answer_limit = std::size_t{8} << 20U;
    /// Largest status line and headers of an answer together, in bytes.
    std::size_t m_header_limit = std::size_t{64} << 10U;
    /// How long an idle connection is kept open for reuse; 0 opens one
    /// connection per call. If the server closes a reused connection while a
    /// call is being written, that call ends as `may_have_run`; with one
    /// connection per call this cannot happen.
    core::duration m_idle_timeout{0};
    /// Largest number of idle connections kept open.
    std::size_t m_max_idle_connections = 16;
};

/// A call that is sent first on each new connection and shows which instance of
/// the server answers there.
struct connection_check
{
    /// Identity of the intended instance. A connection is reused only for calls
    /// that intend the same instance.
    std::string m_instance;
    std::string m_path = "/";
    http_headers m_headers;
    std::string m_body;
    /// True if the answer comes from the intended instance.
    std::function<bool(http_answer const&)> m_accepts;
    /// Limit for connecting and the check; 0 for none.
    core::duration m_timeout{0};
};

/// A request to send.
struct http_call
{
    /// "GET" or "POST".
    std::string m_method = "POST";
    /// Path and query, already percent-encoded.
    std::string m_path = "/";
    http_headers m_headers;
    std::string m_body;
    /// Limit for the whole call, including connecting; 0 for none. Starts after
    /// the check, if there is one.
    core::duration m_timeout{0};
    /// If set, the call is sent only on a connection that passed this check. A
    /// connection that the server closes after each answer can't be checked;
    /// the call then follows on another one.
    std::optional<connection_check> m_check;
};

/// How a call ended.
struct http_result
{
    /// `ran` if a complete answer arrived, `not_run` if no byte of the request
    /// was written, else `may_have_run`.
    core::run_state m_run = core::run_state::not_run;
    /// Valid only if a complete answer arrived. With `not_run`, the answer to
    /// the connection check that failed; status 0 if there was none.
    http_answer m_answer;
    /// Cause of a failure; empty if a complete answer arrived.
    std::string m_error;
    /// The time limit of the call or of its connection check has passed.
    bool m_is_timeout = false;
};

/// Sends calls to one HTTP server. Never retries a call.
class http_client
{
public:
    using call_id = std::uint64_t;
    using callback = std::function<void(http_result)>;

    http_client(event_loop& loop, socket_address target,
                http_client_settings settings);
    http_client(http_client const&) = delete;
    auto operator=(http_client const&) -> http_client& = delete;
    /// Aborts the calls in progress without calling their callbacks.
    ~http_client();

    /// Starts a call. The callback is called once, after this function has
    /// returned. It may start and cancel calls, but must not destroy the
    /// client.
    auto start(http_call const& call, callback finished) -> call_id;
    /// Aborts a call and closes its connection. Its callback is called before
    /// this function returns. Does nothing if the call has ended.
    auto cancel(call_id call) -> void;
    /// Number of calls in progress.
    [[nodiscard]] auto active() const -> std::size_t;

private:
    struct connection;
    struct active_call;

    auto acquire_connection(std::string const& instance)
        -> std::unique_ptr<connection>;
    auto open_connection(std::string const& instance)
        -> std::unique_ptr<connection>;
    /// Sets `active_call::m_cause` if the call fails at once.
    auto send(http_call const& call, active_call& state) -> void;
    auto make_request(http_call const& call, active_call& state) -> bool;
    auto answered(active_call& call, evhttp_request* answer) -> void;
    /// Sends the call if the answer to its connection check is accepted.
    auto checked(active_call& call, http_answer answer) -> void;
    auto failure(active_call const& call) const -> http_result;
    /// Aborts a call. Not to be called from within evhttp's callbacks.
    auto interrupt(call_id id, std::string_view cause) -> void;
    auto finish(call_id id, http_result result) -> void;
    auto clean_up() -> void;

    event_loop& m_loop;
    socket_address m_target;
    http_client_settings m_settings;
    call_id m_last_id = 0;
    std::unordered_map<call_id, std::unique_ptr<active_call>> m_calls;
    std::vector<std::unique_ptr<connection>> m_idle;
    /// Destroyed in a later loop iteration, because evhttp may still use them.
    std::vector<std::unique_ptr<connection>> m_discarded;
    timer m_cleanup;
};

} // namespace hickorylatch::net

#endif
