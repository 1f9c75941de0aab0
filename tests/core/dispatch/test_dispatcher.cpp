#include "core/dispatch/dispatcher_fixture.hpp"

#include <boost/test/unit_test.hpp>

using namespace hickorylatch::core;

BOOST_FIXTURE_TEST_SUITE(dispatcher_queue, dispatcher_fixture)

// Guards against urgent work that waits behind less urgent work.
BOOST_AUTO_TEST_CASE(urgent_items_go_first)
{
    add_endpoint(1, 3);
    BOOST_TEST(!add(request(1, 0)));
    BOOST_TEST(!add(request(2, 9)));
    BOOST_TEST(!add(request(3, 5)));
    BOOST_TEST(bind_next() == 2);
    BOOST_TEST(bind_next() == 3);
    BOOST_TEST(bind_next() == 1);
}

// Guards against a task that is bound to an agent without a free slot.
BOOST_AUTO_TEST_CASE(binds_only_to_free_slots)
{
    add_endpoint(1, 1);
    BOOST_TEST(!add(request(1)));
    BOOST_TEST(!add(request(2)));
    BOOST_TEST(bind_next() == 1);
    BOOST_TEST(bind_next() == -1);
    finish(1);
    BOOST_TEST(bind_next() == 2);
}

// Guards against starvation of low priorities by a steady urgent load, and of
// urgent items by a backlog of old ones.
BOOST_AUTO_TEST_CASE(old_items_get_a_bounded_share)
{
    add_endpoint(1, 1);
    for (auto task = 1U; task <= 100; ++task)
        BOOST_TEST(!add(request(task, 0)));
    m_now += service_queue::aging_step * 20;
    auto low = 0;
    for (auto task = 1001U; task <= 1080; ++task)
    {
        BOOST_TEST(!add(request(task, 9)));
        auto const started = bind_next();
        low += started < 1000 ? 1 : 0;
        finish(static_cast<std::uint32_t>(started));
    }
    BOOST_TEST(low == 10);
}

// Guards against one customer's backlog delaying another customer.
BOOST_AUTO_TEST_CASE(customers_share_a_priority)
{
    add_endpoint(1, 1);
    for (auto task = 1U; task <= 50; ++task)
        BOOST_TEST(!add(request(task, 3, "large")));
    for (auto task = 101U; task <= 110; ++task)
        BOOST_TEST(!add(request(task, 3, "small")));
    auto small = 0;
    for (auto count = 0; count < 20; ++count)
    {
        auto const started = bind_next();
        small += started > 100 ? 1 : 0;
        m_now += duration{1000};
        finish(static_cast<std::uint32_t>(started));
    }
    BOOST_TEST(small >= 9);
}

// Guards against a customer that exceeds its share of run time with long tasks.
BOOST_AUTO_TEST_CASE(customers_share_by_run_time)
{
    add_endpoint(1, 1);
    for (auto task = 1U; task <= 200; ++task)
        BOOST_TEST(!add(request(task, 3, task % 2 == 0 ? "long" : "short")));
    auto long_ones = 0;
    for (auto count = 0; count < 100; ++count)
    {
        auto const started = bind_next();
        long_ones += started % 2 == 0 ? 1 : 0;
        m_now += duration{started % 2 == 0 ? 90'000 : 10'000};
        finish(static_cast<std::uint32_t>(started));
    }
    BOOST_TEST(long_ones < 20);
}

// Guards against an unbounded queue, and against a displaced item that is not
// reported to the caller of `enqueue`.
BOOST_AUTO_TEST_CASE(full_queue_refuses_or_displaces)
{
    auto config = configuration{};
    config.m_services.push_back({"desk", {}, 2, 0});
    m_dispatcher.apply(config);
    BOOST_TEST(!add(request(1, 2)));
    BOOST_TEST(!add(request(2, 5)));
    auto displaced = std::vector<attempt_id>{};
    auto const same = m_dispatcher.enqueue(m_now, request(3, 2), displaced);
    BOOST_REQUIRE(same);
    BOOST_TEST((same->m_reason == reason::queue_full));
    BOOST_TEST((same->m_run == run_state::not_run));
    BOOST_TEST(same->m_retry_after_ms > 0);
    BOOST_TEST(add(request(4, 9)).has_value());
    BOOST_TEST(!m_dispatcher.enqueue(m_now, request(5, 9), displaced));
    BOOST_REQUIRE(displaced.size() == 1);
    BOOST_TEST(displaced.front().m_task == 1);
    BOOST_TEST(m_dispatcher.queued("desk") == 2);
    add_endpoint(1, 3);
    BOOST_TEST(bind_next() == 5);
    BOOST_TEST(bind_next() == 2);
    BOOST_TEST(bind_next() == -1);
}

