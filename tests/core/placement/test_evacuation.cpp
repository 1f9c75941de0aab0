#include "core/desk_sample.hpp"
#include "core/placement/placement_world.hpp"
#include "core/placement/run_placer.hpp"

#include <boost/test/unit_test.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace core = hickorylatch::core;

using hickorylatch::test::make_job;
using hickorylatch::test::placement_world;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

/// Entries "e1" and "e2" and workers "w1" to "w3" of 16 cores, one in each of
/// the failure domains "d1" to "d3". Only "w1" has the label "x86", and only
/// "w2" has 24 cores.
auto make_world() -> std::unique_ptr<placement_world>
{
    auto world = std::make_unique<placement_world>();
    world->add_entry("e1", "d1");
    world->add_entry("e2", "d2");
    world->add_worker("w1", {.m_capacity = {16'000, 131'072, 0}}, {"x86"},
                      "d1");
    world->add_worker("w2", {.m_capacity = {24'000, 131'072, 0}}, {}, "d2");
    world->add_worker("w3", {.m_capacity = {16'000, 131'072, 0}}, {}, "d3");
    world->configure();
    world->run_for(seconds{1});
    return world;
}

auto make_short_job(std::string id, std::uint32_t tasks) -> core::step_job
{
    return make_job(std::move(id), tasks, milliseconds{100}, milliseconds{100});
}

auto require_label(core::step_job job, std::string label) -> core::step_job
{
    job.m_steps.front().m_required_label = std::move(label);
    return job;
}

auto is_completed(placement_world const& world, core::exchange_id exchange)
    -> bool
{
    auto const* answer = world.answer(exchange);
    return answer != nullptr &&
           answer->m_verdict.m_run == core::run_state::ran &&
           answer->m_state == core::job_state::completed;
}

/// True if the job was answered within the time as not run, to be sent again
/// later.
auto is_refused_within(placement_world const& world, core::exchange_id exchange,
                       core::duration limit) -> bool
{
    auto const* answer = world.answer(exchange);
    return answer != nullptr &&
           answer->m_verdict.m_run == core::run_state::not_run &&
           answer->m_verdict.m_retry_after_ms != 0 && answer->m_age <= limit;
}

auto starts_at(placement_world& world, std::string const& worker) -> unsigned
{
    return static_cast<unsigned>(world.worker(worker).starts());
}

} // namespace

// Guards against messages that a deployment without evacuations does not need.
BOOST_AUTO_TEST_CASE(nothing_is_sent_without_an_evacuation)
{
    auto world = make_world();
    world->restart_agent("w1");
    world->run_for(seconds{1});
    BOOST_TEST(world->sent("evacuations") == 0U);
}

// Guards against orders and reservations for agents in an evacuated domain, and
// against agents that learn of the evacuation only from a control replica.
BOOST_AUTO_TEST_CASE(entries_forward_the_set_and_order_elsewhere)
{
    auto world = make_world();
    world->evacuate({5, {"d1"}}, {"e1"});
    world->run_for(milliseconds{20});
    BOOST_TEST(world->logged("evacuations_adopted") == 4U);
    auto jobs = std::vector<core::exchange_id>{};
    auto const before = starts_at(*world, "w1");
    for (auto number = 0; number < 20; ++number)
    {
        jobs.push_back(world->submit(
            "e1", "normal", make_short_job("a" + std::to_string(number), 4),
            seconds{10}));
        world->run_for(milliseconds{20});
    }
    world->run_for(seconds{8});
    for (auto const job : jobs)
        BOOST_TEST(is_completed(*world, job));
    BOOST_TEST(starts_at(*world, "w1") == before);
    BOOST_TEST(world->logged("run_refused") == 0U);
    BOOST_TEST(world->double_runs() == 0U);
}

