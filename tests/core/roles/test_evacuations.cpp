#include "core/roles/fake_system.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace core = hickorylatch::core;
using hickorylatch::test::fake_system;
using hickorylatch::test::fault_plan;
using hickorylatch::test::make_request;
using namespace std::chrono_literals;

namespace
{

auto evacuated_at(fake_system& system, std::string const& name)
    -> core::evacuations const&
{
    return system.node(name).m_control->state().evacuated().m_current;
}

auto evacuate(std::string const& domain) -> core::set_evacuation
{
    return {domain, true, 0};
}

auto restore(std::string const& domain) -> core::set_evacuation
{
    return {domain, false, 0};
}

auto is_acknowledged(fake_system const& system, core::exchange_id exchange)
    -> bool
{
    auto const* answer = system.operator_answer(exchange);
    return answer != nullptr && answer->m_verdict.m_run == core::run_state::ran;
}

/// Sends the command to a replica and expects an acknowledgement within 1 s.
auto command(fake_system& system, std::string const& name,
             core::set_evacuation const& change) -> void
{
    auto const exchange = system.operate(name, change);
    BOOST_TEST(system.run_until(
        [&]
        {
            return is_acknowledged(system, exchange);
        },
        1s));
}

auto wait_for_leader(fake_system& system) -> std::string
{
    BOOST_REQUIRE(system.run_until(
        [&]
        {
            return !system.leader().empty();
        },
        20s));
    return system.leader();
}

/// A system with three control replicas.
struct replicas
{
    explicit replicas(std::uint64_t seed, fault_plan plan = {})
        : m_system{seed, plan}
    {
        for (auto const& name : m_names)
            m_system.add_control(name);
        m_system.run_for(50ms);
        m_system.bootstrap();
    }

    auto follower() -> std::string
    {
        return m_system.leader() == "a" ? "b" : "a";
    }

    std::vector<std::string> m_names{"a", "b", "c"};
    fake_system m_system;
};

auto last_index(fake_system& system) -> core::log_index
{
    return system.node(system.leader()).m_control->log().last_index();
}

} // namespace

// Guards against an acknowledgement before a majority has synced the command: a
// loss of power together with the loss of any one disk then loses it.
BOOST_AUTO_TEST_CASE(an_acknowledged_command_survives_the_loss_of_any_replica)
{
    for (std::string const lost : {"a", "b", "c"})
    {
        auto group = replicas{2};
        auto& system = group.m_system;
        command(system, group.follower(), evacuate("klang"));
        for (auto const& name : group.m_names)
            system.kill(name);
        for (auto const& name : group.m_names)
            if (name != lost)
                system.restart(name);
        auto const leader = wait_for_leader(system);
        BOOST_TEST(evacuated_at(system, leader).contains("klang"),
                   "lost replica " << lost);
    }
}

// Guards against an acknowledgement by a leader that has lost its majority.
BOOST_AUTO_TEST_CASE(without_a_majority_nothing_is_acknowledged)
{
    auto group = replicas{3};
    auto& system = group.m_system;
    auto const leader = system.leader();
    for (auto const& name : group.m_names)
        if (name != leader)
            system.freeze(name, true);
    auto const exchange = system.operate(leader, evacuate("klang"));
    system.run_for(2s);
    auto const* answer = system.operator_answer(exchange);
    BOOST_REQUIRE(answer != nullptr);
    BOOST_TEST((answer->m_verdict.m_run == core::run_state::may_have_run));
}

// Guards against a log that grows, or a revision that changes, with each
// repetition of a command whose answer was lost.
BOOST_AUTO_TEST_CASE(a_repeated_command_adds_no_log_entry)
{
    auto group = replicas{4};
    auto& system = group.m_system;
    command(system, group.follower(), evacuate("klang"));
    auto const revision = evacuated_at(system, system.leader()).m_revision;
    BOOST_TEST(revision != 0U);
    auto const before = last_index(system);
    for (auto const& name : group.m_names)
        command(system, name, evacuate("klang"));
    BOOST_TEST(last_index(system) == before);
    BOOST_TEST(evacuated_at(system, system.leader()).m_revision == revision);
}

// Guards against a restored domain that stays evacuated at some replica.
BOOST_AUTO_TEST_CASE(a_restored_domain_is_no_longer_evacuated)
{
    auto group = replicas{5};
    auto& system = group.m_system;
    command(system, "a", evacuate("klang"));
    command(system, "b", evacuate("bayan"));
    auto const revision = evacuated_at(system, system.leader()).m_revision;
    command(system, "c", restore("klang"));
    system.run_for(200ms);
    for (auto const& name : group.m_names)
    {
        auto const& current = evacuated_at(system, name);
        BOOST_TEST(current.m_failure_domains ==
                   std::vector<std::string>{"bayan"});
        BOOST_TEST(current.m_revision > revision);
    }
}

