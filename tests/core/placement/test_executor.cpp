#include "core/desk_sample.hpp"
#include "core/placement/executor.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdint>
#include <variant>

namespace core = hickorylatch::core;
namespace test = hickorylatch::test;

using std::chrono::milliseconds;

namespace
{

constexpr auto entry = core::node_id{1};

auto count_ends(core::effects const& out) -> std::ptrdiff_t
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

/// An agent that knows its worker and one entry, and may start runs.
auto make_agent(core::effects& out) -> core::executor
{
    auto agent = core::executor{core::executor_settings{}};
    auto report = test::desk_worker_report();
    agent.reported(milliseconds{1'000}, report, out);
    agent.answered(milliseconds{1'000}, test::desk_worker_checked(), out);
    auto peer = core::hello{};
    peer.m_node = entry;
    peer.m_role = core::role::entry;
    agent.connected(milliseconds{1'000}, peer, out);
    agent.answered(milliseconds{1'001},
                   test::poll_answer(test::last<core::poll_runs>(out)->m_poll),
                   out);
    agent.receive(milliseconds{1'002}, entry,
                  core::contact_confirmed{milliseconds{1'001}, 0, 0}, out);
    return agent;
}

/// The last run end that was reported to the entry; null if there is none.
auto last_end(core::effects const& out) -> core::run_end const*
{
    core::run_end const* found = nullptr;
    for (auto const& each : out)
        if (auto const* sent = std::get_if<core::send>(&each))
            if (auto const* ends =
                    std::get_if<core::runs_ended>(&sent->m_message))
                found = &ends->m_ends.back();
    return found;
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

// Guards against counting a run as lost and starting it elsewhere: a list that
// was made before the run started may arrive after the answer to its start.
BOOST_AUTO_TEST_CASE(a_list_from_before_a_start_does_not_end_the_run)
{
    auto out = core::effects{};
    auto agent = make_agent(out);
    agent.receive(milliseconds{1'010}, entry, make_order(), out);
    auto const started = *test::last<core::start_run>(out);
    agent.answered(milliseconds{1'011},
                   test::poll_answer(test::last<core::poll_runs>(out)->m_poll),
                   out);
    auto const early = test::last<core::poll_runs>(out)->m_poll;
    out.clear();
    agent.answered(milliseconds{1'012},
                   core::run_start_answered{
                       started.m_run, core::worker_answer::accepted, 1'012},
                   out);
    agent.answered(milliseconds{1'013}, test::poll_answer(early), out);
    BOOST_TEST(agent.running() == 1U);
    BOOST_TEST(count_ends(out) == 0);
    // A list that was requested after the start was confirmed is conclusive.
    auto const* next = test::last<core::poll_runs>(out);
    BOOST_REQUIRE(next != nullptr);
    agent.answered(milliseconds{1'020}, test::poll_answer(next->m_poll), out);
    BOOST_TEST(agent.running() == 0U);
    BOOST_TEST(count_ends(out) == 1);
}

// Guards against two runs of a task: a start without an answer may be carried
// out just before its lease expires, and polls may extend the lease of all runs
// before a list shows this one.
BOOST_AUTO_TEST_CASE(only_a_later_list_settles_a_start_with_an_expired_lease)
{
    auto out = core::effects{};
    auto agent = make_agent(out);
    agent.receive(milliseconds{1'010}, entry, make_order(), out);
    auto const started = *test::last<core::start_run>(out);
    agent.answered(milliseconds{1'070},
                   core::run_start_answered{started.m_run,
                                            core::worker_answer::unknown, 0},
                   out);
    // The stop that revokes the start gets no answer either.
    agent.answered(milliseconds{1'071},
                   test::poll_answer(test::last<core::poll_runs>(out)->m_poll),
                   out);
    auto const early = test::last<core::poll_runs>(out)->m_poll;
    out.clear();
    auto const lease_expired_at = milliseconds{1'600};
    agent.tick(lease_expired_at, out);
    BOOST_TEST(agent.running() == 1U);
    BOOST_TEST(count_ends(out) == 0);
    auto const* asked = test::last<core::poll_runs>(out);
    BOOST_REQUIRE(asked != nullptr);
    // This list was made before the lease expired.
    agent.answered(milliseconds{1'601}, test::poll_answer(early), out);
    BOOST_TEST(agent.running() == 1U);
    auto list = test::poll_answer(asked->m_poll);
    list.m_clock_ms = 1'601;
    list.m_running = {started.m_run};
    agent.answered(milliseconds{1'602}, list, out);
    BOOST_TEST(agent.running() == 1U);
    BOOST_TEST(count_ends(out) == 0);
}

// Guards against an entry that drops a new end as a duplicate: it was frozen,
// and the agent removed its state and began to number ends anew.
BOOST_AUTO_TEST_CASE(end_numbers_continue_after_an_entry_was_removed)
{
    // Orders a run that is too large for the worker, so that it ends at once.
    auto const refused = [](core::executor& agent, core::time_point now)
    {
        auto order = make_order();
        order.m_runs.front().m_needs = {99'000, 64, 0};
        auto out = core::effects{};
        agent.receive(now, entry, order, out);
        auto number = std::uint64_t{0};
        for (auto const& each : out)
            if (auto const* sent = std::get_if<core::send>(&each))
                if (auto const* message =
                        std::get_if<core::runs_ended>(&sent->m_message))
                    number = message->m_number;
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

namespace
{

constexpr auto first_leader = core::node_id{11};
constexpr auto next_leader = core::node_id{12};

/// Messages with ends of runs that were sent to a process.
auto sent_ends(core::effects const& out, core::node_id to)
    -> std::vector<core::runs_ended>
{
    auto reported = std::vector<core::runs_ended>{};
    for (auto const& each : out)
        if (auto const* sent = std::get_if<core::send>(&each);
            sent != nullptr && sent->m_to == to)
            if (auto const* message =
                    std::get_if<core::runs_ended>(&sent->m_message))
                reported.push_back(*message);
    return reported;
}

/// An agent with one run of a durable job, and the reference of that run at the
/// worker.
struct agent_with_durable_run
{
    agent_with_durable_run() : m_agent{make_agent(m_out)}
    {
        m_agent.receive(milliseconds{1'003}, first_leader, core::lead_jobs{4},
                        m_out);
        confirm(milliseconds{1'004}, first_leader, 0);
        auto order = make_order();
        order.m_time_left_ms = 60'000;
        order.m_runs.front().m_expected_ms = 10'000;
        m_agent.receive(milliseconds{1'010}, first_leader, order, m_out);
        m_run = test::last<core::start_run>(m_out)->m_run;
        m_agent.answered(milliseconds{1'011},
                         core::run_start_answered{
                             m_run, core::worker_answer::accepted, 1'011},
                         m_out);
        m_poll = test::last<core::poll_runs>(m_out)->m_poll;
    }

    auto confirm(core::time_point now, core::node_id from, std::uint64_t ends)
        -> void
    {
        m_agent.receive(now, from, core::contact_confirmed{now, ends, 0, 0},
                        m_out);
    }

    /// The worker answers the poll with the end of the run.
    auto list_end(core::time_point now) -> void
    {
        auto list = test::poll_answer(m_poll);
        list.m_ended = {{1, m_run, core::run_outcome::succeeded}};
        m_agent.answered(now, list, m_out);
    }

    /// Number of the last end that was acknowledged to the worker.
    auto acknowledged() const -> std::uint64_t
    {
        return test::last<core::poll_runs>(m_out)->m_acknowledged;
    }

    core::effects m_out;
    core::executor m_agent;
    core::worker_run m_run;
    /// The poll that the worker answers when the run ends.
    std::uint64_t m_poll = 0;
};

} // namespace

// Guards against acknowledging an end of a durable job to the worker before the
// leader has stored it: if the leader were lost then, the task would run again.
BOOST_AUTO_TEST_CASE(an_end_is_acknowledged_once_the_leader_has_recorded_it)
{
    auto agent = agent_with_durable_run{};
    agent.list_end(milliseconds{1'100});
    auto const reported = sent_ends(agent.m_out, first_leader);
    BOOST_REQUIRE(reported.size() == 1U);
    BOOST_TEST(agent.acknowledged() == 0U);
    agent.confirm(milliseconds{1'110}, first_leader,
                  reported.front().m_number - 1);
    BOOST_TEST(agent.acknowledged() == 0U);
    agent.confirm(milliseconds{1'120}, first_leader, reported.front().m_number);
    BOOST_TEST(agent.acknowledged() == 1U);
}

// Guards against runs that are stopped, and ends that are not reported, after a
// change of the leader.
BOOST_AUTO_TEST_CASE(a_new_leader_receives_runs_and_ends)
{
    auto agent = agent_with_durable_run{};
    agent.m_out.clear();
    agent.m_agent.receive(milliseconds{1'500}, next_leader, core::lead_jobs{5},
                          agent.m_out);
    auto const listed = std::ranges::any_of(
        agent.m_out,
        [](core::effect const& each)
        {
            auto const* sent = std::get_if<core::send>(&each);
            auto const* message =
                sent == nullptr
                    ? nullptr
                    : std::get_if<core::worker_announcement>(&sent->m_message);
            return message != nullptr && sent->m_to == next_leader &&
                   message->m_runs.size() == 1;
        });
    BOOST_TEST(listed);
    // Messages of the previous leader are ignored.
    agent.m_agent.receive(milliseconds{1'501}, first_leader,
                          core::withdraw_runs{{{1, {0, 0}, 1}}}, agent.m_out);
    agent.m_agent.receive(milliseconds{1'502}, first_leader, core::lead_jobs{4},
                          agent.m_out);
    BOOST_TEST(test::last<core::stop_run>(agent.m_out) == nullptr);
    // The contact timeout continues across the change of the leader.
    agent.m_agent.tick(milliseconds{2'900}, agent.m_out);
    BOOST_TEST(test::last<core::stop_run>(agent.m_out) == nullptr);
    agent.list_end(milliseconds{2'901});
    BOOST_TEST(sent_ends(agent.m_out, next_leader).size() == 1U);
    BOOST_TEST(sent_ends(agent.m_out, first_leader).empty());
}

// Guards against two counted runs of a task: a leader that lost contact may
// have counted the run as lost and ordered another one, so its end may be
// acknowledged only after the worker's lease has expired.
BOOST_AUTO_TEST_CASE(
    no_run_starts_before_the_lease_expires_after_an_unrecorded_end)
{
    auto agent = agent_with_durable_run{};
    agent.list_end(milliseconds{1'100});
    agent.m_agent.disconnected(milliseconds{1'200}, first_leader, agent.m_out);
    agent.m_agent.tick(milliseconds{3'100}, agent.m_out);
    agent.m_out.clear();
    // A run of an entry is refused until then.
    agent.m_agent.receive(milliseconds{3'110}, entry,
                          core::contact_confirmed{milliseconds{3'110}, 0, 0},
                          agent.m_out);
    agent.m_agent.receive(milliseconds{3'111}, entry, make_order(),
                          agent.m_out);
    BOOST_TEST(test::last<core::start_run>(agent.m_out) == nullptr);
    agent.m_agent.tick(milliseconds{4'500}, agent.m_out);
    agent.m_agent.receive(milliseconds{4'510}, entry,
                          core::contact_confirmed{milliseconds{4'510}, 0, 0},
                          agent.m_out);
    auto order = make_order();
    order.m_order = 2;
    order.m_job_id = "00000000000000bb";
    agent.m_agent.receive(milliseconds{4'511}, entry, order, agent.m_out);
    BOOST_TEST(test::last<core::start_run>(agent.m_out) != nullptr);
}

// Guards against a restarted agent that acknowledges an end without knowing
// that it belongs to a durable job.
BOOST_AUTO_TEST_CASE(ends_of_an_earlier_process_are_reported_to_the_leader)
{
    auto out = core::effects{};
    auto agent = core::executor{core::executor_settings{}};
    auto report = test::desk_worker_report();
    agent.reported(milliseconds{1'000}, report, out);
    agent.answered(milliseconds{1'000}, test::desk_worker_checked(), out);
    auto list = test::poll_answer(test::last<core::poll_runs>(out)->m_poll);
    list.m_ended = {
        {1, {"00000000000000aa", {0, 3}, 1}, core::run_outcome::succeeded}};
    agent.answered(milliseconds{1'001}, list, out);
    BOOST_TEST(test::last<core::poll_runs>(out)->m_acknowledged == 0U);
    agent.receive(milliseconds{1'010}, first_leader, core::lead_jobs{4}, out);
    auto const reported = sent_ends(out, first_leader);
    BOOST_REQUIRE(reported.size() == 1U);
    BOOST_REQUIRE(reported.front().m_unmatched_ends.size() == 1U);
    BOOST_TEST(reported.front().m_unmatched_ends.front().m_job_id ==
               "00000000000000aa");
    agent.receive(milliseconds{1'020}, first_leader,
                  core::contact_confirmed{milliseconds{1'020},
                                          reported.front().m_number, 0, 0},
                  out);
    BOOST_TEST(test::last<core::poll_runs>(out)->m_acknowledged == 1U);
}

// Guards against duplicate orders around a change of the leader: the previous
// leader may continue to order runs, or reconnect after the next leader was
// lost, too.
BOOST_AUTO_TEST_CASE(orders_of_a_replaced_leader_are_ignored)
{
    auto agent = agent_with_durable_run{};
    agent.m_agent.receive(milliseconds{1'500}, next_leader, core::lead_jobs{5},
                          agent.m_out);
    agent.m_out.clear();
    auto late = make_order();
    late.m_order = 2;
    late.m_job_id = "00000000000000bb";
    agent.m_agent.receive(milliseconds{1'501}, first_leader, late, agent.m_out);
    BOOST_TEST(test::last<core::start_run>(agent.m_out) == nullptr);
    agent.list_end(milliseconds{1'600});
    auto const reported = sent_ends(agent.m_out, next_leader);
    BOOST_REQUIRE(reported.size() == 1U);
    agent.confirm(milliseconds{1'650}, next_leader, reported.front().m_number);
    agent.m_agent.disconnected(milliseconds{1'700}, next_leader, agent.m_out);
    // Long enough for the agent to remove the next leader.
    for (auto second = 4; second < 70; ++second)
        agent.m_agent.tick(std::chrono::seconds{second}, agent.m_out);
    agent.m_out.clear();
    agent.m_agent.receive(milliseconds{70'000}, first_leader,
                          core::lead_jobs{4}, agent.m_out);
    agent.confirm(milliseconds{70'001}, first_leader, 0);
    agent.m_agent.receive(milliseconds{70'002}, first_leader, late,
                          agent.m_out);
    BOOST_TEST(test::last<core::start_run>(agent.m_out) == nullptr);
}

// Guards against ending the runs of a worker that answers polls but sends no
// reports.
BOOST_AUTO_TEST_CASE(runs_continue_while_a_worker_sends_no_reports)
{
    auto out = core::effects{};
    auto agent = make_agent(out);
    auto order = make_order();
    order.m_time_left_ms = 60'000;
    order.m_runs.front().m_expected_ms = 30'000;
    agent.receive(milliseconds{1'010}, entry, order, out);
    auto const run = test::last<core::start_run>(out)->m_run;
    agent.answered(
        milliseconds{1'011},
        core::run_start_answered{run, core::worker_answer::accepted, 1'011},
        out);
    for (auto now = milliseconds{1'100}; now < milliseconds{21'000};
         now += milliseconds{50})
    {
        auto list = test::poll_answer(test::last<core::poll_runs>(out)->m_poll);
        list.m_clock_ms = now.count();
        list.m_running = {run};
        agent.answered(now, list, out);
        agent.receive(now, entry, core::contact_confirmed{now, 0, 0}, out);
        agent.tick(now, out);
    }
    BOOST_TEST(agent.running() == 1U);
    BOOST_TEST(test::last<core::stop_run>(out) == nullptr);
    BOOST_TEST(count_ends(out) == 0);
}

// Guards against using a worker that has left, because a restarted agent
// receives a delayed report of it.
BOOST_AUTO_TEST_CASE(a_delayed_report_does_not_restore_a_worker)
{
    auto out = core::effects{};
    auto agent = core::executor{core::executor_settings{}};
    auto peer = core::hello{};
    peer.m_node = entry;
    peer.m_role = core::role::entry;
    agent.connected(milliseconds{1'000}, peer, out);
    auto report = test::desk_worker_report();
    report.m_sequence = 9;
    agent.reported(milliseconds{1'000}, report, out);
    agent.receive(milliseconds{1'002}, entry,
                  core::contact_confirmed{milliseconds{1'001}, 0, 0}, out);
    agent.receive(milliseconds{1'003}, entry, make_order(), out);
    auto no_answer = test::desk_worker_checked();
    no_answer.m_answer = core::worker_answer::unreachable;
    for (auto now = milliseconds{1'100}; now < milliseconds{3'000};
         now += milliseconds{100})
    {
        agent.answered(now, no_answer, out);
        agent.tick(now, out);
    }
    BOOST_TEST(test::last<core::start_run>(out) == nullptr);
    BOOST_TEST(agent.waiting() == 0U);
    BOOST_TEST(agent.worker() == nullptr);
}

namespace
{

/// An agent that ordered the start of one run at incarnation 1 of worker "w"
/// and got no answer yet.
struct agent_with_start
{
    agent_with_start() : m_agent{make_agent(m_out)}
    {
        auto order = make_order();
        order.m_time_left_ms = 60'000;
        m_agent.receive(milliseconds{1'010}, entry, order, m_out);
        m_run = test::last<core::start_run>(m_out)->m_run;
        m_out.clear();
    }

    auto start_answered(core::worker_answer answer) -> void
    {
        m_agent.answered(milliseconds{1'022},
                         core::run_start_answered{m_run, answer, 0, 1}, m_out);
    }

    /// Incarnation 2 of the worker reports and confirms it.
    auto restart_worker() -> void
    {
        auto report = test::desk_worker_report();
        report.m_incarnation = 2;
        m_agent.reported(milliseconds{1'020}, report, m_out);
        m_agent.answered(
            milliseconds{1'021},
            core::worker_checked{"w", 2, core::worker_answer::accepted, 10},
            m_out);
    }

    /// The worker lists no runs, confirms the stop that the agent then orders,
    /// and lists none again.
    auto list_no_runs(std::int64_t incarnation) -> void
    {
        answer_poll(milliseconds{1'030}, incarnation);
        if (test::last<core::stop_run>(m_out) == nullptr)
            return;
        m_agent.answered(milliseconds{1'031},
                         core::run_stop_answered{m_run,
                                                 core::worker_answer::accepted,
                                                 1'031, incarnation},
                         m_out);
        answer_poll(milliseconds{1'032}, incarnation);
        m_agent.tick(milliseconds{1'200}, m_out);
        answer_poll(milliseconds{1'201}, incarnation);
    }

    auto answer_poll(core::time_point now, std::int64_t incarnation) -> void
    {
        auto list =
            test::poll_answer(test::last<core::poll_runs>(m_out)->m_poll);
        list.m_incarnation = incarnation;
        m_agent.answered(now, list, m_out);
    }

    core::effects m_out;
    core::executor m_agent;
    core::worker_run m_run;
};

/// An agent with one run in progress at worker "w".
struct agent_with_run : agent_with_start
{
    agent_with_run()
    {
        m_agent.answered(milliseconds{1'011},
                         core::run_start_answered{
                             m_run, core::worker_answer::accepted, 1'011, 1},
                         m_out);
        m_out.clear();
    }
};

/// A later report than that of `agent_with_run`, which differs in nothing else.
auto next_report() -> core::worker_report
{
    auto report = test::desk_worker_report();
    report.m_sequence = 2;
    report.m_clock_ms = 1'020;
    return report;
}

} // namespace

// Guards against two runs of a task: a report of another process, or a delayed
// one of an earlier incarnation, counted as the end of all runs at the worker.
BOOST_AUTO_TEST_CASE(a_report_that_the_worker_refutes_ends_no_run)
{
    auto foreign = next_report();
    foreign.m_name = "w2";
    foreign.m_service = "unknown";
    auto delayed = next_report();
    delayed.m_incarnation = 9;
    for (auto const& report : {foreign, delayed})
    {
        auto agent = agent_with_run{};
        auto& out = agent.m_out;
        agent.m_agent.reported(milliseconds{1'020}, report, out);
        BOOST_TEST(agent.m_agent.running() == 1U);
        auto const* check = test::last<core::check_worker>(out);
        BOOST_REQUIRE(check != nullptr);
        BOOST_TEST(check->m_target.m_worker == report.m_name);
        agent.m_agent.answered(
            milliseconds{1'021},
            core::worker_checked{report.m_name, report.m_incarnation,
                                 core::worker_answer::other_lifetime, 1'021},
            out);
        BOOST_TEST(agent.m_agent.running() == 1U);
        BOOST_TEST(count_ends(out) == 0);
        BOOST_TEST(agent.m_agent.worker()->m_name == "w");
        BOOST_TEST(agent.m_agent.worker()->m_incarnation == 1);
    }
}

// Guards against two runs of a task: it was started on the next incarnation of
// the worker before the first report of that arrived, which then counted as the
// end of all runs.
BOOST_AUTO_TEST_CASE(a_new_incarnation_decides_by_its_list_which_runs_continue)
{
    auto agent = agent_with_run{};
    agent.restart_worker();
    BOOST_TEST(agent.m_agent.worker()->m_incarnation == 2);
    BOOST_TEST(agent.m_agent.running() == 1U);
    auto const first = *test::last<core::poll_runs>(agent.m_out);
    BOOST_TEST(first.m_target.m_incarnation == 2);
    auto list = test::poll_answer(first.m_poll);
    list.m_incarnation = 2;
    list.m_running = {agent.m_run};
    agent.m_agent.answered(milliseconds{1'022}, list, agent.m_out);
    BOOST_TEST(agent.m_agent.running() == 1U);
    BOOST_TEST(count_ends(agent.m_out) == 0);
    // A list without the run ends it.
    agent.m_agent.tick(milliseconds{1'150}, agent.m_out);
    list.m_poll = test::last<core::poll_runs>(agent.m_out)->m_poll;
    list.m_running.clear();
    agent.m_agent.answered(milliseconds{1'151}, list, agent.m_out);
    BOOST_TEST(agent.m_agent.running() == 0U);
    BOOST_TEST(count_ends(agent.m_out) == 1);
}

// Guards against "not run" for a task that a worker began and crashed with: the
// lists and stops of the next incarnation say nothing about the one before.
BOOST_AUTO_TEST_CASE(only_the_incarnation_that_was_asked_refutes_a_start)
{
    for (auto const is_answer_late : {false, true})
    {
        auto agent = agent_with_start{};
        if (!is_answer_late)
            agent.start_answered(core::worker_answer::unknown);
        agent.restart_worker();
        if (is_answer_late)
            agent.start_answered(core::worker_answer::unknown);
        agent.list_no_runs(2);
        BOOST_TEST(agent.m_agent.running() == 0U);
        auto const* end = last_end(agent.m_out);
        BOOST_REQUIRE(end != nullptr);
        BOOST_TEST((end->m_outcome == core::run_outcome::lapsed));
        BOOST_TEST((end->m_reason == core::reason::agent_lost));
    }
}

// Guards against a refusal that is answered as uncertain: the incarnation that
// was asked has confirmed that the run can't start any more.
BOOST_AUTO_TEST_CASE(a_start_that_its_worker_refutes_is_refused)
{
    auto agent = agent_with_start{};
    agent.start_answered(core::worker_answer::unknown);
    agent.list_no_runs(1);
    auto const* end = last_end(agent.m_out);
    BOOST_REQUIRE(end != nullptr);
    BOOST_TEST((end->m_outcome == core::run_outcome::refused));
}

// Guards against a refusal that is answered as uncertain: the answer that the
// order was not sent, or that the worker rejected it, arrives after the next
// incarnation has reported.
BOOST_AUTO_TEST_CASE(a_late_rejection_by_an_earlier_incarnation_counts)
{
    for (auto const answer :
         {core::worker_answer::unreachable, core::worker_answer::restarted,
          core::worker_answer::unhealthy, core::worker_answer::no_room})
    {
        auto agent = agent_with_start{};
        agent.restart_worker();
        agent.start_answered(answer);
        BOOST_TEST(agent.m_agent.running() == 0U);
        auto const* end = last_end(agent.m_out);
        BOOST_REQUIRE(end != nullptr);
        BOOST_TEST((end->m_outcome == core::run_outcome::refused));
    }
}

// Guards against two runs of a task: a delayed departure of an earlier
// incarnation counted as the end of all runs.
BOOST_AUTO_TEST_CASE(a_departure_ends_no_run_that_the_worker_still_lists)
{
    auto agent = agent_with_run{};
    auto& out = agent.m_out;
    agent.m_agent.left(milliseconds{1'020}, core::worker_left{"w"}, out);
    BOOST_TEST(agent.m_agent.running() == 1U);
    BOOST_TEST(count_ends(out) == 0);
    auto const* polled = test::last<core::poll_runs>(out);
    BOOST_REQUIRE(polled != nullptr);
    auto list = test::poll_answer(polled->m_poll);
    list.m_running = {agent.m_run};
    agent.m_agent.answered(milliseconds{1'021}, list, out);
    BOOST_TEST(agent.m_agent.running() == 1U);
    // The worker is used again once it reports that it accepts runs.
    agent.m_agent.reported(milliseconds{1'030}, next_report(), out);
    BOOST_TEST(agent.m_agent.worker()->m_is_accepting);
}

// Guards against reports that another process wrote under the name and the
// incarnation of the worker: they must not change what the worker offers, nor
// make its own next report look outdated.
BOOST_AUTO_TEST_CASE(a_damaged_report_of_the_same_incarnation_is_ignored)
{
    auto service = next_report();
    service.m_service = "unknown";
    auto capacity = next_report();
    capacity.m_capacity = {4'000'000'000, 1'024, 0};
    auto sequence = next_report();
    sequence.m_sequence = std::uint64_t{1} << 62U;
    auto clock = next_report();
    clock.m_clock_ms = std::int64_t{1} << 53U;
    for (auto const& damaged : {service, capacity, sequence, clock})
    {
        auto agent = agent_with_run{};
        agent.m_agent.reported(milliseconds{1'020}, damaged, agent.m_out);
        BOOST_TEST(agent.m_agent.worker()->m_sequence == 1U);
        auto own = next_report();
        own.m_is_accepting = false;
        agent.m_agent.reported(milliseconds{1'030}, own, agent.m_out);
        BOOST_TEST(!agent.m_agent.worker()->m_is_accepting);
        BOOST_TEST(agent.m_agent.running() == 1U);
    }
}

// Guards against a worker that is out of use for good because the first report
// that was accepted was a damaged one.
BOOST_AUTO_TEST_CASE(a_changed_report_is_accepted_after_a_silence)
{
    auto agent = agent_with_run{};
    auto changed = next_report();
    changed.m_capacity = {8'000, 1'024, 0};
    agent.m_agent.reported(milliseconds{1'020}, changed, agent.m_out);
    BOOST_TEST(agent.m_agent.worker()->m_sequence == 1U);
    ++changed.m_sequence;
    agent.m_agent.reported(milliseconds{6'001}, changed, agent.m_out);
    BOOST_TEST(agent.m_agent.worker()->m_sequence == 3U);
}

// Guards against a late answer of an earlier incarnation that sets the clock by
// which the leases of the next one are counted.
BOOST_AUTO_TEST_CASE(answers_of_an_earlier_incarnation_are_ignored)
{
    auto agent = agent_with_run{};
    agent.restart_worker();
    agent.m_agent.answered(
        milliseconds{1'022},
        core::run_stop_answered{agent.m_run, core::worker_answer::accepted,
                                900'000, 1},
        agent.m_out);
    agent.m_agent.receive(milliseconds{1'030}, entry,
                          core::contact_confirmed{milliseconds{1'030}, 0, 0},
                          agent.m_out);
    agent.m_agent.answered(
        milliseconds{1'031},
        test::poll_answer(test::last<core::poll_runs>(agent.m_out)->m_poll),
        agent.m_out);
    auto order = make_order();
    order.m_order = 2;
    order.m_job_id = "00000000000000bb";
    agent.m_agent.receive(milliseconds{1'040}, entry, order, agent.m_out);
    auto const* started = test::last<core::start_run>(agent.m_out);
    BOOST_REQUIRE(started != nullptr);
    BOOST_TEST(started->m_lease_until_ms < 10'000);
}

// Guards against an agent that polls in a loop without a pause while its worker
// is gone and each connection is refused at once.
BOOST_AUTO_TEST_CASE(refused_polls_are_spaced_out)
{
    auto agent = agent_with_run{};
    auto& out = agent.m_out;
    auto now = milliseconds{1'020};
    agent.m_agent.left(now, core::worker_left{"w"}, out);
    auto answered = std::uint64_t{0};
    auto polls = 0;
    for (; now < milliseconds{1'120}; now += milliseconds{1})
    {
        agent.m_agent.tick(now, out);
        for (auto const* poll = test::last<core::poll_runs>(out);
             poll != nullptr && poll->m_poll > answered && polls < 1'000;
             poll = test::last<core::poll_runs>(out))
        {
            ++polls;
            auto refused = core::runs_polled{};
            refused.m_poll = answered = poll->m_poll;
            refused.m_answer = core::worker_answer::unreachable;
            agent.m_agent.answered(now, refused, out);
        }
    }
    BOOST_TEST(polls >= 2);
    BOOST_TEST(polls <= 12);
}
