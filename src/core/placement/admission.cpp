#include "core/placement/admission.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace hickorylatch::core
{

namespace
{

// Share of the slack that a job may wait. The rest is a margin for run times
// that were declared too short and for later work of higher priority. With
// 0.15, jobs are refused while workers are idle; with 0.7, many accepted jobs
// are late.
constexpr auto max_wait_share = 0.5;

} // namespace

auto max_wait(duration objective, duration run) -> duration
{
    auto const slack = std::max(objective - run, duration{0});
    return scaled(slack, max_wait_share);
}

auto expected_room_wait(std::span<placement_choice const> workers,
                        std::uint32_t tasks) -> duration
{
    auto next = std::vector<std::pair<duration, duration>>{};
    for (auto const& each : workers)
        next.emplace_back(each.m_wait, each.m_completion_interval);
    auto latest = duration{0};
    for (auto task = std::uint32_t{0}; task < tasks && !next.empty(); ++task)
    {
        auto& [wait, interval] = *std::ranges::min_element(next);
        latest = wait;
        wait += interval;
    }
    return latest;
}

} // namespace hickorylatch::core