// Guards against a command without an acknowledgement because a concurrent one
// reversed it, and against replicas that disagree on the outcome.
BOOST_AUTO_TEST_CASE(crossing_commands_are_all_acknowledged)
{
    auto group = replicas{6};
    auto& system = group.m_system;
    auto exchanges = std::vector<core::exchange_id>{};
    for (auto round = 0; round < 4; ++round)
    {
        exchanges.push_back(system.operate("a", evacuate("klang")));
        exchanges.push_back(system.operate("b", restore("klang")));
    }
    BOOST_TEST(system.run_until(
        [&]
        {
            return std::ranges::all_of(exchanges,
                                       [&](core::exchange_id each)
                                       {
                                           return is_acknowledged(system, each);
                                       });
        },
        1s));
    system.run_for(200ms);
    for (auto const& name : group.m_names)
        BOOST_TEST((evacuated_at(system, name) == evacuated_at(system, "a")));
}

// Guards against a command that is lost with the leader, or refused by the next
// one, when the operator resends it.
BOOST_AUTO_TEST_CASE(a_command_is_repeated_at_the_next_leader)
{
    for (auto const delay : {0ms, 1ms, 4ms, 8ms, 20ms})
    {
        auto group = replicas{7};
        auto& system = group.m_system;
        auto const lost = system.leader();
        system.operate(lost, evacuate("klang"));
        system.run_for(delay);
        system.kill(lost);
        auto const leader = wait_for_leader(system);
        command(system, group.follower(), evacuate("klang"));
        BOOST_TEST(evacuated_at(system, leader).contains("klang"));
        command(system, leader, restore("klang"));
        system.restart(lost);
        system.run_for(1s);
        for (auto const& name : group.m_names)
            BOOST_TEST(!evacuated_at(system, name).contains("klang"));
    }
}

// Guards against a leader that was suspended and acknowledges from its stale
// state. The clock of its events does not show the suspension.
BOOST_AUTO_TEST_CASE(a_suspended_leader_acknowledges_no_reversed_command)
{
    auto group = replicas{8};
    auto& system = group.m_system;
    command(system, "a", evacuate("klang"));
    auto const suspended = system.leader();
    auto const suspended_at = system.now();
    system.freeze(suspended, true);
    wait_for_leader(system);
    command(system, system.leader(), restore("klang"));
    auto& node = system.node(suspended);
    BOOST_REQUIRE(node.m_control->is_leading(suspended_at + 1ms));
    auto out = core::effects{};
    core::reduce(node, suspended_at + 1ms,
                 core::operation_arrived{77, evacuate("klang")}, out);
    for (auto const& each : out)
        BOOST_TEST(!std::holds_alternative<core::reply_operator>(each));
}

// Guards against evacuations that are missing from snapshots, both of a replica
// that restarts and of one that gets its snapshot from the leader.
BOOST_AUTO_TEST_CASE(evacuations_are_part_of_snapshots)
{
    auto plan = fault_plan{};
    plan.m_snapshot_interval = 10;
    auto group = replicas{9, plan};
    auto& system = group.m_system;
    system.add_entry("e");
    auto const behind = group.follower();
    system.kill(behind);
    command(system, system.leader(), evacuate("klang"));
    auto const evacuated = evacuated_at(system, system.leader());
    for (auto round = 1U; round <= 40; ++round)
    {
        auto wanted = core::install_configuration{};
        wanted.m_configuration.m_version = 100 + round;
        system.operate(system.leader(), wanted);
        system.run_for(20ms);
    }
    BOOST_TEST(system.stored_entry_count(system.leader()) < 20U);
    auto const told = system.message_count("evacuations");
    system.restart(behind);
    system.run_for(2s);
    BOOST_TEST((evacuated_at(system, behind) == evacuated));
    // Its link to the entry was open before it got the snapshot.
    BOOST_TEST(system.message_count("evacuations") == told + 1);
    BOOST_TEST(system.message_count("install_snapshot") > 0U);
    for (auto const& name : group.m_names)
        system.kill(name);
    for (auto const& name : group.m_names)
        system.restart(name);
    auto const leader = wait_for_leader(system);
    BOOST_TEST((evacuated_at(system, leader) == evacuated));
}

