#include "platform/clients_api.hpp"

#include "platform/job_body.hpp"
#include "platform/json_reader.hpp"

#include <boost/leaf/handle_errors.hpp>

#include <charconv>
#include <utility>

namespace hickorylatch::platform
{

namespace
{

namespace leaf = boost::leaf;

constexpr auto client_deadline_header = "X-Hickorylatch-Deadline-Ms";
constexpr auto readiness_path = "/api/readiness";

// Timeout of idle connections. Longer than the clients' own idle timeout of
// 15 s, so that the clients close first.
constexpr auto idle_timeout = std::chrono::seconds{20};

auto read_client_wait_ms(net::http_headers const& headers) -> std::uint32_t
{
    auto const text = net::find_header(headers, client_deadline_header);
    auto value = std::uint32_t{0};
    if (text)
        std::from_chars(text->data(), text->data() + text->size(), value);
    return value;
}

/// The `Host` header without its port.
auto read_host(net::http_headers const& headers) -> std::string
{
    auto const text = net::find_header(headers, "Host").value_or("");
    return std::string{text.substr(0, text.find(':'))};
}

} // namespace

auto to_status(core::verdict const& verdict) -> std::uint16_t
{
    if (verdict.m_run == core::run_state::ran)
        return 200;
    if (verdict.m_run == core::run_state::may_have_run)
        return 504;
    switch (verdict.m_reason)
    {
    case core::reason::unknown_service:
        return 404;
    case core::reason::key_forgotten:
        return 410;
    case core::reason::queue_full:
    case core::reason::no_capacity:
    case core::reason::deadline:
        return 429;
    default:
        return 503;
    }
}

clients_api::clients_api(process::process& target) : m_process{target}
{
    m_process.job_answered().connect(
        [this](core::answer_job const& result)
        {
            answer(result);
        });
    m_process.pending_count_answered().connect(
        [this](core::answer_pending_count const& result)
        {
            answer(result);
        });
}

auto clients_api::open(process::process& target,
                       std::string_view clients_address,
                       std::string_view readiness_address)
    -> leaf::result<std::unique_ptr<clients_api>>
{
    auto api = std::unique_ptr<clients_api>{new clients_api{target}};
    auto limits = target.server_settings();
    limits.m_read_timeout = idle_timeout;
    auto clients_server = std::make_unique<net::http_server>(
        target.loop(), limits,
        [self = api.get()](net::http_request const& request)
        {
            self->handle(request);
        });
    BOOST_LEAF_CHECK(clients_server->listen(clients_address));
    clients_server->exchange_abandoned().connect(
        [&target](core::exchange_id exchange)
        {
            target.handle_event(core::request_abandoned{exchange});
        });
    api->m_clients_server = &target.add_server(std::move(clients_server));
    auto* const self = api.get();
    auto readiness = std::make_unique<net::http_server>(
        target.loop(), limits, net::http_server::handler{});
    auto& readiness_server = target.add_server(std::move(readiness));
    readiness_server.set_handler(
        [self, &readiness_server](net::http_request const& request)
        {
            self->handle_readiness(readiness_server, request);
        });
    BOOST_LEAF_CHECK(readiness_server.listen(readiness_address));
    return api;
}

auto clients_api::handle_readiness(net::http_server& server,
                                   net::http_request const& request) -> void
{
    auto const is_ready =
        request.m_path == readiness_path &&
        core::is_ready(m_process.node(), m_process.loop().now());
    server.answer(request.m_exchange, is_ready ? 200 : 503, {}, "{}");
}

auto clients_api::handle(net::http_request const& request) -> void
{
    auto const slash = request.m_path.rfind('/');
    auto const id = std::string_view{request.m_path}.substr(
        slash == std::string::npos ? request.m_path.size() : slash + 1);
    if (request.m_method == "POST" && is_job_id(id))
        submit(request, id);
    else if (request.m_method == "GET" && id.empty())
        query(request, core::job_query::pending, id);
    else if (request.m_method == "GET")
        query(request, core::job_query::state, id);
    else if (request.m_method == "DELETE")
        query(request, core::job_query::cancel, id);
    else
        send(request.m_exchange, 404, 0, "{}");
}

auto clients_api::submit(net::http_request const& request, std::string_view id)
    -> void
{
    auto event = core::job_arrived{};
    event.m_exchange = request.m_exchange;
    event.m_host = read_host(request.m_headers);
    event.m_path = request.m_path;
    event.m_client_wait_ms = read_client_wait_ms(request.m_headers);
    event.m_may_be_resent = request.m_is_first_on_connection;
    leaf::try_handle_all(
        [&]() -> leaf::result<void>
        {
            BOOST_LEAF_ASSIGN(event.m_job, parse_job(id, request.m_body));
            m_process.handle_event(event);
            return {};
        },
        [&](body_error const& error)
        {
            m_process.log(
                {core::log_level::info,
                 "job_unreadable",
                 {{"job", std::string{id}}, {"cause", error.m_text}}});
            send(request.m_exchange, 400, 0, "{}");
        },
        [&]
        {
            send(request.m_exchange, 400, 0, "{}");
        });
}

auto clients_api::query(net::http_request const& request, core::job_query kind,
                        std::string_view id) -> void
{
    m_process.handle_event(core::job_query_arrived{
        request.m_exchange, kind, read_host(request.m_headers), request.m_path,
        std::string{id}, read_client_wait_ms(request.m_headers)});
}

auto clients_api::answer(core::answer_job const& result) -> void
{
    auto const status = to_status(result.m_verdict);
    auto body = std::string{"{}"};
    if (status == 200)
        body = "{\"state\":\"" + std::string{to_string(result.m_state)} + "\"}";
    send(result.m_exchange, status, result.m_verdict.m_retry_after_ms, body);
}

auto clients_api::answer(core::answer_pending_count const& result) -> void
{
    auto const status = to_status(result.m_verdict);
    auto const body =
        status == 200 ? "{\"pending\":" + std::to_string(result.m_pending) + "}"
                      : std::string{"{}"};
    send(result.m_exchange, status, result.m_verdict.m_retry_after_ms, body);
}

auto clients_api::send(core::exchange_id exchange, std::uint16_t status,
                       std::uint32_t retry_after_ms, std::string_view body)
    -> void
{
    auto headers = net::http_headers{{"Content-Type", "application/json"}};
    if (retry_after_ms != 0)
    {
        // The header has a resolution of 1 s.
        headers.emplace_back("Retry-After",
                             std::to_string((retry_after_ms + 999) / 1000));
    }
    if (core::releases_callers(m_process.node()))
        headers.emplace_back("Connection", "close");
    m_clients_server->answer(exchange, status, headers, body);
}

} // namespace hickorylatch::platform
