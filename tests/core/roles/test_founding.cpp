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

auto control_hello(std::uint64_t node, std::string address) -> core::hello
{
    auto greeting = core::hello{};
    greeting.m_node = core::node_id{node};
    greeting.m_role = core::role::control;
    greeting.m_address = std::move(address);
    return greeting;
}

auto make_codec() -> core::image_codec
{
    return {[](core::control_image const&)
            {
                return std::string{};
            },
            [](std::string_view)
            {
                return std::optional<core::control_image>{};
            }};
}

/// Identifiers of the groups that the sent messages create.
auto bootstrapped_groups(core::effects const& out) -> std::set<std::uint64_t>
{
    auto clusters = std::set<std::uint64_t>{};
    for (auto const& each : out)
        if (auto const* sent = std::get_if<core::send>(&each))
            if (auto const* request =
                    std::get_if<core::found_group>(&sent->m_message))
                clusters.insert(request->m_cluster);
    return clusters;
}

} // namespace

// Guards against a replica that chooses a new identifier of the group with each
// event until the first one is synced. Members that missed the first message,
// because a link was replaced, then adopted another identifier, and the members
// rejected each other's links from the next reconnect on.
BOOST_AUTO_TEST_CASE(a_group_is_bootstrapped_with_one_identity)
{
    auto recovered = core::recovered_state{};
    recovered.m_identity = core::node_id{1};
    auto group = core::group_settings{};
    group.m_seeds = {"a:1", "b:1", "c:1"};
    group.m_is_first_start = true;
    auto first_replica = core::control{
        {}, {}, recovered, make_codec(), std::string{"a:1"}, group};
    auto random = core::random_source{};
    random.seed(7);
    auto out = core::effects{};
    first_replica.start(milliseconds{1}, random, out);
    first_replica.connected(milliseconds{2}, control_hello(2, "b:1"), random,
                            out);
    BOOST_TEST(bootstrapped_groups(out).empty());
    first_replica.connected(milliseconds{3}, control_hello(3, "c:1"), random,
                            out);
    // A second link to the same replica before the bootstrap is synced.
    first_replica.connected(milliseconds{4}, control_hello(2, "b:1"), random,
                            out);
    first_replica.tick(milliseconds{5}, random, out);
    BOOST_TEST(bootstrapped_groups(out).size() == 1U);
}

// Guards against operators that get no answer from a control process without a
// disk. It is not a member of the group, so it does not learn the leader from
// replication messages.
BOOST_AUTO_TEST_CASE(a_volatile_replica_forwards_operations)
{
    auto recovered = core::recovered_state{};
    recovered.m_identity = core::node_id{9};
    auto group = core::group_settings{};
    group.m_seeds = {"a:1", "b:1", "c:1"};
    group.m_is_volatile = true;
    auto forwarder = core::control{
        {}, {}, recovered, make_codec(), std::string{"z:1"}, group};
    auto random = core::random_source{};
    auto out = core::effects{};
    auto const forwarded_to = [&out]
    {
        auto to = core::no_node;
        for (auto const& each : out)
            if (auto const* sent = std::get_if<core::send>(&each);
                sent != nullptr &&
                std::holds_alternative<core::operate>(sent->m_message))
                to = sent->m_to;
        return to;
    };
    forwarder.connected(milliseconds{1}, control_hello(2, "b:1"), random, out);
    forwarder.connected(milliseconds{1}, control_hello(3, "c:1"), random, out);
    auto processes = core::process_list{};
    processes.m_controls = {"a:1", "b:1", "c:1"};
    processes.m_leader = "b:1";
    forwarder.receive(milliseconds{2}, core::node_id{3}, processes, random,
                      out);
    forwarder.arrived(milliseconds{3}, {5, core::read_configuration{}}, random,
                      out);
    BOOST_TEST((forwarded_to() == core::node_id{2}));
    // The leader is lost; the operation is forwarded to another replica.
    out.clear();
    forwarder.disconnected(milliseconds{4}, core::node_id{2}, random, out);
    BOOST_TEST((forwarded_to() == core::node_id{3}));
    out.clear();
    auto answer = core::operate_result{};
    answer.m_sequence = 1;
    answer.m_verdict.m_run = core::run_state::ran;
    answer.m_version = 4;
    forwarder.receive(milliseconds{5}, core::node_id{3}, answer, random, out);
    auto const* answered = static_cast<core::reply_operator const*>(nullptr);
    for (auto const& each : out)
        if (auto const* reply = std::get_if<core::reply_operator>(&each))
            answered = reply;
    BOOST_REQUIRE(answered != nullptr);
    BOOST_TEST(answered->m_exchange == 5U);
    BOOST_TEST(answered->m_result.m_version == 4U);
}
