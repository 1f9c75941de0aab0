#include "net/error.hpp"
#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "net/listener.hpp"
#include "net/loop_runner.hpp"
#include "net/raw_socket.hpp"

#include <event2/event.h>
#include <event2/listener.h>

#include <boost/leaf/handle_errors.hpp>
#include <boost/test/unit_test.hpp>

#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <optional>
#include <string>
#include <vector>

namespace core = hickorylatch::core;
namespace leaf = boost::leaf;
namespace net = hickorylatch::net;

namespace
{

/// A server on a port chosen by the kernel that records its requests.
struct server
{
    explicit server(net::event_loop& loop,
                    net::http_server_settings settings = {})
        : m_http{loop, settings,
                 [this](net::http_request request)
                 {
                     m_requests.push_back(std::move(request));
                 }}
    {
        m_http.exchange_abandoned().connect(
            [this](core::exchange_id exchange)
            {
                m_abandoned.push_back(exchange);
            });
        m_port = leaf::try_handle_all(
            [&]
            {
                return m_http.listen("127.0.0.1:0");
            },
            []
            {
                BOOST_FAIL("cannot listen");
                return std::uint16_t{0};
            });
    }

    /// The loopback address that the server listens on.
    auto address() const -> net::socket_address
    {
        return leaf::try_handle_all(
            [&]
            {
                return net::socket_address::parse("127.0.0.1:" +
                                                  std::to_string(m_port));
            },
            []
            {
                return net::socket_address{};
            });
    }

