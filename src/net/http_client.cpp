#include "net/http_client.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <new>
#include <utility>

namespace hickorylatch::net
{

namespace
{

constexpr auto deadline_passed = std::string_view{"deadline passed"};
// By default evhttp fails a call after 50 s without data. Calls are limited by
// `http_call::m_timeout` instead.
constexpr auto socket_timeout_s = 24 * 60 * 60;

struct evhttp_connection_deleter
{
    auto operator()(evhttp_connection* handle) const noexcept -> void
    {
        evhttp_connection_free(handle);
    }
};

auto copy_headers(evhttp_request* answer) -> http_headers
{
    auto headers = http_headers{};
    auto const* const source = evhttp_request_get_input_headers(answer);
    for (auto const* header = source->tqh_first; header != nullptr;
         header = header->next.tqe_next)
        headers.emplace_back(header->key, header->value);
    return headers;
}

auto take_body(evhttp_request* answer) -> std::string
{
    auto* const source = evhttp_request_get_input_buffer(answer);
    auto body = std::string(evbuffer_get_length(source), '\0');
    evbuffer_remove(source, body.data(), body.size());
    return body;
}

/// An answer without a length ends when the connection closes, so a truncated
/// one could not be told from a complete one.
auto is_self_delimiting(http_answer const& answer) -> bool
{
    return find_header(answer.m_headers, "Content-Length") ||
           find_header(answer.m_headers, "Transfer-Encoding") ||
           answer.m_status == HTTP_NOCONTENT ||
           answer.m_status == HTTP_NOTMODIFIED;
}

auto cause_text(evhttp_request_error cause) -> std::string
{
    switch (cause)
    {
    case EVREQ_HTTP_TIMEOUT:
        return "timed out";
    case EVREQ_HTTP_EOF:
        return "connection closed before the whole answer";
    case EVREQ_HTTP_INVALID_HEADER:
        return "invalid answer header";
    case EVREQ_HTTP_DATA_TOO_LONG:
        return "answer over the size limit";
    default:
        return "connection failed";
    }
}

/// Rejects paths and headers whose whitespace or line breaks would inject
/// further headers or requests.
auto is_valid(http_call const& call) -> bool
{
    auto const is_unsafe = [](char character)
    {
        return static_cast<unsigned char>(character) <= ' ';
    };
    auto const is_line_end = [](char character)
    {
        return character == '\r' || character == '\n';
    };
    auto const is_unsafe_header = [&](auto const& header)
    {
        return std::ranges::any_of(header.first, is_unsafe) ||
               std::ranges::any_of(header.second, is_line_end);
    };
    return !call.m_path.empty() &&
           std::ranges::none_of(call.m_path, is_unsafe) &&
           std::ranges::none_of(call.m_headers, is_unsafe_header);
}

auto disable_nagle(bufferevent* stream) -> void
{
    auto const enabled = 1;
    setsockopt(bufferevent_getfd(stream), IPPROTO_TCP, TCP_NODELAY, &enabled,
               sizeof enabled);
}

} // namespace

struct http_client::connection
{
    http_client& m_client;
    /// Instance of the server that answers here; empty if it is not checked.
    std::string m_instance;
    std::unique_ptr<evhttp_connection, evhttp_connection_deleter> m_handle;
    bool m_is_checked = false;
    /// Bytes of the current call were written to the output buffer. evhttp
    /// writes to it only after the connection is established.
    bool m_has_written = false;
    bool m_is_closed = false;
    core::time_point m_idle_expires_at{0};

