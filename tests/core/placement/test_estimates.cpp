#include "core/placement/run_queue.hpp"
#include "core/placement/run_time_ratio.hpp"
#include "core/placement/slowness_estimate.hpp"
#include "core/placement/worker_clock.hpp"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <limits>
#include <random>

namespace core = hickorylatch::core;

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

auto waiting(std::uint32_t rank, std::uint32_t millicores, int expected_ms)
    -> core::waiting_run
{
    auto job = std::make_shared<core::ordered_job>();
    job->m_rank = rank;
    auto run = core::waiting_run{};
    run.m_job = job;
    run.m_needs = {millicores, 0, 0};
    run.m_expected = milliseconds{expected_ms};
    return run;
}

} // namespace

// Guards against a slowness that follows single wrong declarations: workers of
// average speed must stay comparable.
BOOST_AUTO_TEST_CASE(slowness_stays_near_one_under_wrong_declarations)
{
    auto engine = std::mt19937_64{7};
    auto error = std::normal_distribution<double>{0.0, 0.4};
    auto estimate = core::slowness_estimate{};
    auto now = core::time_point{0};
    for (auto run = 0; run < 2'000; ++run)
    {
        now += milliseconds{22};
        auto const actual =
            core::duration{static_cast<int>(100'000 * std::exp(error(engine)))};
        estimate.observe(now, milliseconds{100}, actual);
        if (run > 300)
        {
            BOOST_TEST(estimate.slowness(now) > 0.85);
            BOOST_TEST(estimate.slowness(now) < 1.18);
        }
    }
}

// Guards against a worker that keeps getting work after it has become slow.
BOOST_AUTO_TEST_CASE(a_sudden_slowness_is_detected_within_ten_runs)
{
    auto estimate = core::slowness_estimate{};
    auto now = core::time_point{0};
    for (auto run = 0; run < 200; ++run)
        estimate.observe(now += milliseconds{20}, milliseconds{100},
                         milliseconds{100});
    for (auto run = 0; run < 10; ++run)
        estimate.observe(now += milliseconds{20}, milliseconds{100},
                         milliseconds{600});
    BOOST_TEST(estimate.slowness(now) > 3.0);
}

// Guards against a worker that was slow once and is never used again.
BOOST_AUTO_TEST_CASE(slowness_returns_to_one_without_runs)
{
    auto estimate = core::slowness_estimate{};
    auto now = core::time_point{0};
    for (auto run = 0; run < 100; ++run)
        estimate.observe(now += milliseconds{20}, milliseconds{100},
                         milliseconds{600});
    BOOST_TEST(estimate.slowness(now) > 3.0);
    BOOST_TEST(estimate.slowness(now + seconds{60}) < 1.1);
}

BOOST_AUTO_TEST_CASE(ratio_converges_to_the_error_of_declarations)
{
    auto ratio = core::run_time_ratio{};
    BOOST_TEST((ratio.expected(milliseconds{100}) == milliseconds{100}));
    for (auto run = 0; run < 500; ++run)
        ratio.observe(milliseconds{100}, milliseconds{320}, 2.0);
    BOOST_TEST((ratio.expected(milliseconds{50}) > milliseconds{78}));
    BOOST_TEST((ratio.expected(milliseconds{50}) < milliseconds{82}));
    BOOST_TEST((ratio.expected({}) > milliseconds{150}));
}

// Guards against the assumption that a slow clock has reached a time.
BOOST_AUTO_TEST_CASE(a_slow_clock_is_accounted_for)
{
    auto clock = core::worker_clock{};
    clock.observe(seconds{10}, 5'000);
    BOOST_TEST((clock.at(seconds{11}) == 6'000));
    BOOST_TEST((clock.certainly_reached(6'000) > seconds{11}));
    BOOST_TEST(
        (clock.certainly_reached(6'000) < seconds{11} + milliseconds{50}));
    // An outdated reading that arrives late is ignored.
    clock.observe(seconds{11}, 4'900);
    BOOST_TEST((clock.at(seconds{11}) == 6'000));
}

// Guards against a forecast in which a task of low priority overtakes those of
// higher priority.
BOOST_AUTO_TEST_CASE(waits_increase_with_the_rank)
{
    auto queue = core::run_queue{};
    queue.add(waiting(1, 10'000, 100));
    queue.add(waiting(2, 10'000, 100));
    auto const room = core::resources{0, 0, 0};
    auto const releases =
        std::vector<core::room_release>{{milliseconds{50}, {10'000, 0, 0}}};
    auto const waits = core::forecast_waits(core::time_point{0}, queue, room,
                                            releases, {10'000, 0, 0});
    BOOST_TEST(waits.size() == 3U);
    BOOST_TEST(waits[0].m_rank == 0U);
    BOOST_TEST(waits[0].m_wait_ms == 50U);
    BOOST_TEST(waits[1].m_rank == 1U);
    BOOST_TEST(waits[1].m_wait_ms == 150U);
    BOOST_TEST(waits[2].m_wait_ms == 250U);
}

BOOST_AUTO_TEST_CASE(a_task_that_never_fits_has_the_maximum_wait)
{
    auto const waits = core::forecast_waits(core::time_point{0}, {},
                                            {5'000, 0, 0}, {}, {10'000, 0, 0});
    BOOST_TEST(waits.size() == 1U);
    BOOST_TEST(waits[0].m_wait_ms == std::numeric_limits<std::uint32_t>::max());
}
