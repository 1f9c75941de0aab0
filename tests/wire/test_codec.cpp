#include "wire/codec.hpp"

#include <boost/test/unit_test.hpp>

#include <array>
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

// Guards against bytes that the reports of interference add where nobody asks
// for them, and prints what they add otherwise.
BOOST_AUTO_TEST_CASE(interference_costs_bytes_only_where_it_is_asked_for)
{
    auto const size = [](core::message const& message)
    {
        return wire::encode(message).size();
    };
    auto order = core::order_runs{};
    auto load = core::worker_load{};
    auto ends = core::runs_ended{1, {core::run_end{}}, {}};
    // Sizes of the messages before they had these members.
    BOOST_TEST(size(order) == 20U);
    BOOST_TEST(size(load) == 23U);
    BOOST_TEST(size(ends) == 29U);
    auto const sizes = std::array{size(order), size(load), size(ends)};
    auto const key = std::numeric_limits<core::queue_key>::max();
    order.m_queue = key;
    load.m_running = {{key, 9}, {key, 9}, {key, 9}};
    ends.m_ends[0].m_beside = {{key, 3'000}, {key, 3'000}, {key, 3'000}};
    BOOST_TEST_MESSAGE("bytes for three queues: order "
                       << size(order) - sizes[0] << ", load "
                       << size(load) - sizes[1] << ", end "
                       << size(ends) - sizes[2]);
    BOOST_TEST(size(order) <= sizes[0] + 6);
    BOOST_TEST(size(load) <= sizes[1] + 32);
    BOOST_TEST(size(ends) <= sizes[2] + 35);
    auto const decoded = wire::decode_message(wire::encode(load));
    BOOST_REQUIRE(decoded);
    auto const& running = std::get<core::worker_load>(*decoded).m_running;
    BOOST_REQUIRE(running);
    BOOST_REQUIRE(running->size() == 3U);
    BOOST_TEST(running->at(2).m_count == 9U);
    auto const decoded_ends = wire::decode_message(wire::encode(ends));
    BOOST_REQUIRE(decoded_ends);
    auto const& beside =
        std::get<core::runs_ended>(*decoded_ends).m_ends.at(0).m_beside;
    BOOST_REQUIRE(beside);
    BOOST_TEST(beside->at(2).m_mean_permille == 3'000U);
}

// Guards against a truncated or extended message that is accepted.
BOOST_AUTO_TEST_CASE(every_truncation_is_an_error)
{
    auto const bytes = wire::encode(core::message{sample_submit()});
    for (auto size = std::size_t{0}; size < bytes.size(); ++size)
        BOOST_TEST(!wire::decode_message(bytes.substr(0, size)));
    BOOST_TEST(!wire::decode_message(bytes + "x"));
}
