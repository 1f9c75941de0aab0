#include "core/jobs/job_runner.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <variant>

namespace core = hickorylatch::core;

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr auto agent = core::node_id{101};
constexpr auto other_agent = core::node_id{102};

/// A leader with a job runner. Its proposals are committed by the test.
struct test_leader
{
    explicit test_leader(core::job_store_image image = {})
        : m_store{std::move(image)}, m_runner{core::job_runner_settings{},
                                              m_store, m_now, 1}
    {
        m_random.seed(5);
    }

    auto commit(core::command wanted) -> void
    {
        auto entry = core::log_entry{++m_index, 1, std::move(wanted)};
        if (auto const* accepted =
                std::get_if<core::accept_job>(&entry.m_command))
            m_store.apply(entry.m_index, *accepted);
        else if (auto const* ends =
                     std::get_if<core::record_ends>(&entry.m_command))
            m_store.apply(*ends);
        else if (auto const* agents =
                     std::get_if<core::change_agents>(&entry.m_command))
            m_store.apply(*agents);
        else if (auto const* dropped =
                     std::get_if<core::drop_job>(&entry.m_command))
            m_store.apply(*dropped);
        else if (auto const* forgotten =
                     std::get_if<core::forget_jobs>(&entry.m_command))
            m_store.apply(*forgotten);
        m_runner.applied(m_now, entry, m_random, m_out);
    }

    auto commit_all() -> void
    {
        for (auto& wanted : m_runner.take_proposals())
            commit(std::move(wanted));
    }

    auto receive(core::node_id from, core::message const& incoming) -> void
    {
        m_runner.receive(m_now, from, incoming, 1, m_random, m_out);
    }

    /// Connects an agent whose worker has free resources.
    auto add_agent(core::node_id node, std::vector<core::run_ref> runs = {})
        -> void
    {
        m_runner.connected(node, m_out);
        commit_all();
        announce(node, std::move(runs));
    }

    auto announce(core::node_id node, std::vector<core::run_ref> runs) -> void
    {
        auto announcement = core::worker_announcement{};
        announcement.m_worker.m_name = "w";
        announcement.m_worker.m_incarnation = 1;
        announcement.m_worker.m_service = "desk";
        announcement.m_worker.m_capacity = {8'000, 1'024, 0};
        announcement.m_failure_domain = "klang";
        announcement.m_runs = std::move(runs);
        receive(node, announcement);
        auto load = core::worker_load{};
        load.m_accepts = core::acceptance::full;
        load.m_free = {8'000, 1'024, 0};
        receive(node, load);
    }

    auto accept(std::string id, std::uint32_t tasks) -> std::uint64_t
    {
        auto wanted = core::accept_job{};
        wanted.m_job.m_id = std::move(id);
        wanted.m_job.m_is_durable = true;
        auto step = core::job_step{};
        step.m_count = tasks;
        step.m_needs = {1'000, 64, 0};
        step.m_declared_ms = 100;
        wanted.m_job.m_steps = {step};
        wanted.m_queue.m_service = "desk";
        wanted.m_queue.m_failure_limit = 3;
        commit(wanted);
        return m_index;
    }

    auto report_end(core::node_id node, std::uint64_t number, core::run_ref run,
                    core::run_outcome outcome = core::run_outcome::succeeded,
                    core::reason why = core::reason::none) -> void
    {
        receive(node, core::runs_ended{number, {{run, outcome, why, 100}}, {}});
    }

    /// Runs ordered at an agent so far.
    auto ordered_runs(core::node_id node) const -> std::vector<core::run_order>
    {
        auto runs = std::vector<core::run_order>{};
        for (auto const& each : m_out)
            if (auto const* sent = std::get_if<core::send>(&each);
                sent != nullptr && sent->m_to == node)
                if (auto const* order =
                        std::get_if<core::order_runs>(&sent->m_message))
                    runs.insert(runs.end(), order->m_runs.begin(),
                                order->m_runs.end());
        return runs;
    }

    /// Number of the last ends that are acknowledged to an agent.
    auto acknowledged_ends(core::node_id node) -> std::uint64_t
    {
        m_out.clear();
        m_now += seconds{1};
        announce(node, {});
        auto number = std::uint64_t{0};
        for (auto const& each : m_out)
            if (auto const* sent = std::get_if<core::send>(&each);
                sent != nullptr && sent->m_to == node)
                if (auto const* confirmation =
                        std::get_if<core::contact_confirmed>(&sent->m_message))
                    number = confirmation->m_acknowledged_ends;
        return number;
    }

    core::time_point m_now{seconds{10}};
    core::random_source m_random;
    core::effects m_out;
    core::job_store m_store;
    core::log_index m_index = 10;
    core::job_runner m_runner;
};

/// State of a leader that has ordered one task at an agent.
auto image_with_one_ordered_task() -> core::job_store_image
{
    auto previous = test_leader{};
    previous.add_agent(agent);
    previous.accept("a", 1);
    return previous.m_store.image();
}

} // namespace

