#include "core/placement/placement_world.hpp"
#include "core/placement/worker_directory.hpp"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace core = hickorylatch::core;

using hickorylatch::test::make_job;
using hickorylatch::test::placement_world;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

struct interfering_load
{
    /// Share of the workers' capacity.
    double m_load = 0.6;
    /// The same in the first 10 s.
    double m_initial_load = 0.3;
    /// Factor on the run time of a "normal" task for each "slow" task beside
    /// it, and the other way round.
    double m_slowdown = 1.0;
    bool m_separates = false;
    core::duration m_span = seconds{40};
    unsigned m_seed = 5;
};

struct interfering_result
{
    unsigned m_offered = 0;
    unsigned m_in_time = 0;
    unsigned m_refused = 0;
    unsigned m_failed = 0;
    core::duration m_mean_age{0};
    unsigned m_pairs_begun = 0;
    unsigned m_orders = 0;
    unsigned m_reservations = 0;
    unsigned m_sent_with_queues = 0;
    std::vector<std::string> m_started_runs;
};

/// Submits single tasks of two queues, 200 ms each, to eight workers with ten
/// slots each. Declared times are off by a factor of up to 1.6.
auto run_load(interfering_load const& load) -> interfering_result
{
    constexpr auto workers = 8U;
    auto const capacity_per_s = workers * 10 / 0.2;
    auto world = placement_world{7};
    if (load.m_separates)
        world.separate_interfering_tasks();
    for (auto const* entry : {"e0", "e1"})
        world.add_entry(entry);
    auto settings = hickorylatch::worker_model::leased_worker_settings{};
    if (load.m_slowdown != 1.0)
        settings.m_slowdown = [factor = load.m_slowdown](
                                  std::string_view run, std::string_view beside)
        {
            return run.substr(0, 4) == beside.substr(0, 4) ? 1.0 : factor;
        };
    for (auto worker = 0U; worker < workers; ++worker)
        world.add_worker("w" + std::to_string(worker), settings);
    world.configure(1, milliseconds{60});
    world.run_for(seconds{4});
    auto engine = std::mt19937_64{load.m_seed};
    auto interval = std::exponential_distribution<double>{};
    auto uniform = std::uniform_real_distribution<double>{-1.0, 1.0};
    auto jobs = std::vector<core::exchange_id>{};
    auto const loaded_at = world.now() + seconds{10};
    auto const until = world.now() + load.m_span;
    // The entries learn from the jobs before this one.
    auto first_counted = std::size_t{0};
    while (world.now() < until)
    {
        auto const is_loaded = world.now() >= loaded_at;
        if (!is_loaded)
            first_counted = jobs.size() + 1;
        auto const rate =
            capacity_per_s * (is_loaded ? load.m_load : load.m_initial_load);
        world.run_for(
            microseconds{static_cast<int>(interval(engine) / rate * 1e6)});
        auto const number = std::to_string(jobs.size());
        auto const* queue = engine() % 2 == 0 ? "normal" : "slow";
        auto const declared = microseconds{static_cast<int>(
            200'000 * std::exp(std::log(1.6) * uniform(engine)))};
        jobs.push_back(world.submit(
            "e" + std::to_string(jobs.size() % 2), queue,
            make_job(queue + number, 1, declared, milliseconds{200}),
            seconds{3}));
    }
    auto result = interfering_result{};
    result.m_orders = world.sent("order_runs");
    result.m_reservations = world.sent("reserve_room");
    world.run_for(seconds{5});
    constexpr auto objective = milliseconds{380};
    for (auto index = first_counted; index < jobs.size(); ++index)
    {
        ++result.m_offered;
        auto const* answer = world.answer(jobs[index]);
        BOOST_REQUIRE(answer != nullptr);
        if (answer->m_verdict.m_run != core::run_state::ran)
            ++result.m_refused;
        else if (answer->m_age <= objective)
            ++result.m_in_time;
        result.m_mean_age += answer->m_age;
    }
    result.m_mean_age /= result.m_offered;
    result.m_pairs_begun = world.logged("interference_began");
    result.m_sent_with_queues = world.sent_with_queues();
    result.m_started_runs = world.started_runs();
    BOOST_TEST_MESSAGE(
        "load " << load.m_load << ", factor " << load.m_slowdown
                << (load.m_separates ? ", separated" : "") << ": offered "
                << result.m_offered << ", in time " << result.m_in_time
                << ", refused " << result.m_refused << ", mean "
                << result.m_mean_age.count() / 1'000 << " ms, pairs begun "
                << result.m_pairs_begun << ", orders " << result.m_orders
                << ", reservations " << result.m_reservations);
    BOOST_TEST(world.overloads() == 0U);
    BOOST_TEST(world.double_runs() == 0U);
    return result;
}

/// Two workers, the first of which runs a task of queue 1, which slows tasks of
/// queue 0 down by a third. `second_room` is the room of the second one.
auto make_directory(core::time_point& now, std::uint32_t second_room)
    -> std::unique_ptr<core::worker_directory>
{
    auto directory = std::make_unique<core::worker_directory>();
    directory->separate_interfering_tasks();
    auto engine = std::mt19937_64{5};
    for (auto run = 0; run < 1'000; ++run)
    {
        now += milliseconds{10};
        auto const has_neighbour = engine() % 2 == 0;
        auto beside = std::vector<core::queue_concurrency>{};
        if (has_neighbour)
            beside.push_back({1, 1'000});
        directory->interference()->observe(
            now, {0, core::node_id{1}, milliseconds{100},
                  milliseconds{has_neighbour ? 133 : 100}, beside});
        directory->interference()->observe(
            now, {1, core::node_id{1}, milliseconds{100}, milliseconds{100}});
    }
    directory->interference()->update(now);
    auto const room = std::vector<std::uint32_t>{8'000, second_room};
    for (auto index = std::size_t{0}; index < 2; ++index)
    {
        auto const agent = core::node_id{index + 1};
        auto announcement = core::worker_announcement{};
        announcement.m_worker.m_name = "w" + std::to_string(index);
        announcement.m_worker.m_service = "desk";
        announcement.m_worker.m_capacity = {16'000, 1'000, 0};
        directory->connected(agent);
        directory->announce(now, agent, announcement);
        auto load = core::worker_load{};
        load.m_accepts = core::acceptance::full;
        load.m_free = {room[index], 1'000, 0};
        load.m_running = std::vector<core::queue_count>{};
        if (index == 0)
            load.m_running->push_back({1, 8});
        directory->update(now, agent, load);
    }
    return directory;
}

/// Number of 1,000 tasks of the queue that the first worker is chosen for.
auto first_choices(core::worker_directory const& directory,
                   core::time_point now, core::queue_key queue) -> unsigned
{
    auto step = core::job_step{};
    step.m_needs = {1'000, 1, 0};
    auto request = core::placement_request{};
    request.m_service = "desk";
    request.m_step = &step;
    request.m_expected = milliseconds{100};
    request.m_queue = queue;
    auto random = core::random_source{};
    random.seed(3);
    auto count = 0U;
    for (auto task = 0; task < 1'000; ++task)
    {
        auto const choice = directory.choose(now, request, random);
        BOOST_REQUIRE(choice);
        BOOST_TEST(choice->m_room > 0U);
        BOOST_TEST(choice->m_wait.count() == 0);
        BOOST_TEST((choice->m_run == request.m_expected));
        count += choice->m_agent == core::node_id{1} ? 1 : 0;
    }
    return count;
}

} // namespace

// Guards against a task that waits for another worker, or whose forecast grows,
// because the only worker with room has runs that interfere.
BOOST_AUTO_TEST_CASE(the_only_worker_with_room_is_chosen_despite_interference)
{
    auto now = core::time_point{seconds{1}};
    auto const directory = make_directory(now, 0);
    BOOST_TEST(directory->interference()->pairs() == 1U);
    BOOST_TEST(first_choices(*directory, now, 0) == 1'000U);
}

// Guards against interference that has no effect on the choice, or one on other
// queues.
BOOST_AUTO_TEST_CASE(a_worker_with_room_and_without_interference_is_preferred)
{
    auto now = core::time_point{seconds{1}};
    auto const directory = make_directory(now, 8'000);
    BOOST_TEST(first_choices(*directory, now, 0) < 50U);
    auto const of_other_queue = first_choices(*directory, now, 2);
    BOOST_TEST(of_other_queue > 400U);
    BOOST_TEST(of_other_queue < 600U);
}

// Guards against tasks that slow each other down at one worker while they could
// run apart.
BOOST_AUTO_TEST_CASE(interfering_tasks_are_separated_where_there_is_room)
{
    for (auto const load : {0.3, 0.45})
    {
        auto settings = interfering_load{};
        settings.m_load = load;
        settings.m_slowdown = 1.15;
        auto const together = run_load(settings);
        settings.m_separates = true;
        auto const apart = run_load(settings);
        BOOST_TEST(together.m_pairs_begun == 0U);
        BOOST_TEST(apart.m_pairs_begun >= 2U);
        BOOST_TEST(apart.m_in_time > together.m_in_time);
        BOOST_TEST(apart.m_mean_age.count() < together.m_mean_age.count());
    }
}

// Guards against tasks that wait or are refused because of interference: there
// is hardly any room, so that there is nothing to choose from.
BOOST_AUTO_TEST_CASE(interference_refuses_nothing_where_there_is_no_room)
{
    for (auto const load : {0.7, 0.9, 1.3})
    {
        auto settings = interfering_load{};
        settings.m_load = load;
        settings.m_slowdown = 1.1;
        auto const together = run_load(settings);
        settings.m_separates = true;
        auto const apart = run_load(settings);
        BOOST_TEST(apart.m_pairs_begun > 0U);
        BOOST_TEST(apart.m_refused <=
                   together.m_refused + together.m_offered / 100);
        BOOST_TEST(apart.m_in_time + together.m_offered / 100 >=
                   together.m_in_time);
    }
}

// Guards against different choices or random numbers where no tasks interfere,
// and against longer messages while the setting is off.
BOOST_AUTO_TEST_CASE(choices_are_unchanged_without_interference)
{
    for (auto const load : {0.4, 0.8, 1.3})
    {
        auto settings = interfering_load{};
        settings.m_load = load;
        auto const off = run_load(settings);
        settings.m_separates = true;
        auto const on = run_load(settings);
        BOOST_TEST(on.m_pairs_begun == 0U);
        BOOST_TEST(off.m_sent_with_queues == 0U);
        BOOST_TEST(on.m_sent_with_queues > on.m_offered);
        BOOST_TEST(on.m_orders == off.m_orders);
        BOOST_TEST((on.m_started_runs == off.m_started_runs));
    }
}
