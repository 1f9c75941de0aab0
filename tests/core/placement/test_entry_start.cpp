#include "core/placement/placement_world.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace core = hickorylatch::core;

using hickorylatch::test::make_job;
using hickorylatch::test::placement_world;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

struct job_kind
{
    std::string m_queue;
    std::uint32_t m_tasks = 0;
    core::duration m_run{0};
    double m_share = 0.0;
};

struct submitted_job
{
    core::exchange_id m_exchange = 0;
    core::duration m_run{0};
    core::time_point m_arrived{0};
};

struct restart
{
    unsigned m_entries = 14;
    unsigned m_workers = 54;
    unsigned m_links_per_worker = 10;
    /// Share of the workers that never return.
    double m_lost_workers = 0.0;
    double m_load = 0.5;
    bool m_awaits_workers = false;
    /// Every job may have been sent to another entry before.
    bool m_are_resent = false;
};

/// Outcomes of the jobs that arrived until the entries had all their links.
struct restart_result
{
    unsigned m_offered = 0;
    unsigned m_in_time = 0;
    unsigned m_late = 0;
    unsigned m_refused = 0;
    /// Jobs that could end in time if they began at the first link, or at once
    /// if they arrived later.
    unsigned m_possible = 0;
    core::duration m_slowest_refusal{0};
    /// Jobs that arrived later and were refused or late.
    unsigned m_failed_afterwards = 0;
    /// Jobs in time, of the whole run.
    unsigned m_all_in_time = 0;
};

// The fake workers count this much for each task.
constexpr auto task_millicores = 6'000U;
constexpr auto latency = milliseconds{60};
constexpr auto configured_after = milliseconds{500};
constexpr auto linked_after = milliseconds{900};

auto job_kinds() -> std::array<job_kind, 3>
{
    return {{{"fast", 8, milliseconds{60}, 0.6},
             {"normal", 2, milliseconds{200}, 0.3},
             {"slow", 4, milliseconds{900}, 0.1}}};
}

auto entry_name(unsigned number) -> std::string
{
    return "e" + std::to_string(number);
}

auto worker_name(unsigned number) -> std::string
{
    return "w" + std::to_string(number);
}

/// Adds workers of which a third is larger and slower. Returns the number of
/// tasks of normal speed that they run at once.
auto add_workers(placement_world& world, unsigned count) -> double
{
    auto capacity = 0.0;
    for (auto number = 0U; number < count; ++number)
    {
        auto worker = hickorylatch::worker_model::leased_worker_settings{};
        auto const is_slow = number % 3 == 0;
        worker.m_capacity = {(is_slow ? 18U : 12U) * task_millicores, 65'536,
                             0};
        worker.m_run_time_factor = is_slow ? 1.3 : 1.0;
        capacity += worker.m_capacity.m_millicores / task_millicores /
                    worker.m_run_time_factor;
        world.add_worker(worker_name(number), worker);
    }
    return capacity;
}

