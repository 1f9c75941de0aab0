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

/// A leader whose proposals are committed when a test says so.
struct leader
{
    explicit leader(core::job_store_image image = {})
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

    /// Connects an agent whose worker has room.
    auto add_agent(core::node_id node, std::vector<core::run_ref> runs = {})
        -> void
    {
        m_runner.connected(node, m_out);
        commit_all();
        announce(node, std::move(runs));
    }

    auto announce(core::node_id node, std::vector<core::run_ref> runs) -> void
    {
        auto news = core::worker_announcement{};
        news.m_worker.m_name = "w";
        news.m_worker.m_incarnation = 1;
        news.m_worker.m_service = "desk";
        news.m_worker.m_capacity = {8'000, 1'024, 0};
        news.m_runs = std::move(runs);
        receive(node, news);
        auto load = core::worker_load{};
        load.m_accepts = core::acceptance::full;
        load.m_free = {8'000, 1'024, 0};
        receive(node, load);
    }

    auto accept(std::string id, std::uint32_t tasks) -> std::uint64_t
    {
        auto wanted = core::accept_job{};
        wanted.m_job.m_id = std::move(id);
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

    auto end(core::node_id node, std::uint64_t number, core::run_ref run,
             core::run_outcome how = core::run_outcome::succeeded) -> void
    {
        receive(node, core::runs_ended{
                          number, {{run, how, core::reason::none, 100}}, {}});
    }

    /// Runs that were ordered at an agent.
    auto ordered(core::node_id node) const -> std::vector<core::run_order>
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

    /// Number of ends that an agent was last told to have arrived.
    auto confirmed(core::node_id node) -> std::uint64_t
    {
        m_out.clear();
        m_now += seconds{1};
        announce(node, {});
        auto number = std::uint64_t{0};
        for (auto const& each : m_out)
            if (auto const* sent = std::get_if<core::send>(&each);
                sent != nullptr && sent->m_to == node)
                if (auto const* news =
                        std::get_if<core::contact_confirmed>(&sent->m_message))
                    number = news->m_acknowledged_ends;
        return number;
    }

    core::time_point m_now{seconds{10}};
    core::random_source m_random;
    core::effects m_out;
    core::job_store m_store;
    core::log_index m_index = 10;
    core::job_runner m_runner;
};

/// What a leader leaves behind that had ordered one task at an agent.
auto image_of_an_earlier_leader() -> core::job_store_image
{
    auto before = leader{};
    before.add_agent(agent);
    before.accept("a", 1);
    return before.m_store.image();
}

} // namespace

// Guards against runs at an agent that the next leader does not know of.
BOOST_AUTO_TEST_CASE(runs_are_ordered_only_at_agents_that_the_log_names)
{
    auto present = leader{};
    present.m_runner.connected(agent, present.m_out);
    present.accept("a", 1);
    BOOST_TEST(present.ordered(agent).empty());
    BOOST_TEST(present.m_out.size() == 1U); // a line of the log
    present.commit_all();
    present.announce(agent, {});
    present.m_now += milliseconds{50};
    present.m_runner.tick(present.m_now, present.m_random, present.m_out);
    BOOST_TEST(present.ordered(agent).size() == 1U);
}

// Guards against an end that the worker may forget before it is stored.
BOOST_AUTO_TEST_CASE(an_end_is_confirmed_once_it_is_recorded)
{
    auto present = leader{};
    present.add_agent(agent);
    auto const job = present.accept("a", 1);
    BOOST_REQUIRE(present.ordered(agent).size() == 1U);
    present.end(agent, 1, {job, {0, 0}, 1});
    BOOST_TEST(present.confirmed(agent) == 0U);
    BOOST_TEST((present.m_store.find(job)->m_state == core::job_state::queued));
    present.commit_all();
    BOOST_TEST(
        (present.m_store.find(job)->m_state == core::job_state::completed));
    BOOST_TEST(present.confirmed(agent) == 1U);
}

// Guards against a task that runs twice because its agent's link was renewed,
// or its agent was heard first, while the end of its run was being recorded.
BOOST_AUTO_TEST_CASE(a_task_is_not_placed_again_while_its_end_is_recorded)
{
    auto present = leader{};
    present.add_agent(agent);
    auto const job = present.accept("a", 1);
    present.end(agent, 1, {job, {0, 0}, 1});
    present.m_runner.disconnected(present.m_now, agent);
    present.m_out.clear();
    present.add_agent(agent);
    BOOST_TEST(present.ordered(agent).empty());

    auto next = leader{image_of_an_earlier_leader()};
    auto const number = next.m_store.jobs().begin()->first;
    next.m_runner.connected(agent, next.m_out);
    next.end(agent, 4, {number, {0, 0}, 1});
    next.announce(agent, {});
    next.m_now += milliseconds{50};
    next.m_runner.tick(next.m_now, next.m_random, next.m_out);
    BOOST_TEST(next.ordered(agent).empty());
    next.commit_all();
    BOOST_TEST(
        (next.m_store.find(number)->m_state == core::job_state::completed));
}

