#include "core/replication/replica.hpp"
#include "replica_cluster.hpp"

#include <boost/test/unit_test.hpp>

namespace core = hickorylatch::core;
using namespace std::chrono_literals;
using core::node_id;
using core::testing::replica_cluster;

namespace
{

// After the period following a start in which a replica grants no votes.
constexpr auto after_vote_delay = core::time_point{1600ms};

auto three_members() -> std::vector<core::member>
{
    return {
        {node_id{1}, "", true}, {node_id{2}, "", true}, {node_id{3}, "", true}};
}

auto entry(core::log_index index, core::term_number term) -> core::log_entry
{
    return {index, term, core::expire_keys{}};
}

/// One replica of a group of three and the effects of its last event.
struct single_replica
{
    explicit single_replica(std::uint64_t identity,
                            std::vector<core::log_entry> entries = {})
        : m_replica{{},
                    {node_id{identity},
                     {1, core::no_node},
                     {0, 0, three_members(), 7, ""},
                     std::move(entries)}}
    {
        m_replica.start(core::time_point{0}, 1, m_out);
    }

    auto receive(std::uint64_t from, core::message const& incoming) -> void
    {
        m_out.clear();
        m_replica.receive(after_vote_delay, node_id{from}, incoming, m_out);
    }

    auto synced(std::uint64_t write) -> void
    {
        m_out.clear();
        m_replica.synced(after_vote_delay, write, m_out);
    }

    /// Wins term 2 with the vote of replica 2. Its own vote is write 1.
    auto win_election() -> void
    {
        m_replica.tick(after_vote_delay, m_out);
        receive(2, core::vote_reply{2, true, true, after_vote_delay});
        synced(1);
        receive(2, core::vote_reply{2, true, false, after_vote_delay});
    }

    template <typename Message>
    auto sent() const -> std::vector<Message>
    {
        auto found = std::vector<Message>{};
        for (auto const& each : m_out)
            if (auto const* sent = std::get_if<core::send>(&each))
                if (auto const* wanted = std::get_if<Message>(&sent->m_message))
                    found.push_back(*wanted);
        return found;
    }

    auto writes() const -> std::vector<core::append_log>
    {
        auto found = std::vector<core::append_log>{};
        for (auto const& each : m_out)
            if (auto const* write = std::get_if<core::append_log>(&each))
                found.push_back(*write);
        return found;
    }

    core::effects m_out;
    core::replica m_replica;
};

auto cluster_with_leader() -> std::unique_ptr<replica_cluster>
{
    auto made = std::make_unique<replica_cluster>(1, 3);
    made->bootstrap();
    BOOST_TEST_REQUIRE(made->run_until(
        [&]
        {
            return made->leader() < 3;
        },
        5s));
    return made;
}

auto isolate(replica_cluster& cluster, std::size_t at) -> void
{
    for (auto other = std::size_t{0}; other < 3; ++other)
    {
        cluster.m_blocked_links.insert({at, other});
        cluster.m_blocked_links.insert({other, at});
    }
}

} // namespace

// Guards against a vote that is lost in a crash and then granted twice.
BOOST_AUTO_TEST_CASE(vote_is_answered_once_synced)
{
    auto voter = single_replica{2};
    voter.receive(1, core::vote_request{2, 0, 0, false, after_vote_delay});
    BOOST_TEST(voter.sent<core::vote_reply>().empty());
    BOOST_TEST_REQUIRE(voter.writes().size() == 1U);
    BOOST_TEST(
        (voter.writes()[0].m_hard_state == core::hard_state{2, node_id{1}}));
    voter.synced(1);
    BOOST_TEST_REQUIRE(voter.sent<core::vote_reply>().size() == 1U);
    BOOST_TEST(voter.sent<core::vote_reply>()[0].m_granted);
    voter.receive(3, core::vote_request{2, 9, 2, false, after_vote_delay});
    BOOST_TEST(!voter.sent<core::vote_reply>()[0].m_granted);
}