// Guards against runs at an agent that is unknown to the next leader.
BOOST_AUTO_TEST_CASE(runs_are_ordered_only_at_agents_in_the_log)
{
    auto leader = test_leader{};
    leader.m_runner.connected(agent, leader.m_out);
    leader.accept("a", 1);
    BOOST_TEST(leader.ordered_runs(agent).empty());
    BOOST_TEST(leader.m_out.size() == 1U); // only a log line
    leader.commit_all();
    leader.announce(agent, {});
    leader.m_now += milliseconds{50};
    leader.m_runner.tick(leader.m_now, leader.m_random, leader.m_out);
    BOOST_TEST(leader.ordered_runs(agent).size() == 1U);
}

// Guards against an end that is acknowledged, and thus discarded by the worker,
// before it is committed.
BOOST_AUTO_TEST_CASE(ends_are_acknowledged_after_their_commit)
{
    auto leader = test_leader{};
    leader.add_agent(agent);
    auto const job = leader.accept("a", 1);
    BOOST_REQUIRE(leader.ordered_runs(agent).size() == 1U);
    leader.report_end(agent, 1, {job, {0, 0}, 1});
    BOOST_TEST(leader.acknowledged_ends(agent) == 0U);
    BOOST_TEST((leader.m_store.find(job)->m_state == core::job_state::queued));
    leader.commit_all();
    BOOST_TEST(
        (leader.m_store.find(job)->m_state == core::job_state::completed));
    BOOST_TEST(leader.acknowledged_ends(agent) == 1U);
}

// Guards against a task that runs twice because its agent reconnects, or first
// announces itself to a new leader, while the end of its run is being recorded.
BOOST_AUTO_TEST_CASE(a_task_is_not_placed_again_while_its_end_is_recorded)
{
    auto leader = test_leader{};
    leader.add_agent(agent);
    auto const job = leader.accept("a", 1);
    leader.report_end(agent, 1, {job, {0, 0}, 1});
    leader.m_runner.disconnected(leader.m_now, agent);
    leader.m_out.clear();
    leader.add_agent(agent);
    BOOST_TEST(leader.ordered_runs(agent).empty());

    auto successor = test_leader{image_with_one_ordered_task()};
    auto const number = successor.m_store.jobs().begin()->first;
    successor.m_runner.connected(agent, successor.m_out);
    successor.report_end(agent, 4, {number, {0, 0}, 1});
    successor.announce(agent, {});
    successor.m_now += milliseconds{50};
    successor.m_runner.tick(successor.m_now, successor.m_random,
                            successor.m_out);
    BOOST_TEST(successor.ordered_runs(agent).empty());
    successor.commit_all();
    BOOST_TEST((successor.m_store.find(number)->m_state ==
                core::job_state::completed));
}

// Guards against a second run of a task whose run the previous leader ordered.
BOOST_AUTO_TEST_CASE(a_new_leader_adopts_runs)
{
    auto successor = test_leader{image_with_one_ordered_task()};
    auto const number = successor.m_store.jobs().begin()->first;
    successor.add_agent(other_agent);
    // The agent that may hold the run has not announced itself yet.
    successor.m_now += milliseconds{500};
    successor.m_runner.tick(successor.m_now, successor.m_random,
                            successor.m_out);
    BOOST_TEST(successor.ordered_runs(other_agent).empty());
    successor.add_agent(agent, {{number, {0, 0}, 2}});
    successor.m_now += milliseconds{50};
    successor.m_runner.tick(successor.m_now, successor.m_random,
                            successor.m_out);
    BOOST_TEST(successor.ordered_runs(other_agent).empty());
    BOOST_TEST(successor.ordered_runs(agent).empty());
    successor.report_end(agent, 1, {number, {0, 0}, 2});
    successor.commit_all();
    BOOST_TEST((successor.m_store.find(number)->m_state ==
                core::job_state::completed));
}

// Guards against a job that waits forever for a lost agent, and against one
// that is restarted before its runs at that agent have certainly ended: the
// agent keeps them for 2 s, and their lease lasts 1 s longer.
BOOST_AUTO_TEST_CASE(runs_of_a_lost_agent_are_restarted_elsewhere)
{
    auto successor = test_leader{image_with_one_ordered_task()};
    successor.add_agent(other_agent);
    for (auto step = 0; step < 30; ++step)
    {
        successor.m_now += milliseconds{100};
        successor.announce(other_agent, {});
        successor.m_runner.tick(successor.m_now, successor.m_random,
                                successor.m_out);
    }
    BOOST_TEST(successor.ordered_runs(other_agent).empty());
    for (auto step = 0; step < 20; ++step)
    {
        successor.m_now += milliseconds{100};
        successor.announce(other_agent, {});
        successor.m_runner.tick(successor.m_now, successor.m_random,
                                successor.m_out);
    }
    BOOST_TEST(successor.ordered_runs(other_agent).size() == 1U);
    // The agent is removed from the log, so the next leader need not wait for
    // it.
    successor.commit_all();
    BOOST_TEST(!successor.m_store.agents().contains(agent));
}

