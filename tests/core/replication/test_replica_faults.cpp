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
    auto const* raised = std::getenv("HICKORYLATCH_REPLICA_SEEDS");
    return raised == nullptr ? 300 : std::strtoull(raised, nullptr, 10);
}

auto set_link(replica_cluster& cluster, std::size_t from, std::size_t to,
              bool is_open) -> void
{
    if (is_open)
        cluster.m_cut.erase({from, to});
    else
        cluster.m_cut.insert({from, to});
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
auto disturb(replica_cluster& cluster) -> void
{
    auto const size = cluster.m_hosts.size();
    auto const at = cluster.random(size);
    auto const other = cluster.random(size);
    auto const length = core::duration{50'000 + cluster.random(3'000'000)};
    auto const leader = cluster.leader();
    auto const kind = cluster.random(5);
    if (kind == 0 || (kind == 1 && leader < size))
    {
        auto const hit = kind == 0 ? at : leader;
        cluster.crash(hit);
        cluster.schedule(length,
                         [&, hit]
                         {
                             cluster.start(hit);
                         });
    }
    if (kind == 2)
        cluster.m_hosts[at].m_frozen_until = cluster.m_now + length;
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

/// One step of an operator who replaces emptied members. True if every host is
/// a voter and that is committed.
auto repair(replica_cluster& cluster) -> bool
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
        if (!core::is_listed(wanted, node))
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
                                   return each.m_applied == cluster.m_sequence;
                               });
}

auto is_acknowledged_kept(replica_cluster const& cluster) -> bool
{
    auto const sequence = "," + cluster.m_sequence;
    return std::ranges::all_of(
        cluster.m_acknowledged,
        [&](auto payload)
        {
            return sequence.find("," + std::to_string(payload) + ",") !=
                   std::string::npos;
        });
}

/// Ends all faults. True if every replica then applies everything.
auto recovers(replica_cluster& cluster) -> bool
{
    cluster.m_rates = {};
    cluster.m_cut.clear();
    for (auto at = std::size_t{0}; at < cluster.m_hosts.size(); ++at)
        cluster.start(at);
    return cluster.run_until(
        [&]
        {
            return repair(cluster) && have_all_applied(cluster);
        },
        20s);
}

auto verdict_of(replica_cluster& cluster) -> std::string
{
    auto const is_recovered = recovers(cluster);
    if (!cluster.m_violation.empty())
        return cluster.m_violation;
    if (!is_acknowledged_kept(cluster))
        return "an acknowledged proposal is lost";
    return is_recovered ? "" : "no recovery after the faults ended";
}

/// Random faults for 40 s. Returns what went wrong.
auto run_seed(std::uint64_t seed, std::size_t size) -> std::string
{
    auto cluster = replica_cluster{seed, size};
    auto const severity = 0.01 * cluster.random(10);
    cluster.m_rates = {severity, severity, severity / 2, severity / 20};
    cluster.m_is_crash_before_write = cluster.chance(0.5);
    cluster.found();
    auto is_whole = false;
    for (auto step = 0; step < 400; ++step)
    {
        cluster.run_for(100ms);
        cluster.propose(1 + cluster.random(3));
        if (cluster.chance(severity))
            disturb(cluster);
        auto const was_whole = std::exchange(is_whole, repair(cluster));
        // Half of the repairs are followed by the next loss at once.
        if (!is_whole || !cluster.chance(was_whole ? 0.02 : 0.5))
            continue;
        auto const lost = cluster.random(size);
        cluster.empty_disk(lost);
        cluster.schedule(500ms,
                         [&, lost]
                         {
                             cluster.start(lost);
                         });
    }
    return verdict_of(cluster);
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
            auto const wrong = run_seed(seed, size);
            BOOST_TEST(wrong.empty(), "seed " << seed << ", " << size
                                              << " replicas: " << wrong);
        }
}

// Guards against a write whose loss in a crash breaks a promise: crashes just
// before and just after each of the writes of a short run.
BOOST_AUTO_TEST_CASE(crash_at_each_sync_loses_nothing)
{
    for (auto const is_before : {false, true})
        for (auto number = std::uint64_t{1}; number <= 120; ++number)
        {
            auto cluster = replica_cluster{1, 3};
            cluster.m_crash_at = number;
            cluster.m_is_crash_before_write = is_before;
            cluster.found();
            for (auto step = 0; step < 160; ++step)
            {
                cluster.run_for(50ms);
                cluster.propose();
            }
            BOOST_TEST(cluster.m_syncs > number);
            auto const wrong = verdict_of(cluster);
            BOOST_TEST(wrong.empty(), "write " << number << ": " << wrong);
        }
}
