#ifndef HICKORYLATCH_CORE_PLACEMENT_PLACEMENT_LOG_HPP
#define HICKORYLATCH_CORE_PLACEMENT_PLACEMENT_LOG_HPP

#include "core/model/effect.hpp"
#include "core/placement/job_planner.hpp"
#include "core/placement/placed_job.hpp"
#include "core/placement/worker_directory.hpp"

namespace hickorylatch::core
{

/// A decision about the admission of a job.
struct admission_record
{
    placed_job const& m_job;
    job_plan const& m_plan;
    worker_directory const& m_workers;
    configuration_version m_version = 0;
    duration m_wait_limit{0};
    bool m_is_accepted = false;
};

/// Log line with the inputs of the admission decision and the chosen workers.
[[nodiscard]] auto placement_log_line(time_point now,
                                      admission_record const& record)
    -> log_line;

/// Adds the log line and the metrics of the end of a job.
auto report_end(time_point now, placed_job const& ended, verdict const& outcome,
                job_state state, effects& out) -> void;

} // namespace hickorylatch::core

#endif
