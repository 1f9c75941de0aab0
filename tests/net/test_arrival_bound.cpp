#include "net/arrival_bound.hpp"
#include "net/loop_runner.hpp"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <thread>

namespace core = hickorylatch::core;
namespace net = hickorylatch::net;

using namespace std::chrono_literals;

// Guards against a request that waited in a socket while the process stood
// still and counts as new.
BOOST_AUTO_TEST_CASE(what_is_read_after_a_standstill_may_have_arrived_before)
{
    auto loop = net::event_loop{};
    auto bound = net::arrival_bound{loop};
    bound.start();
    auto const started_at = loop.now();
    auto const runs_since = [&](core::time_point start)
    {
        return run_until(loop,
                         [&]
                         {
                             return bound.earliest() > start;
                         });
    };
    BOOST_TEST(runs_since(started_at));
    auto const stopped_at = loop.now();
    std::this_thread::sleep_for(300ms);
    // An event of the first two iterations: a connection is accepted in the
    // first and its request is read in the second one.
    for (auto iteration = 0; iteration < 2; ++iteration)
    {
        auto has_run = false;
        loop.post(
            [&]
            {
                has_run = true;
                BOOST_TEST((bound.earliest() <= stopped_at));
            });
        BOOST_TEST(run_until(loop,
                             [&]
                             {
                                 return has_run;
                             }));
    }
    BOOST_TEST(runs_since(loop.now()));
}

// Guards against requests from before the loop runs, which count as new.
BOOST_AUTO_TEST_CASE(nothing_is_known_to_be_new_before_the_loop_has_run)
{
    auto loop = net::event_loop{};
    auto bound = net::arrival_bound{loop};
    auto const listening_at = loop.now();
    std::this_thread::sleep_for(20ms);
    bound.start();
    BOOST_TEST((bound.earliest() <= listening_at));
}
