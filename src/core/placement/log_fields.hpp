#ifndef HICKORYLATCH_CORE_PLACEMENT_LOG_FIELDS_HPP
#define HICKORYLATCH_CORE_PLACEMENT_LOG_FIELDS_HPP

#include "core/model/ids.hpp"
#include "core/model/job.hpp"
#include "core/model/time.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace hickorylatch::core
{

/// Whole milliseconds, as the value of a log field.
[[nodiscard]] auto ms_field(duration value) -> std::string;
[[nodiscard]] auto node_field(node_id node) -> std::string;
/// "STEP.TASK"
[[nodiscard]] auto task_field(task_index task) -> std::string;
/// "JOB.STEP.TASK#RUN"
[[nodiscard]] auto run_field(std::string_view job, task_index task,
                             std::uint32_t run) -> std::string;

} // namespace hickorylatch::core

#endif
