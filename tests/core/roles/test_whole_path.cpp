#include "core/roles/fake_system.hpp"

#include <boost/test/unit_test.hpp>

namespace core = hickorylatch::core;
using hickorylatch::test::fake_system;
using hickorylatch::test::make_job;
using hickorylatch::test::make_request;
using namespace std::chrono_literals;

namespace
{

auto make_system(std::size_t controls) -> std::unique_ptr<fake_system>
{
    auto system = std::make_unique<fake_system>(7);
    for (auto number = std::size_t{0}; number < controls; ++number)
        system->add_control("control-" + std::to_string(number));
    system->add_entry("entry-0");
    system->add_entry("entry-1");
    system->add_agent("endpoint-0", core::agent_kind::endpoint, "desk", 2);
    system->add_agent("worker-0", core::agent_kind::worker, "workers", 4);
    system->add_agent("worker-1", core::agent_kind::worker, "workers", 4);
    system->run_for(100ms);
    system->bootstrap();
    return system;
}

/// Runs until the exchange is answered. False if it isn't within the span.
auto wait_for_answer(fake_system& system, core::exchange_id exchange,
                     core::duration span) -> bool
{
    return system.run_until(
        [&]
        {
            return system.answer(exchange) != nullptr;
        },
        span);
}

/// Runs until the task with this body has started once. False if it doesn't
/// within the span.
auto wait_for_start(fake_system& system, std::string const& body,
                    core::duration span) -> bool
{
    return system.run_until(
        [&]
        {
            return system.start_count(body) == 1U;
        },
        span);
}

} // namespace

// Guards against a request that gets no answer or the answer to another one.
BOOST_AUTO_TEST_CASE(a_request_gets_its_own_answer)
{
    auto const system = make_system(1);
    for (auto const* path : {"/stock", "/reserve"})
    {
        auto const body = std::string{path} + " 12 reels";
        auto const exchange =
            system->submit("entry-0", make_request(path, body));
        BOOST_REQUIRE(wait_for_answer(*system, exchange, 2s));
        auto const* answer = system->answer(exchange);
        BOOST_TEST((answer->m_verdict.m_run == core::run_state::ran));
        BOOST_REQUIRE(answer->m_answers.size() == 1U);
        BOOST_TEST(answer->m_answers[0].m_body == "answer to " + body);
        BOOST_TEST(system->start_count(body) == 1U);
    }
}

// Guards against a job that gets a partial answer or whose tasks run twice.
BOOST_AUTO_TEST_CASE(a_job_gets_one_whole_answer)
{
    auto const system = make_system(1);
    auto const job = make_job("job-1", 40);
    auto const first = system->submit("entry-0", job);
    auto const second = system->submit("entry-1", job);
    BOOST_REQUIRE(system->run_until(
        [&]
        {
            return system->answer(first) && system->answer(second);
        },
        10s));
    for (auto const exchange : {first, second})
    {
        auto const* answer = system->answer(exchange);
        BOOST_TEST((answer->m_verdict.m_run == core::run_state::ran));
        BOOST_TEST(answer->m_answers.size() == 40U);
    }
    auto const later = system->submit("entry-1", job);
    BOOST_REQUIRE(wait_for_answer(*system, later, 1s));
    BOOST_TEST(system->answer(later)->m_answers.size() == 40U);
    for (auto number = 0; number < 40; ++number)
        BOOST_TEST(system->start_count("job-1/" + std::to_string(number)) ==
                   1U);
}

// Guards against a stopping agent that aborts its running calls or accepts new
// ones.
BOOST_AUTO_TEST_CASE(a_stopping_agent_ends_its_work_and_takes_no_more)
{
    auto const system = make_system(1);
    auto const running =
        system->submit("entry-0", make_request("/reserve", "held"));
    BOOST_REQUIRE(wait_for_start(*system, "held", 1s));
    system->stop("endpoint-0");
    auto const refused =
        system->submit("entry-0", make_request("/stock", "too late"));
    BOOST_REQUIRE(wait_for_answer(*system, running, 2s));
    BOOST_TEST(
        (system->answer(running)->m_verdict.m_run == core::run_state::ran));
    BOOST_TEST(system->run_until(
        [&]
        {
            return !system->is_alive("endpoint-0");
        },
        10s));
    BOOST_TEST(system->start_count("too late") == 0U);
    BOOST_TEST(system->answer(refused) == nullptr);
}

// Guards against a path that is taken for idempotent because its text begins
// with an idempotent path.
BOOST_AUTO_TEST_CASE(idempotent_paths_match_whole_segments)
{
    auto const desk = core::service{"desk", {"/stock"}, 0, 0};
    BOOST_TEST(core::is_idempotent(desk, "/stock"));
    BOOST_TEST(core::is_idempotent(desk, "/stock/reels"));
    BOOST_TEST(core::is_idempotent(desk, "/stock?reel=7"));
    BOOST_TEST(!core::is_idempotent(desk, "/stocktaking"));
    BOOST_TEST(!core::is_idempotent(desk, "/reserve"));
}

