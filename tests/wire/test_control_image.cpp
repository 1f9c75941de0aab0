#include "wire/codec.hpp"
#include "wire/described_codec.hpp"

#include <boost/test/unit_test.hpp>

namespace core = hickorylatch::core;
namespace wire = hickorylatch::wire;

namespace
{

/// The members of an image as written before evacuations were stored.
struct earlier_image
{
    core::configuration m_configuration;
    std::vector<core::submission_record> m_submissions;
    std::vector<core::operator_outcome> m_outcomes;
    std::vector<core::expiry_watermark> m_expiry_watermarks;
    core::job_store_image m_jobs;
};
BOOST_DESCRIBE_STRUCT(earlier_image, (),
                      (m_configuration, m_submissions, m_outcomes,
                       m_expiry_watermarks, m_jobs))

} // namespace

// Guards against evacuations that are lost with a snapshot.
BOOST_AUTO_TEST_CASE(evacuations_are_encoded_with_the_image)
{
    auto image = core::control_image{};
    image.m_evacuations = {{7, {"bayan", "klang"}}, {3, 9}};
    auto const decoded = wire::decode_control_image(wire::encode(image));
    BOOST_REQUIRE(decoded);
    auto const& evacuations = decoded.value().m_evacuations;
    BOOST_TEST((evacuations.m_current == image.m_evacuations.m_current));
    BOOST_TEST(evacuations.m_recent_commands ==
               image.m_evacuations.m_recent_commands);
}

// Guards against a replica that can't read its own snapshot after an update, or
// one of a replica that is not updated yet.
BOOST_AUTO_TEST_CASE(images_of_other_versions_are_decoded)
{
    auto earlier = earlier_image{};
    earlier.m_configuration.m_version = 4;
    auto const read =
        wire::decode_control_image(wire::described::to_bytes(earlier));
    BOOST_REQUIRE(read);
    BOOST_TEST(read.value().m_configuration.m_version == 4U);
    BOOST_TEST(read.value().m_evacuations.m_current.m_revision == 0U);
    auto image = core::control_image{};
    image.m_configuration.m_version = 5;
    image.m_evacuations = {{7, {"klang"}}, {3}};
    auto const read_earlier =
        wire::described::from_bytes<earlier_image>(wire::encode(image));
    BOOST_TEST(read_earlier.m_configuration.m_version == 5U);
}
