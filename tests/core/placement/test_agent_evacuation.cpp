#include "core/desk_sample.hpp"
#include "core/placement/executor.hpp"

#include <boost/test/unit_test.hpp>

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace core = hickorylatch::core;
namespace test = hickorylatch::test;

using std::chrono::milliseconds;

namespace
{

constexpr auto entry = core::node_id{1};
constexpr auto control = core::node_id{9};

/// An agent in failure domain "d1" with a worker of 16 cores and one entry.
class evacuation_agent
{
public:
    evacuation_agent() : m_agent{core::executor_settings{"a", {}, "d1"}}
    {
        m_agent.reported(m_now, test::desk_worker_report(), m_out);
        m_agent.answered(m_now, test::desk_worker_checked(), m_out);
        auto peer = core::hello{};
        peer.m_node = entry;
        peer.m_role = core::role::entry;
        m_agent.connected(m_now, peer, m_out);
        m_agent.answered(
            m_now,
            test::poll_answer(test::last<core::poll_runs>(m_out)->m_poll),
            m_out);
        receive(entry, core::contact_confirmed{m_now, 0, 0, 0});
        m_out.clear();
    }

    auto receive(core::node_id from, core::message const& incoming) -> void
    {
        m_agent.receive(m_now, from, incoming, m_out);
    }

    /// Changes the set of evacuated failure domains.
    auto evacuate(std::uint64_t revision, std::vector<std::string> domains)
        -> void
    {
        m_out.clear();
        receive(control, core::evacuations{revision, std::move(domains)});
    }

    /// Orders one run of a task of the job; the number of the task is that of
    /// the order.
    auto order(std::uint32_t task, std::uint32_t millicores = 16'000,
               std::uint64_t offer = 0) -> void
    {
        auto order = core::order_runs{};
        order.m_order = task;
        order.m_job = 1;
        order.m_job_id = "00000000000000aa";
        order.m_time_left_ms = 5'000;
        order.m_offer = offer;
        order.m_runs = {{{0, task}, 1, {millicores, 64, 0}, 100}};
        receive(entry, order);
    }

