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

/// Uniform in [0, 1). The standard distributions differ between libraries.
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

auto choose_group(scenario const& of, random_source& random)
    -> customer_group const&
{
    auto at = uniform(random);
    for (auto const& group : of.m_groups)
    {
        at -= group.m_share;
        if (at < 0)
            return group;
    }
    return of.m_groups.back();
}

auto is_in_burst(scenario const& of, double microseconds) -> bool
{
    auto const start = (of.m_warm_up + of.m_burst_start).count();
    auto const length = of.m_burst_length.count();
    return microseconds >= static_cast<double>(start) &&
           microseconds < static_cast<double>(start + length);
}

} // namespace

auto mean_run_time(scenario const& of) -> duration
{
    auto const usual =
        static_cast<double>((of.m_shortest + of.m_longest).count()) / 2;
    auto const rare =
        static_cast<double>((of.m_long_shortest + of.m_long_longest).count()) /
        2;
    return duration{static_cast<std::int64_t>(usual * (1 - of.m_long_share) +
                                              rare * of.m_long_share)};
}

auto make_workload(scenario const& of, std::uint64_t seed)
    -> std::vector<request>
{
    auto random = random_source{seed};
    auto const slots = static_cast<double>(of.m_endpoints * of.m_slots);
    auto const gap =
        static_cast<double>(mean_run_time(of).count()) / slots / of.m_load;
    auto const end = static_cast<double>((of.m_warm_up + of.m_length).count());
    auto requests = std::vector<request>{};
    auto now = 0.0;
    while (true)
    {
        auto const factor = is_in_burst(of, now) ? of.m_burst_factor : 1.0;
        now += -std::log(1 - uniform(random)) * gap / factor;
        if (now >= end)
            return requests;
        auto made = request{};
        made.m_number = static_cast<std::uint32_t>(requests.size());
        made.m_entry = static_cast<std::uint32_t>(random() % of.m_entries);
        auto const& group = choose_group(of, random);
        made.m_priority = group.m_priority;
        made.m_customer = "p" + std::to_string(group.m_priority) + "-" +
                          std::to_string(random() % group.m_customers);
        made.m_sent = time_point{static_cast<std::int64_t>(now)};
        made.m_run_time =
            uniform(random) < of.m_long_share
                ? between(random, of.m_long_shortest, of.m_long_longest)
                : between(random, of.m_shortest, of.m_longest);
        auto const error = uniform(random) < 0.5 ? of.m_declared_error
                                                 : 1 / of.m_declared_error;
        made.m_declared = duration{static_cast<std::int64_t>(
            static_cast<double>(made.m_run_time.count()) * error)};
        made.m_is_committed = uniform(random) < of.m_committed_share;
        // A wave cancels what is still in progress then, a second at most.
        if (uniform(random) < of.m_cancelled_share)
        {
            auto const every = of.m_cancel_every.count();
            auto const wave = (made.m_sent.count() / every + 1) * every;
            if (wave - made.m_sent.count() < 1'000'000)
                made.m_cancel_at = time_point{wave};
        }
        requests.push_back(std::move(made));
    }
}

auto run_ideal(scenario const& of, std::vector<request>& requests) -> void
{
    struct later
    {
        auto operator()(request const* left, request const* right) const -> bool
        {
            return std::tuple{-left->m_priority, left->m_number} >
                   std::tuple{-right->m_priority, right->m_number};
        }
    };
    auto waiting =
        std::priority_queue<request*, std::vector<request*>, later>{};
    auto ends = std::priority_queue<time_point, std::vector<time_point>,
                                    std::greater<>>{};
    auto const has_fault =
        of.m_has_failing_endpoint || of.m_straggler_factor > 1;
    auto const slots =
        std::size_t{of.m_endpoints - (has_fault ? 1 : 0)} * of.m_slots;
    auto const start = [&](request& next, time_point now)
    {
        next.m_started = now;
        next.m_finished = now + next.m_run_time;
        next.m_answered = next.m_finished + of.m_to_client;
        next.m_network = of.m_to_client * 2;
        auto const cancelled =
            next.m_cancel_at == core::never
                ? core::never
                : std::max(now, next.m_cancel_at + of.m_to_client);
        next.m_end = cancelled < next.m_finished ? request_end::cancelled
                                                 : request_end::answered;
        ends.push(std::min(next.m_finished, cancelled));
    };
    auto const free_until = [&](time_point now)
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
        auto const at = next.m_sent + of.m_to_client;
        free_until(at);
        if (ends.size() < slots)
            start(next, at);
        else
            waiting.push(&next);
    }
    free_until(core::never);
}

} // namespace hickorylatch::experiment