// Guards against a second run of a task whose end is reported by a restarted
// agent, which has no order for that run.
BOOST_AUTO_TEST_CASE(an_unmatched_end_completes_its_task)
{
    auto leader = test_leader{};
    leader.add_agent(agent);
    auto const job = leader.accept("a", 1);
    leader.m_runner.disconnected(leader.m_now, agent);
    leader.m_out.clear();
    leader.add_agent(other_agent);
    leader.receive(
        other_agent,
        core::runs_ended{1, {}, {{"a", {0, 0}, core::run_outcome::succeeded}}});
    leader.commit_all();
    BOOST_TEST(
        (leader.m_store.find(job)->m_state == core::job_state::completed));
    BOOST_TEST(leader.ordered_runs(other_agent).empty());
    BOOST_TEST(leader.acknowledged_ends(other_agent) == 1U);
}

// Guards against runs of a cancelled job.
BOOST_AUTO_TEST_CASE(a_cancelled_job_is_withdrawn)
{
    auto leader = test_leader{};
    leader.add_agent(agent);
    auto const job = leader.accept("a", 2);
    leader.m_out.clear();
    leader.commit(core::drop_job{job});
    auto const is_withdrawn = std::ranges::any_of(
        leader.m_out,
        [](core::effect const& each)
        {
            auto const* sent = std::get_if<core::send>(&each);
            return sent != nullptr &&
                   std::holds_alternative<core::withdraw_runs>(sent->m_message);
        });
    BOOST_TEST(is_withdrawn);
    // Its state can still be queried until the retention time is over.
    leader.m_now += seconds{119};
    leader.m_runner.tick(leader.m_now, leader.m_random, leader.m_out);
    BOOST_TEST(leader.m_runner.take_proposals().empty());
    leader.m_now += seconds{2};
    leader.m_runner.tick(leader.m_now, leader.m_random, leader.m_out);
    leader.commit_all();
    BOOST_TEST(leader.m_store.find(job) == nullptr);
}

// Guards against a leader that counts jobs as waiting although tasks of them
// ended under an earlier leader.
BOOST_AUTO_TEST_CASE(a_restored_job_with_ended_runs_is_not_waiting)
{
    for (auto const outcome :
         {core::run_outcome::succeeded, core::run_outcome::failed})
    {
        auto previous = test_leader{};
        previous.add_agent(agent);
        auto const job = previous.accept("a", 2);
        previous.report_end(agent, 1, {job, {0, 0}, 1}, outcome);
        previous.commit_all();
        auto const leader = test_leader{previous.m_store.image()};
        BOOST_TEST(leader.m_runner.waiting_jobs("") == 0U);
    }
}

// Guards against a durable job that ends because workers crashed: only failed
// runs count towards the limit of its queue.
BOOST_AUTO_TEST_CASE(lost_runs_do_not_end_a_durable_job)
{
    auto leader = test_leader{};
    leader.add_agent(agent);
    auto const job = leader.accept("a", 1);
    for (auto run = 1U; run <= 5; ++run)
    {
        BOOST_TEST(leader.ordered_runs(agent).size() == run);
        leader.report_end(agent, run, {job, {0, 0}, run},
                          core::run_outcome::lapsed, core::reason::agent_lost);
    }
    BOOST_TEST(leader.ordered_runs(agent).size() == 6U);
}

// Guards against runs of durable jobs that are ordered in an evacuated failure
// domain, and against jobs that stay there unplaced after its restore.
BOOST_AUTO_TEST_CASE(durable_jobs_wait_for_the_restore_of_a_domain)
{
    auto leader = test_leader{};
    leader.add_agent(agent);
    leader.m_runner.set_evacuations(leader.m_now, {11, {"klang"}},
                                    leader.m_random, leader.m_out);
    leader.accept("a", 1);
    BOOST_TEST(leader.ordered_runs(agent).empty());
    leader.m_runner.set_evacuations(leader.m_now, {12, {}}, leader.m_random,
                                    leader.m_out);
    leader.m_now += milliseconds{50};
    leader.announce(agent, {});
    leader.m_runner.tick(leader.m_now, leader.m_random, leader.m_out);
    BOOST_TEST(leader.ordered_runs(agent).size() == 1U);
}
