#include "net/connection_ledger.hpp"
#include "net/http_server.hpp"
#include "net/loop_runner.hpp"

#include <boost/leaf/handle_errors.hpp>
#include <boost/test/unit_test.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace core = hickorylatch::core;
namespace leaf = boost::leaf;
namespace net = hickorylatch::net;

namespace
{

constexpr auto request_text =
    std::string_view{"GET / HTTP/1.1\r\nHost: test\r\n\r\n"};

/// A server that answers each request at once with a body of a given size.
struct answering_server
{
    answering_server(net::event_loop& loop, std::size_t body_size,
                     net::http_server_settings settings)
        : m_body(body_size, 'x'), m_http{
                                      loop, std::move(settings),
                                      [this](net::http_request const& request)
                                      {
                                          ++m_requests;
                                          if (m_answers)
                                              m_http.answer(request.m_exchange,
                                                            200, {}, m_body);
                                      }}
    {
        m_port = leaf::try_handle_all(
            [&]
            {
                return m_http.listen("0.0.0.0:0");
            },
            []
            {
                BOOST_FAIL("cannot listen");
                return std::uint16_t{0};
            });
    }

    std::string m_body;
    std::size_t m_requests = 0;
    bool m_answers = true;
    net::http_server m_http;
    std::uint16_t m_port = 0;
};

/// A client that reads and sends only what it is told to, without blocking.
class slow_client
{
public:
    explicit slow_client(std::uint16_t port, char const* source = "127.0.0.1")
        : m_socket{::socket(AF_INET, SOCK_STREAM, 0)}
    {
        // Otherwise the kernel holds megabytes on this side.
        auto const small = 4'096;
        setsockopt(m_socket, SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
        auto const medium = 65'536;
        setsockopt(m_socket, SOL_SOCKET, SO_SNDBUF, &medium, sizeof medium);
        auto address = sockaddr_in{};
        address.sin_family = AF_INET;
        inet_pton(AF_INET, source, &address.sin_addr);
        auto* const general = reinterpret_cast<sockaddr*>(&address);
        BOOST_REQUIRE(::bind(m_socket, general, sizeof address) == 0);
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        BOOST_REQUIRE(::connect(m_socket, general, sizeof address) == 0);
    }
    slow_client(slow_client const&) = delete;
    auto operator=(slow_client const&) -> slow_client& = delete;
    ~slow_client()
    {
        ::close(m_socket);
    }

    /// Returns the number of bytes that were sent.
    auto send(std::string_view bytes) -> std::size_t
    {
        auto const sent = ::send(m_socket, bytes.data(), bytes.size(),
                                 MSG_NOSIGNAL | MSG_DONTWAIT);
        return sent < 0 ? 0 : static_cast<std::size_t>(sent);
    }

    auto read(std::size_t limit) -> std::size_t
    {
        auto bytes = std::array<char, 65'536>{};
        auto const size = ::recv(m_socket, bytes.data(),
                                 std::min(limit, bytes.size()), MSG_DONTWAIT);
        m_is_closed = size == 0 || (size < 0 && errno != EAGAIN);
        return size < 0 ? 0 : static_cast<std::size_t>(size);
    }

    auto is_closed() const -> bool
    {
        return m_is_closed;
    }

private:
    int m_socket;
    bool m_is_closed = false;
};

} // namespace

BOOST_AUTO_TEST_SUITE(http_limits)

// Guards against reading pipelined requests without a bound while the client
// does not read the response to the first one.
BOOST_AUTO_TEST_CASE(pipelined_requests_are_not_read_without_a_bound)
{
    constexpr auto pipelined = std::size_t{16} << 20U;
    auto loop = net::event_loop{};
    auto tested =
        answering_server{loop, std::size_t{4} << 20U, {.m_body_limit = 65'536}};
    auto client = slow_client{tested.m_port};
    auto requests = std::string{};
    while (requests.size() < 65'536)
        requests += request_text;
    auto sent = std::size_t{0};
    auto idle_turns = 0;
    BOOST_TEST(run_until(loop,
                         [&]
                         {
                             auto const count = client.send(requests);
                             sent += count;
                             idle_turns = count == 0 ? idle_turns + 1 : 0;
                             return idle_turns > 20 || sent > pipelined;
                         }));
    BOOST_TEST(tested.m_requests == 1U);
    BOOST_TEST(sent < pipelined / 4);
}

// Guards against reading that was stopped and is not resumed, so that pipelined
// requests, the last one with the largest body, are never handled.
BOOST_AUTO_TEST_CASE(pipelined_requests_are_all_handled)
{
    constexpr auto count = std::size_t{4'000};
    constexpr auto body_limit = std::size_t{262'144};
    auto loop = net::event_loop{};
    auto tested = answering_server{loop, 1'000, {.m_body_limit = body_limit}};
    auto client = slow_client{tested.m_port};
    auto requests = std::string{};
    for (auto index = std::size_t{0}; index < count; ++index)
        requests += request_text;
    requests += "POST / HTTP/1.1\r\nX-Long: " + std::string(16'000, 'x') +
                "\r\nContent-Length: " + std::to_string(body_limit) +
                "\r\n\r\n" + std::string(body_limit, 'x');
    auto rest = std::string_view{requests};
    BOOST_TEST(run_until(loop,
                         [&]
                         {
                             rest.remove_prefix(client.send(rest));
                             // Responses stay unread at first.
                             if (rest.empty() || tested.m_requests > 100)
                                 while (client.read(65'536) > 0)
                                     ;
                             return tested.m_requests == count + 1;
                         }));
    BOOST_TEST(tested.m_requests == count + 1);
}

// Guards against cutting a client that reads its response slowly.
BOOST_AUTO_TEST_CASE(slow_reader_gets_the_whole_response)
{
    // More than the kernel holds.
    constexpr auto body_size = std::size_t{768} << 10U;
    auto loop = net::event_loop{};
    auto tested = answering_server{
        loop, body_size, {.m_read_timeout = std::chrono::milliseconds{300}}};
    auto client = slow_client{tested.m_port};
    client.send(request_text);
    auto received = std::size_t{0};
    auto const start = loop.now();
    auto next_read = start;
    BOOST_TEST(run_until(loop,
                         [&]
                         {
                             if (loop.now() < next_read)
                                 return false;
                             next_read =
                                 loop.now() + std::chrono::milliseconds{10};
                             received += client.read(65'536);
                             return received > body_size || client.is_closed();
                         }));
    BOOST_TEST(received > body_size);
    // Otherwise the timeout was not tested.
    BOOST_TEST((loop.now() - start > std::chrono::milliseconds{600}));
}

// Guards against holding the response of a client that does not read.
BOOST_AUTO_TEST_CASE(unread_response_times_out)
{
    auto ledger = std::make_shared<net::connection_ledger>();
    auto loop = net::event_loop{};
    auto tested = answering_server{
        loop,
        std::size_t{4} << 20U,
        {.m_read_timeout = std::chrono::milliseconds{200}, .m_ledger = ledger}};
    auto client = slow_client{tested.m_port};
    client.send(request_text);
    BOOST_TEST(run_until(loop,
                         [&]
                         {
                             return ledger->bytes() > 0;
                         }));
    BOOST_TEST(run_until(loop,
                         [&]
                         {
                             return tested.m_http.connections() == 0U;
                         }));
    BOOST_TEST(ledger->bytes() == 0U);
    BOOST_TEST(ledger->closed(net::close_cause::unread_response) == 1U);
}

// Guards against a client that sends its second request one byte at a time;
// the limit from accepting covers only the first.
BOOST_AUTO_TEST_CASE(slow_second_request_times_out)
{
    auto ledger = std::make_shared<net::connection_ledger>();
    auto loop = net::event_loop{};
    auto tested = answering_server{
        loop,
        2,
        {.m_read_timeout = std::chrono::milliseconds{200}, .m_ledger = ledger}};
    auto client = slow_client{tested.m_port};
    client.send(request_text);
    BOOST_TEST(run_until(loop,
                         [&]
                         {
                             return client.read(65'536) > 0;
                         }));
    client.send("POST / HTTP/1.1\r\nContent-Length: 60000\r\n\r\n");
    BOOST_TEST(run_until(loop,
                         [&]
                         {
                             client.send("x");
                             client.read(65'536);
                             return client.is_closed();
                         }));
    BOOST_TEST(ledger->closed(net::close_cause::slow_request) == 1U);
}

// Guards against responses that together exceed the memory of the process.
BOOST_AUTO_TEST_CASE(unread_response_makes_room_for_another)
{
    constexpr auto body_size = std::size_t{4} << 20U;
    auto ledger = std::make_shared<net::connection_ledger>(
        net::connection_bounds{.m_bytes = body_size + (body_size / 2)});
    auto loop = net::event_loop{};
    auto tested = answering_server{loop, body_size, {.m_ledger = ledger}};
    auto stalled = slow_client{tested.m_port};
    stalled.send(request_text);
    BOOST_TEST(run_until(loop,
                         [&]
                         {
                             return tested.m_requests == 1U;
                         }));
    auto reading = slow_client{tested.m_port};
    reading.send(request_text);
    auto received = std::size_t{0};
    BOOST_TEST(run_until(loop,
                         [&]
                         {
                             while (auto const size = reading.read(65'536))
                                 received += size;
                             return received > body_size || reading.is_closed();
                         }));
    BOOST_TEST(received > body_size);
    BOOST_TEST(ledger->closed(net::close_cause::memory) == 1U);
}

// Guards against many connections that each hold a part of a request.
BOOST_AUTO_TEST_CASE(incomplete_bodies_are_bounded_together)
{
    auto ledger = std::make_shared<net::connection_ledger>(
        net::connection_bounds{.m_bytes = 100'000});
    auto loop = net::event_loop{};
    auto tested = answering_server{loop, 2, {.m_ledger = ledger}};
    auto const part = "POST / HTTP/1.1\r\nContent-Length: 60000\r\n\r\n" +
                      std::string(40'000, 'x');
    auto first = slow_client{tested.m_port};
    auto second = slow_client{tested.m_port};
    auto third = slow_client{tested.m_port};
    for (auto* const client : {&first, &second, &third})
        client->send(part);
    BOOST_TEST(run_until(loop,
                         [&]
                         {
                             return tested.m_http.connections() == 2U;
                         }));
    BOOST_TEST(ledger->bytes() <= 100'000U);
    BOOST_TEST(ledger->closed(net::close_cause::memory) == 1U);
}

// Guards against an address that takes all connections, with or without sending
// a request, and against cutting a request in progress for another.
BOOST_AUTO_TEST_CASE(another_address_gets_a_connection)
{
    auto ledger = std::make_shared<net::connection_ledger>(
        net::connection_bounds{.m_connections = 3});
    auto loop = net::event_loop{};
    auto tested = answering_server{loop, 2, {.m_ledger = ledger}};
    tested.m_answers = false;
    auto busy = slow_client{tested.m_port};
    busy.send(request_text);
    BOOST_TEST(run_until(loop,
                         [&]
                         {
                             return tested.m_requests == 1U;
                         }));
    tested.m_answers = true;
    auto silent = slow_client{tested.m_port};
    auto other_silent = slow_client{tested.m_port};
    BOOST_TEST(run_until(loop,
                         [&]
                         {
                             return ledger->connections() == 3U;
                         }));
    auto other = slow_client{tested.m_port, "127.0.0.2"};
    other.send(request_text);
    BOOST_TEST(run_until(loop,
                         [&]
                         {
                             return other.read(65'536) > 0;
                         }));
    BOOST_TEST(tested.m_requests == 2U);
    BOOST_TEST(ledger->closed(net::close_cause::connections) == 1U);
    busy.read(1);
    BOOST_TEST(!busy.is_closed());
}

// Guards against refused connections that are never closed by their clients.
BOOST_AUTO_TEST_CASE(refused_connections_do_not_stay_open)
{
    auto ledger = std::make_shared<net::connection_ledger>(
        net::connection_bounds{.m_connections = 1, .m_refused_connections = 2});
    auto loop = net::event_loop{};
    auto tested = answering_server{loop, 2, {.m_ledger = ledger}};
    auto clients = std::vector<std::unique_ptr<slow_client>>{};
    for (auto index = 0; index < 10; ++index)
        clients.push_back(std::make_unique<slow_client>(tested.m_port));
    BOOST_TEST(run_until(loop,
                         [&]
                         {
                             return ledger->closed(net::close_cause::refused) ==
                                    7U;
                         }));
    BOOST_TEST(run_until(loop,
                         [&]
                         {
                             return tested.m_http.connections() == 3U;
                         }));
}

BOOST_AUTO_TEST_SUITE_END()
