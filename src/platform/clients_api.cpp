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

constexpr auto client_wait_header = "X-Hickorylatch-Deadline-Ms";
constexpr auto readiness_path = "/api/readiness";

// Connections that clients keep open without using them; longer than their own
// idle limit of 15 s, so that they close first.
constexpr auto idle_limit = std::chrono::seconds{20};
constexpr auto connection_limit = std::size_t{2'000};

auto read_wait(net::http_headers const& headers) -> std::uint32_t
{
    auto const text = net::find_header(headers, client_wait_header);
    auto value = std::uint32_t{0};
    if (text)
        std::from_chars(text->data(), text->data() + text->size(), value);
    return value;
}

/// The host without its port.
auto read_host(net::http_headers const& headers) -> std::string
{
    auto const text = net::find_header(headers, "Host").value_or("");
    return std::string{text.substr(0, text.find(':'))};
}

} // namespace

auto to_status(core::verdict const& outcome) -> std::uint16_t
{
    if (outcome.m_run == core::run_state::ran)
        return 200;
    if (outcome.m_run == core::run_state::may_have_run)
        return 504;
    switch (outcome.m_reason)
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
        [this](core::answer_job const& done)
        {
            answer(done);
        });
    m_process.pending_count_answered().connect(
        [this](core::answer_pending_count const& done)
        {
            answer(done);
        });
}

auto clients_api::open(process::process& target,
                       std::string_view clients_address,
                       std::string_view readiness_address)
    -> leaf::result<std::unique_ptr<clients_api>>
{
    auto api = std::unique_ptr<clients_api>{new clients_api{target}};
    auto limits = net::http_server_settings{};
    limits.m_read_timeout = idle_limit;
    limits.m_connection_limit = connection_limit;
    auto clients = std::make_unique<net::http_server>(
        target.loop(), limits,
        [self = api.get()](net::http_request const& request)
        {
            self->handle(request);
        });
    BOOST_LEAF_CHECK(clients->listen(clients_address));
    clients->exchange_abandoned().connect(
        [&target](core::exchange_id exchange)
        {
            target.handle_event(core::request_abandoned{exchange});
        });
    api->m_server = &target.add_server(std::move(clients));
    auto* const self = api.get();
    auto readiness = std::make_unique<net::http_server>(
        target.loop(), limits, net::http_server::handler{});
    auto& asked = target.add_server(std::move(readiness));
    asked.set_handler(
        [self, &asked](net::http_request const& request)
        {
            self->handle_readiness(asked, request);
        });
    BOOST_LEAF_CHECK(asked.listen(readiness_address));
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
        ask(request, core::job_query::pending, id);
    else if (request.m_method == "GET")
        ask(request, core::job_query::state, id);
    else if (request.m_method == "DELETE")
        ask(request, core::job_query::cancel, id);
    else
        send(request.m_exchange, 404, 0, "{}");
}

auto clients_api::submit(net::http_request const& request, std::string_view id)
    -> void
{
    auto arrived = core::job_arrived{};
    arrived.m_exchange = request.m_exchange;
    arrived.m_host = read_host(request.m_headers);
    arrived.m_path = request.m_path;
    arrived.m_client_wait_ms = read_wait(request.m_headers);
    arrived.m_may_be_resent = request.m_is_first;
    leaf::try_handle_all(
        [&]() -> leaf::result<void>
        {
            BOOST_LEAF_ASSIGN(arrived.m_job, parse_job(id, request.m_body));
            m_process.handle_event(arrived);
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

auto clients_api::ask(net::http_request const& request,
                      core::job_query question, std::string_view id) -> void
{
    m_process.handle_event(core::job_query_arrived{
        request.m_exchange, question, read_host(request.m_headers),
        request.m_path, std::string{id}, read_wait(request.m_headers)});
}

auto clients_api::answer(core::answer_job const& done) -> void
{
    auto const status = to_status(done.m_verdict);
    auto body = std::string{"{}"};
    if (status == 200)
        body = "{\"state\":\"" + std::string{to_string(done.m_state)} + "\"}";
    send(done.m_exchange, status, done.m_verdict.m_retry_after_ms, body);
}

auto clients_api::answer(core::answer_pending_count const& done) -> void
{
    auto const status = to_status(done.m_verdict);
    auto const body =
        status == 200 ? "{\"pending\":" + std::to_string(done.m_pending) + "}"
                      : std::string{"{}"};
    send(done.m_exchange, status, done.m_verdict.m_retry_after_ms, body);
}

auto clients_api::send(core::exchange_id exchange, std::uint16_t status,
                       std::uint32_t retry_after_ms, std::string_view body)
    -> void
{
    auto headers = net::http_headers{{"Content-Type", "application/json"}};
    if (retry_after_ms != 0)
    {
        // The header counts whole seconds.
        headers.emplace_back("Retry-After",
                             std::to_string((retry_after_ms + 999) / 1000));
    }
    m_server->answer(exchange, status, headers, body);
}

} // namespace hickorylatch::platform
