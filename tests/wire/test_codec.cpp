#include "wire/codec.hpp"

#include <boost/test/unit_test.hpp>

#include <limits>

namespace core = hickorylatch::core;
namespace wire = hickorylatch::wire;

namespace
{

auto sample_submit() -> core::submit
{
    auto work = core::submission{};
    work.m_kind = core::submission_kind::job;
    work.m_customer = "Ipoh Cobblers";
    work.m_digest = std::numeric_limits<std::uint64_t>::max();
    work.m_priority = core::priority{7};
    work.m_tasks.resize(3);
    work.m_tasks[1].m_body = std::string{"\0binary\xff", 8};
    return {42, work};
}

} // namespace

// Guards against members that are not described and therefore not sent.
BOOST_AUTO_TEST_CASE(a_message_survives_the_round_trip)
{
    auto const bytes = wire::encode(core::message{sample_submit()});
    auto const decoded = wire::decode_message(bytes);
    BOOST_REQUIRE(decoded);
    auto const& back = std::get<core::submit>(decoded.value());
    BOOST_TEST(back.m_sequence == 42U);
    BOOST_TEST(back.m_submission.m_digest ==
               std::numeric_limits<std::uint64_t>::max());
    BOOST_TEST(back.m_submission.m_priority.value() == 7);
    BOOST_REQUIRE(back.m_submission.m_tasks.size() == 3U);
    BOOST_TEST(back.m_submission.m_tasks[1].m_body ==
               (std::string{"\0binary\xff", 8}));
}

// Guards against a truncated or extended frame taken for a whole one.
BOOST_AUTO_TEST_CASE(every_truncation_is_an_error)
{
    auto const bytes = wire::encode(core::message{sample_submit()});
    for (auto size = std::size_t{0}; size < bytes.size(); ++size)
        BOOST_TEST(!wire::decode_message(bytes.substr(0, size)));
    BOOST_TEST(!wire::decode_message(bytes + "x"));
}