    auto reserve() -> void
    {
        auto wanted = core::reserve_room{};
        wanted.m_order = 7;
        wanted.m_job = 2;
        wanted.m_needs = {16'000, 64, 0};
        wanted.m_expected_ms = 100;
        wanted.m_count = 1;
        wanted.m_time_left_ms = 5'000;
        receive(entry, wanted);
    }

    auto answer_start(core::worker_answer answer) -> void
    {
        m_agent.answered(
            m_now, core::run_start_answered{m_started.m_run, answer, 1'000},
            m_out);
    }

    /// Number of starts ordered since the output was cleared; keeps the last.
    auto take_starts() -> unsigned
    {
        auto count = 0U;
        for (auto const& each : m_out)
            if (auto const* started = std::get_if<core::start_run>(&each))
            {
                m_started = *started;
                ++count;
            }
        return count;
    }

    template <typename Message>
    auto last_sent() const -> Message const*
    {
        Message const* found = nullptr;
        for (auto const& each : m_out)
            if (auto const* sent = std::get_if<core::send>(&each))
                if (auto const* message =
                        std::get_if<Message>(&sent->m_message))
                    found = message;
        return found;
    }

    /// True if the run of this task was reported as not started.
    auto has_refused(std::uint32_t task) const -> bool
    {
        auto is_refused = false;
        for (auto const& each : m_out)
            if (auto const* sent = std::get_if<core::send>(&each))
                if (auto const* ends =
                        std::get_if<core::runs_ended>(&sent->m_message))
                    for (auto const& end : ends->m_ends)
                        is_refused =
                            is_refused ||
                            (end.m_run.m_task.m_task == task &&
                             end.m_outcome == core::run_outcome::refused);
        return is_refused;
    }

    core::time_point m_now = milliseconds{1'000};
    core::effects m_out;
    core::executor m_agent;
    core::start_run m_started;
};

} // namespace

// Guards against runs that start after the evacuation because they already
// waited at the agent, and against stopping the run that is in progress.
BOOST_AUTO_TEST_CASE(an_evacuation_refuses_waiting_runs_and_keeps_running_ones)
{
    auto agent = evacuation_agent{};
    agent.order(1);
    BOOST_TEST(agent.take_starts() == 1U);
    agent.answer_start(core::worker_answer::accepted);
    agent.order(2);
    BOOST_TEST(agent.m_agent.waiting() == 1U);
    agent.m_now += milliseconds{20};
    agent.evacuate(5, {"d1"});
    BOOST_TEST(agent.m_agent.waiting() == 0U);
    BOOST_TEST(agent.has_refused(2));
    BOOST_TEST(agent.m_agent.running() == 1U);
    BOOST_TEST(test::last<core::stop_run>(agent.m_out) == nullptr);
    auto const* load = agent.last_sent<core::worker_load>();
    BOOST_REQUIRE(load != nullptr);
    BOOST_TEST((load->m_accepts == core::acceptance::none));
    agent.m_out.clear();
    agent.m_now += milliseconds{60};
    agent.m_agent.tick(agent.m_now, agent.m_out);
    BOOST_TEST(agent.take_starts() == 0U);
    BOOST_TEST(agent.m_agent.running() == 1U);
}

// Guards against orders of an entry that has not received the evacuation.
BOOST_AUTO_TEST_CASE(an_evacuated_agent_refuses_orders_and_reservations)
{
    auto agent = evacuation_agent{};
    agent.evacuate(5, {"d0", "d1"});
    agent.order(1);
    BOOST_TEST(agent.take_starts() == 0U);
    BOOST_TEST(agent.has_refused(1));
    agent.reserve();
    BOOST_TEST(agent.last_sent<core::offer_room>() == nullptr);
    BOOST_TEST(agent.last_sent<core::reservation_dropped>() != nullptr);
    BOOST_TEST(agent.m_agent.waiting() == 0U);
}

// Guards against a reservation that is offered room after the evacuation.
BOOST_AUTO_TEST_CASE(an_evacuation_drops_reservations)
{
    auto agent = evacuation_agent{};
    agent.order(1);
    agent.reserve();
    BOOST_TEST(agent.m_agent.waiting() == 1U);
    agent.evacuate(5, {"d1"});
    BOOST_TEST(agent.m_agent.waiting() == 0U);
    BOOST_TEST(agent.last_sent<core::reservation_dropped>() != nullptr);
}

// Guards against a start for an offer that was in transit when the domain was
// evacuated.
BOOST_AUTO_TEST_CASE(an_evacuation_drops_offers)
{
    auto agent = evacuation_agent{};
    agent.reserve();
    auto const* sent = agent.last_sent<core::offer_room>();
    BOOST_REQUIRE(sent != nullptr);
    auto const offer = sent->m_offer;
    agent.evacuate(5, {"d1"});
    agent.order(1, 16'000, offer);
    BOOST_TEST(agent.take_starts() == 0U);
    BOOST_TEST(agent.has_refused(1));
}

// Guards against room that stays reserved for an offer after a restore.
BOOST_AUTO_TEST_CASE(the_room_of_a_dropped_offer_is_free_after_a_restore)
{
    auto agent = evacuation_agent{};
    agent.reserve();
    BOOST_TEST(agent.last_sent<core::offer_room>() != nullptr);
    agent.evacuate(5, {"d1"});
    agent.evacuate(6, {});
    agent.order(2);
    BOOST_TEST(agent.take_starts() == 1U);
}

// Guards against a start that the worker rejected before the evacuation and
// that is sent again after it.
BOOST_AUTO_TEST_CASE(an_evacuated_agent_does_not_resend_a_rejected_start)
{
    for (auto const answer :
         {core::worker_answer::fenced, core::worker_answer::outdated,
          core::worker_answer::late})
    {
        auto agent = evacuation_agent{};
        agent.order(1);
        BOOST_TEST(agent.take_starts() == 1U);
        agent.evacuate(5, {"d1"});
        BOOST_TEST(agent.m_agent.running() == 1U);
        agent.answer_start(answer);
        BOOST_TEST(agent.take_starts() == 0U);
        BOOST_TEST(agent.has_refused(1));
        BOOST_TEST(agent.m_agent.running() == 0U);
    }
}

// Guards against an evacuation or a restore that an older message reverses, and
// against an agent that obeys the evacuation of another domain.
BOOST_AUTO_TEST_CASE(the_set_with_the_highest_revision_counts)
{
    auto agent = evacuation_agent{};
    agent.evacuate(5, {"d1"});
    auto const* gauge = test::last<core::observe_metric>(agent.m_out);
    BOOST_REQUIRE(gauge != nullptr);
    BOOST_TEST(gauge->m_name == "hickorylatch_worker_evacuated");
    BOOST_TEST(gauge->m_value == 1.0);
    agent.evacuate(4, {});
    agent.order(1);
    BOOST_TEST(agent.take_starts() == 0U);
    agent.m_now += milliseconds{20};
    agent.evacuate(6, {"d2"});
    gauge = test::last<core::observe_metric>(agent.m_out);
    BOOST_REQUIRE(gauge != nullptr);
    BOOST_TEST(gauge->m_value == 0.0);
    agent.m_now += milliseconds{20};
    agent.m_agent.tick(agent.m_now, agent.m_out);
    auto const* load = agent.last_sent<core::worker_load>();
    BOOST_REQUIRE(load != nullptr);
    BOOST_TEST((load->m_accepts == core::acceptance::full));
    agent.order(2);
    BOOST_TEST(agent.take_starts() == 1U);
    agent.evacuate(5, {"d1"});
    BOOST_TEST(test::last<core::log_line>(agent.m_out) == nullptr);
}
