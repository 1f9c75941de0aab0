#include "core/model/verdict.hpp"

#include <boost/test/unit_test.hpp>

namespace core = hickorylatch::core;

// Guards against adding a reason without its name.
BOOST_AUTO_TEST_CASE(every_reason_has_a_name)
{
    auto const last = static_cast<int>(core::reason::missing_submitted_at);
    for (auto number = 0; number <= last; ++number)
        BOOST_TEST(core::to_string(core::reason(number)) != "unknown");
}
