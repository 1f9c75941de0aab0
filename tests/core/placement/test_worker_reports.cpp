#include "core/placement/executor.hpp"

#include "core/desk_sample.hpp"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace core = hickorylatch::core;
namespace test = hickorylatch::test;

using std::chrono::milliseconds;

namespace
{

/// An agent that has not got a report yet.
struct agent
{
    auto report(std::int64_t now_ms, core::worker_report const& report) -> void
    {
        m_executor.reported(milliseconds{now_ms}, report, m_out);
    }

    /// The worker answers the check of its identity.
    auto confirm(std::int64_t now_ms, std::int64_t incarnation,
                 std::int64_t clock_ms) -> void
    {
        m_executor.answered(milliseconds{now_ms},
                            core::worker_checked{"w", incarnation,
                                                 core::worker_answer::accepted,
                                                 clock_ms},
                            m_out);
    }

    auto is_accepting() const -> bool
    {
        return m_executor.worker() != nullptr &&
               m_executor.worker()->m_is_accepting;
    }

    core::executor m_executor{core::executor_settings{}};
    core::effects m_out;
};

/// An agent that serves the worker since 1,000 ms by both clocks.
struct serving_agent : agent
{
    serving_agent()
    {
        report(1'000, test::desk_worker_report());
        confirm(1'000, 1, 1'000);
    }
};

auto make_report(std::uint64_t sequence, std::int64_t clock_ms,
                 bool is_accepting) -> core::worker_report
{
    auto report = test::desk_worker_report();
    report.m_sequence = sequence;
    report.m_clock_ms = clock_ms;
    report.m_is_accepting = is_accepting;
    return report;
}

} // namespace

// Guards against a draining that is acknowledged and dropped: tasks that start
// then are lost when the worker leaves.
BOOST_AUTO_TEST_CASE(a_report_of_draining_is_obeyed_whatever_it_says_else)
{
    auto reports =
        std::vector<core::worker_report>(7, make_report(2, 2'500, false));
    reports[0].m_sequence = 1'501;
    reports[1].m_sequence = std::uint64_t{1} << 62U;
    reports[2].m_sequence = 1;
    reports[3].m_clock_ms = 60'000;
    reports[4].m_clock_ms = 900;
    reports[5].m_capacity = {8'000, 1'024, 0};
    reports[6].m_labels = {"r1-3"};
    for (auto const& draining : reports)
    {
        auto served = serving_agent{};
        BOOST_TEST(served.is_accepting());
        served.report(2'500, draining);
        BOOST_TEST(!served.is_accepting(), "sequence " << draining.m_sequence
                                                       << ", clock "
                                                       << draining.m_clock_ms);
    }
}

// Guards against a worker that is out of use for good after a report of
// draining from another process.
BOOST_AUTO_TEST_CASE(a_later_report_ends_the_draining)
{
    for (auto const sequence : {std::uint64_t{1} << 62U, std::uint64_t{2}})
    {
        auto served = serving_agent{};
        served.report(2'500, make_report(sequence, 1'500, false));
        served.report(4'000, make_report(3, 4'000, true));
        BOOST_TEST(served.is_accepting());
    }
}

// Guards against a delayed report that ends the draining, although the worker
// has made it before.
BOOST_AUTO_TEST_CASE(a_report_from_before_the_draining_does_not_end_it)
{
    for (auto const sequence : {2U, 3'001U})
    {
        auto served = serving_agent{};
        served.report(4'000, make_report(sequence, 3'990, false));
        served.report(4'100, make_report(3, 2'500, true));
        BOOST_TEST(!served.is_accepting());
        // A long silence changes nothing.
        served.report(9'500, make_report(4, 3'000, true));
        BOOST_TEST(!served.is_accepting());
    }
}

// Guards against a departed worker that a delayed report brings back.
BOOST_AUTO_TEST_CASE(a_report_from_before_the_departure_does_not_end_it)
{
    auto served = serving_agent{};
    served.m_executor.left(milliseconds{4'000}, core::worker_left{"w"},
                           served.m_out);
    served.report(4'100, make_report(2, 2'500, true));
    BOOST_TEST(!served.is_accepting());
}

// Guards against a first report from another process, whose sequence is so high
// that all reports of the worker look outdated.
BOOST_AUTO_TEST_CASE(a_first_report_with_a_high_sequence_does_no_lasting_harm)
{
    auto served = agent{};
    served.report(1'000, make_report(std::uint64_t{1} << 62U, 1'000, true));
    served.confirm(1'000, 1, 1'000);
    served.report(2'500, make_report(2, 2'500, false));
    BOOST_TEST(!served.is_accepting());
    served.report(4'000, make_report(3, 4'000, true));
    served.report(5'500, make_report(4, 5'500, true));
    served.report(7'000, make_report(5, 7'000, true));
    BOOST_TEST(served.is_accepting());
    BOOST_TEST(served.m_executor.worker()->m_sequence == 5U);
}

// Guards against a report of another process with a clock from the future,
// after which all reports of the worker look outdated.
BOOST_AUTO_TEST_CASE(a_clock_from_the_future_does_no_lasting_harm)
{
    constexpr auto future_ms = std::int64_t{1} << 53U;
    auto first = agent{};
    first.report(1'000, make_report(1, future_ms, true));
    first.confirm(1'000, 1, 1'000);
    auto silent = serving_agent{};
    silent.report(7'000, make_report(2, future_ms, true));
    for (auto* const served : std::vector<agent*>{&first, &silent})
    {
        served->report(7'500, make_report(3, 7'500, false));
        served->report(9'000, make_report(4, 9'000, true));
        BOOST_TEST(served->is_accepting());
        BOOST_TEST(served->m_executor.worker()->m_sequence == 4U);
    }
}

// Guards against a draining of a new incarnation that is forgotten, because
// another report arrives before the worker is asked which one it is.
BOOST_AUTO_TEST_CASE(a_draining_that_is_not_confirmed_yet_is_kept)
{
    auto served = serving_agent{};
    auto draining = make_report(9, 13'500, false);
    draining.m_incarnation = 2;
    served.report(20'000, draining);
    auto foreign = make_report(1, 1'000, true);
    foreign.m_name = "w2";
    served.report(20'001, foreign);
    auto delayed = make_report(8, 13'200, true);
    delayed.m_incarnation = 2;
    served.report(20'002, delayed);
    served.confirm(20'003, 2, 13'503);
    BOOST_TEST(served.m_executor.worker()->m_incarnation == 2);
    BOOST_TEST(!served.is_accepting());
    auto later = make_report(10, 15'000, true);
    later.m_incarnation = 2;
    served.report(21'500, later);
    BOOST_TEST(served.is_accepting());
}

// Guards against an agent that restarts, gets a delayed report first and starts
// tasks, although the process before it has acknowledged the draining.
BOOST_AUTO_TEST_CASE(an_old_first_report_does_not_show_that_the_worker_accepts)
{
    auto restarted = agent{};
    restarted.report(1'000, make_report(8, 13'500, true));
    restarted.confirm(1'001, 1, 15'600);
    BOOST_TEST(!restarted.is_accepting());
    restarted.report(2'400, make_report(10, 17'000, true));
    BOOST_TEST(restarted.is_accepting());
}