// Guards against messages that deployments without evacuations would pay for.
BOOST_AUTO_TEST_CASE(without_evacuations_no_message_is_sent)
{
    auto group = replicas{10};
    auto& system = group.m_system;
    system.add_entry("e");
    system.add_agent("w", core::agent_kind::endpoint, "desk", 2, "klang");
    system.run_for(2s);
    BOOST_TEST(system.message_count("evacuations") == 0U);
}

// Guards against entries and agents that miss a change, or learn nothing of an
// earlier one when they start.
BOOST_AUTO_TEST_CASE(every_replica_tells_entries_and_agents)
{
    auto group = replicas{11};
    auto& system = group.m_system;
    system.add_entry("e");
    system.add_agent("w1", core::agent_kind::endpoint, "desk", 2, "klang");
    system.run_for(1s);
    command(system, "a", evacuate("klang"));
    system.run_for(200ms);
    BOOST_TEST(system.message_count("evacuations") == 6U);
    system.add_agent("w2", core::agent_kind::endpoint, "desk", 2, "klang");
    system.run_for(200ms);
    BOOST_TEST(system.message_count("evacuations") == 9U);
}

// Guards against a leader that binds work to agents in an evacuated domain, and
// against work that is not bound there again after the restoration.
BOOST_AUTO_TEST_CASE(the_leader_uses_no_agent_in_an_evacuated_domain)
{
    auto group = replicas{12};
    auto& system = group.m_system;
    system.add_entry("e");
    system.add_agent("w", core::agent_kind::endpoint, "desk", 2, "klang");
    system.run_for(1s);
    command(system, "a", evacuate("klang"));
    auto request = make_request("/stock", "one");
    auto const exchange = system.submit("e", request);
    system.run_for(1s);
    BOOST_TEST(system.start_count("one") == 0U);
    command(system, "b", restore("klang"));
    BOOST_TEST(system.run_until(
        [&]
        {
            return system.answer(exchange) != nullptr;
        },
        2s));
    BOOST_TEST(system.start_count("one") == 1U);
}

// Guards against a new leader that binds work in a domain which was evacuated
// before: its agents refuse the work, and requests fail that could wait.
BOOST_AUTO_TEST_CASE(the_next_leader_uses_no_agent_in_an_evacuated_domain)
{
    auto group = replicas{13};
    auto& system = group.m_system;
    system.add_entry("e");
    system.add_agent("w", core::agent_kind::endpoint, "desk", 2, "klang");
    system.run_for(1s);
    command(system, "a", evacuate("klang"));
    system.kill(system.leader());
    wait_for_leader(system);
    system.run_for(3s);
    auto const exchange = system.submit("e", make_request("/stock", "one"));
    system.run_for(1s);
    BOOST_TEST((system.answer(exchange) == nullptr));
    command(system, system.leader(), restore("klang"));
    BOOST_TEST(system.run_until(
        [&]
        {
            return system.answer(exchange) != nullptr;
        },
        2s));
    BOOST_TEST(system.start_count("one") == 1U);
}

// Guards against an agent that starts a task which a leader bound before it
// learned of the evacuation.
BOOST_AUTO_TEST_CASE(an_agent_starts_nothing_while_its_domain_is_evacuated)
{
    auto info = core::agent_info{};
    info.m_failure_domain = "klang";
    info.m_slots = 4;
    auto served = core::agent{info};
    auto random = core::random_source{};
    auto const leader = core::node_id{1};
    auto out = core::effects{};
    auto change = core::configuration_changed{};
    change.m_term = 3;
    served.receive(1ms, leader, change, random, out);
    auto const starts = [&](std::uint32_t task)
    {
        out.clear();
        auto order = core::start{};
        order.m_attempt = {core::volatile_submission_bit, task};
        order.m_term = 3;
        order.m_renewed = {1ms, 3, 3s, 0};
        served.receive(2ms, leader, order, random, out);
        return std::ranges::any_of(
            out,
            [](core::effect const& each)
            {
                return std::holds_alternative<core::start_call>(each);
            });
    };
    BOOST_TEST(starts(1));
    served.receive(2ms, leader, core::evacuations{7, {"klang"}}, random, out);
    BOOST_TEST(!starts(2));
    // A replica that lags behind sends an older set.
    served.receive(2ms, leader, core::evacuations{5, {}}, random, out);
    BOOST_TEST(!starts(3));
    served.receive(2ms, leader, core::evacuations{9, {}}, random, out);
    BOOST_TEST(starts(4));
}