// Guards against a customer that exceeds its quota, and against a quota that is
// not released when tasks finish or are withdrawn.
BOOST_AUTO_TEST_CASE(quota_counts_queued_and_running)
{
    auto config = configuration{};
    config.m_customers.push_back({"c", {}, 0, 2});
    m_dispatcher.apply(config);
    add_endpoint(1, 1);
    BOOST_TEST(!add(request(1)));
    BOOST_TEST(!add(request(2)));
    BOOST_TEST(bind_next() == 1);
    BOOST_TEST((add(request(3))->m_reason == reason::quota));
    BOOST_TEST(!add(request(4, 0, "other")));
    finish(1);
    BOOST_TEST(!add(request(5)));
    BOOST_TEST(m_dispatcher.withdraw({volatile_submission_bit, 2}));
    BOOST_TEST(!add(request(6)));
    auto const tasks = std::vector<task>(1);
    BOOST_TEST((m_dispatcher.check("c", tasks)->m_reason == reason::quota));
}

// Guards against work that stays queued although it can't meet its deadline,
// and against the refusal of work that can meet it.
BOOST_AUTO_TEST_CASE(deadlines_expire_and_refuse_early)
{
    add_endpoint(1, 1);
    auto item = request(0);
    item.m_run_time = second;
    for (auto task = 1U; task <= 20; ++task)
    {
        item.m_attempt.m_task = task;
        BOOST_TEST(!add(item));
        BOOST_TEST(bind_next() == static_cast<int>(task));
        m_now += second;
        finish(task);
    }
    item.m_attempt.m_task = 30;
    item.m_deadline = m_now + second / 2;
    BOOST_TEST((add(item)->m_reason == reason::deadline));
    item.m_deadline = m_now + second * 3;
    for (auto task = 31U; task <= 33; ++task)
    {
        item.m_attempt.m_task = task;
        BOOST_TEST(!add(item));
        if (task == 31)
            BOOST_TEST(bind_next() == 31);
    }
    item.m_attempt.m_task = 34;
    BOOST_TEST((add(item)->m_reason == reason::deadline));
    BOOST_TEST(m_dispatcher.wake_at(m_now) == m_now + second * 2);
    m_now += second * 2;
    BOOST_TEST(m_dispatcher.expire(m_now).size() == 2);
    BOOST_TEST(m_dispatcher.queued("desk") == 0);
}

// Guards against a withdrawn item that still starts or stays in its queue.
BOOST_AUTO_TEST_CASE(withdrawn_items_are_removed_at_once)
{
    add_endpoint(1, 2);
    BOOST_TEST(!add(request(1)));
    BOOST_TEST(!add(request(2)));
    BOOST_TEST(m_dispatcher.withdraw({volatile_submission_bit, 1}));
    BOOST_TEST(!m_dispatcher.withdraw({volatile_submission_bit, 1}));
    BOOST_TEST(bind_next() == 2);
    BOOST_TEST(!m_dispatcher.withdraw({volatile_submission_bit, 2}));
    BOOST_TEST(bind_next() == -1);
}

// Guards against an attempt that is queued twice after a resend.
BOOST_AUTO_TEST_CASE(known_attempts_are_not_queued_again)
{
    add_endpoint(1, 2);
    BOOST_TEST(!add(request(1)));
    BOOST_TEST(!add(request(1)));
    BOOST_TEST(bind_next() == 1);
    BOOST_TEST(!add(request(1)));
    BOOST_TEST(bind_next() == -1);
    BOOST_TEST(m_dispatcher.running("desk") == 1);
}

// Guards against a slot that idles for a round trip although the end of its
// task is predicted, against more than one task bound early, and against
// predictions from declared run times that have proved unreliable.
BOOST_AUTO_TEST_CASE(binds_one_task_before_a_predicted_end)
{
    m_dispatcher.enable_early_binding(duration{0});
    add_endpoint(1, 2);
    auto const run = [this](std::uint32_t task, duration declared)
    {
        auto item = request(task);
        item.m_run_time = declared;
        BOOST_TEST(!add(item));
        return bind_next();
    };
    for (auto task = 1U; task <= 40; ++task)
    {
        BOOST_TEST(run(task, second) == static_cast<int>(task));
        m_now += second + duration{3'000};
        m_dispatcher.finish(m_now, {volatile_submission_bit, task},
                            attempt_outcome::succeeded, second);
    }
    BOOST_TEST(run(41, second) == 41);
    BOOST_TEST(run(42, second) == 42);
    BOOST_TEST(run(43, second) == -1);
    BOOST_TEST(run(44, second) == -1);
    BOOST_TEST(m_dispatcher.wake_at(m_now) == m_now + second);
    m_now += second;
    BOOST_TEST(bind_next() == 43);
    BOOST_TEST(bind_next() == -1);
    finish(41);
    BOOST_TEST(bind_next() == 44);
    for (auto task = 42U; task <= 44; ++task)
        finish(task);
    for (auto task = 45U; task <= 300; ++task)
    {
        BOOST_TEST(run(task, second) == static_cast<int>(task));
        m_dispatcher.finish(m_now, {volatile_submission_bit, task},
                            attempt_outcome::succeeded,
                            second * (task % 2 == 0 ? 10 : 1) / 5);
    }
    BOOST_TEST(run(301, second) == 301);
    BOOST_TEST(run(302, second) == 302);
    BOOST_TEST(run(303, second) == -1);
    m_now += second * 20;
    BOOST_TEST(bind_next() == -1);
}

BOOST_AUTO_TEST_SUITE_END()