/// All entries start at once. The configuration and the first links are there
/// after half a second, the last links 0.4 s later, and clients send jobs
/// throughout.
auto run_restart(restart const& played) -> restart_result
{
    auto const kinds = job_kinds();
    auto world = placement_world{7};
    auto engine = std::mt19937_64{11};
    auto share = std::uniform_real_distribution<double>{};
    auto const workers =
        static_cast<unsigned>(played.m_workers * (1.0 - played.m_lost_workers));
    auto const capacity = add_workers(world, workers);
    world.run_for(milliseconds{300});
    auto const started_at = world.now();
    for (auto number = 0U; number < played.m_entries; ++number)
    {
        auto settings = core::broker_settings{};
        settings.m_name = entry_name(number);
        settings.m_awaits_workers_after_start = played.m_awaits_workers;
        world.start_entry(settings);
    }
    auto steps = std::multimap<core::time_point, std::function<void()>>{};
    steps.emplace(started_at + configured_after,
                  [&world]
                  {
                      world.configure(1, latency);
                  });
    auto const joining = linked_after - configured_after;
    for (auto worker = 0U; worker < workers; ++worker)
        for (auto link = 0U; link < played.m_links_per_worker; ++link)
        {
            auto const entry =
                entry_name((worker * 3 + link) % played.m_entries);
            auto const at = std::chrono::duration_cast<core::duration>(
                joining * share(engine));
            steps.emplace(started_at + configured_after + at,
                          [&world, entry, name = worker_name(worker)]
                          {
                              world.open_link(entry, name);
                          });
        }
    auto mean_work = 0.0;
    for (auto const& kind : kinds)
        mean_work += kind.m_share * kind.m_tasks *
                     std::chrono::duration<double>{kind.m_run}.count();
    auto interval = std::exponential_distribution<double>{
        capacity * played.m_load / mean_work};
    auto error =
        std::uniform_real_distribution<double>{-std::log(1.6), std::log(1.6)};
    auto jobs = std::vector<submitted_job>{};
    auto const until = started_at + milliseconds{2'500};
    for (auto at = started_at; at < until;
         at += microseconds{static_cast<int>(interval(engine) * 1e6)})
        steps.emplace(
            at,
            [&]
            {
                auto drawn = share(engine);
                auto const& kind = drawn < kinds[0].m_share ? kinds[0]
                                   : drawn < kinds[0].m_share + kinds[1].m_share
                                       ? kinds[1]
                                       : kinds[2];
                auto const declared =
                    std::chrono::duration_cast<core::duration>(
                        kind.m_run * std::exp(error(engine)));
                auto const entry = entry_name(
                    static_cast<unsigned>(engine() % played.m_entries));
                auto const job =
                    make_job("j" + std::to_string(jobs.size()), kind.m_tasks,
                             declared, kind.m_run, task_millicores);
                auto const exchange =
                    played.m_are_resent
                        ? world.resubmit(entry, kind.m_queue, job, seconds{3})
                        : world.submit(entry, kind.m_queue, job, seconds{3});
                jobs.push_back({exchange, kind.m_run, world.now()});
            });
    for (auto const& [at, step] : steps)
    {
        world.run_for(at - world.now());
        step();
    }
    world.run_for(seconds{5});
    auto result = restart_result{};
    for (auto const& job : jobs)
    {
        auto const* answer = world.answer(job.m_exchange);
        BOOST_REQUIRE(answer != nullptr);
        auto const is_served = answer->m_verdict.m_run == core::run_state::ran;
        auto const objective = std::chrono::duration_cast<core::duration>(
            job.m_run * 1.6 + latency);
        auto const is_in_time = is_served && answer->m_age <= objective;
        result.m_all_in_time += is_in_time ? 1 : 0;
        if (job.m_arrived >= started_at + linked_after)
        {
            result.m_failed_afterwards += is_in_time ? 0 : 1;
            continue;
        }
        ++result.m_offered;
        auto const first_begin =
            std::max(job.m_arrived, started_at + configured_after);
        result.m_possible +=
            first_begin + job.m_run <= job.m_arrived + objective ? 1 : 0;
        result.m_in_time += is_in_time ? 1 : 0;
        result.m_late += is_served && !is_in_time ? 1 : 0;
        result.m_refused += is_served ? 0 : 1;
        if (!is_served)
            result.m_slowest_refusal =
                std::max(result.m_slowest_refusal, answer->m_age);
    }
    BOOST_TEST_MESSAGE("restart at load "
                       << played.m_load << ", lost " << played.m_lost_workers
                       << ", waits " << played.m_awaits_workers << ": offered "
                       << result.m_offered << ", possible in time "
                       << result.m_possible << ", in time " << result.m_in_time
                       << ", late " << result.m_late << ", refused "
                       << result.m_refused << ", not in time afterwards "
                       << result.m_failed_afterwards << " of "
                       << jobs.size() - result.m_offered);
    BOOST_TEST(world.overloads() == 0U);
    BOOST_TEST(world.double_runs() == 0U);
    return result;
}

} // namespace

// Guards against entries that refuse, after a restart of everything, the jobs
// that arrived meanwhile because the first few workers have no room for them.
BOOST_AUTO_TEST_CASE(jobs_of_a_restart_wait_for_the_workers)
{
    auto const result = run_restart({.m_awaits_workers = true});
    BOOST_TEST(result.m_refused <= result.m_offered / 50);
    BOOST_TEST(result.m_in_time >= result.m_possible * 80 / 100);
    BOOST_TEST(result.m_failed_afterwards == 0U);
}

// Guards against jobs that lose their claim while they are held, and against
// claims that are repeated for each decision.
BOOST_AUTO_TEST_CASE(claimed_jobs_of_a_restart_wait_for_the_workers)
{
    auto const result =
        run_restart({.m_awaits_workers = true, .m_are_resent = true});
    BOOST_TEST(result.m_refused <= result.m_offered / 50);
    BOOST_TEST(result.m_in_time >= result.m_possible * 80 / 100);
}

// Guards against held jobs that take the room of jobs that arrive afterwards.
BOOST_AUTO_TEST_CASE(a_restart_at_a_high_load_has_no_fewer_jobs_in_time)
{
    for (auto const load : {0.8, 1.0, 1.3})
    {
        auto const without = run_restart({.m_load = load});
        auto const with =
            run_restart({.m_load = load, .m_awaits_workers = true});
        BOOST_TEST(with.m_in_time > without.m_in_time);
        BOOST_TEST(with.m_all_in_time >= without.m_all_in_time);
        BOOST_TEST(with.m_refused < without.m_refused);
    }
}

// Guards against entries that wait for workers that do not return.
BOOST_AUTO_TEST_CASE(a_restart_without_half_of_the_workers_stops_waiting)
{
    auto const without = run_restart({.m_lost_workers = 0.5, .m_load = 1.0});
    auto const with = run_restart(
        {.m_lost_workers = 0.5, .m_load = 1.0, .m_awaits_workers = true});
    BOOST_TEST(with.m_in_time > without.m_in_time);
    BOOST_TEST(with.m_all_in_time >= without.m_all_in_time);
    BOOST_TEST(with.m_refused < without.m_refused);
    // The last link opens 0.9 s after the start.
    BOOST_TEST((with.m_slowest_refusal <= milliseconds{1'100}));
}
