#include "process/http_api.hpp"
#include "process/process.hpp"

#include "settings/configuration_record.hpp"
#include "settings/evacuation_record.hpp"
#include "settings/job_record.hpp"

#include <boost/json.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <charconv>
#include <utility>

namespace hickorylatch::process
{

namespace
{

namespace json = boost::json;

/// Parses the body of an operator's request; none if it is not a JSON object.
auto read_object(std::string_view body) -> std::optional<json::object>
{
    auto error = boost::system::error_code{};
    auto value = json::parse(body, error);
    if (error || !value.is_object())
        return std::nullopt;
    return std::move(value.as_object());
}

auto read_text(json::object const& from, std::string_view name) -> std::string
{
    auto const* member = from.if_contains(name);
    if (member == nullptr || !member->is_string())
        return {};
    return std::string{member->as_string()};
}

auto read_member(json::object const& from) -> std::optional<core::member>
{
    auto const node = read_text(from, "node");
    auto const* votes = from.if_contains("votes");
    auto number = std::uint64_t{0};
    auto const* const end = node.data() + node.size();
    auto const [parsed_end, error] =
        std::from_chars(node.data(), end, number, 16);
    if (node.empty() || error != std::errc{} || parsed_end != end ||
        votes == nullptr || !votes->is_bool())
        return std::nullopt;
    return core::member{core::node_id{number}, read_text(from, "address"),
                        votes->as_bool()};
}

} // namespace

auto process::handle_caller(net::http_server& server,
                            net::http_request const& request) -> void
{
    if (handle_common(server, request))
        return;
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void>
        {
            BOOST_LEAF_AUTO(submission, parse_caller_request(request));
            auto const exchange = add_exchange(server, request.m_exchange);
            handle_event(
                core::request_arrived{exchange, std::move(submission), 0});
            return {};
        },
        [&](bad_request const& error)
        {
            refuse(server, request.m_exchange, error.m_status, error.m_text);
        },
        [&]
        {
            refuse(server, request.m_exchange, 400, "not understood");
        });
}

auto process::handle_common(net::http_server& server,
                            net::http_request const& request) -> bool
{
    auto const reply_text =
        [&](std::uint16_t status, std::string_view type, std::string_view text)
    {
        server.answer(request.m_exchange, status,
                      {{"Content-Type", std::string{type}}}, text);
        return true;
    };
    if (request.m_method != "GET")
        return false;
    if (request.m_path == "/health")
        return reply_text(200, "text/plain", "ok\n");
    if (request.m_path == "/ready")
    {
        auto const is_ready = core::is_ready(m_node, m_loop.now());
        return reply_text(is_ready ? 200 : 503, "text/plain",
                          is_ready ? "ready\n" : "not ready\n");
    }
    return false;
}

auto process::handle_operator(net::http_server& server,
                              net::http_request const& request) -> void
{
    if (handle_common(server, request))
        return;
    auto const& path = request.m_path;
    auto const is_get = request.m_method == "GET";
    if (is_get && path == "/metrics")
        server.answer(
            request.m_exchange, 200,
            {{"Content-Type", std::string{observe::metrics_content_type}}},
            m_metrics.print());
    else if (is_get && path == "/v1/status")
        submit_operation(server, request, core::query_status{"status"});
    else if (is_get && path == "/v1/agents")
        submit_operation(server, request, core::query_status{"agents"});
    else if (is_get && path == "/v1/jobs")
        submit_operation(server, request, core::query_status{"jobs"});
    else if (is_get && path == "/v1/configuration")
        submit_operation(server, request, core::query_status{"configuration"});
    else if (is_get && path == "/v1/evacuations")
        submit_operation(server, request, core::query_status{"evacuations"});
    else if (request.m_method == "POST" && path == "/v1/evacuations")
        handle_evacuation(server, request);
    else if (request.m_method == "POST" && path == "/v1/jobs")
        handle_job(server, request);
    else
        handle_operator_change(server, request);
}

auto process::handle_job(net::http_server& server,
                         net::http_request const& request) -> void
{
    if (!m_node.m_entry)
    {
        refuse(server, request.m_exchange, 404, "jobs are posted to an entry");
        return;
    }
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void>
        {
            BOOST_LEAF_AUTO(submission,
                            settings::parse_job_record(request.m_body));
            submission.m_is_first_submission =
                net::find_header(request.m_headers,
                                 "Hickorylatch-First-Submission") == "true";
            auto const exchange = add_exchange(server, request.m_exchange,
                                               submission.m_schema_version);
            handle_event(
                core::request_arrived{exchange, std::move(submission), 0});
            return {};
        },
        [&](settings::parse_errors const& errors)
        {
            refuse(server, request.m_exchange, 400, to_string(errors, "; "));
        },
        [&]
        {
            refuse(server, request.m_exchange, 400, "not understood");
        });
}

auto process::handle_evacuation(net::http_server& server,
                                net::http_request const& request) -> void
{
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void>
        {
            BOOST_LEAF_AUTO(change,
                            settings::parse_evacuation_record(request.m_body));
            submit_operation(server, request, std::move(change));
            return {};
        },
        [&](settings::parse_errors const& errors)
        {
            refuse(server, request.m_exchange, 400, to_string(errors, "; "));
        },
        [&]
        {
            refuse(server, request.m_exchange, 400, "not understood");
        });
}

