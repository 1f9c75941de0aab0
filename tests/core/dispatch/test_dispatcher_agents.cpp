#include "core/dispatch/dispatcher_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace hickorylatch::core;

BOOST_FIXTURE_TEST_SUITE(dispatcher_agents, dispatcher_fixture)

// Guards against uneven load on equal endpoints.
BOOST_AUTO_TEST_CASE(least_loaded_agent_is_chosen)
{
    add_endpoint(1, 8);
    add_endpoint(2, 8);
    auto count = std::map<node_id, int>{};
    for (auto task = 1U; task <= 10; ++task)
    {
        BOOST_TEST(!add(request(task)));
        bind_next();
        ++count[m_agent];
    }
    BOOST_TEST(count[node_id{1}] == 5);
}

// Guards against an agent that fails every task immediately and gets all work
// because its slots are always free.
BOOST_AUTO_TEST_CASE(failing_agent_gets_only_trials)
{
    add_endpoint(1, 8);
    add_endpoint(2, 1);
    auto to_failing = 0;
    // Two at a time, so that the healthy agent has no slot for the second.
    for (auto task = 1U; task <= 10'000; task += 2)
    {
        BOOST_TEST(!add(request(task)));
        BOOST_TEST(!add(request(task + 1)));
        auto failing = std::vector<std::uint32_t>{};
        auto healthy = std::vector<std::uint32_t>{};
        for (auto started = bind_next(); started != -1; started = bind_next())
            (m_agent == node_id{1} ? failing : healthy)
                .push_back(static_cast<std::uint32_t>(started));
        to_failing += static_cast<int>(failing.size());
        m_now += duration{5'000};
        for (auto const attempt : failing)
            finish(attempt, attempt_outcome::failed);
        m_now += duration{5'000};
        for (auto const attempt : healthy)
            finish(attempt);
        m_dispatcher.withdraw({volatile_submission_bit, task + 1});
    }
    BOOST_TEST(m_dispatcher.is_on_probation(node_id{1}));
    BOOST_TEST(!m_dispatcher.is_on_probation(node_id{2}));
    // 3 failures, then trials after 1, 2, 4, 8, 16 s within 50 s.
    BOOST_TEST(to_failing == 8);
}

// Guards against several trials at the same time, and against a repaired agent
// that stays unused.
BOOST_AUTO_TEST_CASE(probation_ends_with_a_success)
{
    add_endpoint(1, 8);
    for (auto task = 1U; task <= 3; ++task)
    {
        BOOST_TEST(!add(request(task)));
        BOOST_TEST(bind_next() == static_cast<int>(task));
        finish(task, attempt_outcome::failed);
    }
    BOOST_TEST(!add(request(4)));
    BOOST_TEST(!add(request(5)));
    BOOST_TEST(bind_next() == -1);
    BOOST_TEST(m_dispatcher.wake_at(m_now) == m_now + second);
    m_now += second;
    BOOST_TEST(bind_next() == 4);
    BOOST_TEST(bind_next() == -1);
    finish(4);
    BOOST_TEST(bind_next() == 5);
}

// Guards against a slow agent that gets as much work as the others.
BOOST_AUTO_TEST_CASE(stragglers_are_avoided)
{
    add_endpoint(1, 4);
    add_endpoint(2, 4);
    auto ends = std::multimap<time_point, std::pair<std::uint32_t, node_id>>{};
    auto slow = 0;
    auto total = 0;
    for (auto task = 1U; task <= 2000; ++task)
    {
        m_now += duration{50'000};
        while (!ends.empty() && ends.begin()->first <= m_now)
        {
            finish(ends.begin()->second.first);
            ends.erase(ends.begin());
        }
        auto item = request(task);
        item.m_run_time = duration{100'000};
        BOOST_TEST(!add(item));
        while (bind_next() != -1)
        {
            auto const is_slow = m_agent == node_id{1};
            if (task > 500)
            {
                ++total;
                slow += is_slow ? 1 : 0;
            }
            ends.emplace(m_now + duration{is_slow ? 1'000'000 : 100'000},
                         std::pair{task, m_agent});
        }
    }
    BOOST_TEST(total > 1400);
    BOOST_TEST(slow < total / 50);
}

// Guards against new work for agents that are drained, leaving or removed.
BOOST_AUTO_TEST_CASE(unschedulable_agents_get_no_work)
{
    add_endpoint(1, 1);
    add_endpoint(2, 1);
    add_endpoint(3, 1);
    auto config = configuration{};
    config.m_drained = {"endpoint-1"};
    m_dispatcher.apply(config);
    m_dispatcher.set_leaving(node_id{2}, true);
    BOOST_TEST(m_dispatcher.remove_agent(node_id{3}).empty());
    BOOST_TEST(!add(request(1)));
    BOOST_TEST(bind_next() == -1);
    config.m_drained.clear();
    m_dispatcher.apply(config);
    BOOST_TEST(bind_next() == 1);
    auto const lost = m_dispatcher.remove_agent(node_id{1});
    BOOST_TEST(lost.size() == 1);
    BOOST_TEST(m_dispatcher.running("desk") == 0);
}

// Guards against new work in an evacuated failure domain, for agents that were
// known before and for one that announces itself later, and against a drained
// agent that gets work when its domain is restored.
BOOST_AUTO_TEST_CASE(agents_of_evacuated_domains_get_no_work)
{
    add_worker(1, 10, 0, "klang");
    add_worker(2, 10, 0, "bayan");
    m_dispatcher.apply(evacuations{7, {"klang"}});
    add_worker(3, 10, 0, "klang");
    auto const allotted = [&](std::uint32_t cores)
    {
        auto wanted = task{};
        wanted.m_cores = cores;
        auto const tasks = std::vector{wanted};
        auto const agents = m_dispatcher.allot(tasks);
        m_dispatcher.release(tasks, agents);
        return agents;
    };
    BOOST_TEST((allotted(1) == std::vector{node_id{2}}));
    m_dispatcher.apply(evacuations{8, {"bayan", "klang"}});
    BOOST_TEST(allotted(1).empty());
    auto config = configuration{};
    config.m_drained = {"worker-1"};
    m_dispatcher.apply(config);
    m_dispatcher.apply(evacuations{9, {"bayan"}});
    BOOST_TEST((allotted(1) == std::vector{node_id{3}}));
}

// Guards against wrong free resources after an agent announces itself again:
// known attempts count once, with their declared sizes.
BOOST_AUTO_TEST_CASE(announced_attempts_occupy_their_declared_size)
{
    add_worker(1, 10);
    BOOST_TEST(!add(job_task(1, 6, node_id{1})));
    BOOST_TEST(bind_next() == 1);
    add_worker(1, 10, 0, "a", "r", {{1, 1}});
    BOOST_TEST(!add(job_task(2, 6, node_id{1})));
    BOOST_TEST(bind_next() == -1);
    // Queued at the dispatcher, but the agent already runs it.
    add_worker(1, 10, 0, "a", "r", {{1, 1}, {1, 2}});
    BOOST_TEST(m_dispatcher.queued(worker_service) == 0);
    BOOST_TEST(m_dispatcher.running(worker_service) == 2);
    // Announced before its item is enqueued.
    add_worker(2, 10, 0, "a", "r", {{1, 3}});
    BOOST_TEST(!add(job_task(3, 8, node_id{2})));
    BOOST_TEST(!add(job_task(4, 4, node_id{2})));
    BOOST_TEST(bind_next() == -1);
    m_dispatcher.finish(m_now, {1, 3}, attempt_outcome::succeeded);
    BOOST_TEST(bind_next() == 4);
}

// Guards against a job whose tasks are all placed on one worker, rack or
// failure domain.
BOOST_AUTO_TEST_CASE(jobs_spread_over_domains_and_racks)
{
    add_worker(1, 10, 0, "a", "r1");
    add_worker(2, 10, 0, "a", "r1");
    add_worker(3, 10, 0, "a", "r2");
    add_worker(4, 10, 0, "b", "r1");
    auto const tasks = std::vector<task>(4);
    auto const two = m_dispatcher.allot(std::span{tasks}.first(2));
    BOOST_REQUIRE(two.size() == 2);
    BOOST_TEST(((two[0] == node_id{4}) != (two[1] == node_id{4})));
    // Tasks assigned before count as load although none runs yet.
    auto const rest = m_dispatcher.allot(std::span{tasks}.first(2));
    for (auto const node : rest)
        BOOST_TEST((node != two[0] && node != two[1]));
}

// Guards against accepting a task that fits no worker.
BOOST_AUTO_TEST_CASE(oversized_tasks_are_refused)
{
    add_worker(1, 10);
    add_worker(2, 4, 2);
    auto tasks = std::vector<task>(2);
    tasks[1].m_accelerators = 1;
    BOOST_TEST(!m_dispatcher.check("c", tasks));
    BOOST_TEST((m_dispatcher.allot(tasks)[1] == node_id{2}));
    tasks[1].m_cores = 8;
    BOOST_TEST(
        (m_dispatcher.check("c", tasks)->m_reason == reason::no_capacity));
    BOOST_TEST(m_dispatcher.allot(tasks).empty());
    auto item = job_task(1, 11, no_node);
    BOOST_TEST((add(item)->m_reason == reason::no_capacity));
}

// Guards against a task that starts at its old agent while its move is being
// committed, and against tasks that stay queued at a removed agent.
BOOST_AUTO_TEST_CASE(moves_hold_tasks_until_reassigned)
{
    add_worker(1, 2);
    add_worker(2, 2);
    for (auto task = 1U; task <= 4; ++task)
        BOOST_TEST(!add(job_task(task, 1, node_id{1})));
    BOOST_TEST(bind_next() == 1);
    BOOST_TEST(bind_next() == 2);
    auto const proposed = m_dispatcher.propose_moves(m_now, 10);
    BOOST_REQUIRE(proposed.size() == 2);
    BOOST_TEST((proposed[0].m_to == node_id{2}));
    m_dispatcher.finish(m_now, {1, 1}, attempt_outcome::succeeded);
    BOOST_TEST(bind_next() == -1);
    BOOST_TEST(m_dispatcher.reassign({1, 3}, node_id{2}));
    BOOST_TEST(bind_next() == 3);
    BOOST_TEST((m_agent == node_id{2}));
    // A cancelled move.
    BOOST_TEST(m_dispatcher.reassign({1, 4}, node_id{1}));
    BOOST_TEST(bind_next() == 4);
    BOOST_TEST((m_agent == node_id{1}));
    BOOST_TEST(!m_dispatcher.reassign({1, 4}, node_id{2}));
    // Queued but not bound when its agent is removed.
    BOOST_TEST(!add(job_task(5, 1, node_id{1})));
    BOOST_TEST(m_dispatcher.remove_agent(node_id{1}).size() == 2);
    BOOST_TEST(m_dispatcher.propose_moves(m_now, 10).size() == 1);
    BOOST_TEST(m_dispatcher.reassign({1, 5}, node_id{2}));
    BOOST_TEST(bind_next() == 5);
}

// Guards against the overload of a worker by tasks whose declared sizes are ten
// times too small, and against an idle worker because declared sizes are ten
// times too large.
BOOST_AUTO_TEST_CASE(usage_reports_correct_declared_sizes)
{
    add_worker(1, 10);
    add_worker(2, 10);
    for (auto task = 1U; task <= 4; ++task)
    {
        auto const is_small = task <= 2;
        BOOST_TEST(!add(
            job_task(task, is_small ? 1 : 9, node_id{is_small ? 1U : 2U})));
    }
    BOOST_TEST(bind_next() == 1);
    BOOST_TEST(bind_next() == 2);
    BOOST_TEST(bind_next() == 3);
    BOOST_TEST(bind_next() == -1);
    for (auto report = 0; report < 40; ++report)
    {
        m_dispatcher.report_usage(node_id{1}, 20'000, 0);
        m_dispatcher.report_usage(node_id{2}, 1'000, 0);
    }
    BOOST_TEST(!add(job_task(5, 1, node_id{1})));
    BOOST_TEST(bind_next() == 4);
    BOOST_TEST(bind_next() == -1);
}

BOOST_AUTO_TEST_SUITE_END()
