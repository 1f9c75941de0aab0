#include "experiment/command.hpp"
#include "experiment/report.hpp"
#include "experiment/workload.hpp"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

using namespace hickorylatch::experiment;

namespace
{

auto short_scenario(policy_kind policy, double load) -> scenario
{
    auto of = scenario{};
    of.m_policy = policy;
    of.m_load = load;
    of.m_warm_up = duration{20'000'000};
    of.m_length = duration{60'000'000};
    of.m_seeds = {1, 2, 3};
    return of;
}

} // namespace

// Guards against an offered load other than the one asked for, and against
// policies compared on different arrivals.
BOOST_AUTO_TEST_CASE(workload_has_the_offered_load)
{
    auto of = short_scenario(policy_kind::central, 0.9);
    of.m_length = duration{2'000'000'000};
    auto const requests = make_workload(of, 1);
    auto work = duration{0};
    for (auto const& next : requests)
        work += next.m_run_time;
    auto const capacity = (of.m_warm_up + of.m_length) * 80;
    auto const load = static_cast<double>(work.count()) /
                      static_cast<double>(capacity.count());
    BOOST_TEST(std::abs(load - 0.9) < 0.02);
    of.m_policy = policy_kind::random;
    auto const again = make_workload(of, 1);
    BOOST_REQUIRE(again.size() == requests.size());
    BOOST_TEST((again.back().m_sent == requests.back().m_sent));
}

// Guards against an ideal that is not the best order: one queue over all slots,
// the most urgent first, nothing idle while something waits.
BOOST_AUTO_TEST_CASE(ideal_serves_in_priority_order)
{
    auto of = scenario{};
    of.m_endpoints = 1;
    of.m_slots = 1;
    auto requests = std::vector<request>(3);
    for (auto number = 0U; number < 3; ++number)
    {
        requests[number].m_number = number;
        requests[number].m_sent = time_point{number * 10'000};
        requests[number].m_run_time = duration{100'000};
    }
    requests[2].m_priority = 9;
    run_ideal(of, requests);
    BOOST_TEST((requests[0].m_answered == time_point{102'000}));
    BOOST_TEST((requests[2].m_answered == time_point{202'000}));
    BOOST_TEST((requests[1].m_answered == time_point{302'000}));
}

// Guards against a dispatcher that loses its advantage over the baselines, and
// against results that differ between equal runs.
BOOST_AUTO_TEST_CASE(central_is_near_the_ideal)
{
    auto const central = run(short_scenario(policy_kind::central, 0.9));
    BOOST_TEST(central.m_net_ratio.m_mean < 1.03);
    BOOST_TEST(central.m_all_wasted.m_mean < 0.01);
    BOOST_TEST(central.m_refused.m_mean == 0);
    for (auto const policy :
         {policy_kind::random, policy_kind::round_robin,
          policy_kind::least_outstanding, policy_kind::two_choices,
          policy_kind::entry_credits})
        BOOST_TEST(run(short_scenario(policy, 0.9)).m_net_ratio.m_mean >
                   central.m_net_ratio.m_mean);
    BOOST_TEST(to_json(run(short_scenario(policy_kind::central, 0.9))) ==
               to_json(central));
}

// Guards against overload that fills slots with requests answered too late.
BOOST_AUTO_TEST_CASE(overload_keeps_goodput)
{
    auto of = short_scenario(policy_kind::central, 3);
    of.m_deadline = duration{5'000'000};
    auto const results = run(of);
    BOOST_TEST(results.m_goodput.m_mean > 0.97);
    BOOST_TEST(results.m_top_ratio.m_mean < 1.02);
}

// Guards against a failing endpoint that attracts requests.
BOOST_AUTO_TEST_CASE(failing_endpoint_costs_little)
{
    auto of = short_scenario(policy_kind::central, 0.7);
    of.m_has_failing_endpoint = true;
    auto const results = run(of);
    BOOST_TEST(results.m_failed.m_mean > 0);
    BOOST_TEST(results.m_failed.m_mean < 0.01);
}

// Guards against work done for clients that gave up, and against counts of
// slots that drift with cancellations.
BOOST_AUTO_TEST_CASE(cancellations_free_slots)
{
    auto of = short_scenario(policy_kind::central, 0.9);
    of.m_cancelled_share = 0.5;
    auto const results = run(of);
    BOOST_TEST(results.m_all_wasted.m_mean < 0.1);
    BOOST_TEST(results.m_net_ratio.m_mean < 1.05);
}

// Guards against output that scripts can't read and bad arguments that pass.
BOOST_AUTO_TEST_CASE(report_is_json_and_arguments_are_checked)
{
    auto of = short_scenario(policy_kind::two_choices, 0.5);
    of.m_length = duration{5'000'000};
    auto const parsed = boost::json::parse(to_json(run(of)));
    BOOST_TEST((parsed.at("policy").as_string() == "two_choices"));
    BOOST_TEST(parsed.at("net_ratio").at("mean").as_double() > 0);
    auto const bad = std::vector<std::string>{"experiment", "--policy", "none"};
    BOOST_TEST(experiment_main(bad) == 2);
    auto const zero = std::vector<std::string>{"experiment", "--load", "0"};
    BOOST_TEST(experiment_main(zero) == 2);
}
