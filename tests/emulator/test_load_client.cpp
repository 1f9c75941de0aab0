#include "emulator/echo.hpp"
#include "emulator/load_client.hpp"
#include "emulator/load_command.hpp"
#include "net/http_server.hpp"
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

/// Answers requests in pairs, optionally with the two answers swapped.
struct fake_entry
{
    fake_entry(net::event_loop& loop, bool swaps_answers)
        : m_swaps_answers{swaps_answers},
          m_server{loop,
                   {},
                   [this](net::http_request request)
                   {
                       m_requests.push_back(std::move(request));
                       if (m_requests.size() % 2 == 0)
                           answer_pair();
                   }}
    {
        m_port = leaf::try_handle_all(
            [&]
            {
                return m_server.listen("127.0.0.1:0");
            },
            []
            {
                return std::uint16_t{0};
            });
    }

    auto answer_pair() -> void
    {
        auto const& last = m_requests.back();
        auto const& other = m_requests.at(m_requests.size() - 2);
        answer(last, m_swaps_answers ? other : last);
        answer(other, m_swaps_answers ? last : other);
    }

    auto answer(net::http_request const& to, net::http_request const& echoed)
        -> void
    {
        constexpr auto prefix = std::string_view{"/v1/services/order-desk/"};
        auto const path = std::string_view{echoed.m_path}.substr(prefix.size());
        auto const body = emulator::print_echo(
            {emulator::request_digest(path, echoed.m_body), core::duration{1}});
        m_server.answer(to.m_exchange, 200, {{"Hickorylatch-Verdict", "ran"}},
                        body);
    }

    bool m_swaps_answers;
    net::http_server m_server;
    std::uint16_t m_port = 0;
    std::vector<net::http_request> m_requests;
};

auto run_load(net::event_loop& loop, fake_entry const& entry)
    -> emulator::load_report
{
    auto settings = emulator::load_settings{};
    auto const parse = [&]
    {
        return net::socket_address::parse("127.0.0.1:" +
                                          std::to_string(entry.m_port));
    };
    settings.m_entries = {leaf::try_handle_all(parse,
                                               []
                                               {
                                                   return net::socket_address{};
                                               })};
    settings.m_rate = 5'000;
    settings.m_deadline = std::chrono::seconds{5};
    auto client = emulator::load_client{loop, settings};
    auto is_finished = false;
    client.finished().connect(
        [&]
        {
            is_finished = true;
        });
    client.start();
    BOOST_TEST(run_until(loop,
                         [&]
                         {
                             return is_finished;
                         }));
    return client.report();
}

} // namespace

// Guards against requests without the headers that the entry needs to match a
// resend to the original.
BOOST_AUTO_TEST_CASE(load_sends_all_headers_and_counts_answers)
{
    auto loop = net::event_loop{};
    auto entry = fake_entry{loop, false};
    auto const report = run_load(loop, entry);
    BOOST_TEST(report.ended() == 100U);
    BOOST_TEST(report.succeeded() == 100U);
    BOOST_TEST(report.m_mismatched == 0U);
    auto non_idempotent = 0;
    for (auto const& request : entry.m_requests)
    {
        non_idempotent += request.m_path.ends_with("/book") ? 1 : 0;
        for (auto const* const name :
             {"Hickorylatch-Customer", "Idempotency-Key", "traceparent",
              "Hickorylatch-Submitted-At", "Hickorylatch-Deadline-Ms"})
            BOOST_TEST(net::find_header(request.m_headers, name).has_value());
    }
    BOOST_TEST(non_idempotent > 5);
    BOOST_TEST(non_idempotent < 40);
    auto const summary = report.print(std::chrono::seconds{1});
    BOOST_TEST(summary.find("outcome ran/200 100\n") != std::string::npos);
    BOOST_TEST(summary.find("response_ms p99.9 ") != std::string::npos);
}

// Guards against a check that misses answers to the wrong request (I3).
BOOST_AUTO_TEST_CASE(mismatched_answers_are_counted)
{
    auto loop = net::event_loop{};
    auto entry = fake_entry{loop, true};
    BOOST_TEST(run_load(loop, entry).m_mismatched == 100U);
}

// Guards against run times that differ between equal seeds or are out of
// bounds.
BOOST_AUTO_TEST_CASE(run_times_are_reproducible_and_within_bounds)
{
    auto first = emulator::run_time_distribution{{}, 7};
    auto second = emulator::run_time_distribution{{}, 7};
    auto long_count = 0;
    for (auto number = 0; number < 10'000; ++number)
    {
        auto const time = first.draw();
        BOOST_REQUIRE((time == second.draw()));
        BOOST_REQUIRE(time.count() >= 50'000);
        BOOST_REQUIRE(time.count() <= 6'000'000);
        long_count += time.count() > 1'000'000 ? 1 : 0;
    }
    BOOST_TEST(long_count > 150);
    BOOST_TEST(long_count < 250);
}

// Guards against a load run that succeeds although no request was answered.
BOOST_AUTO_TEST_CASE(load_checks_its_arguments_and_result)
{
    using arguments = std::vector<std::string>;
    auto const code = [](arguments const& command_line)
    {
        return emulator::load_main(command_line);
    };
    BOOST_TEST(code({"--help"}) == 0);
    BOOST_TEST(code({}) == 2);
    BOOST_TEST(code({"nowhere"}) == 2);
    BOOST_TEST(code({"--rate", "0", "127.0.0.1:1"}) == 2);
    BOOST_TEST(code({"--count", "3", "--rate", "1000", "--least-success", "1",
                     "127.0.0.1:1"}) == 1);
}
