#include "net/loop_runner.hpp"
#include "net/process_signals.hpp"
#include "net/storage_worker.hpp"
#include "net/timer.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <csignal>
#include <ctime>
#include <future>
#include <memory>
#include <numeric>
#include <optional>
#include <span>
#include <thread>
#include <vector>

namespace net = hickorylatch::net;

// Guards against a timer that still fires after a restart replaced its delay,
// and against a crash when a timer's callback destroys the timer.
BOOST_AUTO_TEST_CASE(timer_fires_once_and_can_be_restarted)
{
    auto loop = net::event_loop{};
    auto fired = 0;
    auto restarted = net::timer{loop, [&]
                                {
                                    ++fired;
                                }};
    restarted.start_at(loop.now() + std::chrono::hours{1});
    restarted.start(std::chrono::milliseconds{-5});
    auto ended = false;
    auto self_destroying = std::optional<net::timer>{};
    self_destroying.emplace(loop,
                            [&]
                            {
                                self_destroying.reset();
                                ended = true;
                            });
    self_destroying->start(std::chrono::milliseconds{5});
    BOOST_TEST(run_until(loop,
                         [&]
                         {
                             return ended;
                         }));
    BOOST_TEST(fired == 1);
    BOOST_TEST(!restarted.is_running());
    restarted.start(std::chrono::hours{1});
    restarted.start_at(hickorylatch::core::never);
    BOOST_TEST(!restarted.is_running());
}

// Guards against leases that stay valid during a suspension of the machine,
// which CLOCK_MONOTONIC does not include.
BOOST_AUTO_TEST_CASE(loop_time_includes_suspended_time)
{
    auto const boot_time = []
    {
        auto reading = timespec{};
        clock_gettime(CLOCK_BOOTTIME, &reading);
        return std::chrono::seconds{reading.tv_sec} +
               std::chrono::nanoseconds{reading.tv_nsec};
    };
    auto loop = net::event_loop{};
    auto const before = boot_time();
    auto const now = loop.now();
    auto const after = boot_time();
    BOOST_TEST((now + hickorylatch::core::duration{1} >= before));
    BOOST_TEST((now <= after));
    BOOST_TEST((loop.suspended_time() >= hickorylatch::core::duration{0}));
}

// Guards against timers that fire before their delay has passed.
BOOST_AUTO_TEST_CASE(timer_never_fires_early)
{
    auto loop = net::event_loop{};
    constexpr auto delay = hickorylatch::core::duration{2'000};
    auto fired = 0;
    auto started_at = hickorylatch::core::time_point{0};
    auto shortest = hickorylatch::core::duration::max();
    auto repeated = std::optional<net::timer>{};
    auto const measure = [&]
    {
        ++fired;
        shortest = std::min(shortest, loop.now() - started_at);
        // Time spent earlier in the same loop iteration must not count as part
        // of the delay.
        auto const busy_until = loop.now() + delay;
        while (loop.now() < busy_until)
            std::this_thread::yield();
        started_at = loop.now();
        repeated->start(delay);
    };
    repeated.emplace(loop, measure);
    started_at = loop.now();
    repeated->start(delay);
    BOOST_TEST(run_until(loop,
                         [&]
                         {
                             return fired >= 20;
                         }));
    BOOST_TEST(shortest.count() >= delay.count());
}

// Guards against SIGTERM terminating the process during a request (I7).
BOOST_AUTO_TEST_CASE(process_signals_are_emitted_on_the_loop)
{
    auto loop = net::event_loop{};
    auto signals = net::process_signals{loop};
    auto stops = 0;
    auto reopens = 0;
    signals.stop_requested().connect(
        [&]
        {
            ++stops;
        });
    signals.reopen_requested().connect(
        [&]
        {
            ++reopens;
        });
    for (auto const number : {SIGTERM, SIGHUP, SIGPIPE})
        BOOST_TEST(std::raise(number) == 0);
    BOOST_TEST(run_until(loop,
                         [&]
                         {
                             return stops == 1 && reopens == 1;
                         }));
    BOOST_TEST(std::raise(SIGINT) == 0);
    BOOST_TEST(run_until(loop,
                         [&]
                         {
                             return stops == 2;
                         }));
}

// Guards against reordered writes, against a separate sync for each of many
// queued writes, and against completions on the wrong thread.
BOOST_AUTO_TEST_CASE(storage_jobs_run_in_order_and_in_batches)
{
    auto loop = net::event_loop{};
    auto first_released = std::promise<void>{};
    auto first_started = std::promise<void>{};
    auto batches = std::vector<std::size_t>{};
    auto completed = std::vector<int>{};
    auto const loop_thread = std::this_thread::get_id();
    auto worker = std::make_unique<net::storage_worker<int>>(
        loop,
        [&](std::span<int> jobs)
        {
            if (batches.empty())
            {
                first_started.set_value();
                first_released.get_future().wait();
            }
            batches.push_back(jobs.size());
            for (auto& job : jobs)
                job *= 10;
        },
        [&](std::vector<int> const& jobs)
        {
            BOOST_TEST((std::this_thread::get_id() == loop_thread));
            completed.insert(completed.end(), jobs.begin(), jobs.end());
        });
    worker->enqueue(0);
    first_started.get_future().wait();
    for (auto job = 1; job < 50; ++job)
        worker->enqueue(job);
    first_released.set_value();
    BOOST_TEST(run_until(loop,
                         [&]
                         {
                             return completed.size() == 50U;
                         }));
    BOOST_TEST(batches.size() == 2U);
    for (auto job = 0; job < 50; ++job)
        BOOST_TEST(completed[job] == job * 10);
    worker->enqueue(50);
    worker.reset();
    BOOST_TEST(batches.size() == 3U);
}