    auto stream() const -> bufferevent*
    {
        return evhttp_connection_get_bufferevent(m_handle.get());
    }
};

struct http_client::active_call
{
    http_client& m_client;
    call_id m_id = 0;
    callback m_finished;
    std::unique_ptr<connection> m_connection;
    /// The call itself while its connection is being checked.
    std::optional<http_call> m_unsent;
    /// Cause of a failure; empty if none was reported.
    std::string m_cause;
    /// evhttp may report a failure before `start` has returned.
    bool m_is_starting = false;
    timer m_timeout;
};

http_client::http_client(event_loop& loop, socket_address target,
                         http_client_settings settings)
    : m_loop{loop}, m_target{target}, m_settings{settings}, m_cleanup{
                                                                loop, [this]
                                                                {
                                                                    clean_up();
                                                                }}
{
}

http_client::~http_client()
{
    // Closing a connection starts `m_cleanup`, so that must still exist.
    m_calls.clear();
    m_idle.clear();
    m_discarded.clear();
}

auto http_client::start(http_call const& call, callback finished) -> call_id
{
    auto const id = ++m_last_id;
    auto const instance = call.m_check ? call.m_check->m_instance : "";
    auto owned = std::unique_ptr<active_call>{
        new active_call{.m_client = *this,
                        .m_id = id,
                        .m_finished = std::move(finished),
                        .m_connection = acquire_connection(instance),
                        .m_unsent = {},
                        .m_cause = {},
                        .m_timeout{m_loop, [this, id]
                                   {
                                       interrupt(id, deadline_passed);
                                   }}}};
    auto& state = *m_calls.emplace(id, std::move(owned)).first->second;
    auto const is_checked = !call.m_check || state.m_connection->m_is_checked;
    auto const timeout = is_checked ? call.m_timeout : call.m_check->m_timeout;
    if (timeout > core::duration{0})
        state.m_timeout.start(timeout);
    if (!is_valid(call))
        state.m_cause = "invalid path or header";
    else if (is_checked)
        send(call, state);
    else
    {
        state.m_unsent = call;
        auto check = net::http_call{};
        check.m_path = call.m_check->m_path;
        check.m_headers = call.m_check->m_headers;
        check.m_body = call.m_check->m_body;
        send(check, state);
    }
    if (!state.m_cause.empty())
        state.m_timeout.start(core::duration{0});
    return id;
}

auto http_client::send(http_call const& call, active_call& state) -> void
{
    state.m_is_starting = true;
    if (!make_request(call, state) && state.m_cause.empty())
        state.m_cause = "connection failed";
    state.m_is_starting = false;
}

auto http_client::cancel(call_id call) -> void
{
    interrupt(call, "cancelled");
}

auto http_client::active() const -> std::size_t
{
    return m_calls.size();
}

auto http_client::acquire_connection(std::string const& instance)
    -> std::unique_ptr<connection>
{
    auto const usable = std::ranges::find_if(
        m_idle,
        [&](auto const& idle)
        {
            return !idle->m_is_closed && idle->m_instance == instance;
        });
    if (usable != m_idle.end())
    {
        auto reused = std::move(*usable);
        m_idle.erase(usable);
        reused->m_has_written = false;
        return reused;
    }
    return open_connection(instance);
}

auto http_client::open_connection(std::string const& instance)
    -> std::unique_ptr<connection>
{
    auto created =
        std::make_unique<connection>(connection{*this, instance, {}});
    created->m_handle.reset(evhttp_connection_base_new(
        m_loop.base(), nullptr, m_target.host().c_str(), m_target.port()));
    if (!created->m_handle)
        throw std::bad_alloc{};
    auto* const handle = created->m_handle.get();
    evhttp_connection_set_retries(handle, 0);
    evhttp_connection_set_timeout(handle, socket_timeout_s);
    evhttp_connection_set_max_body_size(
        handle, static_cast<ev_ssize_t>(m_settings.m_answer_limit));
    evhttp_connection_set_max_headers_size(
        handle, static_cast<ev_ssize_t>(m_settings.m_header_limit));
    evhttp_connection_set_closecb(
        handle,
        [](evhttp_connection*, void* state)
        {
            auto& closed = *static_cast<connection*>(state);
            closed.m_is_closed = true;
            closed.m_client.m_cleanup.start(core::duration{0});
        },
        created.get());
    auto const written =
        [](evbuffer*, evbuffer_cb_info const* change, void* state)
    {
        auto& used = *static_cast<connection*>(state);
        if (change->n_added == 0 || std::exchange(used.m_has_written, true))
            return;
        disable_nagle(used.stream());
    };
    evbuffer_add_cb(bufferevent_get_output(created->stream()), written,
                    created.get());
    return created;
}

auto http_client::make_request(http_call const& call, active_call& state)
    -> bool
{
    auto const ended = [](evhttp_request* answer, void* call_state)
    {
        auto& finished = *static_cast<active_call*>(call_state);
        finished.m_client.answered(finished, answer);
    };
    auto* const request = evhttp_request_new(ended, &state);
    if (request == nullptr)
        throw std::bad_alloc{};
    auto const failed = [](evhttp_request_error cause, void* call_state)
    {
        static_cast<active_call*>(call_state)->m_cause = cause_text(cause);
    };
    evhttp_request_set_error_cb(request, failed);
    auto* const headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Host", m_target.text().c_str());
    for (auto const& [name, value] : call.m_headers)
        evhttp_add_header(headers, name.c_str(), value.c_str());
    if (m_settings.m_idle_timeout == core::duration{0})
        evhttp_add_header(headers, "Connection", "close");
    evbuffer_add(evhttp_request_get_output_buffer(request), call.m_body.data(),
                 call.m_body.size());
    auto const method =
        call.m_method == "GET" ? EVHTTP_REQ_GET : EVHTTP_REQ_POST;
    return evhttp_make_request(state.m_connection->m_handle.get(), request,
                               method, call.m_path.c_str()) == 0;
}

auto http_client::answered(active_call& call, evhttp_request* answer) -> void
{
    auto const status =
        answer == nullptr ? 0 : evhttp_request_get_response_code(answer);
    if (status == 0)
    {
        if (call.m_cause.empty())
            call.m_cause = "connection failed";
        call.m_connection->m_is_closed = true;
        if (!call.m_is_starting)
            finish(call.m_id, failure(call));
        return;
    }
    auto result = http_result{};
    result.m_run = core::run_state::ran;
    result.m_answer = {static_cast<std::uint16_t>(status), copy_headers(answer),
                       take_body(answer)};
    if (call.m_unsent)
        return checked(call, std::move(result.m_answer));
    if (!is_self_delimiting(result.m_answer))
    {
        call.m_cause = "answer without a length";
        result = failure(call);
    }
    finish(call.m_id, std::move(result));
}

auto http_client::checked(active_call& call, http_answer answer) -> void
{
    if (!is_self_delimiting(answer) ||
        !call.m_unsent->m_check->m_accepts(answer))
    {
        call.m_cause = "another instance of the server answers";
        call.m_connection->m_is_closed = true;
        auto result = failure(call);
        result.m_answer = std::move(answer);
        return finish(call.m_id, std::move(result));
    }
    auto const next = std::move(*call.m_unsent);
    call.m_unsent.reset();
    if (call.m_connection->m_is_closed)
    {
        auto used = std::exchange(call.m_connection, open_connection(""));
        m_discarded.push_back(std::move(used));
        m_cleanup.start(core::duration{0});
    }
    call.m_connection->m_is_checked = true;
    call.m_connection->m_has_written = false;
    call.m_timeout.stop();
    if (next.m_timeout > core::duration{0})
        call.m_timeout.start(next.m_timeout);
    send(next, call);
    if (!call.m_cause.empty())
        call.m_timeout.start(core::duration{0});
}

auto http_client::failure(active_call const& call) const -> http_result
{
    auto result = http_result{};
    result.m_run = call.m_connection->m_has_written && !call.m_unsent
                       ? core::run_state::may_have_run
                       : core::run_state::not_run;
    result.m_error = m_target.text() + ": " + call.m_cause;
    result.m_is_timeout = call.m_cause == deadline_passed;
    return result;
}

auto http_client::interrupt(call_id id, std::string_view cause) -> void
{
    auto const found = m_calls.find(id);
    if (found == m_calls.end())
        return;
    auto& call = *found->second;
    if (call.m_cause.empty())
        call.m_cause = cause;
    auto result = failure(call);
    // Frees the request without calling its callback.
    call.m_connection->m_handle.reset();
    call.m_connection->m_is_closed = true;
    finish(id, std::move(result));
}

auto http_client::finish(call_id id, http_result result) -> void
{
    auto const found = m_calls.find(id);
    auto const call = std::move(found->second);
    m_calls.erase(found);
    auto& used = call->m_connection;
    auto const is_reusable = !used->m_is_closed &&
                             m_settings.m_idle_timeout > core::duration{0} &&
                             m_idle.size() < m_settings.m_max_idle_connections;
    used->m_idle_expires_at = m_loop.now() + m_settings.m_idle_timeout;
    (is_reusable ? m_idle : m_discarded).push_back(std::move(used));
    m_cleanup.start(is_reusable && m_discarded.empty()
                        ? m_settings.m_idle_timeout
                        : core::duration{0});
    call->m_finished(std::move(result));
}

auto http_client::clean_up() -> void
{
    m_discarded.clear();
    auto const now = m_loop.now();
    std::erase_if(m_idle,
                  [now](auto const& idle)
                  {
                      return idle->m_is_closed ||
                             idle->m_idle_expires_at <= now;
                  });
    // All have the same timeout, so the first one expires first.
    if (!m_idle.empty())
        m_cleanup.start(m_idle.front()->m_idle_expires_at - now);
}

} // namespace hickorylatch::net
