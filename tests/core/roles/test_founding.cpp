#include "core/roles/control.hpp"

#include <boost/test/unit_test.hpp>

#include <cstdint>
#include <set>
#include <string>
#include <variant>

namespace core = hickorylatch::core;

using std::chrono::milliseconds;

namespace
{

auto replica(std::uint64_t node, std::string address) -> core::hello
{
    auto words = core::hello{};
    words.m_node = core::node_id{node};
    words.m_role = core::role::control;
    words.m_address = std::move(address);
    return words;
}

/// Identities of groups that the messages found.
auto founded(core::effects const& out) -> std::set<std::uint64_t>
{
    auto clusters = std::set<std::uint64_t>{};
    for (auto const& each : out)
        if (auto const* sent = std::get_if<core::send>(&each))
            if (auto const* founding =
                    std::get_if<core::found_group>(&sent->m_message))
                clusters.insert(founding->m_cluster);
    return clusters;
}

} // namespace

// Guards against a founder that draws a new identity of the group with each
// event until its disk holds the first one. Members that missed the first
// message, because a link was replaced, then took another identity, and refused
// each other's links from the next reconnect on.
BOOST_AUTO_TEST_CASE(a_group_is_founded_under_one_identity)
{
    auto recovered = core::recovered_state{};
    recovered.m_identity = core::node_id{1};
    auto group = core::group_settings{};
    group.m_seeds = {"a:1", "b:1", "c:1"};
    group.m_is_first_start = true;
    auto const codec =
        core::image_codec{[](core::control_image const&)
                          {
                              return std::string{};
                          },
                          [](std::string_view)
                          {
                              return std::optional<core::control_image>{};
                          }};
    auto founder =
        core::control{{}, {}, recovered, codec, std::string{"a:1"}, group};
    auto random = core::random_source{};
    random.seed(7);
    auto out = core::effects{};
    founder.start(milliseconds{1}, 7, out);
    founder.connected(milliseconds{2}, replica(2, "b:1"), random, out);
    BOOST_TEST(founded(out).empty());
    founder.connected(milliseconds{3}, replica(3, "c:1"), random, out);
    // A second link to the same replica, before the founding is synced.
    founder.connected(milliseconds{4}, replica(2, "b:1"), random, out);
    founder.tick(milliseconds{5}, random, out);
    BOOST_TEST(founded(out).size() == 1U);
}
