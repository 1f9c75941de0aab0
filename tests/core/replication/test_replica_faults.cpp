#include "core/replication/membership.hpp"
#include "replica_cluster.hpp"

#include <boost/test/unit_test.hpp>

#include <cstdlib>

namespace core = hickorylatch::core;
using namespace std::chrono_literals;
using core::testing::replica_cluster;

namespace
{

auto seed_count() -> std::uint64_t
{
    auto const* configured = std::getenv("HICKORYLATCH_REPLICA_SEEDS");
    return configured == nullptr ? 300 : std::strtoull(configured, nullptr, 10);
}

auto set_link(replica_cluster& cluster, std::size_t from, std::size_t to,
              bool is_open) -> void
{
    if (is_open)
        cluster.m_blocked_links.erase({from, to});
    else
        cluster.m_blocked_links.insert({from, to});
}

auto set_links(replica_cluster& cluster, std::size_t at, bool is_open) -> void
{
    for (auto other = std::size_t{0}; other < cluster.m_hosts.size(); ++other)
    {
        set_link(cluster, at, other, is_open);
        set_link(cluster, other, at, is_open);
    }
}

/// Injects one random fault.
auto inject_fault(replica_cluster& cluster) -> void
{
    auto const size = cluster.m_hosts.size();
    auto const at = cluster.random(size);
    auto const other = cluster.random(size);
    auto const length = core::duration{50'000 + cluster.random(3'000'000)};
    auto const leader = cluster.leader();
    auto const kind = cluster.random(5);
    if (kind == 0 || (kind == 1 && leader < size))
    {
        auto const crashed = kind == 0 ? at : leader;
        cluster.crash(crashed);
        cluster.schedule(length,
                         [&, crashed]
                         {
                             cluster.start(crashed);
                         });
    }
    if (kind == 2)
        cluster.m_hosts[at].m_paused_until = cluster.m_now + length;
    if (kind == 3)
    {
        set_links(cluster, at, false);
        cluster.schedule(length,
                         [&, at]
                         {
                             set_links(cluster, at, true);
                         });
    }
    if (kind == 4)
    {
        set_link(cluster, at, other, false);
        cluster.schedule(length,
                         [&, at, other]
                         {
                             set_link(cluster, at, other, true);
                         });
    }
}

/// One step of an operator who replaces members whose disk was wiped. True if
/// every host is a voter and the change is committed.
auto repair_membership(replica_cluster& cluster) -> bool
{
    auto const at = cluster.leader();
    if (at == cluster.m_hosts.size())
        return false;
    auto& leading = *cluster.m_hosts[at].m_replica;
    auto present = std::vector<core::node_id>{};
    for (auto const& each : cluster.m_hosts)
        present.push_back(each.m_disk.m_identity);
    auto wanted = std::vector<core::member>{leading.members().begin(),
                                            leading.members().end()};
    auto is_changed =
        std::erase_if(wanted,
                      [&](core::member const& each)
                      {
                          return !std::ranges::count(present, each.m_node);
                      }) > 0;
    for (auto const node : present)
        if (!core::is_member(wanted, node))
        {
            wanted.push_back({node, "", false});
            is_changed = true;
        }
    auto const learner =
        std::ranges::find(wanted, false, &core::member::m_votes);
    if (!is_changed && learner == wanted.end())
        return leading.check_members(wanted).empty();
    if (!is_changed)
        learner->m_votes = true;
    static_cast<void>(leading.propose(core::change_membership{"", wanted}));
    return false;
}

auto have_all_applied(replica_cluster const& cluster) -> bool
{
    return std::ranges::all_of(cluster.m_hosts,
                               [&](auto const& each)
                               {
                                   return each.m_applied ==
                                          cluster.m_longest_applied;
                               });
}

auto are_acknowledged_proposals_kept(replica_cluster const& cluster) -> bool
{
    auto const sequence = "," + cluster.m_longest_applied;
    return std::ranges::all_of(
        cluster.m_acknowledged,
        [&](auto payload)
        {
            return sequence.find("," + std::to_string(payload) + ",") !=
                   std::string::npos;
        });
}

/// Ends all faults. True if every replica then applies all committed entries.
auto recover(replica_cluster& cluster) -> bool
{
    cluster.m_rates = {};
    cluster.m_blocked_links.clear();
    for (auto at = std::size_t{0}; at < cluster.m_hosts.size(); ++at)
        cluster.start(at);
    return cluster.run_until(
        [&]
        {
            return repair_membership(cluster) && have_all_applied(cluster);
        },
        20s);
}

auto find_failure(replica_cluster& cluster) -> std::string
{
    auto const is_recovered = recover(cluster);
    if (!cluster.m_violation.empty())
        return cluster.m_violation;
    if (!are_acknowledged_proposals_kept(cluster))
        return "an acknowledged proposal is lost";
    return is_recovered ? "" : "no recovery after the faults ended";
}

/// Runs 40 s with random faults. Returns the failure, or an empty text.
auto run_seed(std::uint64_t seed, std::size_t size) -> std::string
{
    auto cluster = replica_cluster{seed, size};
    auto const severity = 0.01 * cluster.random(10);
    cluster.m_rates = {severity, severity, severity / 2, severity / 20};
    cluster.m_is_crash_before_write = cluster.chance(0.5);
    cluster.bootstrap();
    auto is_repaired = false;
    for (auto step = 0; step < 400; ++step)
    {
        cluster.run_for(100ms);
        cluster.propose(1 + cluster.random(3));
        if (cluster.chance(severity))
            inject_fault(cluster);
        auto const was_repaired =
            std::exchange(is_repaired, repair_membership(cluster));
        // Half of the repairs are followed by the loss of another disk at once.
        if (!is_repaired || !cluster.chance(was_repaired ? 0.02 : 0.5))
            continue;
        auto const wiped = cluster.random(size);
        cluster.wipe_disk(wiped);
        cluster.schedule(500ms,
                         [&, wiped]
                         {
                             cluster.start(wiped);
                         });
    }
    return find_failure(cluster);
}

} // namespace

// Guards against two leaders in a term or with a quorum at one time, and
// against a committed or acknowledged entry that changes or is lost, under
// any mix of message, process and disk faults.
BOOST_AUTO_TEST_CASE(replicas_agree_under_seeded_faults)
{
    for (auto seed = std::uint64_t{1}; seed <= seed_count(); ++seed)
        for (auto const size : {std::size_t{3}, std::size_t{5}})
        {
            auto const failure = run_seed(seed, size);
            BOOST_TEST(failure.empty(), "seed " << seed << ", " << size
                                                << " replicas: " << failure);
        }
}

// Guards against messages that are sent before the write that they depend on is
// synced: crashes just before and just after each write of a short run.
BOOST_AUTO_TEST_CASE(crash_at_each_sync_loses_nothing)
{
    for (auto const is_before : {false, true})
        for (auto number = std::uint64_t{1}; number <= 120; ++number)
        {
            auto cluster = replica_cluster{1, 3};
            cluster.m_crash_at_write = number;
            cluster.m_is_crash_before_write = is_before;
            cluster.bootstrap();
            for (auto step = 0; step < 160; ++step)
            {
                cluster.run_for(50ms);
                cluster.propose();
            }
            BOOST_TEST(cluster.m_syncs > number);
            auto const failure = find_failure(cluster);
            BOOST_TEST(failure.empty(), "write " << number << ": " << failure);
        }
}
