#include "core/placement/concurrent_runs.hpp"
#include "core/placement/interference_estimate.hpp"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <cmath>
#include <functional>
#include <limits>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace core = hickorylatch::core;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr auto queues = core::queue_key{3};
constexpr auto workers = std::uint64_t{20};

/// The runs that one entry sees: random queues, workers and neighbours.
struct synthetic_load
{
    /// Logarithm of the factor for one neighbour, by queue and neighbour.
    std::map<std::pair<core::queue_key, core::queue_key>, double> m_logs;
    /// Factor on the run time at a worker.
    std::function<double(std::uint64_t, core::time_point)> m_slowness =
        [](std::uint64_t, core::time_point)
    {
        return 1.0;
    };
    /// Actual over declared run time of a queue.
    std::map<core::queue_key, double> m_declaration_error;
    /// Declared times are off by up to this factor.
    double m_scatter = 1.6;
    unsigned m_runs_per_s = 120;
    unsigned m_seed = 3;

    std::mt19937_64 m_engine{m_seed};

    auto sample(core::time_point now, core::interference_estimate& estimate)
        -> void
    {
        auto const agent = m_engine() % workers;
        auto const queue = static_cast<core::queue_key>(m_engine() % queues);
        auto uniform = std::uniform_real_distribution<double>{};
        auto const slowness = m_slowness(agent, now);
        auto beside = std::vector<core::queue_concurrency>{};
        auto log = std::log(slowness);
        // A slow worker has more runs at the same time.
        for (auto other = core::queue_key{0}; other < queues; ++other)
        {
            auto const number = uniform(m_engine) * 3.0 * slowness;
            beside.push_back(
                {other, static_cast<std::uint32_t>(number * 1'000)});
            log += number * m_logs[{queue, other}];
        }
        log += std::log(m_scatter) * (2.0 * uniform(m_engine) - 1.0);
        if (m_declaration_error.contains(queue))
            log += std::log(m_declaration_error[queue]);
        estimate.observe(
            now,
            {queue, core::node_id{agent + 1}, milliseconds{200},
             microseconds{static_cast<int>(200'000 * std::exp(log))}, beside});
    }

    /// Returns the time at which the last pair changed.
    auto run(core::time_point& now, core::duration span,
             core::interference_estimate& estimate) -> core::time_point
    {
        auto changed_at = core::time_point{0};
        for (auto const until = now + span; now < until;)
        {
            now += microseconds{1'000'000 / m_runs_per_s};
            sample(now, estimate);
            if (!estimate.update(now).empty())
                changed_at = now;
        }
        return changed_at;
    }
};

} // namespace

// Guards against interference that is seen in noise: declared times that are
// off by up to 1.6 for minutes, at several seeds.
BOOST_AUTO_TEST_CASE(no_pair_counts_without_interference)
{
    for (auto seed = 1U; seed <= 20; ++seed)
    {
        auto load = synthetic_load{};
        load.m_engine.seed(seed);
        auto estimate = core::interference_estimate{};
        auto now = core::time_point{seconds{1}};
        BOOST_TEST(load.run(now, seconds{180}, estimate).count() == 0);
    }
}

// Guards against the effects measured in deployments without interference: 0.03
// per neighbour, with both signs.
BOOST_AUTO_TEST_CASE(effects_of_the_size_of_noise_do_not_count)
{
    auto load = synthetic_load{};
    for (auto queue = core::queue_key{0}; queue < queues; ++queue)
        for (auto other = core::queue_key{0}; other < queues; ++other)
            load.m_logs[{queue, other}] =
                (queue + other) % 2 == 0 ? 0.03 : -0.03;
    auto estimate = core::interference_estimate{};
    auto now = core::time_point{seconds{1}};
    BOOST_TEST(load.run(now, seconds{180}, estimate).count() == 0);
}

// Guards against interference that is not found or attributed to another pair
// or direction.
BOOST_AUTO_TEST_CASE(an_interfering_pair_is_found_in_its_direction_only)
{
    for (auto seed = 1U; seed <= 10; ++seed)
    {
        auto load = synthetic_load{};
        load.m_engine.seed(seed);
        load.m_logs[{0, 1}] = 0.2;
        auto estimate = core::interference_estimate{};
        auto now = core::time_point{seconds{1}};
        auto const found_at = load.run(now, seconds{30}, estimate);
        BOOST_TEST_MESSAGE("found after " << core::to_seconds(found_at) - 1.0
                                          << " s, factor "
                                          << estimate.factor(0, 1));
        BOOST_TEST(estimate.pairs() == 1U);
        BOOST_TEST(std::abs(std::log(estimate.factor(0, 1)) - 0.2) < 0.06);
        BOOST_TEST(estimate.factor(1, 0) == 1.0);
        BOOST_TEST(core::to_seconds(found_at) < 16.0);
    }
}

// Guards against a slow worker that is taken for interference: its runs overlap
// more, because they take longer.
BOOST_AUTO_TEST_CASE(slow_workers_are_not_taken_for_interference)
{
    for (auto seed = 1U; seed <= 10; ++seed)
    {
        auto load = synthetic_load{};
        load.m_engine.seed(seed);
        load.m_slowness = [](std::uint64_t worker, core::time_point)
        {
            return worker % 3 == 0 ? 2.0 : 1.0;
        };
        auto estimate = core::interference_estimate{};
        auto now = core::time_point{seconds{1}};
        BOOST_TEST(load.run(now, seconds{120}, estimate).count() == 0);
    }
}

// Guards against the same for a worker that becomes slow: its earlier mean must
// not make it look like interference.
BOOST_AUTO_TEST_CASE(workers_that_become_slow_are_not_taken_for_interference)
{
    for (auto seed = 1U; seed <= 10; ++seed)
    {
        auto load = synthetic_load{};
        load.m_engine.seed(seed);
        load.m_slowness = [](std::uint64_t worker, core::time_point now)
        {
            return worker < 5 && now > seconds{30} ? 2.0 : 1.0;
        };
        auto estimate = core::interference_estimate{};
        auto now = core::time_point{seconds{1}};
        BOOST_TEST(load.run(now, seconds{120}, estimate).count() == 0);
    }
}

// Guards against a wrong declared time that is taken for interference of the
// queue.
BOOST_AUTO_TEST_CASE(a_wrong_declared_time_is_not_taken_for_interference)
{
    auto load = synthetic_load{};
    load.m_declaration_error = {{0, 1.6}, {1, 0.6}};
    auto estimate = core::interference_estimate{};
    auto now = core::time_point{seconds{1}};
    BOOST_TEST(load.run(now, seconds{120}, estimate).count() == 0);
}

// Guards against a decision by a few runs, and by a single run that hung.
BOOST_AUTO_TEST_CASE(few_runs_and_single_outliers_do_not_decide)
{
    auto estimate = core::interference_estimate{};
    auto now = core::time_point{seconds{1}};
    auto const beside = std::vector<core::queue_concurrency>{{1, 4'000}};
    auto const observe = [&](bool has_neighbours, core::duration actual)
    {
        now += milliseconds{10};
        auto sample = core::interference_sample{0, core::node_id{1},
                                                milliseconds{100}, actual};
        if (has_neighbours)
            sample.m_beside = beside;
        estimate.observe(now, sample);
    };
    for (auto run = 0; run < 30; ++run)
        observe(run % 2 == 0, milliseconds{run % 2 == 0 ? 200 : 100});
    estimate.update(now);
    BOOST_TEST(estimate.pairs() == 0U);
    estimate = {};
    for (auto run = 0; run < 60; ++run)
        observe(false, milliseconds{90 + 20 * (run % 2)});
    estimate.update(now);
    observe(true, seconds{100});
    now += seconds{1};
    estimate.update(now);
    BOOST_TEST(estimate.pairs() == 0U);
}

// Guards against interference that is assumed after the workload has changed,
// also if the queue has no runs any more.
BOOST_AUTO_TEST_CASE(a_pair_ceases_to_count_after_a_change)
{
    auto load = synthetic_load{};
    load.m_logs[{0, 1}] = 0.2;
    auto estimate = core::interference_estimate{};
    auto now = core::time_point{seconds{1}};
    load.run(now, seconds{60}, estimate);
    BOOST_TEST(estimate.pairs() == 1U);
    auto idle = estimate;
    auto const changed_at = now;
    load.m_logs.clear();
    auto const ceased_at = load.run(now, seconds{120}, estimate);
    BOOST_TEST_MESSAGE("ceased after "
                       << core::to_seconds(ceased_at - changed_at) << " s");
    BOOST_TEST(estimate.pairs() == 0U);
    BOOST_TEST(core::to_seconds(ceased_at - changed_at) < 60.0);
    for (auto later = changed_at; later < changed_at + seconds{300};
         later += seconds{1})
        idle.update(later);
    BOOST_TEST(idle.pairs() == 0U);
}

// Guards against memory and time that grow with the number of queues, and
// against values of a faulty agent.
BOOST_AUTO_TEST_CASE(queues_and_values_are_bounded)
{
    auto estimate = core::interference_estimate{};
    auto now = core::time_point{seconds{1}};
    for (auto queue = core::queue_key{100}; queue < 1'100; ++queue)
    {
        auto const beside = std::vector<core::queue_concurrency>{
            {queue, std::numeric_limits<std::uint32_t>::max()}, {queue + 1, 0}};
        now += milliseconds{1};
        estimate.observe(now,
                         {queue, core::node_id{1}, {}, seconds{1}, beside});
        estimate.observe(now, {queue, core::node_id{1}, {}, {}, beside});
        estimate.update(now);
    }
    BOOST_TEST(estimate.pairs() == 0U);
    // Unused queues make place for others.
    now += seconds{70};
    auto load = synthetic_load{};
    load.m_logs[{0, 1}] = 0.3;
    load.run(now, seconds{60}, estimate);
    BOOST_TEST(estimate.pairs() == 1U);
}

// Guards against costs where no pair counts, and against costs that ignore one
// of the two directions.
BOOST_AUTO_TEST_CASE(a_worker_costs_more_by_what_both_sides_lose)
{
    auto load = synthetic_load{};
    load.m_logs[{0, 1}] = 0.2;
    auto estimate = core::interference_estimate{};
    auto const one = std::vector<core::queue_count>{{1, 1}};
    auto const two = std::vector<core::queue_count>{{1, 2}};
    auto const victims = std::vector<core::queue_count>{{0, 2}};
    auto const others = std::vector<core::queue_count>{{2, 9}, {77, 9}};
    auto const expected = milliseconds{200};
    BOOST_TEST(estimate.cost(0, expected, one).count() == 0);
    auto now = core::time_point{seconds{1}};
    load.run(now, seconds{60}, estimate);
    auto const cost = estimate.cost(0, expected, one);
    BOOST_TEST(cost.count() > milliseconds{15}.count() * 1'000);
    BOOST_TEST(estimate.cost(0, expected, two).count() / 2 == cost.count());
    BOOST_TEST(estimate.cost(1, expected, victims).count() > 0);
    BOOST_TEST(estimate.cost(0, expected, others).count() == 0);
    BOOST_TEST(estimate.cost(2, expected, two).count() == 0);
}

// Prints the processor time per run; no bound, because it depends on the
// machine.
BOOST_AUTO_TEST_CASE(the_time_per_run_is_printed)
{
    auto estimate = core::interference_estimate{};
    auto load = synthetic_load{};
    auto now = core::time_point{seconds{1}};
    auto const before = std::chrono::steady_clock::now();
    load.run(now, seconds{100}, estimate);
    auto const spent = std::chrono::steady_clock::now() - before;
    BOOST_TEST_MESSAGE("ns per run, with its generation: " << spent.count() /
                                                                  12'000);
    BOOST_TEST(estimate.pairs() == 0U);
}

// Guards against wrong numbers of runs beside a run, above all its own queue.
BOOST_AUTO_TEST_CASE(the_mean_numbers_of_runs_beside_a_run_are_reported)
{
    auto runs = core::concurrent_runs{};
    auto now = core::time_point{seconds{10}};
    auto const first = runs.begin(now, 1);
    auto const uncounted = runs.begin(now, std::nullopt);
    now += milliseconds{50};
    auto const second = runs.begin(now, 1);
    auto const third = runs.begin(now, 2);
    BOOST_TEST(runs.running().size() == 2U);
    now += milliseconds{25};
    auto const beside_third = runs.end(now, third);
    BOOST_REQUIRE(beside_third);
    BOOST_REQUIRE(beside_third->size() == 1U);
    BOOST_TEST(beside_third->at(0).m_queue == 1U);
    BOOST_TEST(beside_third->at(0).m_mean_permille == 2'000U);
    now += milliseconds{25};
    auto const beside_first = runs.end(now, first);
    BOOST_REQUIRE(beside_first);
    BOOST_REQUIRE(beside_first->size() == 2U);
    BOOST_TEST(beside_first->at(0).m_mean_permille == 500U);
    BOOST_TEST(beside_first->at(1).m_mean_permille == 250U);
    BOOST_TEST(!runs.end(now, uncounted));
    BOOST_TEST(runs.end(now + seconds{1}, second)->size() == 2U);
    BOOST_TEST(runs.running().empty());
    auto const alone = runs.begin(now + seconds{2}, 1);
    auto const beside_none = runs.end(now + seconds{3}, alone);
    BOOST_REQUIRE(beside_none);
    BOOST_TEST(beside_none->empty());
}

// Guards against a cold worker that is taken for interference.
BOOST_AUTO_TEST_CASE(the_first_runs_of_a_worker_are_not_reported)
{
    auto runs = core::concurrent_runs{};
    auto now = core::time_point{seconds{10}};
    runs.worker_started(now);
    auto const cold = runs.begin(now + seconds{1}, 1);
    BOOST_TEST(!runs.end(now + seconds{2}, cold));
    auto const warm = runs.begin(now + seconds{4}, 1);
    BOOST_TEST(runs.end(now + seconds{5}, warm).has_value());
}

// Guards against memory that grows with the number of queues at an agent.
BOOST_AUTO_TEST_CASE(queues_at_an_agent_are_bounded)
{
    auto runs = core::concurrent_runs{};
    auto now = core::time_point{seconds{10}};
    auto begun = std::vector<core::run_concurrency>{};
    for (auto queue = core::queue_key{0}; queue < 100; ++queue)
        begun.push_back(runs.begin(now, queue));
    BOOST_TEST(runs.running().size() == core::concurrent_runs::max_queues);
    now += milliseconds{10};
    for (auto const& each : begun)
    {
        auto const beside = runs.end(now, each);
        BOOST_TEST((!beside || beside->size() < 8U));
    }
    BOOST_TEST(runs.running().empty());
    auto const later = runs.begin(now, 500);
    BOOST_TEST(runs.end(now + seconds{1}, later).has_value());
}