// Guards against starts that an entry without the evacuation orders, and
// against an entry that repeats its refused orders until it learns of it.
BOOST_AUTO_TEST_CASE(orders_of_an_entry_that_has_not_heard_are_refused)
{
    auto world = make_world();
    auto jobs = std::vector<core::exchange_id>{};
    auto const post = [&](int number)
    {
        jobs.push_back(world->submit(
            "e2", "normal", make_short_job("a" + std::to_string(number), 2),
            seconds{10}));
    };
    // The set arrives at the agent 1 ms later, and so do these orders.
    world->evacuate({5, {"d1"}}, {"e1"});
    world->run_for(microseconds{500});
    for (auto number = 0; number < 4; ++number)
        post(number);
    world->run_for(microseconds{600});
    auto const before = starts_at(*world, "w1");
    for (auto number = 4; number < 24; ++number)
    {
        post(number);
        world->run_for(milliseconds{10});
    }
    world->run_for(seconds{8});
    for (auto const job : jobs)
        BOOST_TEST(is_completed(*world, job));
    BOOST_TEST(before == 0U);
    BOOST_TEST(starts_at(*world, "w1") == 0U);
    BOOST_TEST_MESSAGE("refused runs: " << world->logged("run_refused"));
    BOOST_TEST(world->logged("run_refused") != 0U);
    BOOST_TEST(world->logged("run_refused") <= 20U);
}

// Guards against ending the runs that are in progress in the domain.
BOOST_AUTO_TEST_CASE(runs_in_progress_end_normally)
{
    auto world = make_world();
    auto const job = world->submit(
        "e1", "normal",
        require_label(make_job("a", 2, milliseconds{800}, milliseconds{800}),
                      "x86"),
        seconds{10});
    world->run_for(milliseconds{100});
    world->evacuate({5, {"d1"}}, {"e1", "e2"});
    // Another caller joins the job instead of being told that it was not run.
    world->run_for(milliseconds{100});
    auto const same = world->submit(
        "e1", "normal",
        require_label(make_job("a", 2, milliseconds{800}, milliseconds{800}),
                      "x86"),
        seconds{10});
    world->run_for(seconds{1});
    BOOST_TEST(is_completed(*world, job));
    BOOST_TEST(is_completed(*world, same));
    BOOST_TEST(world->starts() == 2U);
}

// Guards against a task that is retried in the evacuated domain after its run
// was lost.
BOOST_AUTO_TEST_CASE(a_lost_run_is_retried_in_another_domain)
{
    auto world = make_world();
    auto jobs = std::vector<core::exchange_id>{};
    for (auto number = 0; number < 6; ++number)
        jobs.push_back(
            world->submit("e1", "normal",
                          make_job("a" + std::to_string(number), 1,
                                   milliseconds{500}, milliseconds{500}),
                          seconds{10}));
    world->run_for(milliseconds{50});
    BOOST_TEST(starts_at(*world, "w1") != 0U);
    world->evacuate({5, {"d1"}}, {"e1", "e2"});
    world->run_for(milliseconds{50});
    world->restart_worker("w1");
    world->run_for(seconds{6});
    for (auto const job : jobs)
        BOOST_TEST(is_completed(*world, job));
    // This incarnation began after the evacuation.
    BOOST_TEST(starts_at(*world, "w1") == 0U);
}