// Guards against a misspelt name that is stored and acknowledged, and against a
// command that was accepted by another process and is refused here.
BOOST_AUTO_TEST_CASE(only_known_failure_domains_are_accepted)
{
    auto recovered = core::recovered_state{};
    recovered.m_identity = core::node_id{1};
    auto settings = core::control_settings{};
    settings.m_failure_domains = {"bayan", "klang"};
    auto replica =
        core::control{settings,
                      {},
                      recovered,
                      {[](core::control_image const&)
                       {
                           return std::string{};
                       },
                       [](std::string_view)
                       {
                           return std::optional<core::control_image>{};
                       }},
                      "a:1",
                      {}};
    auto random = core::random_source{};
    auto const is_refused = [&](std::string const& domain)
    {
        auto out = core::effects{};
        replica.arrived(1ms, {5, evacuate(domain)}, random, out);
        return std::ranges::any_of(
            out,
            [](core::effect const& each)
            {
                auto const* reply = std::get_if<core::reply_operator>(&each);
                return reply != nullptr &&
                       reply->m_result.m_verdict.m_run ==
                           core::run_state::not_run &&
                       reply->m_result.m_verdict.m_reason ==
                           core::reason::invalid;
            });
    };
    BOOST_TEST(is_refused("klan"));
    BOOST_TEST(is_refused(""));
    BOOST_TEST(is_refused(std::string(129, 'k')));
    BOOST_TEST(!is_refused("klang"));
    auto peer = core::hello{};
    peer.m_node = core::node_id{2};
    peer.m_role = core::role::control;
    auto out = core::effects{};
    replica.connected(2ms, peer, random, out);
    auto accepted = evacuate("other");
    accepted.m_number = 5;
    replica.receive(3ms, peer.m_node,
                    core::operate{9, core::fenced_evacuation{accepted, {1, 0}}},
                    random, out);
    for (auto const& each : out)
        if (auto const* sent = std::get_if<core::send>(&each))
            BOOST_TEST(
                !std::holds_alternative<core::operate_result>(sent->m_message));
}

namespace
{

/// Ends a freeze of a process, and lets all get to rest.
auto resume(fake_system& system, std::string const& name) -> void
{
    system.freeze(name, false);
    system.run_for(3s);
}

/// Expects that a domain is evacuated, or not, at all replicas.
auto require_everywhere(replicas& group, std::string const& domain,
                        bool is_evacuated) -> void
{
    for (auto const& name : group.m_names)
        BOOST_TEST(evacuated_at(group.m_system, name).contains(domain) ==
                       is_evacuated,
                   domain << " at " << name);
}

} // namespace

// Guards against a command that waits in the socket of a frozen leader and is
// carried out when it wakes, after the opposite one was acknowledged elsewhere.
BOOST_AUTO_TEST_CASE(a_leader_that_wakes_carries_out_no_old_command)
{
    for (auto const is_evacuated : {false, true})
    {
        auto group = replicas{20};
        auto& system = group.m_system;
        if (!is_evacuated)
            command(system, "a", evacuate("klang"));
        auto const frozen = system.leader();
        auto const other = group.follower();
        system.freeze(frozen, true);
        auto const old = system.operate(other, is_evacuated ? evacuate("klang")
                                                            : restore("klang"));
        system.run_for(1s);
        BOOST_TEST(!is_acknowledged(system, old));
        system.abandon(other, old);
        auto const leader = wait_for_leader(system);
        command(system, leader,
                is_evacuated ? evacuate("klang") : restore("klang"));
        command(system, leader,
                is_evacuated ? restore("klang") : evacuate("klang"));
        resume(system, frozen);
        require_everywhere(group, "klang", !is_evacuated);
    }
}

// Guards against a command that waits in the operator's connection to a frozen
// replica, whose leader stays the same.
BOOST_AUTO_TEST_CASE(a_replica_that_wakes_carries_out_no_old_command)
{
    for (auto const has_closed : {false, true})
    {
        auto group = replicas{21};
        auto& system = group.m_system;
        auto const frozen = group.follower();
        auto const leader = system.leader();
        command(system, leader, evacuate("klang"));
        system.freeze(frozen, true);
        auto const old = system.operate(frozen, restore("klang"));
        system.run_for(1s);
        if (has_closed)
            system.abandon(frozen, old);
        command(system, leader, restore("klang"));
        command(system, leader, evacuate("klang"));
        BOOST_TEST(system.leader() == leader);
        resume(system, frozen);
        require_everywhere(group, "klang", true);
    }
}

