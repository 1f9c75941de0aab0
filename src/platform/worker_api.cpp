#include "platform/worker_api.hpp"

#include "core/placement/contact_timeouts.hpp"
#include "platform/json_reader.hpp"
#include "platform/worker_body.hpp"

#include <boost/leaf/handle_errors.hpp>

#include <array>
#include <string>
#include <utility>

namespace hickorylatch::platform
{

namespace
{

namespace leaf = boost::leaf;

constexpr auto reports_path_prefix = std::string_view{"/api/instances/"};
constexpr auto poll_path = "/api/hold";
constexpr auto expected_instance_header = "X-Hickorylatch-Expected-Instance";

// A lost answer to the check of a connection delays an order by the first
// timeouts. The last one lets orders reach a slow worker.
constexpr auto check_timeouts = std::to_array<core::duration>(
    {core::worker_answer_timeout, core::worker_answer_timeout,
     5 * core::worker_answer_timeout});

// Limit for the identity of a worker that has just reported. Nothing waits for
// it, so it allows for a slow worker.
constexpr auto identity_timeout =
    core::duration{std::chrono::milliseconds{200}};

constexpr auto idle_timeout = core::duration{std::chrono::seconds{60}};

/// True if the answer to a poll comes from this incarnation.
auto is_from(net::http_answer const& answer, std::int64_t incarnation) -> bool
{
    auto const answered = parse_worker_reply(answer.m_body).m_incarnation;
    return answer.m_status == 200 &&
           (incarnation == 0 || answered == 0 || answered == incarnation);
}

} // namespace

auto to_answer(net::http_result const& result, worker_reply const& reply)
    -> core::worker_answer
{
    using enum core::worker_answer;
    auto const is_sent = result.m_run != core::run_state::not_run;
    if (result.m_run == core::run_state::may_have_run)
        return unknown;
    switch (result.m_answer.m_status)
    {
    case 0:
        return unreachable;
    case 200:
        return is_sent ? accepted : restarted;
    case 409:
        if (reply.m_reason == "fence")
            return fenced;
        if (reply.m_reason == "old")
            return outdated;
        return reply.m_reason == "late" ? late : no_room;
    case 421:
        return other_lifetime;
    case 400:
        return invalid;
    case 429:
    case 503:
        return unhealthy;
    default:
        // Only the statuses above promise that the order was not executed.
        return is_sent ? unknown : unreachable;
    }
}

worker_api::worker_api(process::process& target, net::socket_address worker)
    : m_process{target}, m_poll_client{target.loop(),
                                       worker,
                                       {.m_idle_timeout = idle_timeout}},
      m_order_client{target.loop(), worker, {.m_idle_timeout = idle_timeout}},
      m_check_client{target.loop(), worker, {}}
{
    m_process.run_start_requested().connect(
        [this](core::start_run const& order)
        {
            start(order);
        });
    m_process.run_stop_requested().connect(
        [this](core::stop_run const& order)
        {
            stop(order);
        });
    m_process.poll_requested().connect(
        [this](core::poll_runs const& order)
        {
            poll(order);
        });
    m_process.worker_check_requested().connect(
        [this](core::check_worker const& order)
        {
            check(order);
        });
}

auto worker_api::open(process::process& target,
                      std::string_view reports_address,
                      std::string_view worker_address)
    -> leaf::result<std::unique_ptr<worker_api>>
{
    BOOST_LEAF_AUTO(worker, net::socket_address::parse(worker_address));
    auto api = std::unique_ptr<worker_api>{new worker_api{target, worker}};
    auto server = std::make_unique<net::http_server>(
        target.loop(), target.server_settings(),
        [self = api.get()](net::http_request const& request)
        {
            self->handle(request);
        });
    BOOST_LEAF_CHECK(server->listen(reports_address));
    api->m_server = &target.add_server(std::move(server));
    return api;
}

auto worker_api::handle(net::http_request const& request) -> void
{
    auto const path = std::string_view{request.m_path};
    if (!path.starts_with(reports_path_prefix))
        return m_server->answer(request.m_exchange, 404, {}, "{}");
    auto const worker = path.substr(reports_path_prefix.size());
    if (request.m_method == "PUT")
        return report(request, worker);
    if (request.m_method == "DELETE")
        m_process.handle_event(core::worker_left{std::string{worker}});
    m_server->answer(request.m_exchange, 200,
                     {{"Content-Type", "application/json"}}, "{}");
}

auto worker_api::report(net::http_request const& request,
                        std::string_view worker) -> void
{
    auto const reject = [&](std::string_view cause)
    {
        m_process.log(
            {core::log_level::warning,
             "worker_report_rejected",
             {{"worker", std::string{worker}}, {"cause", std::string{cause}}}});
        m_server->answer(request.m_exchange, 400, {}, "{}");
    };
    leaf::try_handle_all(
        [&]() -> leaf::result<void>
        {
            BOOST_LEAF_AUTO(parsed,
                            parse_worker_report(worker, request.m_body));
            m_process.handle_event(core::worker_reported{std::move(parsed)});
            m_server->answer(request.m_exchange, 200,
                             {{"Content-Type", "application/json"}}, "{}");
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

auto worker_api::make_call(std::string_view path,
                           core::worker_target const& target, std::string body,
                           core::duration timeout) -> net::http_call
{
    auto call = net::http_call{};
    call.m_path = path;
    call.m_headers = {{"Content-Type", "application/json"},
                      {expected_instance_header, target.m_worker}};
    call.m_body = std::move(body);
    call.m_timeout = timeout;
    // The header names only the worker, and a restarted worker keeps its name.
    // A connection leads to one process, so one check holds for all its calls.
    auto check = net::connection_check{};
    check.m_instance =
        target.m_worker + "/" + std::to_string(target.m_incarnation);
    check.m_path = poll_path;
    check.m_headers = call.m_headers;
    auto probe = core::poll_runs{};
    probe.m_target = target;
    check.m_body = serialize_poll(probe);
    check.m_accepts =
        [incarnation = target.m_incarnation](net::http_answer const& answer)
    {
        return is_from(answer, incarnation);
    };
    call.m_check = std::move(check);
    return call;
}

auto worker_api::send(net::http_client& client, net::http_call call,
                      net::http_client::callback finished, std::size_t attempt)
    -> void
{
    call.m_check->m_timeout = check_timeouts.at(attempt);
    client.start(call,
                 [this, &client, call, finished = std::move(finished),
                  attempt](net::http_result const& result)
                 {
                     auto const is_unchecked =
                         result.m_run == core::run_state::not_run &&
                         result.m_is_timeout;
                     if (is_unchecked && attempt + 1 < check_timeouts.size())
                         return send(client, call, finished, attempt + 1);
                     finished(result);
                 });
}

auto worker_api::start(core::start_run const& order) -> void
{
    auto const handle_result =
        [this, run = order.m_run, incarnation = order.m_target.m_incarnation](
            net::http_result const& result)
    {
        auto const reply = parse_worker_reply(result.m_answer.m_body);
        m_process.handle_event(core::run_start_answered{
            run, to_answer(result, reply), reply.m_clock_ms, incarnation});
    };
    send(m_order_client,
         make_call("/api/run-start", order.m_target, serialize_start(order),
                   core::worker_answer_timeout),
         handle_result);
}

auto worker_api::stop(core::stop_run const& order) -> void
{
    auto const handle_result =
        [this, run = order.m_run, incarnation = order.m_target.m_incarnation](
            net::http_result const& result)
    {
        auto const reply = parse_worker_reply(result.m_answer.m_body);
        m_process.handle_event(core::run_stop_answered{
            run, to_answer(result, reply), reply.m_clock_ms, incarnation});
    };
    send(m_order_client,
         make_call("/api/run-stop", order.m_target, serialize_stop(order),
                   core::worker_answer_timeout),
         handle_result);
}

auto worker_api::poll(core::poll_runs const& order) -> void
{
    auto const timeout = std::chrono::milliseconds{order.m_wait_ms} +
                         core::worker_answer_timeout;
    send(m_poll_client,
         make_call(poll_path, order.m_target, serialize_poll(order), timeout),
         [this, order](net::http_result const& result)
         {
             handle_poll_result(order, result);
         });
}

auto worker_api::check(core::check_worker const& order) -> void
{
    auto probe = core::poll_runs{};
    probe.m_target = order.m_target;
    auto call = make_call(poll_path, order.m_target, serialize_poll(probe),
                          identity_timeout);
    call.m_check.reset();
    m_check_client.start(
        call,
        [this, target = order.m_target](net::http_result const& result)
        {
            auto const reply = parse_worker_reply(result.m_answer.m_body);
            auto answer = to_answer(result, reply);
            if (answer == core::worker_answer::accepted &&
                !is_from(result.m_answer, target.m_incarnation))
                answer = core::worker_answer::restarted;
            m_process.handle_event(
                core::worker_checked{target.m_worker, target.m_incarnation,
                                     answer, reply.m_clock_ms});
        });
}

auto worker_api::handle_poll_result(core::poll_runs const& order,
                                    net::http_result const& result) -> void
{
    auto const reply = parse_worker_reply(result.m_answer.m_body);
    auto polled = core::runs_polled{};
    polled.m_answer = to_answer(result, reply);
    if (polled.m_answer == core::worker_answer::accepted)
        polled = leaf::try_handle_all(
            [&]() -> leaf::result<core::runs_polled>
            {
                BOOST_LEAF_AUTO(parsed,
                                parse_poll_answer(result.m_answer.m_body));
                parsed.m_answer = core::worker_answer::accepted;
                return parsed;
            },
            [&](body_error const& error)
            {
                m_process.log({core::log_level::warning,
                               "worker_answer_unreadable",
                               {{"cause", error.m_text}}});
                auto invalid_answer = core::runs_polled{};
                invalid_answer.m_answer = core::worker_answer::unhealthy;
                return invalid_answer;
            },
            []
            {
                auto invalid_answer = core::runs_polled{};
                invalid_answer.m_answer = core::worker_answer::unhealthy;
                return invalid_answer;
            });
    polled.m_poll = order.m_poll;
    polled.m_clock_ms = reply.m_clock_ms;
    m_process.handle_event(polled);
}

} // namespace hickorylatch::platform
