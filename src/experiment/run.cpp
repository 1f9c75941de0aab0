#include "experiment/central_policy.hpp"
#include "experiment/credits_policy.hpp"
#include "experiment/direct_policy.hpp"
#include "experiment/report.hpp"
#include "experiment/simulated_system.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace hickorylatch::experiment
{

namespace
{

/// Results of one seed by name, so that all can be combined over the seeds in
/// the same way.
struct seed_results
{
    std::map<std::string, double> m_values;
    std::map<std::string, double> m_wasted;
    std::map<core::priority, std::map<std::string, double>> m_responses;
};

template <dispatch_policy Policy>
auto simulate(simulated_system& system) -> void
{
    auto policy = Policy{system};
    for (auto& request : system.requests())
    {
        system.scheduler().at(request.m_sent_at,
                              [&system, &policy, &request]
                              {
                                  system.send(request,
                                              system.setup().m_client_delay,
                                              [&policy, &request]
                                              {
                                                  policy.submit(request);
                                              });
                              });
        if (request.m_cancel_at != core::never)
            system.scheduler().at(request.m_cancel_at +
                                      system.setup().m_client_delay,
                                  [&policy, &request]
                                  {
                                      policy.cancel(request);
                                  });
    }
    // Long enough to answer every request that meets its deadline.
    auto const& setup = system.setup();
    system.scheduler().run(setup.m_warm_up + setup.m_measured_time +
                           std::max(setup.m_deadline, duration{60'000'000}) +
                           setup.m_max_long_run_time * 10);
}

auto simulate(simulated_system& system) -> void
{
    switch (system.setup().m_policy)
    {
    case policy_kind::random:
        return simulate<direct_policy<choose_random>>(system);
    case policy_kind::round_robin:
        return simulate<direct_policy<choose_round_robin>>(system);
    case policy_kind::least_outstanding:
        return simulate<direct_policy<choose_least_outstanding>>(system);
    case policy_kind::two_choices:
        return simulate<direct_policy<choose_of_two>>(system);
    case policy_kind::entry_credits:
        return simulate<credits_policy>(system);
    case policy_kind::central:
        return simulate<central_policy>(system);
    }
}

auto slowdown(simulated_request const& request, duration network) -> double
{
    return core::to_seconds(request.m_answered_at - request.m_sent_at -
                            network) /
           core::to_seconds(request.m_run_time);
}

auto is_in_time(scenario const& setup, simulated_request const& request) -> bool
{
    return request.m_end == request_end::answered &&
           (setup.m_deadline == duration{0} ||
            request.m_answered_at - request.m_sent_at <= setup.m_deadline);
}

/// Part of the request's run time that lies within the measured time.
auto measured_run_time(scenario const& setup, simulated_request const& request)
    -> duration
{
    auto const from = std::max(request.m_started_at, setup.m_warm_up);
    auto const to = std::min(request.m_finished_at,
                             setup.m_warm_up + setup.m_measured_time);
    return std::max(to - from, duration{0});
}

auto percentile(std::vector<double>& values, double share) -> double
{
    if (values.empty())
        return 0;
    auto const at = std::min(
        values.size() - 1,
        static_cast<std::size_t>(share * static_cast<double>(values.size())));
    std::ranges::nth_element(values,
                             values.begin() + static_cast<std::ptrdiff_t>(at));
    return values[at];
}

auto response_ratios(std::vector<double>& actual, std::vector<double>& ideal)
    -> std::map<std::string, double>
{
    auto ratios = std::map<std::string, double>{};
    for (auto const& [name, share] :
         {std::pair{"p50", 0.5}, {"p99", 0.99}, {"p99.9", 0.999}})
    {
        auto const base = percentile(ideal, share);
        ratios[name] = base > 0 ? percentile(actual, share) / base : 0;
    }
    return ratios;
}

/// Sums over the requests that both the policy and the ideal queue answered.
struct totals
{
    double m_count = 0;
    double m_net_slowdown = 0;
    double m_gross_slowdown = 0;
    double m_ideal_slowdown = 0;

    auto add(scenario const& setup, simulated_request const& request,
             simulated_request const& ideal_request) -> void
    {
        auto const client_delays = setup.m_client_delay * 2;
        ++m_count;
        m_net_slowdown += slowdown(request, request.m_network_delay);
        m_gross_slowdown += slowdown(request, client_delays);
        m_ideal_slowdown += slowdown(ideal_request, client_delays);
    }
};

auto compare(simulated_system& system,
             std::vector<simulated_request> const& ideal) -> seed_results
{
    auto const& setup = system.setup();
    auto top_priority = core::priority{0};
    for (auto const& group : setup.m_groups)
        top_priority = std::max(top_priority, group.m_priority);
    auto all_totals = totals{};
    auto top_priority_totals = totals{};
    auto count = 0.0;
    auto ends = std::map<request_end, double>{};
    auto late = 0.0;
    auto in_time_count = 0.0;
    auto useful_run_time = duration{0};
    auto responses =
        std::map<core::priority,
                 std::pair<std::vector<double>, std::vector<double>>>{};
    for (auto const& request : system.requests())
    {
        auto const in_time = is_in_time(setup, request);
        if (in_time)
            useful_run_time += measured_run_time(setup, request);
        if (request.m_sent_at < setup.m_warm_up)
            continue;
        ++count;
        ++ends[request.m_end];
        in_time_count += in_time ? 1 : 0;
        late += request.m_end == request_end::answered && !in_time ? 1 : 0;
        auto const& ideal_request = ideal[request.m_number];
        if (request.m_end != request_end::answered ||
            ideal_request.m_end != request_end::answered)
            continue;
        all_totals.add(setup, request, ideal_request);
        if (request.m_priority == top_priority)
            top_priority_totals.add(setup, request, ideal_request);
        auto& [actual_responses, ideal_responses] =
            responses[request.m_priority];
        actual_responses.push_back(
            core::to_seconds(request.m_answered_at - request.m_sent_at));
        ideal_responses.push_back(core::to_seconds(ideal_request.m_answered_at -
                                                   ideal_request.m_sent_at));
    }
    auto result = seed_results{};
    auto const capacity = core::to_seconds(setup.m_measured_time) *
                          static_cast<double>(setup.m_endpoints) *
                          static_cast<double>(setup.m_slots);
    result.m_values = {
        {"requests", count},
        {"ideal_slowdown", all_totals.m_ideal_slowdown / all_totals.m_count},
        {"net_slowdown", all_totals.m_net_slowdown / all_totals.m_count},
        {"net_ratio", all_totals.m_net_slowdown / all_totals.m_ideal_slowdown},
        {"gross_ratio",
         all_totals.m_gross_slowdown / all_totals.m_ideal_slowdown},
        {"top_ratio", top_priority_totals.m_net_slowdown /
                          top_priority_totals.m_ideal_slowdown},
        {"goodput", core::to_seconds(useful_run_time) / capacity},
        {"in_time", in_time_count / count},
        {"refused", ends[request_end::refused] / count},
        {"failed", ends[request_end::failed] / count},
        {"late", (late + ends[request_end::open]) / count}};
    auto wasted = 0.0;
    for (auto const& [kind, number] : system.wasted())
    {
        result.m_wasted[kind] = static_cast<double>(number) / count;
        wasted += result.m_wasted[kind];
    }
    result.m_values["all_wasted"] = wasted;
    for (auto& [priority, pair] : responses)
        result.m_responses[priority] = response_ratios(pair.first, pair.second);
    return result;
}

template <typename Value>
auto combine(std::vector<seed_results> const& samples, Value value) -> estimate
{
    auto values = std::vector<double>{};
    for (auto const& results_of_seed : samples)
        values.push_back(value(results_of_seed));
    return estimate_of(values);
}

auto find_or_zero(std::map<std::string, double> const& values,
                  std::string const& name) -> double
{
    auto const found = values.find(name);
    return found == values.end() ? 0 : found->second;
}

auto summarize(scenario const& setup, std::vector<seed_results> const& samples)
    -> report
{
    auto const measure = [&samples](std::string const& name)
    {
        return combine(samples,
                       [&name](seed_results const& results_of_seed)
                       {
                           return find_or_zero(results_of_seed.m_values, name);
                       });
    };
    auto results = report{};
    results.m_scenario = setup;
    results.m_requests = measure("requests").m_mean;
    results.m_ideal_slowdown = measure("ideal_slowdown");
    results.m_net_slowdown = measure("net_slowdown");
    results.m_net_ratio = measure("net_ratio");
    results.m_gross_ratio = measure("gross_ratio");
    results.m_top_priority_ratio = measure("top_ratio");
    results.m_goodput = measure("goodput");
    results.m_in_time = measure("in_time");
    results.m_refused = measure("refused");
    results.m_failed = measure("failed");
    results.m_late = measure("late");
    results.m_all_wasted = measure("all_wasted");
    for (auto const& results_of_seed : samples)
    {
        for (auto const& [kind, number] : results_of_seed.m_wasted)
            results.m_wasted[kind] =
                combine(samples,
                        [&kind = kind](seed_results const& each)
                        {
                            return find_or_zero(each.m_wasted, kind);
                        });
    }
    for (auto const& [priority, ratios] : samples.front().m_responses)
    {
        for (auto const& [name, ratio] : ratios)
            results.m_response_ratios[priority][name] = combine(
                samples,
                [&priority = priority, &name = name](seed_results const& each)
                {
                    auto const found = each.m_responses.find(priority);
                    return found == each.m_responses.end()
                               ? 0.0
                               : find_or_zero(found->second, name);
                });
    }
    return results;
}

} // namespace

auto estimate_of(std::span<double const> samples) -> estimate
{
    if (samples.empty())
        return {};
    // Two-sided 95 % quantiles of Student's t by degrees of freedom; the normal
    // distribution is used beyond the table.
    static constexpr auto quantiles =
        std::to_array({0.0, 12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365,
                       2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145, 2.131});
    auto const count = static_cast<double>(samples.size());
    auto sum = 0.0;
    for (auto const value : samples)
        sum += value;
    auto const mean = sum / count;
    auto squares = 0.0;
    for (auto const value : samples)
        squares += (value - mean) * (value - mean);
    if (samples.size() < 2)
        return {mean, 0};
    auto const degrees_of_freedom = samples.size() - 1;
    auto const quantile = degrees_of_freedom < quantiles.size()
                              ? quantiles.at(degrees_of_freedom)
                              : 1.96;
    return {mean, quantile * std::sqrt(squares / (count - 1) / count)};
}

auto run(scenario const& setup) -> report
{
    auto samples = std::vector<seed_results>{};
    for (auto const seed : setup.m_seeds)
    {
        auto const workload = make_workload(setup, seed);
        auto ideal = workload;
        run_ideal(setup, ideal);
        auto system = simulated_system{setup, workload};
        simulate(system);
        samples.push_back(compare(system, ideal));
    }
    auto results = summarize(setup, samples);
    if (setup.m_evacuation_length > duration{0})
    {
        auto undisturbed = setup;
        undisturbed.m_evacuation_length = duration{0};
        auto const compared = run(undisturbed);
        results.m_undisturbed = {compared.m_in_time, compared.m_refused};
    }
    return results;
}

} // namespace hickorylatch::experiment
