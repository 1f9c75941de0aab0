#include "worker_model/leased_worker.hpp"

#include <boost/test/unit_test.hpp>

namespace core = hickorylatch::core;
namespace worker_model = hickorylatch::worker_model;

using std::chrono::milliseconds;

namespace
{

auto make_order(std::string const& job, std::uint32_t run, int lease_ms)
    -> worker_model::start_order
{
    auto order = worker_model::start_order{};
    order.m_run = {job, {0, 0}, run};
    order.m_needs = {6'000, 64, 0};
    order.m_run_time = milliseconds{100};
    order.m_lease_until_ms = lease_ms;
    order.m_fencing_token = 7;
    return order;
}

} // namespace

// Guards against a simulated worker that is more lenient than real ones: runs
// have to end when their lease is not extended.
BOOST_AUTO_TEST_CASE(runs_end_when_their_lease_expires)
{
    auto worker = worker_model::leased_worker{{}};
    auto const now = milliseconds{0};
    auto const until = static_cast<int>(worker.clock_ms(now)) + 50;
    BOOST_TEST((worker.start(now, make_order("a", 1, until)) ==
                core::worker_answer::accepted));
    auto const result = worker.poll(milliseconds{60}, 0, 0, 7);
    BOOST_TEST(result.m_running.empty());
    BOOST_TEST(result.m_ended.size() == 1U);
    BOOST_TEST((result.m_ended.front().m_outcome == core::run_outcome::lapsed));
}

BOOST_AUTO_TEST_CASE(a_poll_extends_the_lease)
{
    auto worker = worker_model::leased_worker{{}};
    auto const until = static_cast<int>(worker.clock_ms({})) + 50;
    static_cast<void>(worker.start({}, make_order("a", 1, until)));
    static_cast<void>(worker.poll(milliseconds{40}, 0, until + 500, 7));
    auto const result = worker.poll(milliseconds{120}, 0, 0, 7);
    BOOST_TEST(result.m_ended.size() == 1U);
    BOOST_TEST(
        (result.m_ended.front().m_outcome == core::run_outcome::succeeded));
    BOOST_TEST(worker.poll(milliseconds{121}, 1, 0, 7).m_ended.empty());
}

BOOST_AUTO_TEST_CASE(late_and_fenced_orders_start_nothing)
{
    auto worker = worker_model::leased_worker{{}};
    auto const until = static_cast<int>(worker.clock_ms({})) + 50;
    BOOST_TEST((worker.start(milliseconds{60}, make_order("a", 1, until)) ==
                core::worker_answer::late));
    auto old = make_order("a", 1, until + 500);
    old.m_fencing_token = 6;
    BOOST_TEST(
        (worker.start(milliseconds{61}, old) == core::worker_answer::fenced));
    BOOST_TEST(worker.starts() == 0U);
}

BOOST_AUTO_TEST_CASE(a_run_that_is_not_higher_than_an_ended_one_is_refused)
{
    auto worker = worker_model::leased_worker{{}};
    static_cast<void>(worker.stop({}, {"a", {0, 0}, 2}, 7));
    auto const until = static_cast<int>(worker.clock_ms({})) + 500;
    BOOST_TEST((worker.start({}, make_order("a", 2, until)) ==
                core::worker_answer::outdated));
    BOOST_TEST((worker.start({}, make_order("a", 3, until)) ==
                core::worker_answer::accepted));
}

BOOST_AUTO_TEST_CASE(a_start_over_the_capacity_is_counted)
{
    auto settings = worker_model::leased_worker_settings{};
    settings.m_capacity = {10'000, 1'000, 0};
    auto worker = worker_model::leased_worker{settings};
    auto const until = static_cast<int>(worker.clock_ms({})) + 500;
    static_cast<void>(worker.start({}, make_order("a", 1, until)));
    static_cast<void>(worker.start({}, make_order("b", 1, until)));
    BOOST_TEST(worker.overloads() == 1U);
    settings.m_enforces_capacity = true;
    auto strict = worker_model::leased_worker{settings};
    static_cast<void>(strict.start({}, make_order("a", 1, until)));
    BOOST_TEST((strict.start({}, make_order("b", 1, until)) ==
                core::worker_answer::no_room));
}