// Guards against a second run beside one that the leader before ordered.
BOOST_AUTO_TEST_CASE(a_new_leader_takes_runs_over)
{
    auto next = leader{image_of_an_earlier_leader()};
    auto const number = next.m_store.jobs().begin()->first;
    next.add_agent(other_agent);
    // The agent that may hold the run was not heard yet.
    next.m_now += milliseconds{500};
    next.m_runner.tick(next.m_now, next.m_random, next.m_out);
    BOOST_TEST(next.ordered(other_agent).empty());
    next.add_agent(agent, {{number, {0, 0}, 2}});
    next.m_now += milliseconds{50};
    next.m_runner.tick(next.m_now, next.m_random, next.m_out);
    BOOST_TEST(next.ordered(other_agent).empty());
    BOOST_TEST(next.ordered(agent).empty());
    next.end(agent, 1, {number, {0, 0}, 2});
    next.commit_all();
    BOOST_TEST(
        (next.m_store.find(number)->m_state == core::job_state::completed));
}

// Guards against a job that waits for ever for an agent that is gone, and
// against one that is started before its runs there have certainly ended: the
// agent keeps them for 2 s, their lease lasts 1 s more.
BOOST_AUTO_TEST_CASE(runs_of_a_lost_agent_are_ordered_elsewhere_later)
{
    auto next = leader{image_of_an_earlier_leader()};
    next.add_agent(other_agent);
    for (auto step = 0; step < 30; ++step)
    {
        next.m_now += milliseconds{100};
        next.announce(other_agent, {});
        next.m_runner.tick(next.m_now, next.m_random, next.m_out);
    }
    BOOST_TEST(next.ordered(other_agent).empty());
    for (auto step = 0; step < 20; ++step)
    {
        next.m_now += milliseconds{100};
        next.announce(other_agent, {});
        next.m_runner.tick(next.m_now, next.m_random, next.m_out);
    }
    BOOST_TEST(next.ordered(other_agent).size() == 1U);
    // The next leader need not wait for it again.
    next.commit_all();
    BOOST_TEST(!next.m_store.agents().contains(agent));
}

// Guards against a second run of a task whose end only a new process of its
// agent can tell.
BOOST_AUTO_TEST_CASE(an_end_that_an_agent_finds_counts)
{
    auto present = leader{};
    present.add_agent(agent);
    auto const job = present.accept("a", 1);
    present.m_runner.disconnected(present.m_now, agent);
    present.m_out.clear();
    present.add_agent(other_agent);
    present.receive(
        other_agent,
        core::runs_ended{1, {}, {{"a", {0, 0}, core::run_outcome::succeeded}}});
    present.commit_all();
    BOOST_TEST(
        (present.m_store.find(job)->m_state == core::job_state::completed));
    BOOST_TEST(present.ordered(other_agent).empty());
    BOOST_TEST(present.confirmed(other_agent) == 1U);
}

// Guards against runs of a job that was cancelled.
BOOST_AUTO_TEST_CASE(a_cancelled_job_is_taken_back)
{
    auto present = leader{};
    present.add_agent(agent);
    auto const job = present.accept("a", 2);
    present.m_out.clear();
    present.commit(core::drop_job{job});
    auto const is_withdrawn = std::ranges::any_of(
        present.m_out,
        [](core::effect const& each)
        {
            auto const* sent = std::get_if<core::send>(&each);
            return sent != nullptr &&
                   std::holds_alternative<core::withdraw_runs>(sent->m_message);
        });
    BOOST_TEST(is_withdrawn);
    // Its state can be asked for, for a while.
    present.m_now += seconds{119};
    present.m_runner.tick(present.m_now, present.m_random, present.m_out);
    BOOST_TEST(present.m_runner.take_proposals().empty());
    present.m_now += seconds{2};
    present.m_runner.tick(present.m_now, present.m_random, present.m_out);
    present.commit_all();
    BOOST_TEST(present.m_store.find(job) == nullptr);
}
