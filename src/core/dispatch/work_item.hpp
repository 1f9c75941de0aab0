#ifndef HICKORYLATCH_CORE_DISPATCH_WORK_ITEM_HPP
#define HICKORYLATCH_CORE_DISPATCH_WORK_ITEM_HPP

#include "core/model/configuration.hpp"
#include "core/model/ids.hpp"
#include "core/model/time.hpp"

#include <cstdint>
#include <string>

namespace hickorylatch::core
{

/// An attempt of a task, with its resource needs.
struct work_item
{
    attempt_id m_attempt;
    std::string m_service;
    std::string m_customer;
    priority m_priority = 0;
    /// `never` if there is none.
    time_point m_deadline = never;
    std::uint32_t m_cores = 1;
    std::uint32_t m_memory_mb = 0;
    std::uint32_t m_accelerators = 0;
    /// Declared run time; 0 if unknown.
    duration m_run_time{0};
    /// Duration of a commit between binding and start; 0 if there is none.
    duration m_commit_delay{0};
    /// The agent that the task is assigned to; `no_node` if any agent of the
    /// service may run it.
    node_id m_allotted = no_node;
};

/// A task bound to a free slot.
struct placement
{
    attempt_id m_attempt;
    node_id m_agent = no_node;
};

enum class attempt_outcome : std::uint8_t
{
    succeeded,
    failed,
    not_run,
    stopped
};

} // namespace hickorylatch::core

#endif
