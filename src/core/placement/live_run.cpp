#include "core/placement/live_run.hpp"

#include "core/placement/log_fields.hpp"

#include <algorithm>
#include <chrono>
#include <string>

namespace hickorylatch::core
{

namespace
{

// A run that takes this much longer than expected counts as hung. The factor is
// well above the error of declared run times, which is commonly 1.5.
constexpr auto hang_factor = 4.0;
constexpr auto hang_grace = duration{std::chrono::milliseconds{100}};

auto run_count_metric(run_outcome outcome) -> observe_metric
{
    return {"hickorylatch_runs_total",
            {{"outcome", std::string{to_string(outcome)}}}};
}

} // namespace

auto hang_limit(live_run const& run, double slowness) -> duration
{
    auto const expected =
        std::chrono::duration<double, duration::period>(run.m_expected) *
        hang_factor * std::max(slowness, 1.0);
    return std::chrono::duration_cast<duration>(expected) + hang_grace;
}

auto log_end(time_point now, std::string_view job, live_run const& run,
             run_outcome outcome, reason why, effects& out) -> void
{
    out.emplace_back(
        log_line{log_level::info,
                 "run_ended",
                 {{"run", run_field(job, run.m_ref.m_task, run.m_number)},
                  {"entry", node_field(run.m_job->m_requester)},
                  {"outcome", std::string{to_string(outcome)}},
                  {"reason", std::string{to_string(why)}},
                  {"hung", run.m_is_hung ? "yes" : "no"},
                  {"queued_ms", ms_field(run.m_started_at - run.m_queued_at)},
                  {"ran_ms", ms_field(now - run.m_started_at)},
                  {"expected_ms", ms_field(run.m_expected)}}});
    out.emplace_back(run_count_metric(outcome));
    if (outcome != run_outcome::succeeded)
        return;
    out.emplace_back(
        observe_metric{"hickorylatch_run_wait_seconds",
                       {},
                       to_seconds(run.m_started_at - run.m_queued_at)});
    out.emplace_back(observe_metric{
        "hickorylatch_run_seconds", {}, to_seconds(now - run.m_started_at)});
}

auto log_refusal(time_point now, waiting_run const& refused, reason why,
                 std::size_t waiting, effects& out) -> void
{
    out.emplace_back(
        log_line{log_level::info,
                 "run_refused",
                 {{"run", run_field(refused.m_job->m_id, refused.m_ref.m_task,
                                    refused.m_ref.m_run)},
                  {"entry", node_field(refused.m_job->m_requester)},
                  {"reason", std::string{to_string(why)}},
                  {"queued_ms", ms_field(now - refused.m_queued_at)},
                  {"waiting", std::to_string(waiting)}}});
    out.emplace_back(run_count_metric(run_outcome::refused));
}

} // namespace hickorylatch::core