// Guards against jobs that wait until their deadline for workers that may not
// run them.
BOOST_AUTO_TEST_CASE(a_job_for_evacuated_workers_only_is_refused_on_arrival)
{
    auto world = make_world();
    world->evacuate({5, {"d1"}}, {"e1", "e2"});
    world->run_for(milliseconds{50});
    auto const by_label = world->submit(
        "e1", "normal", require_label(make_short_job("a", 1), "x86"),
        seconds{10});
    auto const elsewhere =
        world->submit("e1", "normal", make_short_job("b", 1), seconds{10});
    world->run_for(milliseconds{300});
    BOOST_TEST(is_refused_within(*world, by_label, milliseconds{1}));
    BOOST_TEST(is_completed(*world, elsewhere));
    world->evacuate({6, {"d2"}}, {"e1", "e2"});
    world->run_for(milliseconds{200});
    auto large = make_short_job("c", 1);
    large.m_steps.front().m_needs = {20'000, 64, 0};
    auto const by_room =
        world->submit("e2", "normal", std::move(large), seconds{10});
    // Its first step can run, its second one can't.
    auto two_steps = make_short_job("d", 1);
    auto second = two_steps.m_steps.front();
    second.m_needs = {20'000, 64, 0};
    second.m_depends_on = {0};
    two_steps.m_steps.push_back(second);
    auto const by_step =
        world->submit("e2", "normal", std::move(two_steps), seconds{10});
    world->run_for(milliseconds{50});
    BOOST_TEST(is_refused_within(*world, by_room, milliseconds{1}));
    BOOST_TEST(is_refused_within(*world, by_step, milliseconds{1}));
    // The service has no worker left.
    world->evacuate({7, {"d1", "d2", "d3"}}, {"e1", "e2"});
    world->run_for(milliseconds{50});
    auto const by_service =
        world->submit("e1", "normal", make_short_job("e", 1), seconds{10});
    world->run_for(milliseconds{50});
    BOOST_TEST(is_refused_within(*world, by_service, milliseconds{1}));
}

// Guards against jobs that go on waiting for evacuated workers although other
// workers may run them, and for those that can't run elsewhere, until their
// deadline.
BOOST_AUTO_TEST_CASE(waiting_jobs_are_placed_again_or_refused)
{
    auto world = make_world();
    auto const limited = [](std::string id)
    {
        return require_label(make_job(std::move(id), 2, milliseconds{1'500},
                                      milliseconds{1'500}, 16'000),
                             "x86");
    };
    auto const running =
        world->submit("e1", "normal", limited("a"), seconds{20});
    world->run_for(milliseconds{20});
    auto const confined =
        world->submit("e1", "normal", limited("b"), seconds{20});
    auto const free = world->submit(
        "e2", "normal",
        make_job("c", 6, milliseconds{1'500}, milliseconds{1'500}, 16'000),
        seconds{20});
    world->run_for(milliseconds{100});
    BOOST_TEST(world->answer(confined) == nullptr);
    world->evacuate({5, {"d1"}}, {"e1", "e2"});
    world->run_for(milliseconds{20});
    BOOST_TEST(is_refused_within(*world, confined, milliseconds{121}));
    BOOST_TEST(world->answer(running) == nullptr);
    auto const before = starts_at(*world, "w1");
    world->run_for(seconds{10});
    BOOST_TEST(is_completed(*world, free));
    BOOST_TEST(starts_at(*world, "w1") == before);
    // A task of this job has run, so that it can't be refused as not run. It
    // waits for the restore.
    BOOST_TEST(world->answer(running) == nullptr);
    world->evacuate({6, {}}, {"e1", "e2"});
    world->run_for(seconds{2});
    BOOST_TEST(is_completed(*world, running));
    BOOST_TEST(world->double_runs() == 0U);
}

// Guards against workers that stay unused after a restore, and against jobs
// that are refused for them.
BOOST_AUTO_TEST_CASE(restored_workers_are_used_at_once)
{
    auto world = make_world();
    world->evacuate({5, {"d1"}}, {"e1", "e2"});
    world->run_for(seconds{2});
    auto const before = starts_at(*world, "w1");
    world->evacuate({6, {}}, {"e1"});
    world->run_for(milliseconds{50});
    auto const job =
        world->submit("e1", "normal",
                      require_label(make_short_job("a", 2), "x86"), seconds{2});
    world->run_for(milliseconds{150});
    BOOST_TEST(is_completed(*world, job));
    BOOST_TEST(starts_at(*world, "w1") == before + 2);
}

// Guards against an agent that forgets the evacuation with its process: a start
// by an entry that did not know of it would be possible.
BOOST_AUTO_TEST_CASE(a_restarted_agent_learns_the_set_with_its_first_link)
{
    auto world = make_world();
    world->evacuate({5, {"d1"}}, {"e1"});
    world->run_for(milliseconds{50});
    auto const before = starts_at(*world, "w1");
    world->restart_agent("w1");
    world->run_for(milliseconds{10});
    auto jobs = std::vector<core::exchange_id>{};
    for (auto number = 0; number < 20; ++number)
    {
        jobs.push_back(world->submit(
            "e2", "normal", make_short_job("a" + std::to_string(number), 2),
            seconds{10}));
        world->run_for(milliseconds{10});
    }
    world->run_for(seconds{5});
    for (auto const job : jobs)
        BOOST_TEST(is_completed(*world, job));
    BOOST_TEST(starts_at(*world, "w1") == before);
}

// Guards against an order for an offer of an agent that has not received the
// evacuation of its domain, and against a durable job that is given up.
BOOST_AUTO_TEST_CASE(an_offer_of_an_evacuated_agent_is_declined)
{
    constexpr auto agent = core::node_id{1};
    auto random = core::random_source{};
    auto out = core::effects{};
    auto placer = core::run_placer{core::run_placer_settings{}};
    placer.connected(agent);
    auto announcement = core::worker_announcement{};
    announcement.m_worker = hickorylatch::test::desk_worker_report();
    announcement.m_failure_domain = "d1";
    auto const now = core::time_point{seconds{1}};
    placer.receive(now, agent, announcement, 1, random, out);
    auto load = core::worker_load{};
    load.m_accepts = core::acceptance::full;
    load.m_sent_at = now;
    placer.receive(now, agent, load, 1, random, out);
    auto job = make_short_job("a", 1);
    job.m_is_durable = true;
    placer.add(core::placed_job{
        1, std::move(job),
        hickorylatch::test::desk_configuration().m_queues.front(), now});
    placer.place_ready_tasks(now, 1, random, out);
    BOOST_TEST(placer.find(1)->has_reservations(0));
    placer.set_evacuations(now, {5, {"d1"}}, random, out);
    BOOST_TEST(!placer.find(1)->has_reservations(0));
    BOOST_TEST(placer.take_outcomes().empty());
    out.clear();
    placer.receive(now, agent, core::offer_room{3, 1, 0, 1}, 1, random, out);
    auto const* answer = hickorylatch::test::last<core::send>(out);
    BOOST_REQUIRE(answer != nullptr);
    BOOST_TEST(std::holds_alternative<core::decline_room>(answer->m_message));
}

// Guards against a path on which a run starts after the agent has received the
// set: orders, reservations, offers and refusals cross the evacuation at every
// point of a round trip.
BOOST_AUTO_TEST_CASE(nothing_starts_whatever_crosses_the_evacuation)
{
    for (auto offset = microseconds{0}; offset < milliseconds{4};
         offset += microseconds{100})
    {
        auto world = make_world();
        auto jobs = std::vector<core::exchange_id>{};
        for (auto number = 0; number < 12; ++number)
        {
            jobs.push_back(world->submit(
                number % 2 == 0 ? "e1" : "e2", "normal",
                make_job("a" + std::to_string(number), 2, milliseconds{20},
                         milliseconds{20 + number % 5}),
                seconds{10}));
            world->run_for(microseconds{700});
        }
        world->run_for(milliseconds{12} + offset);
        world->evacuate({5, {"d1"}}, {"e1"});
        // One link delay, and that of an order to the worker.
        world->run_for(microseconds{1'200});
        auto const before = starts_at(*world, "w1");
        BOOST_TEST(before != 0U);
        world->run_for(seconds{5});
        BOOST_TEST(starts_at(*world, "w1") == before);
        for (auto const job : jobs)
            BOOST_TEST(is_completed(*world, job));
        BOOST_TEST(world->double_runs() == 0U);
    }
}
