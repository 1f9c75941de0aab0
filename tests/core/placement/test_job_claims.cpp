#include "core/placement/claim_table.hpp"
#include "core/placement/job_claims.hpp"

#include <boost/test/unit_test.hpp>

#include <string>
#include <variant>

namespace core = hickorylatch::core;

using std::chrono::milliseconds;

namespace
{

constexpr auto first_entry = core::node_id{1};
constexpr auto second_entry = core::node_id{2};
constexpr auto third_entry = core::node_id{3};
constexpr auto agent = core::node_id{9};

/// A claim by an entry that awaits the grant before it orders any run.
auto awaiting_claim() -> core::claim_job
{
    return {"job", true, 1'500};
}

/// A claim of the same job by an entry that has ordered runs already.
auto notifying_claim() -> core::claim_job
{
    return {"job", false, 1'500};
}

auto make_request() -> core::job_arrived
{
    auto request = core::job_arrived{};
    request.m_exchange = 7;
    request.m_job.m_id = "job";
    request.m_client_wait_ms = 1'500;
    return request;
}

auto has_log_event(core::effects const& out, std::string_view event) -> bool
{
    return std::ranges::any_of(
        out,
        [event](core::effect const& each)
        {
            auto const* line = std::get_if<core::log_line>(&each);
            return line != nullptr && line->m_event == event;
        });
}

} // namespace

// Guards against two entries that run the same job: the first one holds it
// until it has yielded it.
BOOST_AUTO_TEST_CASE(a_claimed_job_is_handed_over_when_it_is_yielded)
{
    auto table = core::claim_table{};
    BOOST_TEST((
        table.claim(milliseconds{0}, first_entry, notifying_claim()).m_holder ==
        first_entry));
    auto const second =
        table.claim(milliseconds{9}, second_entry, awaiting_claim());
    BOOST_TEST((second.m_holder == first_entry));
    BOOST_TEST((second.m_to_yield == core::no_node));
    BOOST_TEST(table.contested_jobs(first_entry).size() == 1U);
    BOOST_TEST((table.transfer(second_entry, "job") == core::no_node));
    BOOST_TEST((table.transfer(first_entry, "job") == second_entry));
}

// Guards against a late claim of the entry that had a job first: the caller is
// connected to the second one, which must not yield the job.
BOOST_AUTO_TEST_CASE(a_late_claim_does_not_change_the_holder)
{
    auto table = core::claim_table{};
    table.claim(milliseconds{0}, second_entry, awaiting_claim());
    auto const late =
        table.claim(milliseconds{5}, first_entry, notifying_claim());
    BOOST_TEST((late.m_holder == second_entry));
    BOOST_TEST((late.m_to_yield == first_entry));
    BOOST_TEST(table.contested_jobs(second_entry).empty());
}

// Guards against an entry that must yield its job to one that was lost or cut
// off: it has waited until the runs of that one have ended.
BOOST_AUTO_TEST_CASE(a_job_changes_its_holder_after_the_wait)
{
    auto table = core::claim_table{};
    table.claim(milliseconds{0}, first_entry, awaiting_claim());
    table.claim(milliseconds{5}, second_entry, awaiting_claim());
    auto const begun =
        table.claim(milliseconds{900}, second_entry, notifying_claim());
    BOOST_TEST((begun.m_holder == second_entry));
    BOOST_TEST((begun.m_to_yield == first_entry));

    table.disconnected(milliseconds{950}, second_entry);
    auto const after =
        table.claim(milliseconds{960}, third_entry, notifying_claim());
    BOOST_TEST((after.m_holder == third_entry));
    BOOST_TEST((after.m_to_yield == second_entry));
}

// Guards against an entry that starts a job after its wait although a third one
// has it by then.
BOOST_AUTO_TEST_CASE(a_waiting_entry_must_yield_when_another_is_next)
{
    auto table = core::claim_table{};
    table.claim(milliseconds{0}, first_entry, notifying_claim());
    table.claim(milliseconds{5}, second_entry, awaiting_claim());
    auto const third =
        table.claim(milliseconds{9}, third_entry, awaiting_claim());
    BOOST_TEST((third.m_to_yield == second_entry));
    BOOST_TEST((table.transfer(first_entry, "job") == third_entry));

    table.claim(milliseconds{20}, first_entry, awaiting_claim());
    auto const back =
        table.claim(milliseconds{25}, third_entry, awaiting_claim());
    BOOST_TEST((back.m_holder == third_entry));
    BOOST_TEST((back.m_to_yield == first_entry));
    BOOST_TEST((table.transfer(third_entry, "job") == core::no_node));
}

// Guards against claims that never expire.
BOOST_AUTO_TEST_CASE(a_claim_expires_with_the_wait_of_its_client)
{
    auto table = core::claim_table{};
    table.claim(milliseconds{0}, first_entry, notifying_claim());
    auto const later =
        table.claim(milliseconds{1'500}, second_entry, awaiting_claim());
    BOOST_TEST((later.m_holder == second_entry));
}

// Guards against requests that wait too long for an agent that does not answer.
BOOST_AUTO_TEST_CASE(an_unanswered_claim_delays_a_job_only_briefly)
{
    auto claims = core::job_claims{};
    auto out = core::effects{};
    claims.await_grant(milliseconds{0}, make_request(), {"w1", agent},
                       milliseconds{1'500}, out);
    BOOST_TEST(out.size() == 1U);
    BOOST_TEST(claims.take_ready(milliseconds{39}, out).empty());
    BOOST_TEST((claims.next_deadline() == milliseconds{40}));
    auto const ready = claims.take_ready(milliseconds{40}, out);
    BOOST_REQUIRE(ready.size() == 1U);
    BOOST_TEST(!ready.front().m_request.m_may_have_run);
    BOOST_TEST(has_log_event(out, "claim_unanswered"));
    BOOST_TEST(claims.size() == 0U);
}

// Guards against claims that are lost with a link or by a restart of the agent.
BOOST_AUTO_TEST_CASE(claims_are_repeated_to_an_agent_that_announces_itself)
{
    auto claims = core::job_claims{};
    auto out = core::effects{};
    claims.await_grant(milliseconds{0}, make_request(), {"w1", agent},
                       milliseconds{1'500}, out);
    out.clear();
    claims.agent_announced(milliseconds{10}, core::node_id{10}, "w2", out);
    BOOST_TEST(out.empty());
    claims.agent_announced(milliseconds{10}, core::node_id{11}, "w1", out);
    BOOST_REQUIRE(out.size() == 1U);
    auto const& again = std::get<core::send>(out.front());
    BOOST_TEST((again.m_to == core::node_id{11}));
    BOOST_TEST(std::get<core::claim_job>(again.m_message).m_awaits_grant);
}
