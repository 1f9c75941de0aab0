#include "core/model/evacuation_record.hpp"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

namespace core = hickorylatch::core;

using names = std::vector<std::string>;

// Guards against a set that is not sorted, which is searched by bisection, and
// against a revision that changes with a command that changes nothing.
BOOST_AUTO_TEST_CASE(the_set_is_sorted_and_the_revision_marks_changes)
{
    auto record = core::evacuation_record{};
    record.apply(4, {"klang", true, 1});
    record.apply(5, {"bayan", true, 2});
    record.apply(6, {"klang", true, 3});
    record.apply(7, {"perai", false, 4});
    BOOST_TEST(record.m_current.m_failure_domains == (names{"bayan", "klang"}));
    BOOST_TEST(record.m_current.m_revision == 5U);
    record.apply(8, {"bayan", false, 5});
    BOOST_TEST(record.m_current.m_failure_domains == names{"klang"});
    BOOST_TEST(record.m_current.m_revision == 8U);
}

// Guards against a command that two leaders have written to the log, the second
// time after a command that reversed it.
BOOST_AUTO_TEST_CASE(a_command_is_applied_once)
{
    auto record = core::evacuation_record{};
    record.apply(1, {"klang", true, 1});
    record.apply(2, {"klang", false, 2});
    record.apply(3, {"klang", true, 1});
    BOOST_TEST(record.m_current.m_failure_domains.empty());
    BOOST_TEST(record.m_current.m_revision == 2U);
}

// Guards against a record that grows without limit, and against a full one in
// which domains can't be restored.
BOOST_AUTO_TEST_CASE(the_record_is_bounded)
{
    auto record = core::evacuation_record{};
    auto number = std::uint64_t{0};
    auto const evacuate = [&](std::string const& domain, bool is_evacuated)
    {
        ++number;
        record.apply(number, {domain, is_evacuated, number});
    };
    for (auto domain = 0; domain < 300; ++domain)
        evacuate(std::to_string(domain), true);
    BOOST_TEST(record.m_current.m_failure_domains.size() ==
               core::max_evacuated_domains);
    BOOST_TEST(!record.has_applied(300));
    evacuate("0", false);
    BOOST_TEST(!record.m_current.contains("0"));
    for (auto round = 0; round < 300; ++round)
        evacuate("1", round % 2 == 0);
    BOOST_TEST(record.m_recent_commands.size() == 256U);
}
