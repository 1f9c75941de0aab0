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

constexpr auto seed_count = 60U;
constexpr auto messages_per_seed = 400U;
constexpr auto peer_count = std::uint64_t{4};

/// Sends arbitrary messages of connected peers to a process and drops its
/// effects.
auto send_arbitrary_messages(core::node& target, core::time_point now,
                             test::arbitrary_values& values) -> void
{
    for (auto sent = 0U; sent < messages_per_seed; ++sent)
    {
        now += milliseconds{values.number(20)};
        auto out = core::effects{};
        core::reduce(
            target, now,
            core::message_received{core::node_id{1 + values.number(peer_count)},
                                   values.message()},
            out);
    }
}

auto connect_peers(core::node& target, core::time_point now, core::role role)
    -> void
{
    for (auto peer = std::uint64_t{1}; peer <= peer_count; ++peer)
    {
        auto out = core::effects{};
        auto greeting = core::hello{};
        greeting.m_node = core::node_id{peer};
        greeting.m_role = role;
        greeting.m_name = "w";
        greeting.m_address = "10.0.0." + std::to_string(peer) + ":1";
        core::reduce(target, now, core::peer_connected{greeting}, out);
    }
}

/// Sends a configuration with one queue.
auto configure(core::node& entry, core::time_point now) -> void
{
    auto const config = test::desk_configuration();
    auto out = core::effects{};
    core::reduce(
        entry, now,
        core::message_received{core::node_id{1}, core::make_patch({}, config)},
        out);
}

/// Reports a worker with capacity for two more tasks from each peer, which is
/// an agent, and posts jobs that need more.
auto add_workers_and_jobs(core::node& entry, core::time_point now) -> void
{
    auto out = core::effects{};
    for (auto peer = std::uint64_t{1}; peer <= peer_count; ++peer)
    {
        auto announcement = core::worker_announcement{};
        announcement.m_worker.m_name = "w";
        announcement.m_worker.m_service = "desk";
        announcement.m_worker.m_capacity = {4'000, 1'024, 0};
        auto load = core::worker_load{};
        load.m_accepts = core::acceptance::full;
        load.m_free = {2'000, 1'024, 0};
        for (auto const& report : {core::message{std::move(announcement)},
                                   core::message{std::move(load)}})
            core::reduce(entry, now,
                         core::message_received{core::node_id{peer}, report},
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

// Guards against an entry that crashes on a message that can be decoded but is
// invalid.
BOOST_AUTO_TEST_CASE(an_entry_does_not_throw_on_arbitrary_messages)
{
    for (auto seed = 1U; seed <= seed_count; ++seed)
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
        add_workers_and_jobs(node, milliseconds{1'000});
        BOOST_CHECK_NO_THROW(
            send_arbitrary_messages(node, milliseconds{1'000}, values));
    }
}

// Guards against an agent that crashes on such a message.
BOOST_AUTO_TEST_CASE(an_agent_does_not_throw_on_arbitrary_messages)
{
    for (auto seed = 1U; seed <= seed_count; ++seed)
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
        BOOST_CHECK_NO_THROW(
            send_arbitrary_messages(node, milliseconds{1'000}, values));
    }
}

// Guards against a control replica that crashes on such a message.
BOOST_AUTO_TEST_CASE(a_control_replica_does_not_throw_on_arbitrary_messages)
{
    for (auto seed = 1U; seed <= seed_count; ++seed)
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
        BOOST_CHECK_NO_THROW(
            send_arbitrary_messages(node, system.now(), values));
    }
}