// Guards against a planned stop of the leader that delays callers by an
// election timeout or runs idempotent requests again.
BOOST_AUTO_TEST_CASE(a_stopping_leader_hands_over)
{
    auto const system = make_system(3);
    auto const read = system->submit("entry-0", make_request("/stock", "read"));
    auto const held =
        system->submit("entry-1", make_request("/reserve", "held"));
    BOOST_REQUIRE(system->run_until(
        [&]
        {
            return system->start_count("held") + system->start_count("read") ==
                   2;
        },
        1s));
    auto const stopped = system->leader();
    system->stop(stopped);
    auto const asked_at = system->now();
    BOOST_REQUIRE(system->run_until(
        [&]
        {
            return system->answer(read) && system->answer(held);
        },
        5s));
    BOOST_TEST((system->now() - asked_at < 400ms));
    BOOST_TEST(!system->is_alive(stopped));
    BOOST_TEST(system->start_count("read") == 1U);
    BOOST_TEST(system->start_count("held") == 1U);
}

// Guards against an idempotent request that runs again because the leader was
// killed.
BOOST_AUTO_TEST_CASE(a_new_leader_joins_callers_to_running_attempts)
{
    auto const system = make_system(3);
    system->m_run_time = [](std::string const&)
    {
        return 3s;
    };
    auto const read = system->submit("entry-0", make_request("/stock", "read"));
    BOOST_REQUIRE(wait_for_start(*system, "read", 1s));
    system->kill(system->leader());
    BOOST_REQUIRE(wait_for_answer(*system, read, 8s));
    BOOST_TEST((system->answer(read)->m_verdict.m_run == core::run_state::ran));
    BOOST_TEST(system->start_count("read") == 1U);
}

// Guards against an idempotent request that is not answered until its deadline,
// or runs again, because its result reached the new leader before the resend.
BOOST_AUTO_TEST_CASE(a_result_waits_for_the_resend_to_a_new_leader)
{
    auto const system = make_system(3);
    auto const body = std::string{"12 reels"};
    auto const exchange =
        system->submit("entry-0", make_request("/stock", body));
    BOOST_REQUIRE(wait_for_start(*system, body, 2s));
    auto const set_entry_partition = [&](bool is_partitioned)
    {
        for (auto const* name : {"control-0", "control-1", "control-2"})
            system->set_partition("entry-0", name, is_partitioned);
    };
    set_entry_partition(true);
    system->kill(system->leader());
    system->run_for(3s);
    BOOST_REQUIRE(!system->leader().empty());
    BOOST_REQUIRE(system->answer(exchange) == nullptr);
    set_entry_partition(false);
    BOOST_REQUIRE(wait_for_answer(*system, exchange, 3s));
    BOOST_TEST(
        (system->answer(exchange)->m_verdict.m_run == core::run_state::ran));
    BOOST_TEST(system->start_count(body) == 1U);
}

// Guards against an idempotent request that runs again because its result was
// sent to a leader that was frozen.
BOOST_AUTO_TEST_CASE(a_result_sent_to_a_frozen_leader_is_not_lost)
{
    auto const system = make_system(3);
    auto const body = std::string{"12 reels"};
    auto const exchange =
        system->submit("entry-0", make_request("/stock", body));
    BOOST_REQUIRE(wait_for_start(*system, body, 2s));
    system->freeze(system->leader(), true);
    BOOST_REQUIRE(wait_for_answer(*system, exchange, 8s));
    BOOST_TEST(
        (system->answer(exchange)->m_verdict.m_run == core::run_state::ran));
    BOOST_TEST(system->start_count(body) == 1U);
}

// Guards against a log entry that is too large for a frame: no follower could
// receive it, and no later entry would be committed.
BOOST_AUTO_TEST_CASE(content_too_large_for_a_frame_fails_alone)
{
    auto const system = make_system(3);
    auto const wait_until_answered = [&](core::exchange_id exchange)
    {
        return system->run_until(
            [&]
            {
                return system->answer(exchange);
            },
            5s);
    };
    auto large = make_job("large", 4);
    for (auto& task : large.m_tasks)
        task.m_body.resize((std::size_t{1} << 20U) - 6, 'x');
    // Each answer is the body with a prefix, so only the answers together
    // exceed the limit, not the tasks.
    auto const failed = system->submit("entry-0", large);
    BOOST_REQUIRE(wait_until_answered(failed));
    BOOST_TEST((system->answer(failed)->m_verdict.m_reason ==
                core::reason::call_failed));
    BOOST_TEST(system->answer(failed)->m_answers.empty());
    large.m_key = "larger";
    large.m_tasks.push_back(large.m_tasks.front());
    auto const refused = system->submit("entry-0", large);
    BOOST_REQUIRE(wait_until_answered(refused));
    BOOST_TEST(
        (system->answer(refused)->m_verdict.m_run == core::run_state::not_run));
    auto const next = system->submit("entry-0", make_job("next", 4));
    BOOST_REQUIRE(wait_until_answered(next));
    BOOST_TEST((system->answer(next)->m_verdict.m_run == core::run_state::ran));
}

