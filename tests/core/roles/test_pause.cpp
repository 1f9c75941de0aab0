#include "core/desk_sample.hpp"
#include "core/roles/node.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdint>
#include <string>
#include <variant>

namespace core = hickorylatch::core;
namespace test = hickorylatch::test;

using std::chrono::milliseconds;

namespace
{

constexpr auto entry = core::node_id{1};
constexpr auto full_capacity = core::resources{16'000, 1'024, 0};

/// Sets up an agent process that knows its worker and one entry, and may start
/// runs until 1,501 ms.
auto set_up_agent(core::node& agent, core::effects& out) -> void
{
    agent.m_id = core::node_id{2};
    agent.m_executor.emplace(core::executor_settings{});
    auto report = test::desk_worker_report();
    core::reduce(agent, milliseconds{1'000}, core::worker_reported{report},
                 out);
    core::reduce(agent, milliseconds{1'000}, test::desk_worker_checked(), out);
    auto peer = core::hello{};
    peer.m_node = entry;
    peer.m_role = core::role::entry;
    core::reduce(agent, milliseconds{1'000}, core::peer_connected{peer}, out);
    core::reduce(agent, milliseconds{1'001},
                 test::poll_answer(test::last<core::poll_runs>(out)->m_poll),
                 out);
    core::reduce(agent, milliseconds{1'002},
                 core::message_received{
                     entry, core::contact_confirmed{milliseconds{1'001}, 0, 0}},
                 out);
}

auto order(std::uint64_t number, std::string job) -> core::message_received
{
    auto wanted = core::order_runs{};
    wanted.m_order = number;
    wanted.m_job = number;
    wanted.m_job_id = std::move(job);
    wanted.m_time_left_ms = 9'000;
    wanted.m_runs = {{{0, 0}, 1, full_capacity, 100}};
    return {entry, wanted};
}

} // namespace

// Guards against an agent that was paused and then starts the queued runs of an
// entry that has assumed the agent lost meanwhile and ordered them elsewhere.
BOOST_AUTO_TEST_CASE(a_paused_agent_starts_no_run_after_its_contact_expired)
{
    auto out = core::effects{};
    auto agent = core::node{};
    set_up_agent(agent, out);
    core::reduce(agent, milliseconds{1'010}, order(1, "00000000000000aa"), out);
    auto const first = *test::last<core::start_run>(out);
    core::reduce(agent, milliseconds{1'011},
                 core::run_start_answered{first.m_run,
                                          core::worker_answer::accepted, 1'011},
                 out);
    core::reduce(agent, milliseconds{1'020}, order(2, "00000000000000bb"), out);
    BOOST_TEST(agent.m_executor->waiting() == 1U);
    auto const polled = test::last<core::poll_runs>(out)->m_poll;
    out.clear();
    // The answer to a poll is handled before the timer fires.
    auto answer = test::poll_answer(polled);
    answer.m_ended = {{1, first.m_run, core::run_outcome::lapsed}};
    core::reduce(agent, milliseconds{4'000}, answer, out);
    BOOST_TEST((test::last<core::start_run>(out) == nullptr));
    BOOST_TEST(agent.m_executor->waiting() == 0U);
}

// Guards against an entry that was paused and then handles an event before it
// expires jobs that their clients have already sent to another entry.
BOOST_AUTO_TEST_CASE(a_paused_entry_expires_jobs_before_other_events)
{
    auto out = core::effects{};
    auto node = core::node{};
    node.m_id = entry;
    node.m_broker.emplace(core::broker_settings{});
    core::reduce(node, milliseconds{1'000}, core::started{7}, out);
    auto request = core::job_arrived{};
    request.m_exchange = 5;
    core::reduce(node, milliseconds{1'100}, request, out);
    BOOST_TEST((test::last<core::answer_job>(out) == nullptr));
    out.clear();
    // Jobs that arrive during the start phase are held and refused at its end.
    core::reduce(node, milliseconds{9'000}, core::request_abandoned{6}, out);
    BOOST_TEST((test::last<core::answer_job>(out) != nullptr));
}

// Guards against two runs of a task after the whole machine was suspended: a
// start got no answer, and the worker's clock, which determines the end of the
// lease of that start, stopped during the suspension.
BOOST_AUTO_TEST_CASE(a_suspension_does_not_expire_the_lease_of_a_start)
{
    auto out = core::effects{};
    auto agent = core::node{};
    set_up_agent(agent, out);
    core::reduce(agent, milliseconds{1'010}, order(1, "00000000000000aa"), out);
    auto const first = *test::last<core::start_run>(out);
    core::reduce(
        agent, milliseconds{1'070},
        core::run_start_answered{first.m_run, core::worker_answer::unknown, 0},
        out);
    core::reduce(agent, milliseconds{4'070},
                 core::process_resumed{milliseconds{3'000}}, out);
    // Lists without the run, requested after the machine has resumed.
    for (auto round = 0; round < 4; ++round)
    {
        auto const polled = test::last<core::poll_runs>(out)->m_poll;
        core::reduce(agent, milliseconds{4'080 + 10 * round},
                     test::poll_answer(polled), out);
    }
    BOOST_TEST(agent.m_executor->running() == 1U);
}
