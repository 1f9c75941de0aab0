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
    auto setup = scenario{};
    setup.m_policy = policy;
    setup.m_load = load;
    setup.m_warm_up = duration{20'000'000};
    setup.m_measured_time = duration{60'000'000};
    setup.m_seeds = {1, 2, 3};
    return setup;
}

} // namespace

// Guards against an offered load that differs from the scenario, and against
// comparing policies on different arrivals.
BOOST_AUTO_TEST_CASE(workload_has_the_offered_load)
{
    auto setup = short_scenario(policy_kind::central, 0.9);
    setup.m_measured_time = duration{2'000'000'000};
    auto const requests = make_workload(setup, 1);
    auto work = duration{0};
    for (auto const& next : requests)
        work += next.m_run_time;
    auto const capacity = (setup.m_warm_up + setup.m_measured_time) * 80;
    auto const load = static_cast<double>(work.count()) /
                      static_cast<double>(capacity.count());
    BOOST_TEST(std::abs(load - 0.9) < 0.02);
    setup.m_policy = policy_kind::random;
    auto const again = make_workload(setup, 1);
    BOOST_REQUIRE(again.size() == requests.size());
    BOOST_TEST((again.back().m_sent_at == requests.back().m_sent_at));
}

// Guards against an ideal queue that is not work-conserving or violates the
// priority order.
BOOST_AUTO_TEST_CASE(ideal_serves_in_priority_order)
{
    auto setup = scenario{};
    setup.m_endpoints = 1;
    setup.m_slots = 1;
    auto requests = std::vector<simulated_request>(3);
    for (auto number = 0U; number < 3; ++number)
    {
        requests[number].m_number = number;
        requests[number].m_sent_at = time_point{number * 10'000};
        requests[number].m_run_time = duration{100'000};
    }
    requests[2].m_priority = 9;
    run_ideal(setup, requests);
    BOOST_TEST((requests[0].m_answered_at == time_point{102'000}));
    BOOST_TEST((requests[2].m_answered_at == time_point{202'000}));
    BOOST_TEST((requests[1].m_answered_at == time_point{302'000}));
}

// Guards against a dispatcher that loses its advantage over the baselines, and
// against results that are not reproducible.
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

// Guards against overload that fills the slots with requests whose answers come
// too late.
BOOST_AUTO_TEST_CASE(overload_keeps_goodput)
{
    auto setup = short_scenario(policy_kind::central, 3);
    setup.m_deadline = duration{5'000'000};
    auto const results = run(setup);
    BOOST_TEST(results.m_goodput.m_mean > 0.97);
    BOOST_TEST(results.m_top_priority_ratio.m_mean < 1.02);
}

// Guards against a failing endpoint that attracts requests because its slots
// are free again at once.
BOOST_AUTO_TEST_CASE(failing_endpoint_costs_little)
{
    auto setup = short_scenario(policy_kind::central, 0.7);
    setup.m_has_failing_endpoint = true;
    auto const results = run(setup);
    BOOST_TEST(results.m_failed.m_mean > 0);
    BOOST_TEST(results.m_failed.m_mean < 0.01);
}

// Guards against refusals when the load of an evacuated domain moves to the
// others, and against an evacuation that the run ignores.
BOOST_AUTO_TEST_CASE(an_evacuated_domain_costs_no_refusals)
{
    auto setup = short_scenario(policy_kind::central, 0.7);
    setup.m_evacuation_length = duration{30'000'000};
    auto const results = run(setup);
    BOOST_REQUIRE(results.m_undisturbed.has_value());
    BOOST_TEST_MESSAGE(to_text(results));
    BOOST_TEST(results.m_in_time.m_mean > 0.99);
    BOOST_TEST(results.m_refused.m_mean < 0.001);
    BOOST_TEST(results.m_undisturbed->m_in_time.m_mean >=
               results.m_in_time.m_mean);
    auto undisturbed = setup;
    undisturbed.m_evacuation_length = duration{0};
    BOOST_TEST(results.m_net_slowdown.m_mean >
               run(undisturbed).m_net_slowdown.m_mean);
    auto const bad = std::vector<std::string>{"experiment", "--policy",
                                              "random", "--evacuate", "10"};
    BOOST_TEST(experiment_main(bad) == 2);
}

// Guards against work for clients that have cancelled, and against slots lost
// by cancellations.
BOOST_AUTO_TEST_CASE(cancellations_free_slots)
{
    auto setup = short_scenario(policy_kind::central, 0.9);
    setup.m_cancelled_share = 0.5;
    auto const results = run(setup);
    BOOST_TEST(results.m_all_wasted.m_mean < 0.1);
    BOOST_TEST(results.m_net_ratio.m_mean < 1.05);
}

// Guards against invalid JSON output and against accepting invalid arguments.
BOOST_AUTO_TEST_CASE(report_is_json_and_arguments_are_checked)
{
    auto setup = short_scenario(policy_kind::two_choices, 0.5);
    setup.m_measured_time = duration{5'000'000};
    auto const parsed = boost::json::parse(to_json(run(setup)));
    BOOST_TEST((parsed.at("policy").as_string() == "two_choices"));
    BOOST_TEST(parsed.at("net_ratio").at("mean").as_double() > 0);
    auto const bad = std::vector<std::string>{"experiment", "--policy", "none"};
    BOOST_TEST(experiment_main(bad) == 2);
    auto const zero = std::vector<std::string>{"experiment", "--load", "0"};
    BOOST_TEST(experiment_main(zero) == 2);
}