// Guards against additional syncs before a start: one covers the acceptance and
// the allotment of all tasks, and an idempotent request needs none.
BOOST_AUTO_TEST_CASE(a_start_waits_for_at_most_one_sync)
{
    auto const system = make_system(3);
    auto const syncs_before_start =
        [&](core::submission const& work, std::string const& body)
    {
        system->run_for(1s);
        auto const before = system->sync_count(system->leader());
        system->submit("entry-0", work);
        BOOST_REQUIRE(wait_for_start(*system, body, 1s));
        return system->sync_count(system->leader()) - before;
    };
    for (auto const tasks : {1U, 100U, 1400U})
    {
        auto const key = "job-" + std::to_string(tasks);
        BOOST_TEST(syncs_before_start(make_job(key, tasks), key + "/0") == 1U);
        system->run_for(60s);
    }
    BOOST_TEST(syncs_before_start(make_request("/reserve", "held"), "held") ==
               1U);
    BOOST_TEST(syncs_before_start(make_request("/stock", "read"), "read") ==
               0U);
}

// Guards against a job that takes more messages than one start and one result
// per task.
BOOST_AUTO_TEST_CASE(a_job_costs_two_messages_a_task)
{
    for (auto const tasks : {1U, 100U, 1400U})
    {
        auto const system = make_system(3);
        auto const names = {"submit", "start", "finished", "submit_result",
                            "forget"};
        auto before = std::map<std::string, unsigned>{};
        for (auto const* name : names)
            before[name] = system->message_count(name);
        auto const exchange = system->submit("entry-0", make_job("job", tasks));
        BOOST_REQUIRE(wait_for_answer(*system, exchange, 60s));
        system->run_for(3s);
        auto const sent = [&](std::string const& name)
        {
            return system->message_count(name) - before[name];
        };
        BOOST_TEST(sent("submit") == 1U);
        BOOST_TEST(sent("start") == tasks);
        BOOST_TEST(sent("finished") == tasks);
        BOOST_TEST(sent("submit_result") == 1U);
        // At most one message to each of the two workers, and one more for each
        // 64 results.
        BOOST_TEST(sent("forget") <= 2 + tasks / 64);
    }
}

// Guards against a configuration or a stored answer that is lost when the whole
// group restarts, and against a log that snapshots don't truncate.
BOOST_AUTO_TEST_CASE(hundreds_of_changes_survive_a_restart_of_all)
{
    auto system = fake_system{11, {.m_snapshot_interval = 100}};
    auto const names = {"control-0", "control-1", "control-2"};
    for (auto const* name : names)
        system.add_control(name);
    system.add_entry("entry-0");
    system.add_agent("worker-0", core::agent_kind::worker, "workers", 4);
    system.run_for(100ms);
    system.bootstrap();
    auto const job = make_job("kept", 3);
    auto const first = system.submit("entry-0", job);
    BOOST_REQUIRE(wait_for_answer(system, first, 5s));
    auto change = core::change_configuration{};
    change.m_configuration = system.node("entry-0").m_entry->config();
    for (auto version = 1U; version <= 400; ++version)
    {
        change.m_request_id = "change-" + std::to_string(version);
        change.m_expected_version = version;
        change.m_configuration.m_customers[0].m_quota = version;
        system.operate(system.leader(), change);
        system.run_for(20ms);
    }
    for (auto const* name : names)
        system.kill(name);
    for (auto const* name : names)
        system.restart(name);
    BOOST_REQUIRE(system.run_until(
        [&]
        {
            return !system.leader().empty();
        },
        10s));
    auto const& state = system.node(system.leader()).m_control->state();
    BOOST_TEST(state.config().m_version == 401U);
    BOOST_TEST(state.config().m_customers[0].m_quota == 400U);
    // A restart reads the snapshot and the entries of at most two intervals.
    for (auto const* name : names)
        BOOST_TEST(system.stored_entry_count(name) <= 200U);
    auto const again = system.submit("entry-0", job);
    BOOST_REQUIRE(wait_for_answer(system, again, 5s));
    BOOST_TEST(system.answer(again)->m_answers.size() == 3U);
    BOOST_TEST(system.start_count("kept/0") == 1U);
    system.operate(system.leader(), change);
    system.run_for(1s);
    BOOST_TEST(
        system.node(system.leader()).m_control->state().config().m_version ==
        401U);
}
