#include "core/placement/held_jobs.hpp"
#include "core/placement/startup_admission.hpp"

#include <boost/test/unit_test.hpp>

#include <vector>

namespace core = hickorylatch::core;

using core::admission;
using std::chrono::milliseconds;

namespace
{

constexpr auto started_at = core::time_point{milliseconds{10'000}};

/// A job of 100 ms that may take 200 ms.
auto request_with(core::duration wait) -> core::admission_request
{
    return {wait, milliseconds{100}, milliseconds{200}, {}, false, 1.0};
}

auto growing_entry(bool awaits_workers) -> core::startup_admission
{
    auto policy = core::startup_admission{awaits_workers};
    policy.start(started_at);
    policy.observe_workers(started_at, 1);
    return policy;
}

} // namespace

// Guards against deployments that change although the setting is off.
BOOST_AUTO_TEST_CASE(late_jobs_are_refused_unless_the_setting_is_on)
{
    auto const off = growing_entry(false);
    BOOST_TEST((off.decide(started_at, request_with(milliseconds{51})) ==
                admission::refuse));
    BOOST_TEST((off.decide(started_at, request_with(milliseconds{50})) ==
                admission::accept));
    BOOST_TEST(!off.is_growing(started_at));
}

// Guards against refusals by an entry that knows a few of its workers, and
// against an entry that never stops waiting.
BOOST_AUTO_TEST_CASE(late_jobs_are_held_while_the_set_of_workers_grows)
{
    auto policy = growing_entry(true);
    auto const late = request_with(milliseconds{51});
    auto now = started_at + milliseconds{100};
    BOOST_TEST((policy.decide(now, late) == admission::hold));
    policy.observe_workers(now, 2);
    now += milliseconds{149};
    BOOST_TEST((policy.decide(now, late) == admission::hold));
    // A link that was reopened is not growth.
    policy.observe_workers(now, 2);
    now += milliseconds{1};
    BOOST_TEST((policy.decide(now, late) == admission::refuse));
    for (auto workers = std::size_t{3}; now < started_at + milliseconds{1'499};
         ++workers, now += milliseconds{50})
        policy.observe_workers(now, workers);
    BOOST_TEST(!policy.is_growing(started_at + milliseconds{1'500}));
}

// Guards against held jobs that take the room of jobs that can be in time.
BOOST_AUTO_TEST_CASE(held_jobs_leave_room_for_jobs_that_arrive)
{
    auto const policy = growing_entry(true);
    auto held = request_with(milliseconds{0});
    held.m_was_held = true;
    held.m_waited = milliseconds{50};
    held.m_free_share = 0.3;
    BOOST_TEST((policy.decide(started_at, held) == admission::accept));
    held.m_free_share = 0.2;
    BOOST_TEST((policy.decide(started_at, held) == admission::hold));
    // It can't be in time any more: idle workers serve it late.
    held.m_waited = milliseconds{150};
    held.m_free_share = 0.3;
    BOOST_TEST((policy.decide(started_at, held) == admission::accept));
    held.m_wait = milliseconds{1};
    BOOST_TEST((policy.decide(started_at, held) == admission::hold));
}

// Guards against held jobs that are decided about in order of arrival, so that
// late ones take the room of those that can be in time.
BOOST_AUTO_TEST_CASE(held_jobs_are_sorted_by_lateness_rank_and_urgency)
{
    auto orders =
        std::vector<core::held_job_order>{{true, 0, milliseconds{1}},
                                          {false, 1, milliseconds{2}},
                                          {false, 0, milliseconds{4}},
                                          {false, 0, milliseconds{3}}};
    auto jobs = std::vector<core::held_job>(orders.size());
    for (auto index = std::size_t{0}; index < jobs.size(); ++index)
        jobs[index].m_request.m_exchange = index;
    core::sort_held_jobs(jobs,
                         [&](core::held_job const& job)
                         {
                             return orders.at(job.m_request.m_exchange);
                         });
    auto sorted = std::vector<core::exchange_id>{};
    for (auto const& job : jobs)
        sorted.push_back(job.m_request.m_exchange);
    BOOST_TEST((sorted == std::vector<core::exchange_id>{3, 2, 1, 0}));
}
