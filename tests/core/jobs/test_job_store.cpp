#include "core/jobs/job_store.hpp"

#include <boost/test/unit_test.hpp>

namespace core = hickorylatch::core;

namespace
{

auto accept(std::string id, std::uint32_t tasks,
            std::uint32_t failure_limit = 2) -> core::accept_job
{
    auto wanted = core::accept_job{};
    wanted.m_job.m_id = std::move(id);
    wanted.m_job.m_body = "body";
    auto step = core::job_step{};
    step.m_count = tasks;
    wanted.m_job.m_steps = {step};
    wanted.m_queue.m_failure_limit = failure_limit;
    return wanted;
}

auto record_end(std::uint64_t job, std::uint32_t task, bool has_succeeded)
    -> core::record_ends
{
    return {{{job, {0, task}, has_succeeded}}};
}

} // namespace

// Guards against a job that runs again because its client resends it.
BOOST_AUTO_TEST_CASE(an_identifier_is_accepted_once)
{
    auto store = core::job_store{};
    store.apply(7, accept("a", 2));
    store.apply(8, accept("a", 5));
    BOOST_REQUIRE(store.find("a") != nullptr);
    BOOST_TEST(store.find("a")->m_number == 7U);
    BOOST_TEST(store.jobs().size() == 1U);
    BOOST_TEST(store.open_jobs() == 1U);
}

// Guards against an end that is counted twice, and against a job that completes
// before all of its tasks have succeeded.
BOOST_AUTO_TEST_CASE(a_job_is_complete_when_every_task_has_succeeded)
{
    auto store = core::job_store{};
    store.apply(7, accept("a", 2));
    BOOST_TEST((store.find("a")->m_state == core::job_state::queued));
    store.apply(record_end(7, 1, true));
    store.apply(record_end(7, 1, true));
    BOOST_TEST((store.find("a")->m_state == core::job_state::active));
    store.apply(record_end(7, 0, true));
    BOOST_TEST((store.find("a")->m_state == core::job_state::completed));
    BOOST_TEST(store.open_jobs() == 0U);
    // An ended job does not change any more.
    store.apply(core::drop_job{7});
    BOOST_TEST((store.find("a")->m_state == core::job_state::completed));
}

// Guards against runs beyond the failure limit of the queue.
BOOST_AUTO_TEST_CASE(a_job_fails_at_the_failure_limit_of_a_task)
{
    auto store = core::job_store{};
    store.apply(7, accept("a", 2));
    store.apply(record_end(7, 0, false));
    store.apply(record_end(7, 1, false));
    BOOST_TEST((store.find("a")->m_state == core::job_state::active));
    store.apply(record_end(7, 0, false));
    BOOST_TEST((store.find("a")->m_state == core::job_state::failed));
}

// Guards against progress that is lost in a snapshot.
BOOST_AUTO_TEST_CASE(an_image_restores_all_state)
{
    auto store = core::job_store{};
    store.apply(7, accept("a", 2));
    store.apply(8, accept("b", 1));
    store.apply(9, accept("c", 1));
    store.apply(record_end(7, 0, true));
    store.apply(record_end(7, 1, false));
    store.apply(record_end(9, 0, true));
    store.apply(core::change_agents{{core::node_id{3}, core::node_id{4}}, {}});
    store.apply(core::change_agents{{}, {core::node_id{3}}});
    auto restored = core::job_store{store.image()};
    BOOST_TEST(restored.open_jobs() == 2U);
    BOOST_TEST(restored.agents().size() == 1U);
    // A second success completes the job; a second failure would have failed
    // it.
    restored.apply(record_end(7, 1, true));
    BOOST_TEST((restored.find("a")->m_state == core::job_state::completed));
    restored.apply(core::forget_jobs{{7, 8, 9}});
    BOOST_TEST(restored.find("a") == nullptr);
    BOOST_TEST(restored.find("c") == nullptr);
    // A job in progress is never removed.
    BOOST_TEST(restored.find("b") != nullptr);
}
