#include "platform/operators_api.hpp"

#include "platform/configuration_body.hpp"
#include "platform/evacuation_request.hpp"
#include "platform/json_reader.hpp"

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <utility>

namespace hickorylatch::platform
{

namespace
{

namespace leaf = boost::leaf;

constexpr auto configuration_path = "/api/config";

} // namespace

operators_api::operators_api(process::process& target) : m_process{target}
{
    m_process.operation_answered().connect(
        [this](core::reply_operator const& reply)
        {
            answer(reply);
        });
    m_process.exchange_check_requested().connect(
        [this](core::check_exchange const& check)
        {
            check_waiting(check);
        });
}

auto operators_api::open(process::process& target, std::string_view address)
    -> leaf::result<std::unique_ptr<operators_api>>
{
    auto api = std::unique_ptr<operators_api>{new operators_api{target}};
    auto server = std::make_unique<net::http_server>(
        target.loop(), target.server_settings(),
        [self = api.get()](net::http_request const& request)
        {
            self->handle(request);
        });
    BOOST_LEAF_CHECK(server->listen(address));
    server->exchange_abandoned().connect(
        [self = api.get()](core::exchange_id exchange)
        {
            self->abandon(exchange);
        });
    api->m_server = &target.add_server(std::move(server));
    return api;
}

auto operators_api::handle(net::http_request const& request) -> void
{
    if (request.m_path == configuration_path && request.m_method == "PUT")
        install(request);
    else if (request.m_path == configuration_path && request.m_method == "GET")
        read(request);
    else if (is_evacuation_path(request.m_path))
        evacuate(request);
    else
        send(request.m_exchange, 503, "{}");
}

auto operators_api::install(net::http_request const& request) -> void
{
    auto const reject = [&](std::string_view cause)
    {
        m_process.log({core::log_level::warning,
                       "configuration_rejected",
                       {{"cause", std::string{cause}},
                        {"bytes", std::to_string(request.m_body.size())},
                        {"from", request.m_remote}}});
        send(request.m_exchange, 400, "{}");
    };
    leaf::try_handle_all(
        [&]() -> leaf::result<void>
        {
            BOOST_LEAF_AUTO(configuration, parse_configuration(request.m_body));
            submit_operation(
                request, core::install_configuration{std::move(configuration)});
            return {};
        },
        [&](body_error const& error)
        {
            reject(error.m_text);
        },
        [&]
        {
            reject("not understood");
        });
}

auto operators_api::evacuate(net::http_request const& request) -> void
{
    leaf::try_handle_all(
        [&]() -> leaf::result<void>
        {
            BOOST_LEAF_AUTO(change, parse_evacuation(request));
            submit_operation(request, std::move(change));
            return {};
        },
        [&](rejected_request const& rejected)
        {
            m_process.log(
                {core::log_level::warning,
                 "evacuation_rejected",
                 {{"cause", rejected.m_text}, {"from", request.m_remote}}});
            send(request.m_exchange, make_rejection(rejected));
        },
        [&]
        {
            send(request.m_exchange, make_rejection({400, "not understood"}));
        });
}

auto operators_api::read(net::http_request const& request) -> void
{
    if (m_reads.add(request.m_exchange))
        start_read();
}

auto operators_api::start_read() -> void
{
    m_read_operation = m_process.allocate_exchange_id();
    m_process.handle_event(
        core::operation_arrived{m_read_operation, core::read_configuration{}});
}

auto operators_api::submit_operation(net::http_request const& request,
                                     core::operation operation) -> void
{
    auto const operation_id = m_process.allocate_exchange_id();
    m_pending_exchanges[operation_id] = {
        request.m_exchange,
        std::holds_alternative<core::set_evacuation>(operation)};
    m_process.handle_event(core::operation_arrived{
        operation_id, std::move(operation), m_process.request_wait()});
}

auto operators_api::check_waiting(core::check_exchange const& check) -> void
{
    auto const found = m_pending_exchanges.find(check.m_exchange);
    if (found == m_pending_exchanges.end() ||
        !m_server->is_waiting(found->second.m_exchange))
        return;
    m_process.handle_event_later(
        core::exchange_checked{check.m_exchange, check.m_check});
}

auto operators_api::abandon(core::exchange_id exchange) -> void
{
    auto const found =
        std::ranges::find_if(m_pending_exchanges,
                             [&](auto const& item)
                             {
                                 return item.second.m_exchange == exchange;
                             });
    if (found == m_pending_exchanges.end())
        return;
    auto const operation_id = found->first;
    m_pending_exchanges.erase(found);
    m_process.handle_event(core::request_abandoned{operation_id});
}

auto operators_api::answer(core::reply_operator const& reply) -> void
{
    if (reply.m_exchange == m_read_operation)
    {
        m_read_operation = 0;
        for (auto const exchange : m_reads.take_answered())
            answer(exchange, reply.m_result);
        // Not from within the effects of an event.
        if (m_reads.start_next())
            m_process.loop().post(
                [this]
                {
                    start_read();
                });
        return;
    }
    auto const found = m_pending_exchanges.find(reply.m_exchange);
    if (found == m_pending_exchanges.end())
        return;
    auto const [exchange, is_evacuation] = found->second;
    m_pending_exchanges.erase(found);
    if (is_evacuation)
        send(exchange, make_evacuation_answer(reply.m_result.m_verdict));
    else
        answer(exchange, reply.m_result);
}

auto operators_api::answer(core::exchange_id exchange,
                           core::operate_result const& result) -> void
{
    auto const has_result = result.m_verdict.m_run == core::run_state::ran;
    // Version 0: no configuration has been installed yet.
    if (!has_result || result.m_version == 0)
        send(exchange, 503, "{}");
    else
        send(exchange, 200,
             result.m_document.empty() ? "{}" : result.m_document);
}

auto operators_api::send(core::exchange_id exchange, std::uint16_t status,
                         std::string_view body) -> void
{
    m_server->answer(exchange, status, {{"Content-Type", "application/json"}},
                     body);
}

auto operators_api::send(core::exchange_id exchange,
                         net::http_answer const& answer) -> void
{
    m_server->answer(exchange, answer.m_status, answer.m_headers,
                     answer.m_body);
}

} // namespace hickorylatch::platform