// Guards against votes of a replica that is not a member: it may have lost its
// state and with it an earlier vote.
BOOST_AUTO_TEST_CASE(non_member_neither_votes_nor_campaigns)
{
    auto non_member = single_replica{9};
    non_member.receive(1, core::vote_request{2, 0, 0, false, after_vote_delay});
    BOOST_TEST(non_member.m_out.empty());
    BOOST_TEST((non_member.m_replica.next_deadline() == core::never));
}

// Guards against an acknowledgement of entries that a crash can lose.
BOOST_AUTO_TEST_CASE(append_is_acknowledged_once_synced)
{
    auto follower = single_replica{2};
    follower.receive(1, core::append_request{1, 0, 0, {entry(1, 1)}, 0, {}});
    BOOST_TEST(follower.sent<core::append_reply>().empty());
    follower.receive(1, core::append_request{1, 1, 1, {}, 0, {}});
    BOOST_TEST_REQUIRE(follower.sent<core::append_reply>().size() == 1U);
    BOOST_TEST(follower.sent<core::append_reply>()[0].m_index == 0U);
    follower.synced(1);
    BOOST_TEST_REQUIRE(follower.sent<core::append_reply>().size() == 1U);
    BOOST_TEST(follower.sent<core::append_reply>()[0].m_index == 1U);
}

// Guards against counting the sync of an entry for the one that replaced it.
BOOST_AUTO_TEST_CASE(sync_of_removed_entries_does_not_count)
{
    auto follower = single_replica{2};
    follower.receive(
        1, core::append_request{1, 0, 0, {entry(1, 1), entry(2, 1)}, 0, {}});
    // Rejected, but the new term is part of the second write.
    follower.receive(3, core::append_request{2, 9, 2, {}, 0, {}});
    follower.receive(3, core::append_request{2, 1, 1, {entry(2, 2)}, 0, {}});
    follower.synced(2);
    follower.receive(3, core::append_request{2, 2, 2, {}, 0, {}});
    BOOST_TEST_REQUIRE(follower.sent<core::append_reply>().size() == 1U);
    BOOST_TEST(follower.sent<core::append_reply>()[0].m_index == 1U);
}

// Guards against a commit that counts a write still in progress.
BOOST_AUTO_TEST_CASE(leader_counts_itself_once_synced)
{
    auto leader = single_replica{1};
    leader.win_election();
    BOOST_TEST_REQUIRE(leader.m_replica.is_leader());
    leader.receive(2, core::append_reply{2, true, 1, after_vote_delay});
    BOOST_TEST(leader.m_replica.commit_index() == 0U);
    BOOST_TEST(!leader.m_replica.has_quorum(after_vote_delay));
    leader.synced(2);
    BOOST_TEST(leader.m_replica.commit_index() == 1U);
    BOOST_TEST(leader.m_replica.has_quorum(after_vote_delay));
    BOOST_TEST(!leader.m_replica.has_quorum(after_vote_delay + 600ms));
}

// Guards against committing an entry of an earlier term by counting its copies:
// a leader with a later last term could still remove it.
BOOST_AUTO_TEST_CASE(entry_of_earlier_term_is_not_committed_alone)
{
    auto leader = single_replica{1, {entry(1, 1)}};
    leader.win_election();
    leader.receive(2, core::append_reply{2, true, 1, after_vote_delay});
    leader.synced(2);
    BOOST_TEST(leader.m_replica.commit_index() == 0U);
    leader.receive(2, core::append_reply{2, true, 2, after_vote_delay});
    BOOST_TEST(leader.m_replica.commit_index() == 2U);
}

// Guards against a write or a message for each proposal.
BOOST_AUTO_TEST_CASE(proposals_between_flushes_share_a_write)
{
    auto leader = single_replica{1};
    leader.win_election();
    for (auto group = 0; group < 2; ++group)
    {
        for (auto left = 5; left > 0; --left)
            BOOST_TEST(
                leader.m_replica.propose(core::expire_keys{}).has_value());
        leader.m_out.clear();
        leader.m_replica.flush(after_vote_delay, leader.m_out);
        BOOST_TEST_REQUIRE(leader.writes().size() == 1U);
        BOOST_TEST(leader.writes()[0].m_entries.size() == 5U);
        // Replica 3 has not answered yet and receives only heartbeats.
        BOOST_TEST_REQUIRE(leader.sent<core::append_request>().size() == 1U);
        BOOST_TEST(leader.sent<core::append_request>()[0].m_entries.size() ==
                   5U);
    }
}

