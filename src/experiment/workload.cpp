#include "experiment/workload.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <queue>
#include <random>
#include <tuple>

namespace hickorylatch::experiment
{

namespace
{

using random_source = std::mt19937_64;

/// Uniform in [0, 1). Not a standard distribution, because these differ between
/// libraries.
auto uniform(random_source& random) -> double
{
    return static_cast<double>(random() >> 11) * 0x1.0p-53;
}

auto between(random_source& random, duration low, duration high) -> duration
{
    return low +
           duration{static_cast<std::int64_t>(
               uniform(random) * static_cast<double>((high - low).count()))};
}

auto choose_group(scenario const& setup, random_source& random)
    -> customer_group const&
{
    auto at = uniform(random);
    for (auto const& group : setup.m_groups)
    {
        at -= group.m_share;
        if (at < 0)
            return group;
    }
    return setup.m_groups.back();
}

auto is_in_burst(scenario const& setup, double microseconds) -> bool
{
    auto const start = (setup.m_warm_up + setup.m_burst_start).count();
    auto const length = setup.m_burst_length.count();
    return microseconds >= static_cast<double>(start) &&
           microseconds < static_cast<double>(start + length);
}

} // namespace

auto mean_run_time(scenario const& setup) -> duration
{
    auto const usual_mean =
        static_cast<double>(
            (setup.m_min_run_time + setup.m_max_run_time).count()) /
        2;
    auto const long_mean =
        static_cast<double>(
            (setup.m_min_long_run_time + setup.m_max_long_run_time).count()) /
        2;
    return duration{
        static_cast<std::int64_t>(usual_mean * (1 - setup.m_long_share) +
                                  long_mean * setup.m_long_share)};
}

auto make_workload(scenario const& setup, std::uint64_t seed)
    -> std::vector<simulated_request>
{
    auto random = random_source{seed};
    auto const slots = static_cast<double>(setup.m_endpoints * setup.m_slots);
    auto const mean_interval =
        static_cast<double>(mean_run_time(setup).count()) / slots /
        setup.m_load;
    auto const end =
        static_cast<double>((setup.m_warm_up + setup.m_measured_time).count());
    auto requests = std::vector<simulated_request>{};
    auto now = 0.0;
    while (true)
    {
        auto const factor =
            is_in_burst(setup, now) ? setup.m_burst_factor : 1.0;
        now += -std::log(1 - uniform(random)) * mean_interval / factor;
        if (now >= end)
            return requests;
        auto request = simulated_request{};
        request.m_number = static_cast<std::uint32_t>(requests.size());
        request.m_entry =
            static_cast<std::uint32_t>(random() % setup.m_entries);
        auto const& group = choose_group(setup, random);
        request.m_priority = group.m_priority;
        request.m_customer = "p" + std::to_string(group.m_priority) + "-" +
                             std::to_string(random() % group.m_customers);
        request.m_sent_at = time_point{static_cast<std::int64_t>(now)};
        request.m_run_time =
            uniform(random) < setup.m_long_share
                ? between(random, setup.m_min_long_run_time,
                          setup.m_max_long_run_time)
                : between(random, setup.m_min_run_time, setup.m_max_run_time);
        auto const error = uniform(random) < 0.5 ? setup.m_declared_error
                                                 : 1 / setup.m_declared_error;
        request.m_declared_run_time = duration{static_cast<std::int64_t>(
            static_cast<double>(request.m_run_time.count()) * error)};
        request.m_needs_commit = uniform(random) < setup.m_committed_share;
        // Each cancellation affects only requests of the last second.
        if (uniform(random) < setup.m_cancelled_share)
        {
            auto const interval = setup.m_cancel_interval.count();
            auto const cancel_time =
                (request.m_sent_at.count() / interval + 1) * interval;
            if (cancel_time - request.m_sent_at.count() < 1'000'000)
                request.m_cancel_at = time_point{cancel_time};
        }
        requests.push_back(std::move(request));
    }
}

auto run_ideal(scenario const& setup, std::vector<simulated_request>& requests)
    -> void
{
    struct later
    {
        auto operator()(simulated_request const* left,
                        simulated_request const* right) const -> bool
        {
            return std::tuple{-left->m_priority, left->m_number} >
                   std::tuple{-right->m_priority, right->m_number};
        }
    };
    auto waiting =
        std::priority_queue<simulated_request*, std::vector<simulated_request*>,
                            later>{};
    auto ends = std::priority_queue<time_point, std::vector<time_point>,
                                    std::greater<>>{};
    auto const has_faulty_endpoint =
        setup.m_has_failing_endpoint || setup.m_straggler_factor > 1;
    auto const slots =
        std::size_t{setup.m_endpoints - (has_faulty_endpoint ? 1 : 0)} *
        setup.m_slots;
    auto const start = [&](simulated_request& next, time_point now)
    {
        next.m_started_at = now;
        next.m_finished_at = now + next.m_run_time;
        next.m_answered_at = next.m_finished_at + setup.m_client_delay;
        next.m_network_delay = setup.m_client_delay * 2;
        auto const cancelled =
            next.m_cancel_at == core::never
                ? core::never
                : std::max(now, next.m_cancel_at + setup.m_client_delay);
        next.m_end = cancelled < next.m_finished_at ? request_end::cancelled
                                                    : request_end::answered;
        ends.push(std::min(next.m_finished_at, cancelled));
    };
    auto const free_slots_until = [&](time_point now)
    {
        while (!ends.empty() && ends.top() <= now)
        {
            auto const at = ends.top();
            ends.pop();
            if (waiting.empty())
                continue;
            start(*waiting.top(), at);
            waiting.pop();
        }
    };
    for (auto& next : requests)
    {
        auto const at = next.m_sent_at + setup.m_client_delay;
        free_slots_until(at);
        if (ends.size() < slots)
            start(next, at);
        else
            waiting.push(&next);
    }
    free_slots_until(core::never);
}

} // namespace hickorylatch::experiment
