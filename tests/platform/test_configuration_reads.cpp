#include "platform/configuration_reads.hpp"

#include <boost/test/unit_test.hpp>

#include <vector>

namespace core = hickorylatch::core;
namespace platform = hickorylatch::platform;

using exchanges = std::vector<core::exchange_id>;

// Guards against a copy of the configuration for each of many readers, and
// against answering a request with a read that was started before it arrived.
BOOST_AUTO_TEST_CASE(reads_in_progress_do_not_answer_later_requests)
{
    auto reads = platform::configuration_reads{};
    BOOST_TEST(!reads.start_next());
    BOOST_TEST(reads.add(1));
    BOOST_TEST(!reads.add(2));
    BOOST_TEST(!reads.add(3));
    BOOST_TEST(reads.take_answered() == exchanges{1},
               boost::test_tools::per_element());
    BOOST_TEST(reads.start_next());
    BOOST_TEST(!reads.add(4));
    BOOST_TEST(reads.take_answered() == (exchanges{2, 3}),
               boost::test_tools::per_element());
    BOOST_TEST(reads.start_next());
    BOOST_TEST(reads.take_answered() == exchanges{4},
               boost::test_tools::per_element());
    BOOST_TEST(!reads.start_next());
    BOOST_TEST(reads.add(5));
}
