#include "core/jobs/job_store.hpp"

#include <boost/test/unit_test.hpp>

namespace core = hickorylatch::core;

namespace
{

auto accept(std::string id, std::uint32_t tasks, std::uint32_t run_limit = 2)
    -> core::accept_job
{
    auto wanted = core::accept_job{};
    wanted.m_job.m_id = std::move(id);
    wanted.m_job.m_body = "body";
    auto step = core::job_step{};
    step.m_count = tasks;
    wanted.m_job.m_steps = {step};
    wanted.m_queue.m_failure_limit = run_limit;
    return wanted;
}

auto ended(std::uint64_t job, std::uint32_t task, bool has_succeeded)
    -> core::record_ends
{
    return {{{job, {0, task}, has_succeeded}}};
}

} // namespace

// Guards against a job that is run again because its client sent it twice.
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

// Guards against an end that is counted twice, and against a partial answer.
BOOST_AUTO_TEST_CASE(a_job_is_complete_when_every_task_has_succeeded)
{
    auto store = core::job_store{};
    store.apply(7, accept("a", 2));
    BOOST_TEST((store.find("a")->m_state == core::job_state::queued));
    store.apply(ended(7, 1, true));
    store.apply(ended(7, 1, true));
    BOOST_TEST((store.find("a")->m_state == core::job_state::active));
    store.apply(ended(7, 0, true));
    BOOST_TEST((store.find("a")->m_state == core::job_state::completed));
    BOOST_TEST(store.open_jobs() == 0U);
    // Nothing changes an end.
    store.apply(core::drop_job{7});
    BOOST_TEST((store.find("a")->m_state == core::job_state::completed));
}

// Guards against runs beyond the limit of the queue.
BOOST_AUTO_TEST_CASE(a_job_has_failed_with_the_last_allowed_run_of_a_task)
{
    auto store = core::job_store{};
    store.apply(7, accept("a", 2));
    store.apply(ended(7, 0, false));
    store.apply(ended(7, 1, false));
    BOOST_TEST((store.find("a")->m_state == core::job_state::active));
    store.apply(ended(7, 0, false));
    BOOST_TEST((store.find("a")->m_state == core::job_state::failed));
}

// Guards against progress that a snapshot loses.
BOOST_AUTO_TEST_CASE(an_image_holds_everything)
{
    auto store = core::job_store{};
    store.apply(7, accept("a", 2));
    store.apply(8, accept("b", 1));
    store.apply(9, accept("c", 1));
    store.apply(ended(7, 0, true));
    store.apply(ended(7, 1, false));
    store.apply(ended(9, 0, true));
    store.apply(core::change_agents{{core::node_id{3}, core::node_id{4}}, {}});
    store.apply(core::change_agents{{}, {core::node_id{3}}});
    auto again = core::job_store{store.image()};
    BOOST_TEST(again.open_jobs() == 2U);
    BOOST_TEST(again.agents().size() == 1U);
    // The last missing success completes it; the last failure would end it.
    again.apply(ended(7, 1, true));
    BOOST_TEST((again.find("a")->m_state == core::job_state::completed));
    again.apply(core::forget_jobs{{7, 8, 9}});
    BOOST_TEST(again.find("a") == nullptr);
    BOOST_TEST(again.find("c") == nullptr);
    // A job in progress is never forgotten.
    BOOST_TEST(again.find("b") != nullptr);
}
