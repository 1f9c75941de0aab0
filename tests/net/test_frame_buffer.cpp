#include "net/error.hpp"
#include "net/frame_buffer.hpp"

#include <boost/leaf/handle_errors.hpp>
#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

namespace leaf = boost::leaf;
namespace net = hickorylatch::net;

namespace
{

auto frame(std::string_view body) -> std::string
{
    auto const header = net::frame_header(body.size());
    return std::string{header.data(), header.size()} + std::string{body};
}

/// Removes all complete frames and returns their bodies, followed by "error" if
/// one was rejected.
auto take_all(net::frame_buffer& buffer) -> std::vector<std::string>
{
    auto bodies = std::vector<std::string>{};
    auto const take = [&]() -> leaf::result<bool>
    {
        BOOST_LEAF_AUTO(body, buffer.next());
        if (body)
            bodies.emplace_back(*body);
        return body.has_value();
    };
    auto const rejected = [&](net::error const&)
    {
        bodies.emplace_back("error");
        return false;
    };
    while (leaf::try_handle_all(take, rejected,
                                []
                                {
                                    return false;
                                }))
    {
    }
    return bodies;
}

} // namespace

// Guards against frames that are lost or merged when reads split them.
BOOST_AUTO_TEST_CASE(frames_are_reassembled_from_any_split)
{
    auto const bodies = std::vector<std::string>{"first", "", "third frame"};
    auto stream = std::string{};
    for (auto const& body : bodies)
        stream += frame(body);
    for (auto step = std::size_t{1}; step <= stream.size(); ++step)
    {
        auto buffer = net::frame_buffer{64};
        auto seen = std::vector<std::string>{};
        for (auto at = std::size_t{0}; at < stream.size(); at += step)
        {
            buffer.append(std::string_view{stream}.substr(at, step));
            for (auto& body : take_all(buffer))
                seen.push_back(std::move(body));
        }
        BOOST_TEST(seen == bodies, boost::test_tools::per_element());
        BOOST_TEST(buffer.pending() == 0U);
    }
}

// Guards against a length field that makes this process buffer without limit.
BOOST_AUTO_TEST_CASE(oversized_frame_is_rejected_before_its_body)
{
    auto buffer = net::frame_buffer{8};
    auto const header = net::frame_header(9);
    buffer.append(frame("12345678"));
    buffer.append({header.data(), header.size()});
    auto const expected = std::vector<std::string>{"12345678", "error"};
    BOOST_TEST(take_all(buffer) == expected, boost::test_tools::per_element());
}

// Guards against a truncated frame that is taken for a complete one.
BOOST_AUTO_TEST_CASE(truncated_frame_stays_pending)
{
    auto buffer = net::frame_buffer{64};
    auto const complete = frame("cut");
    buffer.append(std::string_view{complete}.substr(0, complete.size() - 1));
    BOOST_TEST(take_all(buffer).empty());
    BOOST_TEST(buffer.pending() == complete.size() - 1);
}