// Guards against a command that a replica keeps until its link to the leader is
// open again, and then forwards although its operator has closed the
// connection.
BOOST_AUTO_TEST_CASE(an_abandoned_command_is_not_forwarded)
{
    for (auto const is_evacuated : {false, true})
    {
        auto group = replicas{22};
        auto& system = group.m_system;
        auto const leader = system.leader();
        auto const other = group.follower();
        if (!is_evacuated)
            command(system, leader, evacuate("klang"));
        system.run_for(100ms);
        system.set_partition(other, leader, true);
        auto const old = system.operate(other, is_evacuated ? evacuate("klang")
                                                            : restore("klang"));
        system.run_for(20ms);
        system.abandon(other, old);
        command(system, leader,
                is_evacuated ? restore("klang") : evacuate("klang"));
        system.set_partition(other, leader, false);
        system.run_for(2s);
        require_everywhere(group, "klang", !is_evacuated);
    }
}

// Guards against a command that arrives at the leader after a later one, whose
// operator could give up only after the token of the first had been issued.
BOOST_AUTO_TEST_CASE(a_command_with_an_outdated_token_is_refused)
{
    auto group = replicas{23};
    auto& system = group.m_system;
    auto const leader = system.leader();
    auto const other = system.node(group.follower()).m_id;
    auto const receive = [&](core::operation const& requested)
    {
        auto out = core::effects{};
        core::reduce(system.node(leader), system.now(),
                     core::message_received{other, core::operate{7, requested}},
                     out);
        for (auto const& each : out)
            if (auto const* sent = std::get_if<core::send>(&each))
                if (auto const* result =
                        std::get_if<core::operate_result>(&sent->m_message))
                    return *result;
        return core::operate_result{};
    };
    for (auto const is_evacuated : {false, true})
    {
        auto old = is_evacuated ? evacuate("klang") : restore("klang");
        old.m_number = is_evacuated ? 1'000'001 : 1'000'002;
        auto const token = receive(core::issue_fencing_token{}).m_token;
        BOOST_TEST(token.m_term != 0U);
        command(system, leader,
                is_evacuated ? evacuate("klang") : restore("klang"));
        command(system, leader,
                is_evacuated ? restore("klang") : evacuate("klang"));
        auto const result = receive(core::fenced_evacuation{old, token});
        BOOST_TEST(
            (result.m_verdict.m_run == core::run_state::not_run &&
             result.m_verdict.m_reason == core::reason::version_conflict));
        system.run_for(1s);
        require_everywhere(group, "klang", !is_evacuated);
    }
}

// Guards against a command that is acknowledged because the domain is in the
// requested state, while the opposite command is in the leader's log and not
// committed yet.
BOOST_AUTO_TEST_CASE(an_uncommitted_command_is_reversed_by_an_entry_of_its_own)
{
    for (auto const is_evacuated : {false, true})
    {
        auto plan = fault_plan{};
        plan.m_sync_delay = 150ms;
        auto group = replicas{24, plan};
        auto& system = group.m_system;
        auto const leader = system.leader();
        if (!is_evacuated)
            command(system, leader, evacuate("klang"));
        auto const old = system.operate(
            leader, is_evacuated ? evacuate("klang") : restore("klang"));
        system.run_for(20ms);
        system.abandon(leader, old);
        command(system, leader,
                is_evacuated ? restore("klang") : evacuate("klang"));
        system.run_for(1s);
        require_everywhere(group, "klang", !is_evacuated);
    }
}

// Guards against a command that an entry keeps for the next leader after its
// operator has closed the connection or got the opposite one acknowledged.
BOOST_AUTO_TEST_CASE(an_entry_that_wakes_carries_out_no_old_command)
{
    for (auto const is_evacuated : {false, true})
    {
        auto group = replicas{25};
        auto& system = group.m_system;
        system.add_entry("e");
        system.run_for(1s);
        auto numbered = [number = std::uint64_t{100}](auto change) mutable
        {
            change.m_number = ++number;
            return change;
        };
        auto const leader = system.leader();
        auto const first =
            numbered(is_evacuated ? evacuate("klang") : restore("klang"));
        auto const second =
            numbered(is_evacuated ? restore("klang") : evacuate("klang"));
        command(system, leader, second);
        command(system, "e", first);
        command(system, "e", numbered(second));
        system.freeze("e", true);
        auto const old = system.operate("e", numbered(first));
        system.run_for(1s);
        system.abandon("e", old);
        command(system, leader, numbered(first));
        command(system, leader, numbered(second));
        resume(system, "e");
        require_everywhere(group, "klang", !is_evacuated);
    }
}
