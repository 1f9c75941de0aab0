#ifndef HICKORYLATCH_TESTS_CORE_DESK_SAMPLE_HPP
#define HICKORYLATCH_TESTS_CORE_DESK_SAMPLE_HPP

#include "core/model/configuration.hpp"
#include "core/model/effect.hpp"
#include "core/model/event.hpp"

#include <algorithm>
#include <cstdint>
#include <variant>

namespace hickorylatch::test
{

/// A configuration of version 1 with service "desk" and its queue "fast" of
/// rank 0.
inline auto desk_configuration() -> core::configuration
{
    auto config = core::configuration{};
    config.m_version = 1;
    auto desk = core::service{};
    desk.m_name = "desk";
    config.m_services = {desk};
    auto queue = core::job_queue{};
    queue.m_name = "fast";
    queue.m_host = "desk.example";
    queue.m_path_prefix = "/fast/";
    queue.m_service = "desk";
    queue.m_slack_factor = 2.0;
    queue.m_latency_ms = 2'000;
    queue.m_failure_limit = 3;
    config.m_queues = {queue};
    return config;
}

/// First report of worker "w" of service "desk", with 16 cores.
inline auto desk_worker_report() -> core::worker_report
{
    auto report = core::worker_report{};
    report.m_name = "w";
    report.m_incarnation = 1;
    report.m_service = "desk";
    report.m_capacity = {16'000, 1'024, 0};
    report.m_clock_ms = 1'000;
    report.m_sequence = 1;
    return report;
}

/// Confirms `desk_worker_report`.
inline auto desk_worker_checked() -> core::worker_checked
{
    return {"w", 1, core::worker_answer::accepted, 1'000};
}

/// A worker's answer to a poll that lists no runs.
inline auto poll_answer(std::uint64_t number) -> core::runs_polled
{
    auto answer = core::runs_polled{};
    answer.m_poll = number;
    answer.m_answer = core::worker_answer::accepted;
    answer.m_clock_ms = 1'000;
    return answer;
}

/// The last effect of this type; null if there is none.
template <typename Effect>
auto last(core::effects const& out) -> Effect const*
{
    auto const found =
        std::find_if(out.rbegin(), out.rend(),
                     [](core::effect const& each)
                     {
                         return std::holds_alternative<Effect>(each);
                     });
    return found == out.rend() ? nullptr : &std::get<Effect>(*found);
}

} // namespace hickorylatch::test

#endif
