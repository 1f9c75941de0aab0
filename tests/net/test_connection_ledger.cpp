#include "net/connection_ledger.hpp"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <cstdint>
#include <vector>

using namespace hickorylatch;
using namespace std::chrono_literals;

namespace
{

constexpr auto start = core::time_point{100s};

auto take_all(net::connection_ledger& ledger, core::time_point now)
    -> std::vector<std::uint64_t>
{
    auto out = std::vector<std::uint64_t>{};
    while (auto const next = ledger.take_closing(now))
        out.push_back(next->m_connection);
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(connection_ledger)

// Guards against closing anything while the bounds are kept.
BOOST_AUTO_TEST_CASE(nothing_is_closed_within_the_bounds)
{
    auto ledger = net::connection_ledger{{.m_bytes = 100, .m_connections = 2}};
    auto const first = ledger.add("a", start);
    auto const second = ledger.add("b", start);
    ledger.set_bytes(first, 60);
    ledger.set_bytes(second, 40);
    BOOST_TEST(take_all(ledger, start + 10s).empty());
    BOOST_TEST(ledger.bytes() == 100U);
    ledger.remove(first);
    BOOST_TEST(ledger.bytes() == 40U);
    BOOST_TEST(ledger.connections() == 1U);
}

// Guards against closing connections that hold little, or more than needed.
BOOST_AUTO_TEST_CASE(the_largest_connection_is_closed_first)
{
    auto ledger = net::connection_ledger{{.m_bytes = 100}};
    auto const small = ledger.add("a", start);
    auto const large = ledger.add("b", start);
    auto const middle = ledger.add("c", start);
    ledger.set_bytes(small, 20);
    ledger.set_bytes(large, 60);
    ledger.set_bytes(middle, 40);
    BOOST_TEST(take_all(ledger, start) == std::vector{large},
               boost::test_tools::per_element());
    BOOST_TEST(ledger.bytes() == 60U);
    BOOST_TEST(ledger.closed(net::close_cause::memory) == 1U);
}

// Guards against cutting a slow reader instead of one that does not read.
BOOST_AUTO_TEST_CASE(a_reader_with_progress_outlives_one_without)
{
    auto ledger = net::connection_ledger{{.m_bytes = 100}};
    auto const slow = ledger.add("a", start);
    auto const stalled = ledger.add("b", start);
    ledger.set_bytes(slow, 60);
    ledger.set_bytes(stalled, 50);
    ledger.set_progress(slow, start + 4s);
    BOOST_TEST(take_all(ledger, start + 4s) == std::vector{stalled},
               boost::test_tools::per_element());
}

// Guards against cutting a request in process while another connection can be
// closed, and against exceeding the bound when none can.
BOOST_AUTO_TEST_CASE(a_request_in_process_is_closed_last)
{
    auto ledger = net::connection_ledger{{.m_bytes = 100}};
    auto const busy = ledger.add("a", start);
    auto const idle = ledger.add("b", start);
    ledger.set_processing(busy, true);
    ledger.set_bytes(busy, 90);
    ledger.set_bytes(idle, 20);
    BOOST_TEST(take_all(ledger, start) == std::vector{idle},
               boost::test_tools::per_element());
    ledger.set_bytes(busy, 101);
    BOOST_TEST(take_all(ledger, start) == std::vector{busy},
               boost::test_tools::per_element());
}

// Guards against a response that is added although there is no room for it,
// and against closing a request in process to make room.
BOOST_AUTO_TEST_CASE(room_is_made_for_a_response)
{
    auto ledger = net::connection_ledger{{.m_bytes = 100}};
    auto const busy = ledger.add("a", start);
    auto const unread = ledger.add("b", start);
    ledger.set_processing(busy, true);
    ledger.set_bytes(busy, 50);
    ledger.set_bytes(unread, 40);
    BOOST_TEST(!ledger.take_closing_for(10, start));
    auto const closing = ledger.take_closing_for(50, start);
    BOOST_REQUIRE(closing);
    BOOST_TEST(closing->m_connection == unread);
    BOOST_TEST(!ledger.take_closing_for(60, start));
    BOOST_TEST(ledger.connections() == 1U);
}

// Guards against one address that takes all connections and locks out others.
BOOST_AUTO_TEST_CASE(the_address_with_the_most_connections_makes_room)
{
    auto ledger = net::connection_ledger{{.m_connections = 4}};
    auto const busy = ledger.add("a", start);
    ledger.set_processing(busy, true);
    auto const second = ledger.add("a", start + 1s);
    auto const third = ledger.add("a", start + 2s);
    ledger.add("a", start + 3s);
    ledger.set_progress(second, start + 4s);
    auto const other = ledger.add("b", start + 5s);
    BOOST_TEST(!ledger.is_refused(other));
    auto const closing = ledger.take_closing(start + 5s);
    BOOST_REQUIRE(closing);
    BOOST_TEST(closing->m_connection == third);
    BOOST_TEST((closing->m_cause == net::close_cause::connections));
    BOOST_TEST(ledger.connections() == 4U);
}

// Guards against an address that locks out others with requests in process, and
// against cutting one while another connection can be closed.
BOOST_AUTO_TEST_CASE(requests_in_process_make_room_last)
{
    auto ledger =
        net::connection_ledger{{.m_connections = 5, .m_address_share = 2}};
    auto const busy = ledger.add("a", start);
    ledger.set_processing(busy, true);
    for (auto more = 0; more < 2; ++more)
        ledger.set_processing(ledger.add("a", start + 1s), true);
    auto const idle = ledger.add("b", start + 2s);
    ledger.set_processing(ledger.add("b", start + 2s), true);
    auto const first = ledger.add("c", start + 3s);
    BOOST_TEST(!ledger.is_refused(first));
    ledger.set_processing(first, true);
    BOOST_TEST(take_all(ledger, start + 3s) == std::vector{idle},
               boost::test_tools::per_element());
    auto const second = ledger.add("c", start + 3s);
    BOOST_TEST(!ledger.is_refused(second));
    ledger.set_processing(second, true);
    BOOST_TEST(take_all(ledger, start + 3s) == std::vector{busy},
               boost::test_tools::per_element());
    // No address has more than its share now.
    BOOST_TEST(ledger.is_refused(ledger.add("d", start + 3s)));
}

// Guards against an address that takes more by connecting again, and against
// eviction among addresses that have equally many.
BOOST_AUTO_TEST_CASE(an_address_with_its_share_is_refused)
{
    auto ledger = net::connection_ledger{{.m_connections = 4}};
    ledger.add("a", start);
    ledger.add("a", start);
    ledger.add("b", start);
    ledger.add("b", start);
    auto const more = ledger.add("a", start);
    BOOST_TEST(ledger.is_refused(more));
    BOOST_TEST(take_all(ledger, start).empty());
    auto const third_address = ledger.add("c", start);
    BOOST_TEST(!ledger.is_refused(third_address));
    BOOST_TEST(take_all(ledger, start).size() == 1U);
}

// Guards against refused connections that stay open and take all descriptors.
BOOST_AUTO_TEST_CASE(the_oldest_refused_connection_is_closed)
{
    auto ledger = net::connection_ledger{
        {.m_connections = 1, .m_refused_connections = 2}};
    ledger.add("a", start);
    auto const first = ledger.add("a", start);
    ledger.add("a", start);
    BOOST_TEST(take_all(ledger, start).empty());
    ledger.add("a", start);
    auto const closing = ledger.take_closing(start);
    BOOST_REQUIRE(closing);
    BOOST_TEST(closing->m_connection == first);
    BOOST_TEST((closing->m_cause == net::close_cause::refused));
    BOOST_TEST(ledger.connections() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()
