#include "core/placement/placement_log.hpp"

#include "core/placement/log_fields.hpp"

#include <algorithm>
#include <string>

namespace hickorylatch::core
{

auto placement_log_line(time_point now, admission_record const& record)
    -> log_line
{
    auto const& job = record.m_job;
    auto const& plan = record.m_plan;
    auto workers = std::string{};
    auto oldest = duration{0};
    for (auto const& [agent, order] : plan.m_orders)
    {
        if (!workers.empty())
            workers += ',';
        workers.append(record.m_workers.worker_name(agent))
            .append(":")
            .append(std::to_string(order.m_runs.size()));
        oldest = std::max(oldest, record.m_workers.load_age(now, agent));
    }
    return {log_level::info,
            record.m_is_accepted ? "job_taken" : "job_late",
            {{"job", job.job().m_id},
             {"queue", job.queue().m_name},
             {"version", std::to_string(record.m_version)},
             {"wait_ms", ms_field(plan.m_wait)},
             {"forecast_ms", ms_field(plan.m_forecast)},
             {"longest_wait_ms", ms_field(record.m_wait_limit)},
             {"finish_ms", ms_field(plan.m_finish)},
             {"load_age_ms", ms_field(oldest)},
             {"workers", workers},
             {"reserved_at", std::to_string(plan.m_reservations.size())},
             {"unplaced", std::to_string(plan.m_unplaced)}}};
}

auto report_end(time_point now, placed_job const& ended, verdict const& outcome,
                job_state state, effects& out) -> void
{
    out.emplace_back(
        log_line{log_level::info,
                 "job_ended",
                 {{"job", ended.job().m_id},
                  {"queue", ended.queue().m_name},
                  {"state", std::string{to_string(state)}},
                  {"verdict", std::string{to_string(outcome.m_run)}},
                  {"reason", std::string{to_string(outcome.m_reason)}},
                  {"age_ms", ms_field(now - ended.arrived())}}});
    out.emplace_back(
        observe_metric{"hickorylatch_jobs_total",
                       {{"verdict", std::string{to_string(outcome.m_run)}}}});
    out.emplace_back(observe_metric{"hickorylatch_job_seconds",
                                    {{"queue", ended.queue().m_name},
                                     {"state", std::string{to_string(state)}}},
                                    to_seconds(now - ended.arrived())});
    if (outcome.m_run != core::run_state::ran)
        out.emplace_back(count_refusal(outcome));
}

} // namespace hickorylatch::core
