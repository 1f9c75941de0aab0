#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "net/loop_runner.hpp"

#include <boost/leaf/handle_errors.hpp>
#include <boost/test/unit_test.hpp>

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace core = hickorylatch::core;
namespace leaf = boost::leaf;
namespace net = hickorylatch::net;

namespace
{

/// A server that answers each request with its instance and records the paths.
class instance_server
{
public:
    explicit instance_server(net::event_loop& loop)
        : m_http{loop, net::http_server_settings{},
                 [this](net::http_request const& request)
                 {
                     m_paths.push_back(request.m_path);
                     m_http.answer(request.m_exchange, 200, m_headers,
                                   m_instance);
                 }}
    {
    }

    auto listen() -> net::socket_address
    {
        return leaf::try_handle_all(
            [&]() -> leaf::result<net::socket_address>
            {
                BOOST_LEAF_AUTO(port, m_http.listen("127.0.0.1:0"));
                return net::socket_address::parse("127.0.0.1:" +
                                                  std::to_string(port));
            },
            []
            {
                BOOST_FAIL("cannot listen");
                return net::socket_address{};
            });
    }

    std::string m_instance = "first";
    net::http_headers m_headers;
    std::vector<std::string> m_paths;

private:
    net::http_server m_http;
};

auto call_for(std::string instance) -> net::http_call
{
    auto call = net::http_call{};
    call.m_path = "/order";
    call.m_check = net::connection_check{};
    call.m_check->m_instance = instance;
    call.m_check->m_path = "/check";
    call.m_check->m_accepts =
        [instance = std::move(instance)](net::http_answer const& answer)
    {
        return answer.m_body == instance;
    };
    return call;
}

auto result_of(net::event_loop& loop, net::http_client& client,
               net::http_call const& call) -> net::http_result
{
    auto ended = std::optional<net::http_result>{};
    client.start(call,
                 [&](net::http_result result)
                 {
                     ended = std::move(result);
                 });
    BOOST_REQUIRE(run_until(loop,
                            [&]
                            {
                                return ended.has_value();
                            }));
    return *ended;
}

constexpr auto keep_connections =
    net::http_client_settings{.m_idle_timeout = std::chrono::seconds{60}};

} // namespace

// Guards against an order that is carried out by a process that took the place
// of the one that it was meant for.
BOOST_AUTO_TEST_CASE(a_call_is_not_sent_to_another_instance)
{
    auto loop = net::event_loop{};
    auto server = instance_server{loop};
    auto client = net::http_client{loop, server.listen(), keep_connections};
    server.m_instance = "second";
    auto const result = result_of(loop, client, call_for("first"));
    BOOST_TEST((result.m_run == core::run_state::not_run));
    BOOST_TEST(result.m_answer.m_status == 200);
    BOOST_TEST(result.m_answer.m_body == "second");
    BOOST_TEST(server.m_paths == std::vector<std::string>{"/check"},
               boost::test_tools::per_element());
    // The next call does not reuse the connection.
    auto const next = result_of(loop, client, call_for("second"));
    BOOST_TEST((next.m_run == core::run_state::ran));
    BOOST_TEST(server.m_paths ==
                   (std::vector<std::string>{"/check", "/check", "/order"}),
               boost::test_tools::per_element());
}

// Guards against a check for each call, which doubles the calls to a worker,
// and against a connection that serves calls for another instance unchecked.
BOOST_AUTO_TEST_CASE(a_connection_is_checked_once_for_an_instance)
{
    auto loop = net::event_loop{};
    auto server = instance_server{loop};
    auto client = net::http_client{loop, server.listen(), keep_connections};
    for (auto calls = 0; calls < 2; ++calls)
        BOOST_TEST((result_of(loop, client, call_for("first")).m_run ==
                    core::run_state::ran));
    BOOST_TEST((result_of(loop, client, call_for("second")).m_run ==
                core::run_state::not_run));
    BOOST_TEST(server.m_paths == (std::vector<std::string>{"/check", "/order",
                                                           "/order", "/check"}),
               boost::test_tools::per_element());
}

// Guards against a server that gets no call at all because it closes each
// connection after one answer.
BOOST_AUTO_TEST_CASE(a_call_follows_the_check_on_another_connection)
{
    auto loop = net::event_loop{};
    auto server = instance_server{loop};
    server.m_headers = {{"Connection", "close"}};
    auto client = net::http_client{loop, server.listen(), keep_connections};
    BOOST_TEST((result_of(loop, client, call_for("first")).m_run ==
                core::run_state::ran));
    BOOST_TEST(server.m_paths == (std::vector<std::string>{"/check", "/order"}),
               boost::test_tools::per_element());
}
