#include "core/roles/fake_system.hpp"

#include <boost/test/unit_test.hpp>

#include <string>

namespace core = hickorylatch::core;
using hickorylatch::test::fake_system;
using namespace std::chrono_literals;

namespace
{

auto version_of(fake_system& system, std::string const& name)
    -> core::configuration_version
{
    return system.node(name).m_control->state().config().m_version;
}

auto install(fake_system& system, std::string const& name,
             core::configuration_version version) -> core::exchange_id
{
    auto wanted = core::install_configuration{};
    wanted.m_configuration = system.node(name).m_control->state().config();
    wanted.m_configuration.m_version = version;
    return system.operate(name, wanted);
}

} // namespace

// Guards against a change that is acknowledged and never stored: the leader
// answered a request of the replica's earlier process, and the restarted
// replica gave that answer to a request with the same number.
BOOST_AUTO_TEST_CASE(an_answer_to_an_earlier_process_acknowledges_no_change)
{
    auto system = fake_system{1};
    for (auto const* name : {"a", "b", "c"})
        system.add_control(name);
    system.run_for(50ms);
    system.bootstrap();
    auto const leader = system.leader();
    auto const restarted = std::string{leader == "a" ? "b" : "a"};
    auto const first = version_of(system, leader) + 1;
    system.freeze(leader, true);
    install(system, restarted, first);
    system.run_for(5ms);
    system.kill(restarted);
    system.run_for(20ms);
    system.restart(restarted);
    auto const exchange = install(system, restarted, first + 1);
    system.run_for(5ms);
    system.freeze(leader, false);
    BOOST_REQUIRE(system.run_until(
        [&]
        {
            return system.operator_answer(exchange) != nullptr;
        },
        5s));
    BOOST_TEST(system.operator_answer(exchange)->m_version == first + 1);
    BOOST_TEST(version_of(system, system.leader()) == first + 1);
}
