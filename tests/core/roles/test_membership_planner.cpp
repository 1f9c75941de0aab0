#include "core/roles/membership_planner.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace core = hickorylatch::core;

using std::chrono::seconds;

namespace
{

auto settings() -> core::group_settings
{
    return {{"a:1", "b:1", "c:1"}, true, 3};
}

auto replica(std::uint64_t node, std::string address) -> core::hello
{
    auto greeting = core::hello{};
    greeting.m_node = core::node_id{node};
    greeting.m_role = core::role::control;
    greeting.m_address = std::move(address);
    return greeting;
}

auto three_members() -> std::vector<core::member>
{
    return {{core::node_id{1}, "a:1", true},
            {core::node_id{2}, "b:1", true},
            {core::node_id{3}, "c:1", true}};
}

auto is_voter(std::vector<core::member> const& members, std::uint64_t node)
    -> bool
{
    auto const found =
        std::ranges::find(members, core::node_id{node}, &core::member::m_node);
    return found != members.end() && found->m_votes;
}

auto is_member(std::vector<core::member> const& members, std::uint64_t node)
    -> bool
{
    return std::ranges::find(members, core::node_id{node},
                             &core::member::m_node) != members.end();
}

constexpr auto is_caught_up = [](core::node_id)
{
    return true;
};
constexpr auto leader = core::node_id{1};

} // namespace

// Guards against two groups: only the first seed founds the group, and only
// once it is connected to all seeds.
BOOST_AUTO_TEST_CASE(the_first_seed_founds_with_all_seeds)
{
    auto planner = core::membership_planner{settings()};
    planner.connected(replica(2, "b:1"));
    planner.connected(replica(4, "d:1"));
    BOOST_TEST(!planner.founding_members(replica(1, "a:1")));
    planner.connected(replica(3, "c:1"));
    BOOST_TEST(planner.founding_members(replica(1, "a:1"))->size() == 3U);
    BOOST_TEST(!planner.founding_members(replica(2, "b:1")));
}

// Guards against a group whose state is lost when a VM without a disk stops:
// such a seed neither founds the group nor votes, and exactly one of the other
// seeds founds it.
BOOST_AUTO_TEST_CASE(a_seed_without_a_disk_neither_founds_nor_votes)
{
    auto diskless = replica(1, "a:1");
    diskless.m_is_volatile = true;
    auto second = core::membership_planner{settings()};
    second.connected(replica(3, "c:1"));
    BOOST_TEST(!second.founding_members(replica(2, "b:1")));
    second.connected(diskless);
    auto const founded = second.founding_members(replica(2, "b:1"));
    BOOST_REQUIRE(founded);
    BOOST_TEST(founded->size() == 2U);
    BOOST_TEST(!is_member(*founded, 1));
    auto first = core::membership_planner{settings()};
    first.connected(replica(2, "b:1"));
    first.connected(replica(3, "c:1"));
    BOOST_TEST(!first.founding_members(diskless));
    // It is not added as a learner: the leader would send it the log although
    // it can never vote.
    BOOST_TEST(!second.next_change(seconds{1}, *founded, core::node_id{2},
                                   is_caught_up));
}

// Guards against a second group that the first seed founds after its disk was
// wiped.
BOOST_AUTO_TEST_CASE(nobody_founds_after_the_first_start)
{
    auto options = settings();
    options.m_is_first_start = false;
    auto planner = core::membership_planner{options};
    planner.connected(replica(2, "b:1"));
    planner.connected(replica(3, "c:1"));
    BOOST_TEST(!planner.founding_members(replica(1, "a:1")));
}

// Guards against a replica that is not added to the group again after its disk
// was wiped, and against one that votes before it is caught up.
BOOST_AUTO_TEST_CASE(a_wiped_replica_is_replaced_step_by_step)
{
    auto planner = core::membership_planner{settings()};
    planner.connected(replica(2, "b:1"));
    planner.connected(replica(3, "c:1"));
    planner.disconnected(seconds{1}, core::node_id{3});
    planner.connected(replica(9, "c:1"));
    auto members = three_members();
    auto const step = [&](auto const& caught_up)
    {
        auto const next =
            planner.next_change(seconds{1}, members, leader, caught_up);
        if (next)
            members = *next;
        return next.has_value();
    };
    BOOST_TEST(step(is_caught_up));
    BOOST_TEST(is_member(members, 9));
    BOOST_TEST(!is_voter(members, 9));
    BOOST_TEST(!step(
        [](core::node_id)
        {
            return false;
        }));
    BOOST_TEST(step(is_caught_up));
    BOOST_TEST(!is_voter(members, 3));
    BOOST_TEST(step(is_caught_up));
    BOOST_TEST(is_voter(members, 9));
    BOOST_TEST(step(is_caught_up));
    BOOST_TEST(!is_member(members, 3));
    BOOST_TEST(!step(is_caught_up));
}

// Guards against a group that stays one voter short although a spare is
// connected, and against a replacement while a process only restarts.
BOOST_AUTO_TEST_CASE(a_spare_takes_the_vote_of_a_lost_replica)
{
    auto planner = core::membership_planner{settings()};
    planner.connected(replica(2, "b:1"));
    planner.connected(replica(3, "c:1"));
    planner.connected(replica(4, "d:1"));
    auto members = three_members();
    members.push_back({core::node_id{4}, "d:1", false});
    planner.disconnected(seconds{1}, core::node_id{2});
    BOOST_TEST(!planner.next_change(seconds{1}, members, leader, is_caught_up));
    auto const demoted =
        planner.next_change(seconds{3}, members, leader, is_caught_up);
    BOOST_TEST(demoted.has_value());
    BOOST_TEST(!is_voter(*demoted, 2));
    auto const promoted =
        planner.next_change(seconds{3}, *demoted, leader, is_caught_up);
    BOOST_TEST(is_voter(*promoted, 4));
    BOOST_TEST(is_member(*promoted, 2));
}

// Guards against a leader that doesn't replace a member to which it has never
// had a link.
BOOST_AUTO_TEST_CASE(a_member_that_was_never_seen_counts_as_lost)
{
    auto planner = core::membership_planner{settings()};
    planner.connected(replica(2, "b:1"));
    planner.connected(replica(4, "d:1"));
    auto members = three_members();
    members.push_back({core::node_id{4}, "d:1", false});
    planner.track_unconnected_members(seconds{1}, members, leader);
    BOOST_TEST(!planner.next_change(seconds{1}, members, leader, is_caught_up));
    BOOST_TEST(planner.next_change(seconds{3}, members, leader, is_caught_up)
                   .has_value());
}