auto process::handle_operator_change(net::http_server& server,
                                     net::http_request const& request) -> void
{
    auto const& path = request.m_path;
    auto const is_post = request.m_method == "POST";
    auto const body = read_object(request.m_body);
    if (path == "/v1/configuration" && (is_post || request.m_method == "PUT"))
    {
        boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<void>
            {
                BOOST_LEAF_AUTO(change, settings::parse_configuration_record(
                                            request.m_body, current_config()));
                submit_operation(server, request, std::move(change));
                return {};
            },
            [&](settings::parse_errors const& errors)
            {
                refuse(server, request.m_exchange,
                       errors.m_may_retry ? 503 : 400, to_string(errors, "; "));
            },
            [&]
            {
                refuse(server, request.m_exchange, 400, "not understood");
            });
    }
    else if (is_post && path == "/v1/jobs/cancel" && body)
        submit_operation(server, request,
                         core::cancel_job{read_text(*body, "request_id"),
                                          read_text(*body, "customer"),
                                          read_text(*body, "key")});
    else if (is_post && path == "/v1/found" && body)
    {
        auto const* members = body->if_contains("members");
        auto const count =
            members != nullptr && members->is_int64() ? members->as_int64() : 0;
        submit_operation(
            server, request,
            core::bootstrap_control_group{static_cast<std::uint32_t>(count)});
    }
    else if (is_post && path == "/v1/members" && body)
        handle_members(server, request, *body);
    else
        refuse(server, request.m_exchange, body || !is_post ? 404 : 400,
               body || !is_post ? "no such resource"
                                : "the body must be a JSON object");
}

auto process::handle_members(net::http_server& server,
                             net::http_request const& request,
                             boost::json::object const& body) -> void
{
    auto change = core::change_membership{read_text(body, "request_id"), {}};
    auto const* members = body.if_contains("members");
    auto is_valid = members != nullptr && members->is_array() &&
                    !change.m_request_id.empty();
    if (is_valid)
    {
        for (auto const& item : members->as_array())
        {
            auto const* replica = item.if_object();
            auto added =
                replica == nullptr ? std::nullopt : read_member(*replica);
            is_valid = is_valid && added;
            if (added)
                change.m_members.push_back(std::move(*added));
        }
    }
    if (is_valid)
        submit_operation(server, request, std::move(change));
    else
        refuse(server, request.m_exchange, 400,
               "expected request_id and members, a list of objects with node "
               "(16 hexadecimal digits), address and votes");
}

auto process::submit_operation(net::http_server& server,
                               net::http_request const& request,
                               core::operation operation) -> void
{
    auto const exchange = add_exchange(server, request.m_exchange);
    handle_event(core::operation_arrived{exchange, std::move(operation),
                                         request_wait()});
}

auto process::add_exchange(net::http_server& server, core::exchange_id exchange,
                           std::uint32_t schema_version) -> core::exchange_id
{
    m_exchanges[++m_last_exchange] = {&server, exchange, schema_version};
    return m_last_exchange;
}

auto process::abandon_exchange(net::http_server& server,
                               core::exchange_id exchange) -> void
{
    for (auto const& [id, pending] : m_exchanges)
    {
        if (pending.m_server != &server ||
            pending.m_server_exchange != exchange)
            continue;
        auto const abandoned_id = id;
        m_exchanges.erase(abandoned_id);
        handle_event(core::request_abandoned{abandoned_id});
        return;
    }
}

auto process::refuse(net::http_server& server, core::exchange_id exchange,
                     std::uint16_t status, std::string_view text) -> void
{
    auto const answer =
        make_refusal(status, core::refused(core::reason::invalid, text));
    server.answer(exchange, answer.m_status, answer.m_headers, answer.m_body);
}

auto process::answer(core::exchange_id exchange,
                     net::http_answer const& response) -> void
{
    auto const found = m_exchanges.find(exchange);
    if (found == m_exchanges.end())
        return;
    auto const pending = found->second;
    m_exchanges.erase(found);
    pending.m_server->answer(pending.m_server_exchange, response.m_status,
                             response.m_headers, response.m_body);
}

auto process::execute(core::reply& effect) -> void
{
    auto const found = m_exchanges.find(effect.m_exchange);
    if (found == m_exchanges.end())
        return;
    answer(effect.m_exchange,
           make_reply(effect, found->second.m_schema_version));
}

auto process::execute(core::reply_operator& effect) -> void
{
    if (m_exchanges.contains(effect.m_exchange))
        answer(effect.m_exchange, make_operator_reply(effect.m_result));
    else
        m_operation_answered.emit(effect);
}

auto process::execute(core::check_exchange& effect) -> void
{
    auto const found = m_exchanges.find(effect.m_exchange);
    if (found == m_exchanges.end())
        return m_exchange_check_requested.emit(effect);
    auto const& exchange = found->second;
    if (exchange.m_server->is_waiting(exchange.m_server_exchange))
        handle_event_later(
            core::exchange_checked{effect.m_exchange, effect.m_check});
}

auto process::exchange_check_requested()
    -> sigc::signal<void(core::check_exchange const&)>&
{
    return m_exchange_check_requested;
}

auto process::request_wait() const -> core::duration
{
    return m_loop.now() - m_arrival_bound.earliest();
}

auto process::current_config() const -> core::configuration const&
{
    static auto const none = core::configuration{};
    if (m_node.m_control)
        return m_node.m_control->state().config();
    if (m_node.m_entry)
        return m_node.m_entry->config();
    return m_node.m_agent ? m_node.m_agent->config() : none;
}

} // namespace hickorylatch::process
