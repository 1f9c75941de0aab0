#include "wire/codec.hpp"

#include <boost/test/unit_test.hpp>

#include <limits>

namespace core = hickorylatch::core;
namespace wire = hickorylatch::wire;

namespace
{

auto sample_submit() -> core::submit
{
    auto submission = core::submission{};
    submission.m_kind = core::submission_kind::job;
    submission.m_customer = "Ipoh Cobblers";
    submission.m_digest = std::numeric_limits<std::uint64_t>::max();
    submission.m_priority = core::priority{7};
    submission.m_tasks.resize(3);
    submission.m_tasks[1].m_body = std::string{"\0binary\xff", 8};
    return {42, submission};
}

} // namespace

// Guards against members that lack a description and so are not encoded.
BOOST_AUTO_TEST_CASE(decoded_message_equals_the_encoded_one)
{
    auto const bytes = wire::encode(core::message{sample_submit()});
    auto const decoded = wire::decode_message(bytes);
    BOOST_REQUIRE(decoded);
    auto const& decoded_submit = std::get<core::submit>(decoded.value());
    BOOST_TEST(decoded_submit.m_sequence == 42U);
    BOOST_TEST(decoded_submit.m_submission.m_digest ==
               std::numeric_limits<std::uint64_t>::max());
    BOOST_TEST(decoded_submit.m_submission.m_priority.value() == 7);
    BOOST_REQUIRE(decoded_submit.m_submission.m_tasks.size() == 3U);
    BOOST_TEST(decoded_submit.m_submission.m_tasks[1].m_body ==
               (std::string{"\0binary\xff", 8}));
}

// Guards against a truncated or extended message that is accepted.
BOOST_AUTO_TEST_CASE(every_truncation_is_an_error)
{
    auto const bytes = wire::encode(core::message{sample_submit()});
    for (auto size = std::size_t{0}; size < bytes.size(); ++size)
        BOOST_TEST(!wire::decode_message(bytes.substr(0, size)));
    BOOST_TEST(!wire::decode_message(bytes + "x"));
}
