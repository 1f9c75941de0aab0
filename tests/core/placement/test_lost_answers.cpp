#include "core/placement/placement_world.hpp"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

namespace core = hickorylatch::core;

using hickorylatch::test::make_job;
using hickorylatch::test::order_fault;
using hickorylatch::test::placement_world;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr auto workers = 6U;
// 1.6 times the run time of 60 ms, and 60 ms more.
constexpr auto objective = milliseconds{156};

struct job_fractions
{
    double m_in_time = 0.0;
    double m_not_run = 0.0;
};

/// Submits jobs of eight tasks of 60 ms, at a third of the capacity, while a
/// fraction of all orders and polls gets no answer at all workers. These orders
/// are carried out two seconds later.
auto run_with_lost_answers(unsigned lost_percent) -> job_fractions
{
    auto world = placement_world{5};
    world.add_entry("e1");
    world.add_entry("e2");
    for (auto number = 0U; number < workers; ++number)
        world.add_worker("w" + std::to_string(number), {});
    world.configure(1, milliseconds{60});
    world.run_for(seconds{1});
    for (auto number = 0U; number < workers; ++number)
    {
        auto const name = "w" + std::to_string(number);
        world.set_fault(name, order_fault::late, lost_percent);
        world.set_poll_loss(name, lost_percent);
    }
    auto jobs = std::vector<core::exchange_id>{};
    for (auto number = 0; number < 240; ++number)
    {
        world.run_for(milliseconds{25});
        jobs.push_back(
            world.submit(number % 2 == 0 ? "e1" : "e2", "normal",
                         make_job("l" + std::to_string(number), 8,
                                  milliseconds{60}, milliseconds{60}),
                         milliseconds{1'500}));
    }
    world.run_for(seconds{5});
    auto in_time = 0.0;
    auto not_run = 0.0;
    for (auto const job : jobs)
    {
        auto const* answer = world.answer(job);
        BOOST_REQUIRE(answer != nullptr);
        in_time += answer->m_verdict.m_run == core::run_state::ran &&
                           answer->m_age <= objective
                       ? 1
                       : 0;
        not_run += answer->m_verdict.m_run == core::run_state::not_run ? 1 : 0;
    }
    BOOST_TEST(world.double_runs() == 0U);
    BOOST_TEST(world.overloads() == 0U);
    auto const count = static_cast<double>(jobs.size());
    BOOST_TEST_MESSAGE("lost " << lost_percent << " %: in time "
                               << in_time / count << ", not run "
                               << not_run / count);
    return {in_time / count, not_run / count};
}

} // namespace

// Guards against single lost answers that delay jobs by the time after which a
// worker counts as unreachable.
BOOST_AUTO_TEST_CASE(few_lost_answers_cause_few_missed_objectives)
{
    auto const fractions = run_with_lost_answers(6);
    BOOST_TEST(fractions.m_in_time >= 0.9);
    BOOST_TEST(fractions.m_not_run <= 0.01);
}

// Guards against refusing most jobs while workers are idle, because many
// answers are lost at all workers.
BOOST_AUTO_TEST_CASE(many_lost_answers_leave_the_capacity_usable)
{
    auto const fractions = run_with_lost_answers(30);
    BOOST_TEST(fractions.m_in_time >= 0.4);
    BOOST_TEST(fractions.m_not_run <= 0.1);
}