    std::vector<net::http_request> m_requests;
    std::vector<core::exchange_id> m_abandoned;
    net::http_server m_http;
    std::uint16_t m_port = 0;
};

/// Accepts connections one at a time; on each it reads the request, sends fixed
/// bytes and closes.
struct raw_server
{
    raw_server(net::event_loop& loop, std::string bytes)
        : m_bytes{std::move(bytes)}
    {
        m_listener = leaf::try_handle_all(
            [&]
            {
                return net::open_listener(loop, "127.0.0.1:0");
            },
            []
            {
                return net::listener_handle{};
            });
        auto const accepted =
            [](evconnlistener*, int socket, sockaddr*, int, void* self)
        {
            auto& server = *static_cast<raw_server*>(self);
            ++server.m_accepted;
            auto request = std::string(65'536, '\0');
            // Blocks only shortly: the client sends its request right after
            // connecting.
            ::recv(socket, request.data(), 1, MSG_WAITALL);
            ::recv(socket, request.data(), request.size(), MSG_DONTWAIT);
            ::send(socket, server.m_bytes.data(), server.m_bytes.size(),
                   MSG_NOSIGNAL);
            ::close(socket);
        };
        evconnlistener_set_cb(m_listener.get(), accepted, this);
    }

    std::string m_bytes;
    int m_accepted = 0;
    net::listener_handle m_listener;
};

auto until_closed(net::event_loop& loop, raw_socket& socket) -> bool
{
    auto const is_closed = [&]
    {
        socket.poll();
        return socket.is_closed();
    };
    return run_until(loop, is_closed);
}

auto until_size(net::event_loop& loop, auto const& items, std::size_t size)
    -> bool
{
    return run_until(loop,
                     [&]
                     {
                         return items.size() == size;
                     });
}

auto request_text(std::string_view path, std::string_view body = {})
    -> std::string
{
    return "POST " + std::string{path} + " HTTP/1.1\r\nHost: test\r\n" +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           std::string{body};
}

auto call_to(std::string path, std::string body = {}) -> net::http_call
{
    return {.m_path = std::move(path), .m_headers{}, .m_body = std::move(body)};
}

} // namespace

// Guards against parts of a request that are not passed to the handler.
BOOST_AUTO_TEST_CASE(handler_receives_all_parts_of_a_request)
{
    auto loop = net::event_loop{};
    auto tested = server{loop};
    auto client = raw_socket{tested.m_port};
    client.send("POST /a%20b/c?x=1&y HTTP/1.1\r\nHost: h\r\nX-Key: value\r\n"
                "Content-Length: 4\r\n\r\nbody");
    BOOST_TEST(run_until(loop,
                         [&]
                         {
                             return !tested.m_requests.empty();
                         }));
    auto const& request = tested.m_requests.front();
    BOOST_TEST(request.m_method == "POST");
    BOOST_TEST(request.m_path == "/a%20b/c");
    BOOST_TEST(request.m_query == "x=1&y");
    BOOST_TEST(net::find_header(request.m_headers, "x-kEY").value() == "value");
    BOOST_TEST(request.m_body == "body");
    BOOST_TEST(request.m_remote.starts_with("127.0.0.1:"));
}

// Guards against answers that are sent to the wrong exchange when they are
// given out of order.
BOOST_AUTO_TEST_CASE(out_of_order_answers_reach_their_own_calls)
{
    auto loop = net::event_loop{};
    auto tested = server{loop};
    auto client = net::http_client{
        loop, tested.address(), {.m_idle_timeout = std::chrono::seconds{1}}};
    constexpr auto calls = 20;
    auto answers = std::vector<std::string>(calls);
    for (auto round = 0; round < 2; ++round)
    {
        auto finished = 0;
        tested.m_requests.clear();
        for (auto number = 0; number < calls; ++number)
        {
            client.start(call_to("/" + std::to_string(number)),
                         [&, number](net::http_result const& result)
                         {
                             answers[number] = result.m_answer.m_body;
                             ++finished;
                         });
        }
        BOOST_TEST(run_until(loop,
                             [&]
                             {
                                 return tested.m_requests.size() == calls;
                             }));
        for (auto at = tested.m_requests.rbegin();
             at != tested.m_requests.rend(); ++at)
            tested.m_http.answer(at->m_exchange, 200, {}, at->m_path);
        BOOST_TEST(run_until(loop,
                             [&]
                             {
                                 return finished == calls;
                             }));
        for (auto number = 0; number < calls; ++number)
            BOOST_TEST(answers[number] == "/" + std::to_string(number));
    }
    BOOST_TEST(tested.m_http.open_exchanges() == 0U);
}

// Guards against work that goes on for a client whose connection was reset. The
// client sends its job to another server, so the job would run twice at the
// same time, which the soak test reports as a violation (TWICE).
BOOST_AUTO_TEST_CASE(connection_reset_abandons_the_exchange)
{
    // Further bytes on the connection must not hide the reset.
    for (auto const* following : {"", "GET /next HTTP/1.1\r\n"})
    {
        auto loop = net::event_loop{};
        auto tested = server{loop};
        auto client = raw_socket{tested.m_port};
        client.send(request_text("/first"));
        BOOST_TEST(run_until(loop,
                             [&]
                             {
                                 return tested.m_requests.size() == 1U;
                             }));
        client.send(following);
        auto const until = loop.now() + std::chrono::milliseconds{20};
        run_until(loop,
                  [&]
                  {
                      return loop.now() >= until;
                  });
        client.reset();
        BOOST_TEST(run_until(loop,
                             [&]
                             {
                                 return !tested.m_abandoned.empty();
                             }));
    }
}

// Guards against starting a job whose connection was reset before the request
// was read. The client has sent it to another server, so the job would run
// twice at the same time, which the soak test reports as a violation (TWICE).
BOOST_AUTO_TEST_CASE(request_on_a_reset_connection_is_not_handled)
{
    auto loop = net::event_loop{};
    auto tested = server{loop};
    auto client = raw_socket{tested.m_port};
    client.send(request_text("/first"));
    BOOST_TEST(run_until(loop,
                         [&]
                         {
                             return tested.m_requests.size() == 1U;
                         }));
    tested.m_http.answer(tested.m_requests[0].m_exchange, 200, {}, "");
    BOOST_TEST(run_until(loop,
                         [&]
                         {
                             return tested.m_http.is_idle();
                         }));
    client.send(request_text("/second"));
    client.reset();
    BOOST_TEST(run_until(loop,
                         [&]
                         {
                             return tested.m_http.connections() == 0U;
                         }));
    BOOST_TEST(tested.m_requests.size() == 1U);
    BOOST_TEST(tested.m_http.open_exchanges() == 0U);
}

// Guards against a command for a client that has closed its connection, while
// the event of the closing is not handled yet.
BOOST_AUTO_TEST_CASE(a_client_that_closed_its_connection_does_not_wait)
{
    for (auto const is_reset : {false, true})
    {
        auto loop = net::event_loop{};
        auto tested = server{loop};
        auto client = raw_socket{tested.m_port};
        client.send(request_text("/first"));
        BOOST_TEST(until_size(loop, tested.m_requests, 1));
        auto const exchange = tested.m_requests[0].m_exchange;
        BOOST_TEST(tested.m_http.is_waiting(exchange));
        is_reset ? client.reset() : client.close();
        BOOST_TEST(!tested.m_http.is_waiting(exchange));
        BOOST_TEST(tested.m_abandoned.empty());
        BOOST_TEST(until_size(loop, tested.m_abandoned, 1));
        BOOST_TEST(!tested.m_http.is_waiting(exchange));
    }
}

// Guards against work for a client that has disconnected, and against a late
// answer that crashes the server or reaches another client.
BOOST_AUTO_TEST_CASE(connection_close_abandons_the_exchange)
{
    auto loop = net::event_loop{};
    auto tested = server{loop};
    auto client = raw_socket{tested.m_port};
    client.send(request_text("/first"));
    BOOST_TEST(run_until(loop,
                         [&]
                         {
                             return tested.m_requests.size() == 1U;
                         }));
    client.close();
    BOOST_TEST(run_until(loop,
                         [&]
                         {
                             return !tested.m_abandoned.empty();
                         }));
    auto const late = tested.m_requests.front().m_exchange;
    BOOST_TEST(tested.m_abandoned.front() == late);
    auto other = raw_socket{tested.m_port};
    other.send(request_text("/second"));
    BOOST_TEST(run_until(loop,
                         [&]
                         {
                             return tested.m_requests.size() == 2U;
                         }));
    tested.m_http.answer(late, 200, {}, "late");
    tested.m_http.answer(tested.m_requests.back().m_exchange, 200, {}, "own");
    BOOST_TEST(run_until(loop,
                         [&]
                         {
                             other.poll();
                             return other.received().ends_with("own");
                         }));
    BOOST_TEST(other.received().find("late") == std::string::npos);
}

// Guards against a crash when a client sends its next request early.
BOOST_AUTO_TEST_CASE(pipelined_request_waits_for_the_previous_answer)
{
    auto loop = net::event_loop{};
    auto tested = server{loop};
    auto client = raw_socket{tested.m_port};
    client.send(request_text("/first") + request_text("/second"));
    BOOST_TEST(run_until(loop,
                         [&]
                         {
                             return tested.m_requests.size() == 1U;
                         }));
    tested.m_http.answer(tested.m_requests.front().m_exchange, 200, {}, "1");
    BOOST_TEST(run_until(loop,
                         [&]
                         {
                             return tested.m_requests.size() == 2U;
                         }));
    BOOST_TEST(tested.m_requests.back().m_path == "/second");
}

// Guards against buffering oversized bodies and headers, and against passing
// invalid requests to the handler.
BOOST_AUTO_TEST_CASE(invalid_requests_do_not_reach_the_handler)
{
    auto loop = net::event_loop{};
    auto tested = server{loop, {.m_body_limit = 10, .m_header_limit = 500}};
    auto const status_of = [&](std::string const& bytes)
    {
        auto client = raw_socket{tested.m_port};
        client.send(bytes);
        BOOST_TEST(until_closed(loop, client));
        return client.received().substr(0, 12);
    };
    BOOST_TEST(status_of(request_text("/", "eleven char")) == "HTTP/1.1 413");
    BOOST_TEST(status_of("no request\r\n\r\n") == "HTTP/1.1 400");
    BOOST_TEST(status_of(request_text("/" + std::string(600, 'p'))) ==
               "HTTP/1.1 400");
    BOOST_TEST(tested.m_requests.empty());
}

// Guards against slow or silent clients that occupy connections, for example by
// sending one byte at a time.
BOOST_AUTO_TEST_CASE(slow_header_times_out)
{
    auto loop = net::event_loop{};
    auto tested =
        server{loop, {.m_read_timeout = std::chrono::milliseconds{100}}};
    auto client = raw_socket{tested.m_port};
    client.send("POST / HTTP/1.1\r\nX-Slow: ");
    BOOST_TEST(run_until(loop,
                         [&]
                         {
                             client.send("x");
                             client.poll();
                             return client.is_closed();
                         }));
    BOOST_TEST(run_until(loop,
                         [&]
                         {
                             return tested.m_http.connections() == 0U;
                         }));
}

// Guards against serving more connections than the limit.
BOOST_AUTO_TEST_CASE(connection_over_the_limit_is_answered_503)
{
    auto loop = net::event_loop{};
    auto tested = server{loop, {.m_connection_limit = 1}};
    auto served = raw_socket{tested.m_port};
    served.send(request_text("/"));
    BOOST_TEST(run_until(loop,
                         [&]
                         {
                             return tested.m_requests.size() == 1U;
                         }));
    auto refused = raw_socket{tested.m_port};
    refused.send(request_text("/"));
    BOOST_TEST(until_closed(loop, refused));
    BOOST_TEST(refused.received().starts_with("HTTP/1.1 503"));
    served.close();
    BOOST_TEST(run_until(loop,
                         [&]
                         {
                             return tested.m_http.connections() == 0U;
                         }));
    auto next = raw_socket{tested.m_port};
    next.send(request_text("/"));
    BOOST_TEST(run_until(loop,
                         [&]
                         {
                             return tested.m_requests.size() == 2U;
                         }));
}

// Guards against a server that stops accepting, or accepts in a busy loop,
// after the process ran out of file descriptors.
BOOST_AUTO_TEST_CASE(accepting_resumes_after_descriptor_exhaustion)
{
    auto loop = net::event_loop{};
    auto tested = server{loop};
    auto client = raw_socket{tested.m_port};
    client.send(request_text("/"));
    auto usual = rlimit{};
    BOOST_TEST(getrlimit(RLIMIT_NOFILE, &usual) == 0);
    auto const none = rlimit{0, usual.rlim_max};
    BOOST_TEST(setrlimit(RLIMIT_NOFILE, &none) == 0);
    for (auto turn = 0; turn < 3; ++turn)
        event_base_loop(loop.base(), EVLOOP_NONBLOCK);
    BOOST_TEST(setrlimit(RLIMIT_NOFILE, &usual) == 0);
    BOOST_TEST(tested.m_requests.empty());
    BOOST_TEST(until_size(loop, tested.m_requests, 1));
}

// Guards against a graceful stop that aborts a request in progress.
BOOST_AUTO_TEST_CASE(stopping_server_answers_open_exchanges)
{
    auto loop = net::event_loop{};
    auto tested = server{loop};
    auto client = raw_socket{tested.m_port};
    client.send(request_text("/"));
    BOOST_TEST(run_until(loop,
                         [&]
                         {
                             return !tested.m_requests.empty();
                         }));
    tested.m_http.stop_accepting();
    BOOST_CHECK_THROW(raw_socket{tested.m_port}, std::runtime_error);
    tested.m_http.answer(tested.m_requests.front().m_exchange, 200, {}, "done");
    BOOST_TEST(until_closed(loop, client));
    BOOST_TEST(client.received().find("Connection: close") !=
               std::string::npos);
    BOOST_TEST(client.received().ends_with("done"));
}

// Guards against an incomplete answer that is taken for a complete one (I2,
// I3), and against `not_run` for a call that may have run (I4).
BOOST_AUTO_TEST_CASE(broken_answer_is_reported_as_may_have_run)
{
    auto const broken = std::vector<std::string>{
        "",
        "HTTP/1.1 200 OK\r\nContent-",
        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" +
            std::string(2'000, 'x'),
        "HTTP/1.1 200 OK\r\n\r\nno length",
        "garbage\r\n\r\n"};
    for (auto const& bytes : broken)
    {
        auto loop = net::event_loop{};
        auto const tested = raw_server{loop, bytes};
        auto client =
            net::http_client{loop,
                             net::bound_address(tested.m_listener.get()),
                             {.m_answer_limit = 1'000}};
        auto ended = std::optional<net::http_result>{};
        client.start(call_to("/"),
                     [&](net::http_result result)
                     {
                         ended = result;
                     });
        BOOST_TEST(run_until(loop,
                             [&]
                             {
                                 return ended.has_value();
                             }));
        BOOST_TEST_CONTEXT(bytes.substr(0, 80))
        {
            BOOST_TEST((ended->m_run == core::run_state::may_have_run));
            BOOST_TEST(ended->m_answer.m_body.empty());
            BOOST_TEST(!ended->m_error.empty());
            BOOST_TEST(tested.m_accepted == 1);
        }
    }
}

// Guards against a refused connection that is reported as `may_have_run`, which
// would prevent a retry.
BOOST_AUTO_TEST_CASE(refused_connection_is_reported_as_not_run)
{
    auto loop = net::event_loop{};
    auto stopped = server{loop};
    auto const address = stopped.address();
    stopped.m_http.stop_accepting();
    auto client = net::http_client{loop, address, {}};
    auto ended = std::optional<net::http_result>{};
    client.start(call_to("/"),
                 [&](net::http_result result)
                 {
                     ended = result;
                 });
    BOOST_TEST(!ended.has_value());
    BOOST_TEST(run_until(loop,
                         [&]
                         {
                             return ended.has_value();
                         }));
    BOOST_TEST((ended->m_run == core::run_state::not_run));
    ended.reset();
    client.start(call_to("/split\r\nX: y"),
                 [&](net::http_result result)
                 {
                     ended = result;
                 });
    BOOST_TEST(run_until(loop,
                         [&]
                         {
                             return ended.has_value();
                         }));
    BOOST_TEST(ended->m_error == address.text() + ": invalid path or header");
}

// Guards against calls that never end, and against calls that end twice.
BOOST_AUTO_TEST_CASE(timeout_and_cancel_end_a_call)
{
    auto loop = net::event_loop{};
    auto tested = server{loop};
    auto client = net::http_client{loop, tested.address(), {}};
    auto ended = std::vector<net::http_result>{};
    auto const record = [&](net::http_result result)
    {
        ended.push_back(std::move(result));
    };
    auto limited = call_to("/");
    limited.m_timeout = std::chrono::milliseconds{20};
    client.start(limited, record);
    BOOST_TEST(run_until(loop,
                         [&]
                         {
                             return ended.size() == 1U;
                         }));
    BOOST_TEST(ended.front().m_error.ends_with("deadline passed"));
    auto const id = client.start(call_to("/"), record);
    BOOST_TEST(run_until(loop,
                         [&]
                         {
                             return tested.m_requests.size() == 2U;
                         }));
    client.cancel(id);
    client.cancel(id);
    BOOST_TEST(ended.size() == 2U);
    BOOST_TEST((ended.back().m_run == core::run_state::may_have_run));
    BOOST_TEST(client.active() == 0U);
    BOOST_TEST(run_until(loop,
                         [&]
                         {
                             return tested.m_abandoned.size() == 2U;
                         }));
}

// Guards against reusing an idle connection that the server has closed.
BOOST_AUTO_TEST_CASE(connection_closed_while_idle_is_not_reused)
{
    auto loop = net::event_loop{};
    auto const answer =
        std::string{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"};
    auto const tested = raw_server{loop, answer};
    auto client =
        net::http_client{loop,
                         net::bound_address(tested.m_listener.get()),
                         {.m_idle_timeout = std::chrono::seconds{60}}};
    for (auto calls = 1; calls <= 3; ++calls)
    {
        auto ended = std::optional<net::http_result>{};
        client.start(call_to("/"),
                     [&](net::http_result result)
                     {
                         ended = result;
                     });
        BOOST_TEST(run_until(loop,
                             [&]
                             {
                                 return ended.has_value();
                             }));
        BOOST_TEST((ended->m_run == core::run_state::ran));
        BOOST_TEST(tested.m_accepted == calls);
        auto has_run_posted = false;
        loop.post(
            [&]
            {
                has_run_posted = true;
            });
        BOOST_TEST(run_until(loop,
                             [&]
                             {
                                 return has_run_posted;
                             }));
    }
}

// Guards against clients that keep an idle connection to a process that stops,
// and against aborting a request in progress.
BOOST_AUTO_TEST_CASE(close_idle_does_not_close_busy_connections)
{
    auto loop = net::event_loop{};
    auto target = server{loop};
    auto idle = raw_socket{target.m_port};
    auto busy = raw_socket{target.m_port};
    auto const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    idle.send(request);
    BOOST_TEST(run_until(loop,
                         [&]
                         {
                             return target.m_requests.size() == 1;
                         }));
    target.m_http.answer(target.m_requests.front().m_exchange, 200, {}, "x");
    busy.send(request);
    BOOST_TEST(run_until(loop,
                         [&]
                         {
                             return target.m_requests.size() == 2;
                         }));
    target.m_http.close_idle();
    BOOST_TEST(run_until(loop,
                         [&]
                         {
                             idle.poll();
                             return idle.is_closed();
                         }));
    target.m_http.answer(target.m_requests.back().m_exchange, 200, {}, "yes");
    BOOST_TEST(run_until(loop,
                         [&]
                         {
                             busy.poll();
                             return busy.received().ends_with("yes");
                         }));
}
