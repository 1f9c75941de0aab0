#include "core/placement/link_targets.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <string>

namespace core = hickorylatch::core;

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr auto control = core::node_id{7};

auto entry_name(unsigned number) -> std::string
{
    return "e" + std::to_string(number);
}

/// Entries spread evenly over failure domains "d0", "d1" and so on.
auto make_list(unsigned entries, unsigned domains) -> core::process_list
{
    auto known = core::process_list{};
    known.m_controls = {"c0", "c1", "c2", "c3", "c4"};
    known.m_leader = "c3";
    for (auto number = 0U; number < entries; ++number)
        known.m_entries.push_back(
            {entry_name(number), "d" + std::to_string(number % domains)});
    return known;
}

/// The links of one agent.
struct agent_links
{
    explicit agent_links(std::string const& name, std::string const& domain)
        : m_targets{{.m_seeds = {"c0", "c1"},
                     .m_name = name,
                     .m_failure_domain = domain,
                     .m_control_limit = 2,
                     .m_entry_limit = 10,
                     .m_same_domain_entry_limit = 6}}
    {
    }

    auto set_known_processes(core::process_list const& known) -> void
    {
        m_targets.set_known_processes(control, known);
        update();
    }

    auto update() -> void
    {
        auto out = core::effects{};
        m_targets.update(m_now, out);
        for (auto const& each : out)
            if (auto const* kept = std::get_if<core::keep_links>(&each))
                m_kept = {kept->m_addresses.begin(), kept->m_addresses.end()};
    }

    auto open(std::string const& entry) -> void
    {
        auto peer = core::hello{};
        peer.m_node = node_of(entry);
        peer.m_role = core::role::entry;
        peer.m_address = entry;
        m_targets.opened(peer);
    }

    auto open_all() -> void
    {
        for (auto const& each : entries())
            open(each);
    }

    auto close(std::string const& entry) -> void
    {
        m_targets.closed(m_now, node_of(entry));
    }

    /// Advances the time to the next deadline.
    auto advance() -> void
    {
        m_now = m_targets.next_deadline();
        update();
    }

    [[nodiscard]] auto entries() const -> std::set<std::string>
    {
        auto found = std::set<std::string>{};
        std::ranges::copy_if(m_kept, std::inserter(found, found.end()),
                             [](std::string const& address)
                             {
                                 return address.front() == 'e';
                             });
        return found;
    }

    [[nodiscard]] static auto node_of(std::string const& entry) -> core::node_id
    {
        return core::node_id{1'000 + std::stoul(entry.substr(1))};
    }

    core::time_point m_now = seconds{10};
    core::link_targets m_targets;
    std::set<std::string> m_kept;
};

} // namespace

// Guards against costs of agents and control replicas that grow with the
// deployment, and against entries with links to few agents.
BOOST_AUTO_TEST_CASE(agents_keep_few_links_spread_over_all_entries)
{
    constexpr auto entries = 40U;
    constexpr auto domains = 6U;
    auto const known = make_list(entries, domains);
    auto counts = std::map<std::string, unsigned>{};
    auto same_domain = std::map<std::string, unsigned>{};
    for (auto number = 0U; number < 160; ++number)
    {
        auto const domain = number % domains;
        auto agent = agent_links{"agent-" + std::to_string(number),
                                 "d" + std::to_string(domain)};
        agent.set_known_processes(known);
        BOOST_TEST(agent.entries().size() == 10U);
        BOOST_TEST(agent.m_kept.size() <= 13U);
        BOOST_TEST(agent.m_kept.contains("c3"));
        for (auto const& entry : agent.entries())
        {
            ++counts[entry];
            if (std::stoul(entry.substr(1)) % domains == domain)
                ++same_domain[entry];
        }
    }
    for (auto number = 0U; number < entries; ++number)
    {
        auto const name = entry_name(number);
        BOOST_TEST(counts[name] >= 25U);
        BOOST_TEST(counts[name] <= 60U);
        BOOST_TEST(same_domain[name] >= 16U);
    }
}

// Guards against workers that some entries of a small deployment can't use.
BOOST_AUTO_TEST_CASE(an_agent_of_a_small_deployment_serves_every_entry)
{
    auto agent = agent_links{"agent", "d1"};
    agent.set_known_processes(make_list(9, 4));
    BOOST_TEST(agent.entries().size() == 9U);
}

// Guards against an agent that few entries can use after others were lost, and
// against a number of links that grows with every loss.
BOOST_AUTO_TEST_CASE(another_entry_substitutes_for_a_lost_one)
{
    auto agent = agent_links{"agent", "d1"};
    agent.set_known_processes(make_list(40, 6));
    auto const first = agent.entries();
    agent.open_all();
    agent.update();
    auto const lost = *first.begin();
    agent.close(lost);
    agent.update();
    BOOST_TEST(agent.entries() == first, boost::test_tools::per_element());
    agent.advance();
    // Attempts to reach the lost one continue.
    BOOST_TEST(agent.entries().size() == 11U);
    BOOST_TEST(agent.entries().contains(lost));
    agent.open_all();
    agent.update();
    // The substitute may have runs here, so its link stays until it is
    // released.
    BOOST_TEST(agent.entries().size() == 11U);
    auto const all = agent.entries();
    auto const substitute =
        *std::ranges::find_if(all,
                              [&](std::string const& each)
                              {
                                  return !first.contains(each);
                              });
    BOOST_TEST(agent.m_targets.is_draining(substitute));
    agent.m_targets.release(substitute);
    agent.update();
    BOOST_TEST(agent.entries() == first, boost::test_tools::per_element());
}

// Guards against an isolated agent that tries to reach all entries of a large
// deployment at once.
BOOST_AUTO_TEST_CASE(an_isolated_agent_tries_few_entries)
{
    auto agent = agent_links{"agent", "d1"};
    agent.set_known_processes(make_list(40, 6));
    for (auto round = 0; round < 5; ++round)
    {
        if (agent.m_targets.next_deadline() != core::never)
            agent.advance();
        BOOST_TEST(agent.entries().size() <= 20U);
    }
}

// Guards against a process that follows only unreachable replicas although its
// settings name others.
BOOST_AUTO_TEST_CASE(seeds_substitute_for_unreachable_replicas)
{
    auto agent = agent_links{"agent", "d1"};
    auto known = make_list(2, 1);
    known.m_controls = {"c7", "c8"};
    known.m_leader.clear();
    agent.set_known_processes(known);
    BOOST_TEST(!agent.m_kept.contains("c0"));
    agent.advance();
    BOOST_TEST(agent.m_kept.contains("c0"));
}
