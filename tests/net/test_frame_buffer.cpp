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

/// Bodies of the whole frames; "error" ends the list if one was refused.
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
    auto const refused = [&](net::error const&)
    {
        bodies.emplace_back("error");
        return false;
    };
    while (leaf::try_handle_all(take, refused,
                                []
                                {
                                    return false;
                                }))
    {
    }
    return bodies;
}

} // namespace

// Guards against frames lost or joined at the borders of what one read gives.
BOOST_AUTO_TEST_CASE(frames_survive_any_split)
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

// Guards against a length from the network that makes this process buffer
// without bound.
BOOST_AUTO_TEST_CASE(oversized_frame_is_refused_before_its_body)
{
    auto buffer = net::frame_buffer{8};
    auto const header = net::frame_header(9);
    buffer.append(frame("12345678"));
    buffer.append({header.data(), header.size()});
    auto const expected = std::vector<std::string>{"12345678", "error"};
    BOOST_TEST(take_all(buffer) == expected, boost::test_tools::per_element());
}

// Guards against a truncated frame taken for a whole one.
BOOST_AUTO_TEST_CASE(truncated_frame_stays_pending)
{
    auto buffer = net::frame_buffer{64};
    auto const whole = frame("cut");
    buffer.append(std::string_view{whole}.substr(0, whole.size() - 1));
    BOOST_TEST(take_all(buffer).empty());
    BOOST_TEST(buffer.pending() == whole.size() - 1);
}
