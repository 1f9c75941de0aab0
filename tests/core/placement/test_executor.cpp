#include "core/placement/executor.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdint>
#include <variant>

namespace core = hickorylatch::core;

using std::chrono::milliseconds;

namespace
{

constexpr auto entry = core::node_id{1};

/// The last effect of a type; null if there is none.
template <typename Effect>
auto last(core::effects const& out) -> Effect const*
{
    auto const found =
        std::find_if(out.rbegin(), out.rend(),
                     [](core::effect const& each)
                     {
                         return std::holds_alternative<Effect>(each);
                     });
    return found == out.rend() ? nullptr : &std::get<Effect>(*found);
}

auto ends(core::effects const& out) -> std::ptrdiff_t
{
    return std::ranges::count_if(
        out,
        [](core::effect const& each)
        {
            auto const* sent = std::get_if<core::send>(&each);
            return sent != nullptr &&
                   std::holds_alternative<core::runs_ended>(sent->m_message);
        });
}

auto poll_answer(std::uint64_t number) -> core::runs_polled
{
    auto answer = core::runs_polled{};
    answer.m_poll = number;
    answer.m_answer = core::worker_answer::accepted;
    answer.m_clock_ms = 1'000;
    return answer;
}

/// An agent that knows its worker and one entry, and may start runs.
auto make_agent(core::effects& out) -> core::executor
{
    auto agent = core::executor{core::executor_settings{}};
    auto report = core::worker_report{};
    report.m_name = "w";
    report.m_incarnation = 1;
    report.m_service = "desk";
    report.m_capacity = {16'000, 1'024, 0};
    report.m_clock_ms = 1'000;
    report.m_sequence = 1;
    agent.reported(milliseconds{1'000}, report, out);
    auto peer = core::hello{};
    peer.m_node = entry;
    peer.m_role = core::role::entry;
    agent.connected(milliseconds{1'000}, peer, out);
    agent.answered(milliseconds{1'001},
                   poll_answer(last<core::poll_runs>(out)->m_poll), out);
    agent.receive(milliseconds{1'002}, entry,
                  core::contact_confirmed{milliseconds{1'001}, 0, 0}, out);
    return agent;
}

auto make_order() -> core::order_runs
{
    auto order = core::order_runs{};
    order.m_order = 1;
    order.m_job = 1;
    order.m_job_id = "00000000000000aa";
    order.m_time_left_ms = 5'000;
    order.m_runs = {{{0, 0}, 1, {1'000, 64, 0}, 100}};
    return order;
}

} // namespace

// Guards against a run that is taken for lost, and ordered elsewhere, because a
// list that was made before it started arrives after the answer to its start.
BOOST_AUTO_TEST_CASE(a_list_made_before_a_start_says_nothing_of_it)
{
    auto out = core::effects{};
    auto agent = make_agent(out);
    agent.receive(milliseconds{1'010}, entry, make_order(), out);
    auto const started = *last<core::start_run>(out);
    agent.answered(milliseconds{1'011},
                   poll_answer(last<core::poll_runs>(out)->m_poll), out);
    auto const early = last<core::poll_runs>(out)->m_poll;
    out.clear();
    agent.answered(milliseconds{1'012},
                   core::run_start_answered{
                       started.m_run, core::worker_answer::accepted, 1'012},
                   out);
    agent.answered(milliseconds{1'013}, poll_answer(early), out);
    BOOST_TEST(agent.running() == 1U);
    BOOST_TEST(ends(out) == 0);
    // A list that was asked for after the start was confirmed does tell.
    auto const* next = last<core::poll_runs>(out);
    BOOST_REQUIRE(next != nullptr);
    agent.answered(milliseconds{1'020}, poll_answer(next->m_poll), out);
    BOOST_TEST(agent.running() == 0U);
    BOOST_TEST(ends(out) == 1);
}

// Guards against two runs of a task: a start without an answer was carried out
// just before its lease ran out, and polls extended the lease of everything
// that runs before a list showed the run.
BOOST_AUTO_TEST_CASE(a_lapsed_start_is_given_up_by_a_later_list_only)
{
    auto out = core::effects{};
    auto agent = make_agent(out);
    agent.receive(milliseconds{1'010}, entry, make_order(), out);
    auto const started = *last<core::start_run>(out);
    agent.answered(milliseconds{1'070},
                   core::run_start_answered{started.m_run,
                                            core::worker_answer::unknown, 0},
                   out);
    // The stop that revokes the start gets no answer either.
    agent.answered(milliseconds{1'071},
                   poll_answer(last<core::poll_runs>(out)->m_poll), out);
    auto const early = last<core::poll_runs>(out)->m_poll;
    out.clear();
    auto const lapsed = milliseconds{1'600};
    agent.tick(lapsed, out);
    BOOST_TEST(agent.running() == 1U);
    BOOST_TEST(ends(out) == 0);
    auto const* asked = last<core::poll_runs>(out);
    BOOST_REQUIRE(asked != nullptr);
    // Made before the lease was over.
    agent.answered(milliseconds{1'601}, poll_answer(early), out);
    BOOST_TEST(agent.running() == 1U);
    auto list = poll_answer(asked->m_poll);
    list.m_clock_ms = 1'601;
    list.m_running = {started.m_run};
    agent.answered(milliseconds{1'602}, list, out);
    BOOST_TEST(agent.running() == 1U);
    BOOST_TEST(ends(out) == 0);
}

// Guards against an entry that never hears of an end because it takes it for
// one that it had: it was frozen, and the agent has forgotten it meanwhile.
BOOST_AUTO_TEST_CASE(ends_are_counted_on_after_an_entry_was_forgotten)
{
    // A run that fits no worker ends at once.
    auto const refused = [](core::executor& agent, core::time_point now)
    {
        auto order = make_order();
        order.m_runs.front().m_needs = {99'000, 64, 0};
        auto out = core::effects{};
        agent.receive(now, entry, order, out);
        auto number = std::uint64_t{0};
        for (auto const& each : out)
            if (auto const* sent = std::get_if<core::send>(&each))
                if (auto const* news =
                        std::get_if<core::runs_ended>(&sent->m_message))
                    number = news->m_number;
        return number;
    };
    auto out = core::effects{};
    auto agent = make_agent(out);
    auto const first = refused(agent, milliseconds{1'010});
    BOOST_TEST(first != 0U);
    agent.disconnected(milliseconds{1'500}, entry, out);
    agent.tick(milliseconds{3'000}, out);
    auto peer = core::hello{};
    peer.m_node = entry;
    peer.m_role = core::role::entry;
    agent.connected(milliseconds{3'010}, peer, out);
    agent.receive(milliseconds{3'011}, entry,
                  core::contact_confirmed{milliseconds{3'010}, first, 0}, out);
    BOOST_TEST(refused(agent, milliseconds{3'020}) > first);
}
