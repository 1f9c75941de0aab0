#include "core/placement/admission.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace hickorylatch::core
{

namespace
{

// Share of the time that is left beside the run. The rest is for run times that
// were declared too short and for work of higher rank that is still to come.
// With 0.15 jobs are refused beside idle workers, with 0.7 many that were taken
// are late.
constexpr auto wait_share = 0.5;

} // namespace

auto longest_wait(duration objective, duration run) -> duration
{
    auto const slack = std::max(objective - run, duration{0});
    return scaled(slack, wait_share);
}

auto wait_for_room(std::span<placement_choice const> workers,
                   std::uint32_t tasks) -> duration
{
    auto next = std::vector<std::pair<duration, duration>>{};
    for (auto const& each : workers)
        next.emplace_back(each.m_wait, each.m_turnover);
    auto latest = duration{0};
    for (auto task = std::uint32_t{0}; task < tasks && !next.empty(); ++task)
    {
        auto& [wait, turnover] = *std::ranges::min_element(next);
        latest = wait;
        wait += turnover;
    }
    return latest;
}

} // namespace hickorylatch::core
