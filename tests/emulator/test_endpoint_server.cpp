#include "emulator/echo.hpp"
#include "emulator/emulate_command.hpp"
#include "emulator/endpoint_server.hpp"
#include "net/http_client.hpp"
#include "net/loop_runner.hpp"

#include <boost/leaf/handle_errors.hpp>
#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

namespace core = hickorylatch::core;
namespace emulator = hickorylatch::emulator;
namespace leaf = boost::leaf;
namespace net = hickorylatch::net;

namespace
{

/// An emulated endpoint and a client that calls it.
struct fixture
{
    explicit fixture(emulator::endpoint_settings const& settings = {})
        : m_server{m_loop, settings}
    {
        auto const address = [&]() -> leaf::result<net::socket_address>
        {
            BOOST_LEAF_AUTO(port, m_server.listen("127.0.0.1:0"));
            return net::socket_address::parse("127.0.0.1:" +
                                              std::to_string(port));
        };
        m_client = std::make_unique<net::http_client>(
            m_loop,
            leaf::try_handle_all(address,
                                 []
                                 {
                                     return net::socket_address{};
                                 }),
            net::http_client_settings{});
    }

    /// Starts a task that runs for a time in milliseconds.
    auto start(std::string const& attempt, int run_time_ms)
        -> net::http_client::call_id
    {
        auto call = net::http_call{};
        call.m_path = "/check";
        call.m_headers = {{"Hickorylatch-Attempt", attempt}};
        call.m_body = R"({"emulate_run_ms":)" + std::to_string(run_time_ms) +
                      R"(,"token":")" + attempt + "\"}";
        return m_client->start(call,
                               [this](net::http_result const& result)
                               {
                                   m_results.push_back(result);
                               });
    }

    /// Makes a call and returns its answer, with status 0 if it failed.
    auto call(std::string const& method, std::string const& path,
              std::string const& body = {}) -> net::http_answer
    {
        auto answer = std::optional<net::http_answer>{};
        m_client->start({.m_method = method, .m_path = path, .m_body = body},
                        [&](net::http_result const& result)
                        {
                            answer = result.m_answer;
                        });
        BOOST_TEST(run_until(m_loop,
                             [&]
                             {
                                 return answer.has_value();
                             }));
        return answer.value_or(net::http_answer{});
    }

    auto wait_for_results(std::size_t count) -> bool
    {
        return run_until(m_loop,
                         [&]
                         {
                             return m_results.size() == count;
                         });
    }

    auto wait_for_starts(std::size_t count) -> bool
    {
        return run_until(m_loop,
                         [&]
                         {
                             return m_server.counts().m_started == count;
                         });
    }

    net::event_loop m_loop;
    emulator::endpoint_server m_server;
    std::unique_ptr<net::http_client> m_client;
    std::vector<net::http_result> m_results;
};

constexpr auto one_hour_ms = 3'600'000;

} // namespace

// Guards against an emulated endpoint that accepts more tasks than it has
// slots, which would hide dispatches that overload an endpoint.
BOOST_AUTO_TEST_CASE(slots_are_enforced)
{
    auto tested = fixture{{.m_slots = 2}};
    tested.start("1", one_hour_ms);
    tested.start("2", one_hour_ms);
    BOOST_TEST(tested.wait_for_starts(2));
    tested.start("3", 1);
    BOOST_TEST(tested.wait_for_results(1));
    BOOST_TEST(tested.m_results.front().m_answer.m_status == 503);
    BOOST_TEST(tested.m_server.counts().m_refused == 1U);
    BOOST_TEST(tested.call("POST", "/attempts/1/stop").m_status == 200);
    BOOST_TEST(tested.call("POST", "/attempts/1/stop").m_status == 404);
    BOOST_TEST(tested.wait_for_results(2));
    BOOST_TEST(tested.m_results.back().m_answer.m_status == 410);
    tested.start("4", 1);
    BOOST_TEST(tested.wait_for_results(3));
    BOOST_TEST(tested.m_results.back().m_answer.m_status == 200);
}

