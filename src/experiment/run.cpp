#include "experiment/central_policy.hpp"
#include "experiment/credits_policy.hpp"
#include "experiment/direct_policy.hpp"
#include "experiment/report.hpp"
#include "experiment/world.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace hickorylatch::experiment
{

namespace
{

/// Measures of one seed by name, so that all seeds' can be combined alike.
struct sample
{
    std::map<std::string, double> m_values;
    std::map<std::string, double> m_wasted;
    std::map<core::priority, std::map<std::string, double>> m_responses;
};

template <dispatch_policy Policy>
auto simulate(world& in) -> void
{
    auto policy = Policy{in};
    for (auto& of : in.requests())
    {
        in.time().at(of.m_sent,
                     [&in, &policy, &of]
                     {
                         in.send(of, in.setup().m_to_client,
                                 [&policy, &of]
                                 {
                                     policy.submit(of);
                                 });
                     });
        if (of.m_cancel_at != core::never)
            in.time().at(of.m_cancel_at + in.setup().m_to_client,
                         [&policy, &of]
                         {
                             policy.cancel(of);
                         });
    }
    // Long enough for each request that is answered in time.
    auto const& setup = in.setup();
    in.time().run(setup.m_warm_up + setup.m_length +
                  std::max(setup.m_deadline, duration{60'000'000}) +
                  setup.m_long_longest * 10);
}

auto simulate(world& in) -> void
{
    switch (in.setup().m_policy)
    {
    case policy_kind::random:
        return simulate<direct_policy<choose_random>>(in);
    case policy_kind::round_robin:
        return simulate<direct_policy<choose_round_robin>>(in);
    case policy_kind::least_outstanding:
        return simulate<direct_policy<choose_least_outstanding>>(in);
    case policy_kind::two_choices:
        return simulate<direct_policy<choose_of_two>>(in);
    case policy_kind::entry_credits:
        return simulate<credits_policy>(in);
    case policy_kind::central:
        return simulate<central_policy>(in);
    }
}

auto slowdown(request const& of, duration network) -> double
{
    return core::to_seconds(of.m_answered - of.m_sent - network) /
           core::to_seconds(of.m_run_time);
}

auto is_in_time(scenario const& setup, request const& of) -> bool
{
    return of.m_end == request_end::answered &&
           (setup.m_deadline == duration{0} ||
            of.m_answered - of.m_sent <= setup.m_deadline);
}

/// Time of the request's run within the counted time.
auto counted_run(scenario const& setup, request const& of) -> duration
{
    auto const from = std::max(of.m_started, setup.m_warm_up);
    auto const to = std::min(of.m_finished, setup.m_warm_up + setup.m_length);
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

/// Sums over the requests that both the policy and the ideal answered.
struct totals
{
    double m_count = 0;
    double m_net = 0;
    double m_gross = 0;
    double m_ideal = 0;

    auto add(scenario const& setup, request const& of, request const& best)
        -> void
    {
        auto const clients = setup.m_to_client * 2;
        ++m_count;
        m_net += slowdown(of, of.m_network);
        m_gross += slowdown(of, clients);
        m_ideal += slowdown(best, clients);
    }
};

auto compare(world& in, std::vector<request> const& ideal) -> sample
{
    auto const& setup = in.setup();
    auto top = core::priority{0};
    for (auto const& group : setup.m_groups)
        top = std::max(top, group.m_priority);
    auto all = totals{};
    auto urgent = totals{};
    auto count = 0.0;
    auto ends = std::map<request_end, double>{};
    auto late = 0.0;
    auto good = duration{0};
    auto responses =
        std::map<core::priority,
                 std::pair<std::vector<double>, std::vector<double>>>{};
    for (auto const& of : in.requests())
    {
        auto const in_time = is_in_time(setup, of);
        if (in_time)
            good += counted_run(setup, of);
        if (of.m_sent < setup.m_warm_up)
            continue;
        ++count;
        ++ends[of.m_end];
        late += of.m_end == request_end::answered && !in_time ? 1 : 0;
        auto const& best = ideal[of.m_number];
        if (of.m_end != request_end::answered ||
            best.m_end != request_end::answered)
            continue;
        all.add(setup, of, best);
        if (of.m_priority == top)
            urgent.add(setup, of, best);
        auto& [actual, wanted] = responses[of.m_priority];
        actual.push_back(core::to_seconds(of.m_answered - of.m_sent));
        wanted.push_back(core::to_seconds(best.m_answered - best.m_sent));
    }
    auto result = sample{};
    auto const capacity = core::to_seconds(setup.m_length) *
                          static_cast<double>(setup.m_endpoints) *
                          static_cast<double>(setup.m_slots);
    result.m_values = {{"requests", count},
                       {"ideal_slowdown", all.m_ideal / all.m_count},
                       {"net_slowdown", all.m_net / all.m_count},
                       {"net_ratio", all.m_net / all.m_ideal},
                       {"gross_ratio", all.m_gross / all.m_ideal},
                       {"top_ratio", urgent.m_net / urgent.m_ideal},
                       {"goodput", core::to_seconds(good) / capacity},
                       {"refused", ends[request_end::refused] / count},
                       {"failed", ends[request_end::failed] / count},
                       {"late", (late + ends[request_end::open]) / count}};
    auto wasted = 0.0;
    for (auto const& [kind, number] : in.wasted())
    {
        result.m_wasted[kind] = static_cast<double>(number) / count;
        wasted += result.m_wasted[kind];
    }
    result.m_values["all_wasted"] = wasted;
    for (auto& [level, pair] : responses)
        result.m_responses[level] = response_ratios(pair.first, pair.second);
    return result;
}

template <typename Value>
auto combine(std::vector<sample> const& samples, Value value) -> estimate
{
    auto values = std::vector<double>{};
    for (auto const& one : samples)
        values.push_back(value(one));
    return estimate_of(values);
}

auto find(std::map<std::string, double> const& values, std::string const& name)
    -> double
{
    auto const found = values.find(name);
    return found == values.end() ? 0 : found->second;
}

auto summarize(scenario const& of, std::vector<sample> const& samples) -> report
{
    auto const measure = [&samples](std::string const& name)
    {
        return combine(samples,
                       [&name](sample const& one)
                       {
                           return find(one.m_values, name);
                       });
    };
    auto results = report{};
    results.m_scenario = of;
    results.m_requests = measure("requests").m_mean;
    results.m_ideal_slowdown = measure("ideal_slowdown");
    results.m_net_slowdown = measure("net_slowdown");
    results.m_net_ratio = measure("net_ratio");
    results.m_gross_ratio = measure("gross_ratio");
    results.m_top_ratio = measure("top_ratio");
    results.m_goodput = measure("goodput");
    results.m_refused = measure("refused");
    results.m_failed = measure("failed");
    results.m_late = measure("late");
    results.m_all_wasted = measure("all_wasted");
    for (auto const& one : samples)
    {
        for (auto const& [kind, number] : one.m_wasted)
            results.m_wasted[kind] =
                combine(samples,
                        [&kind = kind](sample const& each)
                        {
                            return find(each.m_wasted, kind);
                        });
    }
    for (auto const& [level, ratios] : samples.front().m_responses)
    {
        for (auto const& [name, ratio] : ratios)
            results.m_response_ratios[level][name] =
                combine(samples,
                        [&level = level, &name = name](sample const& each)
                        {
                            auto const found = each.m_responses.find(level);
                            return found == each.m_responses.end()
                                       ? 0.0
                                       : find(found->second, name);
                        });
    }
    return results;
}

} // namespace

auto estimate_of(std::span<double const> samples) -> estimate
{
    if (samples.empty())
        return {};
    // Student's t for 95 % by degrees of freedom; beyond it the normal value.
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
    auto const freedom = samples.size() - 1;
    auto const quantile =
        freedom < quantiles.size() ? quantiles.at(freedom) : 1.96;
    return {mean, quantile * std::sqrt(squares / (count - 1) / count)};
}

auto run(scenario const& of) -> report
{
    auto samples = std::vector<sample>{};
    for (auto const seed : of.m_seeds)
    {
        auto const workload = make_workload(of, seed);
        auto ideal = workload;
        run_ideal(of, ideal);
        auto in = world{of, workload};
        simulate(in);
        samples.push_back(compare(in, ideal));
    }
    return summarize(of, samples);
}

} // namespace hickorylatch::experiment
