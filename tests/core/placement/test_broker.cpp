#include "core/desk_sample.hpp"
#include "core/placement/broker.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>
#include <variant>

namespace core = hickorylatch::core;
namespace test = hickorylatch::test;

using std::chrono::milliseconds;

namespace
{

constexpr auto first_agent = core::node_id{11};
constexpr auto second_agent = core::node_id{12};
constexpr auto task_needs = core::resources{1'000, 64, 0};

/// One entry, without agent processes: the tests send the agents' messages.
struct entry_process
{
    explicit entry_process(core::broker_settings settings = {})
        : m_broker{std::move(settings)}
    {
        auto const config = test::desk_configuration();
        m_broker.start(m_now);
        receive(core::node_id{1}, core::make_patch({}, config));
    }

    auto receive(core::node_id from, core::message const& incoming) -> void
    {
        m_broker.receive(m_now, from, incoming, m_random, m_out);
    }

    /// Connects an agent whose worker has room for `free` tasks and forecasts a
    /// wait of `wait_ms` for tasks of rank 0.
    auto add_agent(core::node_id agent, std::uint32_t free,
                   std::uint32_t wait_ms = 0) -> void
    {
        auto peer = core::hello{};
        peer.m_node = agent;
        peer.m_role = core::role::agent;
        m_broker.connected(m_now, peer, m_out);
        auto announcement = core::worker_announcement{};
        announcement.m_worker.m_name =
            "w" + std::to_string(static_cast<std::uint64_t>(agent));
        announcement.m_worker.m_incarnation = 1;
        announcement.m_worker.m_service = "desk";
        announcement.m_worker.m_capacity = {4'000, 1'024, 0};
        receive(agent, announcement);
        auto load = core::worker_load{};
        load.m_accepts = core::acceptance::full;
        load.m_free = {free * task_needs.m_millicores, 1'024, 0};
        if (wait_ms != 0)
            load.m_waits = {{0, wait_ms}};
        load.m_sent_at = m_now;
        receive(agent, load);
    }

    auto post_job(std::uint32_t tasks, bool is_durable = false,
                  core::exchange_id exchange = 1) -> void
    {
        auto request = core::job_arrived{};
        request.m_exchange = exchange;
        request.m_host = "desk.example";
        request.m_path = "/fast/jobs";
        request.m_job.m_id = "00000000000000aa";
        request.m_client_wait_ms = 5'000;
        auto step = core::job_step{};
        step.m_count = tasks;
        step.m_needs = task_needs;
        step.m_declared_ms = 100;
        request.m_job.m_steps = {step};
        request.m_job.m_is_durable = is_durable;
        m_broker.arrived(m_now, request, m_random, m_out);
    }

    auto offer(core::node_id agent, std::uint64_t number, std::uint64_t job,
               std::uint32_t count) -> void
    {
        receive(agent, core::offer_room{number, job, 0, count});
    }

    auto advance_time(core::duration time) -> void
    {
        m_now += time;
        m_broker.tick(m_now, m_random, m_out);
    }

    core::time_point m_now = milliseconds{1'000};
    core::effects m_out;
    core::random_source m_random;
    core::broker m_broker;
};

/// The last message of this type sent to a process; null if there is none.
template <typename Message>
auto sent(core::effects const& out, core::node_id to) -> Message const*
{
    Message const* found = nullptr;
    for (auto const& each : out)
        if (auto const* sending = std::get_if<core::send>(&each);
            sending != nullptr && sending->m_to == to)
            if (auto const* content = std::get_if<Message>(&sending->m_message))
                found = content;
    return found;
}

/// Ends that refuse all runs of an order for lack of room.
auto refuse_all(core::order_runs const& order) -> core::runs_ended
{
    auto announcement = core::runs_ended{};
    announcement.m_number = 1;
    for (auto const& run : order.m_runs)
        announcement.m_ends.push_back({{order.m_job, run.m_task, run.m_run},
                                       core::run_outcome::refused,
                                       core::reason::queue_full,
                                       0});
    return announcement;
}

} // namespace

// Guards against a job that stalls when all reserved room was offered, but more
// tasks wait by then than it was reserved for.
BOOST_AUTO_TEST_CASE(room_is_reserved_again_when_all_of_it_was_offered)
{
    auto entry = entry_process{};
    entry.add_agent(first_agent, 3);
    entry.add_agent(second_agent, 0);
    entry.post_job(4);
    auto const* ordered = sent<core::order_runs>(entry.m_out, first_agent);
    BOOST_REQUIRE(ordered != nullptr);
    BOOST_REQUIRE(ordered->m_runs.size() == 3U);
    auto const* reserved = sent<core::reserve_room>(entry.m_out, second_agent);
    BOOST_REQUIRE(reserved != nullptr);
    BOOST_TEST(reserved->m_count == 1U);
    auto const job = ordered->m_job;
    entry.receive(first_agent, refuse_all(*ordered));
    entry.offer(first_agent, 1, job, 1);
    entry.offer(second_agent, 1, job, 1);
    entry.m_out.clear();
    entry.advance_time(milliseconds{50});
    reserved = sent<core::reserve_room>(entry.m_out, second_agent);
    BOOST_REQUIRE(reserved != nullptr);
    BOOST_TEST(reserved->m_count == 2U);
}

// Guards against a job that waits for room at a worker whose agent has dropped
// the reservation, for instance because the worker drains.
BOOST_AUTO_TEST_CASE(
    room_is_reserved_again_when_an_agent_dropped_the_reservation)
{
    auto entry = entry_process{};
    entry.add_agent(first_agent, 0);
    entry.post_job(1);
    auto const* reserved = sent<core::reserve_room>(entry.m_out, first_agent);
    BOOST_REQUIRE(reserved != nullptr);
    auto const dropped =
        core::reservation_dropped{reserved->m_job, reserved->m_step};
    entry.advance_time(milliseconds{50});
    entry.m_out.clear();
    entry.advance_time(milliseconds{50});
    BOOST_TEST(sent<core::reserve_room>(entry.m_out, first_agent) == nullptr);
    entry.receive(first_agent, dropped);
    entry.advance_time(milliseconds{50});
    BOOST_TEST(sent<core::reserve_room>(entry.m_out, first_agent) != nullptr);
}

// Guards against a late job whose run was ordered again without a log line of
// its entry that says why.
BOOST_AUTO_TEST_CASE(a_lost_run_is_logged)
{
    auto entry = entry_process{};
    entry.add_agent(first_agent, 1);
    entry.post_job(1);
    BOOST_REQUIRE(sent<core::order_runs>(entry.m_out, first_agent) != nullptr);
    entry.m_broker.disconnected(entry.m_now, first_agent, entry.m_out);
    entry.m_out.clear();
    entry.advance_time(milliseconds{3'000});
    auto const found = std::ranges::find_if(
        entry.m_out,
        [](core::effect const& each)
        {
            auto const* line = std::get_if<core::log_line>(&each);
            return line != nullptr && line->m_event == "run_lost";
        });
    BOOST_REQUIRE(found != entry.m_out.end());
    auto const& fields = std::get<core::log_line>(*found).m_fields;
    BOOST_TEST(fields.front().second == "00000000000000aa");
    auto const worker = std::ranges::find(
        fields, "worker", &std::pair<std::string, std::string>::first);
    BOOST_REQUIRE(worker != fields.end());
    BOOST_TEST(worker->second == "w11");
}

// Guards against an answer "not run" for a job whose run was lost together with
// its agent: it may have run there.
BOOST_AUTO_TEST_CASE(a_job_whose_run_was_lost_may_have_run)
{
    auto entry = entry_process{};
    entry.add_agent(first_agent, 1);
    entry.post_job(1);
    entry.m_broker.disconnected(entry.m_now, first_agent, entry.m_out);
    entry.advance_time(milliseconds{3'000});
    entry.m_out.clear();
    entry.advance_time(milliseconds{2'500});
    auto const found = std::ranges::find_if(
        entry.m_out,
        [](core::effect const& each)
        {
            return std::holds_alternative<core::answer_job>(each);
        });
    BOOST_REQUIRE(found != entry.m_out.end());
    BOOST_TEST((std::get<core::answer_job>(*found).m_verdict.m_run ==
                core::run_state::may_have_run));
}

// Guards against jobs that are accepted in an overload because two workers with
// long queues are counted as one worker with half the queue.
BOOST_AUTO_TEST_CASE(long_queues_at_many_workers_are_not_a_short_wait)
{
    auto entry = entry_process{};
    entry.add_agent(first_agent, 0, 1'500);
    entry.add_agent(second_agent, 0, 1'500);
    // The job may wait for 1,050 ms.
    entry.post_job(1);
    BOOST_TEST(entry.m_broker.jobs() == 0U);
}

// Guards against a durable job that is accepted although durable jobs are
// disabled, and against a refusal that does not say that it did not run.
BOOST_AUTO_TEST_CASE(a_durable_job_is_refused_at_once_unless_enabled)
{
    for (auto const is_enabled : {false, true})
    {
        auto settings = core::broker_settings{};
        settings.m_takes_durable_jobs = is_enabled;
        auto entry = entry_process{settings};
        auto control = core::hello{};
        control.m_node = core::node_id{90};
        control.m_role = core::role::control;
        entry.add_agent(first_agent, 1);
        entry.m_broker.connected(entry.m_now, control, entry.m_out);
        entry.m_out.clear();
        entry.post_job(1, true);
        auto const answered = std::ranges::find_if(
            entry.m_out,
            [](core::effect const& each)
            {
                return std::holds_alternative<core::answer_job>(each);
            });
        auto const* forwarded =
            sent<core::operate>(entry.m_out, control.m_node);
        BOOST_TEST((forwarded != nullptr) == is_enabled);
        BOOST_TEST((answered == entry.m_out.end()) == is_enabled);
        if (answered != entry.m_out.end())
            BOOST_TEST((std::get<core::answer_job>(*answered).m_verdict.m_run ==
                        core::run_state::not_run));
    }
}

// Guards against "not run" for a durable job that a lost replica accepted: the
// refusal by the next one does not speak for the first.
BOOST_AUTO_TEST_CASE(a_refusal_speaks_only_for_the_replica_that_was_asked)
{
    for (auto const is_sent_twice : {false, true})
    {
        auto settings = core::broker_settings{};
        settings.m_takes_durable_jobs = true;
        auto entry = entry_process{settings};
        entry.add_agent(first_agent, 1);
        for (auto const replica : {core::node_id{90}, core::node_id{91}})
        {
            auto control = core::hello{};
            control.m_node = replica;
            control.m_role = core::role::control;
            entry.m_broker.connected(entry.m_now, control, entry.m_out);
        }
        entry.post_job(1, true);
        auto replica = core::node_id{90};
        if (is_sent_twice)
        {
            entry.m_broker.disconnected(entry.m_now, replica, entry.m_out);
            replica = core::node_id{91};
        }
        auto const* order = sent<core::operate>(entry.m_out, replica);
        BOOST_REQUIRE(order != nullptr);
        auto result = core::operate_result{};
        result.m_sequence = order->m_sequence;
        result.m_verdict = core::refused(core::reason::queue_full);
        entry.receive(replica, result);
        auto const* answer = test::last<core::answer_job>(entry.m_out);
        BOOST_REQUIRE(answer != nullptr);
        BOOST_TEST((answer->m_verdict.m_run ==
                    (is_sent_twice ? core::run_state::may_have_run
                                   : core::run_state::not_run)));
    }
}

// Guards against two runs of a task at the same time: a client whose connection
// times out sends its job again, and the load balancer picks the same entry.
BOOST_AUTO_TEST_CASE(a_job_that_is_sent_again_joins_the_one_in_progress)
{
    auto entry = entry_process{};
    entry.add_agent(first_agent, 1);
    entry.add_agent(second_agent, 1);
    entry.post_job(1, false, 1);
    entry.advance_time(milliseconds{300});
    entry.m_out.clear();
    entry.post_job(1, false, 2);
    BOOST_TEST(sent<core::order_runs>(entry.m_out, first_agent) == nullptr);
    BOOST_TEST(sent<core::order_runs>(entry.m_out, second_agent) == nullptr);
    // The client closes its first connection.
    entry.m_broker.abandoned(entry.m_now, 1, entry.m_out);
    BOOST_TEST(entry.m_broker.jobs() == 1U);
    entry.m_broker.abandoned(entry.m_now, 2, entry.m_out);
    BOOST_TEST(entry.m_broker.jobs() == 0U);
}