// Guards against a double start (I1) that goes undetected.
BOOST_AUTO_TEST_CASE(double_start_is_counted)
{
    auto tested = fixture{};
    for (auto const* const attempt : {"7.0", "7.1", "7.0"})
        tested.start(attempt, 1);
    BOOST_TEST(tested.wait_for_results(3));
    BOOST_TEST(tested.m_server.counts().double_starts() == 1U);
    BOOST_TEST(tested.call("GET", "/counts?7.0").m_body == R"({"started":2})");
    auto const all = tested.call("GET", "/counts").m_body;
    BOOST_TEST(all.find(R"("doubled":{"7.0":2})") != std::string::npos);
    BOOST_TEST(all.find(R"("repeated":{"/check":1})") != std::string::npos);
}

// Guards against failure modes that the client takes for answers.
BOOST_AUTO_TEST_CASE(failure_modes_give_no_answer)
{
    auto tested = fixture{};
    for (auto const* const mode : {"close", "truncate"})
    {
        BOOST_TEST(tested.call("POST", "/emulate/mode", mode).m_status == 200);
        tested.m_results.clear();
        tested.start("1", 1);
        BOOST_TEST(tested.wait_for_results(1));
        auto const& result = tested.m_results.front();
        BOOST_TEST((result.m_run == core::run_state::may_have_run));
        BOOST_TEST(result.m_answer.m_body.empty());
    }
    tested.call("POST", "/emulate/mode", "fail");
    tested.start("2", one_hour_ms);
    BOOST_TEST(tested.wait_for_results(2));
    BOOST_TEST(tested.m_results.back().m_answer.m_status == 500);
    BOOST_TEST(tested.call("POST", "/emulate/mode", "odd").m_status == 400);
    tested.call("POST", "/emulate/mode", "hang");
    auto const hung = tested.start("3", 1);
    BOOST_TEST(tested.wait_for_starts(4));
    tested.m_client->cancel(hung);
    BOOST_TEST(run_until(tested.m_loop,
                         [&]
                         {
                             return tested.m_server.counts().m_running == 0;
                         }));
}

// Guards against a graceful stop that aborts a running task or loses its answer
// (I7).
BOOST_AUTO_TEST_CASE(stop_waits_for_running_tasks)
{
    auto tested = fixture{};
    auto is_stopped = false;
    tested.m_server.stopped().connect(
        [&]
        {
            is_stopped = true;
            tested.m_loop.stop();
        });
    tested.start("1", 50);
    BOOST_TEST(tested.wait_for_starts(1));
    tested.m_server.stop();
    BOOST_TEST(!is_stopped);
    BOOST_TEST(tested.wait_for_results(1));
    BOOST_TEST(tested.m_results.front().m_answer.m_status == 200);
    auto const answer =
        emulator::parse_echo(tested.m_results.front().m_answer.m_body);
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST(answer->m_run_time.count() >= 50'000);
    BOOST_TEST(run_until(tested.m_loop,
                         [&]
                         {
                             return is_stopped;
                         }));
}

// Guards against commands that start in spite of invalid options.
BOOST_AUTO_TEST_CASE(emulate_checks_its_arguments)
{
    using arguments = std::vector<std::string>;
    auto const code = [](arguments const& command_line)
    {
        return emulator::emulate_main(command_line);
    };
    BOOST_TEST(code({"--help"}) == 0);
    BOOST_TEST(code({}) == 2);
    BOOST_TEST(code({"--what"}) == 2);
    BOOST_TEST(code({"127.0.0.1:0=odd"}) == 2);
    BOOST_TEST(code({"--slots", "-1", "127.0.0.1:0"}) == 2);
    BOOST_TEST(code({"nowhere"}) == 1);
}