// Guards against membership changes whose majorities need not overlap.
BOOST_AUTO_TEST_CASE(unsafe_membership_changes_are_refused)
{
    auto cluster = cluster_with_leader();
    auto& leader = *cluster->m_hosts[cluster->leader()].m_replica;
    auto two = three_members();
    two.pop_back();
    auto one = two;
    one.pop_back();
    auto four = three_members();
    four.push_back({node_id{4}, "", true});
    BOOST_TEST(!leader.propose(core::change_membership{"", one}).has_value());
    BOOST_TEST(!leader.propose(core::change_membership{"", four}).has_value());
    BOOST_TEST(!leader.propose(core::change_membership{"", {}}).has_value());
    BOOST_TEST(leader.propose(core::change_membership{"", two}).has_value());
    BOOST_TEST(leader.check_members(three_members()) ==
               "the last change of the membership is not committed yet");
}

// Guards against a leader that continues to lead a group that it was removed
// from.
BOOST_AUTO_TEST_CASE(removed_leader_steps_down)
{
    auto cluster = cluster_with_leader();
    auto const old = cluster->leader();
    auto& leader = *cluster->m_hosts[old].m_replica;
    auto rest = three_members();
    std::erase_if(rest,
                  [&](core::member const& each)
                  {
                      return each.m_node == leader.identity();
                  });
    BOOST_TEST(leader.propose(core::change_membership{"", rest}).has_value());
    BOOST_TEST(cluster->run_until(
        [&]
        {
            return !leader.is_leader();
        },
        1s));
    BOOST_TEST(cluster->run_until(
        [&]
        {
            return cluster->leader() < 3;
        },
        3s));
    BOOST_TEST(cluster->leader() != old);
    BOOST_TEST((leader.next_deadline() == core::never));
}

// Guards against an isolated leader that still serves requests, and against a
// slow replacement.
BOOST_AUTO_TEST_CASE(leader_without_quorum_is_replaced)
{
    auto cluster = cluster_with_leader();
    auto const old = cluster->leader();
    isolate(*cluster, old);
    cluster->run_for(610ms);
    BOOST_TEST(!cluster->m_hosts[old].m_replica->is_leader());
    BOOST_TEST(cluster->run_until(
        [&]
        {
            return cluster->leader() < 3;
        },
        1390ms));
}

// Guards against an election forced by a replica that was disconnected or
// paused.
BOOST_AUTO_TEST_CASE(reconnecting_replica_does_not_replace_the_leader)
{
    auto cluster = cluster_with_leader();
    auto const leader = cluster->leader();
    auto const away = (leader + 1) % 3;
    isolate(*cluster, away);
    cluster->run_for(10s);
    cluster->m_blocked_links.clear();
    cluster->run_for(5s);
    cluster->m_hosts[away].m_paused_until = cluster->m_now + 10s;
    cluster->run_for(15s);
    BOOST_TEST(cluster->leader() == leader);
    BOOST_TEST(cluster->m_leaders.size() == 1U);
}

// Guards against a group that is unavailable for a second after all of its
// replicas lost power, and against replicas that replace a healthy leader.
BOOST_AUTO_TEST_CASE(first_election_timeout_applies_until_leader_contact)
{
    auto timer = core::election{1000ms, 1500ms};
    timer.set_first_timeout(60ms, 200ms);
    timer.start(core::time_point{0}, 1);
    BOOST_TEST((timer.deadline() <= 200ms));
    BOOST_TEST(!timer.withholds_votes(core::time_point{1ms}));
    timer.begin_round(timer.deadline(), core::election_phase::pre_voting);
    BOOST_TEST((timer.deadline() <= 400ms));
    timer.record_leader_contact(core::time_point{400ms});
    BOOST_TEST((timer.deadline() >= 1400ms));
    BOOST_TEST(timer.withholds_votes(core::time_point{1300ms}));
}
