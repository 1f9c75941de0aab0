#include "core/placement/isolation_watch.hpp"
#include "core/placement/placement_world.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>
#include <string>
#include <variant>

namespace core = hickorylatch::core;

using core::worker_contact;
using hickorylatch::test::make_job;
using hickorylatch::test::placement_world;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr auto start = core::time_point{seconds{10}};

/// A watch whose entry had a usable worker at `start`.
struct watched_entry
{
    explicit watched_entry(bool is_enabled = true) : m_watch{is_enabled}
    {
        observe(milliseconds{0}, worker_contact::usable);
    }

    auto observe(core::duration since_start, worker_contact contact,
                 bool has_control_link = true) -> void
    {
        m_watch.observe(start + since_start, contact, has_control_link, m_out);
    }

    [[nodiscard]] auto idle_closings() const -> long
    {
        return std::ranges::count_if(
            m_out,
            [](core::effect const& each)
            {
                return std::holds_alternative<core::close_idle_callers>(each);
            });
    }

    [[nodiscard]] auto logged(std::string const& event) const -> long
    {
        return std::ranges::count_if(
            m_out,
            [&](core::effect const& each)
            {
                auto const* line = std::get_if<core::log_line>(&each);
                return line != nullptr && line->m_event == event;
            });
    }

    core::isolation_watch m_watch;
    core::effects m_out;
};

/// Entry "e1" with links to workers "w1" in "d1" and "w2" in "d2".
auto make_world(bool releases_callers) -> std::unique_ptr<placement_world>
{
    auto world = std::make_unique<placement_world>();
    auto settings = core::broker_settings{};
    settings.m_name = "e1";
    settings.m_releases_callers_when_isolated = releases_callers;
    world->start_entry(settings);
    world->add_worker("w1", {}, {}, "d1");
    world->add_worker("w2", {}, {}, "d2");
    world->configure();
    world->run_for(seconds{2});
    return world;
}

auto cut_all(placement_world& world, bool is_cut) -> void
{
    world.cut("e1", "w1", is_cut);
    world.cut("e1", "w2", is_cut);
}

auto connect_control_replica(placement_world& world) -> void
{
    auto replica = core::hello{};
    replica.m_node = core::node_id{9'998};
    replica.m_role = core::role::control;
    auto out = core::effects{};
    world.entry("e1").connected(world.now(), replica, out);
}

/// Submits a job that is refused if no worker can be reached.
auto is_refused(placement_world& world, std::string const& id) -> bool
{
    auto const exchange = world.submit(
        "e1", "fast", make_job(id, 1, milliseconds{20}, milliseconds{20}),
        seconds{2});
    BOOST_REQUIRE(world.run_until_answered(exchange, seconds{3}));
    return world.answer(exchange)->m_verdict.m_run == core::run_state::not_run;
}

} // namespace

// Guards against clients that stay with an entry that can't serve them, and
// against log lines and closings that are repeated while nothing changes.
BOOST_AUTO_TEST_CASE(an_entry_without_contact_releases_its_callers_once)
{
    auto entry = watched_entry{};
    entry.m_watch.lost_agent(true);
    entry.observe(milliseconds{100}, worker_contact::departed);
    BOOST_TEST((entry.m_watch.next_deadline() == start + milliseconds{400}));
    entry.observe(milliseconds{399}, worker_contact::departed);
    BOOST_TEST(!entry.m_watch.releases_callers());
    entry.observe(milliseconds{400}, worker_contact::departed);
    BOOST_TEST(entry.m_watch.releases_callers());
    entry.observe(seconds{5}, worker_contact::departed);
    BOOST_TEST(entry.idle_closings() == 1);
    BOOST_TEST(entry.logged("callers_released") == 1);
    entry.observe(seconds{6}, worker_contact::usable);
    BOOST_TEST(!entry.m_watch.releases_callers());
    entry.observe(seconds{7}, worker_contact::usable);
    BOOST_TEST(entry.logged("callers_kept") == 1);
    BOOST_TEST(entry.idle_closings() == 1);
}

// Guards against clients that are released because a link is opened again.
BOOST_AUTO_TEST_CASE(a_link_that_is_reopened_at_once_releases_no_callers)
{
    auto entry = watched_entry{};
    entry.m_watch.lost_agent(true);
    entry.observe(milliseconds{100}, worker_contact::departed);
    entry.observe(milliseconds{200}, worker_contact::usable);
    entry.m_watch.lost_agent(true);
    entry.observe(milliseconds{300}, worker_contact::departed);
    entry.observe(milliseconds{500}, worker_contact::departed);
    BOOST_TEST(!entry.m_watch.releases_callers());
    entry.observe(milliseconds{600}, worker_contact::departed);
    BOOST_TEST(entry.m_watch.releases_callers());
}

// Guards against agents that fall silent without an event.
BOOST_AUTO_TEST_CASE(silent_agents_are_noticed_without_an_event)
{
    auto entry = watched_entry{};
    BOOST_TEST((entry.m_watch.next_deadline() == start + milliseconds{300}));
    entry.observe(milliseconds{300}, worker_contact::silent);
    entry.observe(milliseconds{600}, worker_contact::silent);
    BOOST_TEST(entry.m_watch.releases_callers());
}

