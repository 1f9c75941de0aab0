#include "core/placement/configuration_copy.hpp"

#include <boost/test/unit_test.hpp>

#include <map>
#include <string>
#include <vector>

namespace core = hickorylatch::core;

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr auto first = core::node_id{1};
constexpr auto second = core::node_id{2};

auto make_configuration(core::configuration_version version)
    -> core::configuration
{
    auto config = core::configuration{};
    config.m_version = version;
    auto queue = core::job_queue{};
    queue.m_host = "desk.example";
    queue.m_path_prefix = "/v" + std::to_string(version) + "/";
    config.m_queues = {queue};
    return config;
}

struct follower
{
    explicit follower(std::string name = "entry") : m_copy{std::move(name)}
    {
    }

    auto receive(core::node_id from, core::message const& incoming) -> void
    {
        m_out.clear();
        m_copy.receive(m_now, from, incoming, m_out);
    }

    /// Processes that requests were sent to after the last event.
    [[nodiscard]] auto asked() const -> std::vector<core::node_id>
    {
        auto found = std::vector<core::node_id>{};
        for (auto const& each : m_out)
            if (auto const* sent = std::get_if<core::send>(&each);
                sent != nullptr &&
                std::holds_alternative<core::fetch_configuration>(
                    sent->m_message))
                found.push_back(sent->m_to);
        return found;
    }

    core::time_point m_now = seconds{10};
    core::effects m_out;
    core::configuration_copy m_copy;
};

} // namespace

// Guards against congestion of a link by copies of the same configuration from
// every replica.
BOOST_AUTO_TEST_CASE(a_configuration_is_fetched_from_one_process)
{
    auto entry = follower{};
    entry.receive(first, core::configuration_notice{7});
    BOOST_TEST((entry.asked() == std::vector{first}));
    entry.receive(second, core::configuration_notice{7});
    BOOST_TEST(entry.asked().empty());
    entry.receive(first, core::make_patch({}, make_configuration(7)));
    BOOST_TEST(entry.asked().empty());
    BOOST_TEST(entry.m_copy.config().m_version == 7U);
    BOOST_TEST(entry.m_copy.find_queue("desk.example", "/v7/x") != nullptr);
    entry.receive(second, core::configuration_notice{7});
    BOOST_TEST(entry.asked().empty());
}

// Guards against heartbeats that are delayed behind copies of a large
// configuration, because all processes fetch it from the leader.
BOOST_AUTO_TEST_CASE(many_processes_fetch_from_different_sources)
{
    auto counts = std::map<core::node_id, unsigned>{};
    for (auto number = 0; number < 40; ++number)
    {
        auto entry = follower{"entry-" + std::to_string(number)};
        entry.receive(first, core::make_patch({}, make_configuration(3)));
        entry.receive(first, core::configuration_notice{7});
        BOOST_TEST(entry.asked().empty());
        entry.receive(second, core::configuration_notice{7});
        entry.m_now = entry.m_copy.next_deadline();
        entry.m_copy.tick(entry.m_now, entry.m_out);
        BOOST_REQUIRE(entry.asked().size() == 1U);
        ++counts[entry.asked().front()];
    }
    BOOST_TEST(counts[first] >= 10U);
    BOOST_TEST(counts[second] >= 10U);
}

// Guards against a process that waits for a lost or frozen source although
// another process has the configuration.
BOOST_AUTO_TEST_CASE(another_process_is_asked_when_one_does_not_answer)
{
    auto entry = follower{};
    entry.receive(first, core::configuration_notice{7});
    entry.receive(second, core::configuration_notice{7});
    entry.m_now = entry.m_copy.next_deadline();
    entry.m_out.clear();
    entry.m_copy.tick(entry.m_now, entry.m_out);
    auto const other = entry.asked();
    BOOST_REQUIRE(other.size() == 1U);
    entry.m_out.clear();
    entry.receive(first, core::configuration_notice{7});
    entry.receive(second, core::configuration_notice{7});
    entry.m_out.clear();
    entry.m_copy.disconnected(entry.m_now, other.front(), entry.m_out);
    auto const last = entry.asked();
    BOOST_REQUIRE(last.size() == 1U);
    BOOST_TEST((last.front() != other.front()));
}

// Guards against a replica that lags and restores a replaced configuration.
BOOST_AUTO_TEST_CASE(an_older_configuration_is_not_adopted)
{
    auto entry = follower{};
    entry.receive(first, core::make_patch({}, make_configuration(7)));
    entry.receive(second, core::make_patch({}, make_configuration(5)));
    BOOST_TEST(entry.m_copy.config().m_version == 7U);
    entry.receive(second, core::configuration_notice{6});
    BOOST_TEST(entry.asked().empty());
}

// Guards against losing a change because the patch before it did not arrive.
BOOST_AUTO_TEST_CASE(a_patch_of_an_unknown_version_causes_a_fetch)
{
    auto entry = follower{};
    entry.receive(first, core::make_patch({}, make_configuration(3)));
    entry.receive(
        first, core::make_patch(make_configuration(4), make_configuration(5)));
    BOOST_TEST(entry.m_copy.config().m_version == 3U);
    BOOST_TEST((entry.asked() == std::vector{first}));
    entry.receive(
        first, core::make_patch(make_configuration(3), make_configuration(5)));
    BOOST_TEST(entry.m_copy.config().m_version == 5U);
}

// Guards against an entry that starts without a control replica and gets no
// configuration although agents have one.
BOOST_AUTO_TEST_CASE(a_process_serves_its_configuration)
{
    auto agent = follower{};
    agent.receive(first, core::make_patch({}, make_configuration(3)));
    agent.receive(second, core::fetch_configuration{0});
    BOOST_REQUIRE(agent.m_out.size() == 1U);
    auto const& sent = std::get<core::send>(agent.m_out.front());
    BOOST_TEST((sent.m_to == second));
    BOOST_TEST(std::get<core::configuration_patch>(sent.m_message).m_version ==
               3U);
    agent.receive(second, core::fetch_configuration{3});
    BOOST_TEST(agent.m_out.empty());
}
