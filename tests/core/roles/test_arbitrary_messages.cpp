#include "core/desk_sample.hpp"
#include "core/roles/arbitrary_message.hpp"
#include "core/roles/fake_system.hpp"

#include <boost/test/unit_test.hpp>

#include <cstdint>
#include <string>
#include <utility>

namespace core = hickorylatch::core;
namespace test = hickorylatch::test;

using std::chrono::milliseconds;

namespace
{

constexpr auto rounds = 60U;
constexpr auto messages_per_round = 400U;
constexpr auto peers = std::uint64_t{4};

/// Feeds a process with messages of peers that it knows. Its effects are
/// dropped.
auto press(core::node& target, core::time_point now,
           test::arbitrary_values& values) -> void
{
    for (auto sent = 0U; sent < messages_per_round; ++sent)
    {
        now += milliseconds{values.number(20)};
        auto out = core::effects{};
        core::reduce(
            target, now,
            core::message_received{core::node_id{1 + values.number(peers)},
                                   values.message()},
            out);
    }
}

auto connect_peers(core::node& target, core::time_point now, core::role role)
    -> void
{
    for (auto peer = std::uint64_t{1}; peer <= peers; ++peer)
    {
        auto out = core::effects{};
        auto words = core::hello{};
        words.m_node = core::node_id{peer};
        words.m_role = role;
        words.m_name = "w";
        words.m_address = "10.0.0." + std::to_string(peer) + ":1";
        core::reduce(target, now, core::peer_connected{words}, out);
    }
}

/// Puts a configuration with one queue in force.
auto configure(core::node& entry, core::time_point now) -> void
{
    auto const config = test::desk_configuration();
    auto out = core::effects{};
    core::reduce(
        entry, now,
        core::message_received{core::node_id{1}, core::make_patch({}, config)},
        out);
}

/// Lets each peer, an agent, report a worker with room for two tasks, and
/// posts jobs that need more.
auto give_work(core::node& entry, core::time_point now) -> void
{
    auto out = core::effects{};
    for (auto peer = std::uint64_t{1}; peer <= peers; ++peer)
    {
        auto news = core::worker_announcement{};
        news.m_worker.m_name = "w";
        news.m_worker.m_service = "desk";
        news.m_worker.m_capacity = {4'000, 1'024, 0};
        auto load = core::worker_load{};
        load.m_accepts = core::acceptance::full;
        load.m_free = {2'000, 1'024, 0};
        for (auto const& told :
             {core::message{std::move(news)}, core::message{std::move(load)}})
            core::reduce(entry, now,
                         core::message_received{core::node_id{peer}, told},
                         out);
    }
    for (auto exchange = std::uint64_t{1}; exchange <= 3; ++exchange)
    {
        auto request = core::job_arrived{};
        request.m_exchange = exchange;
        request.m_host = "desk.example";
        request.m_path = "/fast/jobs";
        request.m_job.m_id = "00000000000000a" + std::to_string(exchange);
        request.m_client_wait_ms = 60'000;
        auto step = core::job_step{};
        step.m_count = 10;
        step.m_needs = {1'000, 64, 0};
        step.m_declared_ms = 100;
        request.m_job.m_steps = {step};
        request.m_job.m_is_durable = false;
        core::reduce(entry, now, request, out);
    }
}

} // namespace

// Guards against an entry that ends because of a message that decodes but makes
// no sense.
BOOST_AUTO_TEST_CASE(an_entry_survives_arbitrary_messages)
{
    for (auto seed = 1U; seed <= rounds; ++seed)
    {
        auto values = test::arbitrary_values{seed};
        auto node = core::node{};
        node.m_id = core::node_id{99};
        node.m_broker.emplace(core::broker_settings{});
        auto out = core::effects{};
        core::reduce(node, milliseconds{1'000}, core::started{seed}, out);
        connect_peers(node, milliseconds{1'000},
                      seed % 4 == 0 ? core::role::control : core::role::agent);
        configure(node, milliseconds{1'000});
        give_work(node, milliseconds{1'000});
        BOOST_CHECK_NO_THROW(press(node, milliseconds{1'000}, values));
    }
}

// Guards against an agent that ends in that way.
BOOST_AUTO_TEST_CASE(an_agent_survives_arbitrary_messages)
{
    for (auto seed = 1U; seed <= rounds; ++seed)
    {
        auto values = test::arbitrary_values{seed};
        auto node = core::node{};
        node.m_id = core::node_id{99};
        node.m_executor.emplace(core::executor_settings{});
        auto out = core::effects{};
        auto report = test::desk_worker_report();
        core::reduce(node, milliseconds{1'000}, core::worker_reported{report},
                     out);
        connect_peers(node, milliseconds{1'000},
                      seed % 2 == 0 ? core::role::entry : core::role::control);
        BOOST_CHECK_NO_THROW(press(node, milliseconds{1'000}, values));
    }
}

// Guards against a control replica that ends in that way.
BOOST_AUTO_TEST_CASE(a_control_replica_survives_arbitrary_messages)
{
    for (auto seed = 1U; seed <= rounds; ++seed)
    {
        auto values = test::arbitrary_values{seed};
        auto system = test::fake_system{seed};
        for (auto const* name : {"c1", "c2", "c3"})
            system.add_control(name);
        system.run_for(milliseconds{100});
        system.bootstrap();
        system.run_for(milliseconds{500});
        auto& node = system.node("c1");
        connect_peers(node, system.now(),
                      seed % 2 == 0 ? core::role::entry : core::role::control);
        BOOST_CHECK_NO_THROW(press(node, system.now(), values));
    }
}
