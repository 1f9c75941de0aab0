#include "core/placement/log_fields.hpp"

namespace hickorylatch::core
{

auto ms_field(duration value) -> std::string
{
    return std::to_string(whole_ms(value));
}

auto node_field(node_id node) -> std::string
{
    return std::to_string(static_cast<std::uint64_t>(node));
}

auto task_field(task_index task) -> std::string
{
    return std::to_string(task.m_step) + "." + std::to_string(task.m_task);
}

auto run_field(std::string_view job, task_index task, std::uint32_t run)
    -> std::string
{
    return std::string{job} + "." + task_field(task) + "#" +
           std::to_string(run);
}

} // namespace hickorylatch::core