// Guards against connections that are closed although no entry does better, and
// against an evacuation that is forgotten when the agents end.
BOOST_AUTO_TEST_CASE(callers_stay_if_no_worker_is_left_for_any_entry)
{
    auto evacuated = watched_entry{};
    evacuated.observe(seconds{1}, worker_contact::evacuated, false);
    evacuated.observe(seconds{2}, worker_contact::evacuated, false);
    evacuated.m_watch.lost_agent(false);
    evacuated.observe(seconds{3}, worker_contact::departed, false);
    evacuated.observe(seconds{4}, worker_contact::departed, false);
    BOOST_TEST(!evacuated.m_watch.releases_callers());
    auto departed = watched_entry{};
    departed.observe(seconds{1}, worker_contact::departed);
    departed.observe(seconds{2}, worker_contact::departed);
    BOOST_TEST(!departed.m_watch.releases_callers());
    departed.observe(seconds{3}, worker_contact::departed, false);
    departed.observe(seconds{4}, worker_contact::departed, false);
    BOOST_TEST(departed.m_watch.releases_callers());
    departed.observe(seconds{5}, worker_contact::departed);
    BOOST_TEST(!departed.m_watch.releases_callers());
}

// Guards against an entry that closes connections while everything starts, and
// against an effect of the policy where it is off.
BOOST_AUTO_TEST_CASE(
    callers_stay_before_the_first_worker_and_without_the_policy)
{
    auto starting = core::isolation_watch{true};
    auto out = core::effects{};
    starting.observe(start, worker_contact::silent, false, out);
    starting.observe(start + seconds{1}, worker_contact::silent, false, out);
    BOOST_TEST(!starting.releases_callers());
    BOOST_TEST(out.empty());
    auto off = watched_entry{false};
    off.m_watch.lost_agent(true);
    off.observe(seconds{1}, worker_contact::silent, false);
    off.observe(seconds{2}, worker_contact::silent, false);
    BOOST_TEST(!off.m_watch.releases_callers());
    BOOST_TEST((off.m_watch.next_deadline() == core::never));
    BOOST_TEST(off.m_out.empty());
}

// Guards against clients that stay with an entry that was cut off from all
// agents, while another entry could serve them.
BOOST_AUTO_TEST_CASE(an_entry_that_is_cut_off_releases_its_callers)
{
    auto const world = make_world(true);
    connect_control_replica(*world);
    BOOST_TEST(!is_refused(*world, "j1"));
    BOOST_TEST(!world->entry("e1").releases_callers());
    cut_all(*world, true);
    world->run_for(milliseconds{1'100});
    BOOST_TEST(world->entry("e1").releases_callers());
    BOOST_TEST(is_refused(*world, "j2"));
    world->run_for(seconds{5});
    BOOST_TEST(world->entry("e1").releases_callers());
    BOOST_TEST(world->idle_closings() == 1U);
    BOOST_TEST(world->logged("callers_released") == 1U);
    cut_all(*world, false);
    world->run_for(seconds{1});
    BOOST_TEST(!world->entry("e1").releases_callers());
    BOOST_TEST(!is_refused(*world, "j3"));
    BOOST_TEST(world->logged("callers_kept") == 1U);
    BOOST_TEST(world->idle_closings() == 1U);
}

// Guards against an entry that closes connections because a part of its agents
// is unreachable, or for the time of a reconnect.
BOOST_AUTO_TEST_CASE(an_entry_with_a_usable_worker_keeps_its_callers)
{
    auto const world = make_world(true);
    world->cut("e1", "w1", true);
    world->run_for(seconds{3});
    world->cut("e1", "w2", false);
    world->run_for(seconds{3});
    BOOST_TEST(world->idle_closings() == 0U);
    BOOST_TEST(!world->entry("e1").releases_callers());
}

// Guards against connections that are closed while the workers of all entries
// are evacuated or have left.
BOOST_AUTO_TEST_CASE(an_entry_keeps_its_callers_if_all_workers_have_left)
{
    auto const evacuated = make_world(true);
    evacuated->evacuate({1, {"d1", "d2"}}, {"e1"});
    evacuated->run_for(seconds{3});
    BOOST_TEST(is_refused(*evacuated, "j1"));
    BOOST_TEST(evacuated->idle_closings() == 0U);
    auto const departed = make_world(true);
    connect_control_replica(*departed);
    departed->drain_worker("w1");
    departed->drain_worker("w2");
    departed->run_for(seconds{3});
    BOOST_TEST(is_refused(*departed, "j1"));
    BOOST_TEST(departed->idle_closings() == 0U);
}

// Guards against an effect on deployments that do not enable the setting.
BOOST_AUTO_TEST_CASE(an_entry_keeps_its_callers_without_the_setting)
{
    auto const world = make_world(false);
    cut_all(*world, true);
    world->run_for(seconds{3});
    BOOST_TEST(is_refused(*world, "j1"));
    BOOST_TEST(!world->entry("e1").releases_callers());
    BOOST_TEST(world->idle_closings() == 0U);
}
