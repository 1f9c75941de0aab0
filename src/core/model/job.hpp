#ifndef HICKORYLATCH_CORE_MODEL_JOB_HPP
#define HICKORYLATCH_CORE_MODEL_JOB_HPP

#include "core/model/ids.hpp"

#include <boost/describe.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hickorylatch::core
{

/// Resources that a task requires or a worker has.
struct resources
{
    /// Thousandths of a processor core.
    std::uint32_t m_millicores = 0;
    std::uint32_t m_memory_mb = 0;
    std::uint32_t m_accelerators = 0;

    auto operator==(resources const&) const -> bool = default;
    auto operator+=(resources const& other) -> resources&;
    /// Saturates at zero.
    auto operator-=(resources const& other) -> resources&;
    /// True if `wanted` fits into these resources.
    [[nodiscard]] auto fits(resources const& wanted) const -> bool;
    /// How many times `wanted` fits at once; a large number if it is empty.
    [[nodiscard]] auto fit_count(resources const& wanted) const
        -> std::uint32_t;
};
BOOST_DESCRIBE_STRUCT(resources, (),
                      (m_millicores, m_memory_mb, m_accelerators))

/// A group of identical tasks of a job.
struct job_step
{
    std::uint32_t m_count = 1;
    /// Resources that each task requires.
    resources m_needs;
    /// Declared run time of each task in milliseconds; a rough estimate, 0 if
    /// unknown.
    std::uint32_t m_declared_ms = 0;
    /// Indexes of the earlier steps that must succeed first.
    std::vector<std::uint32_t> m_depends_on;
    /// Label that the worker must have; empty for none.
    std::string m_required_label;
    /// Rack that holds the data; empty for none. Tasks run longer in other
    /// racks.
    std::string m_data_rack;
    /// Maximum number of tasks of this step on one worker; 0 for no limit.
    std::uint32_t m_worker_limit = 0;
};
BOOST_DESCRIBE_STRUCT(job_step, (),
                      (m_count, m_needs, m_declared_ms, m_depends_on,
                       m_required_label, m_data_rack, m_worker_limit))

/// A job of steps for the workers of one service.
struct step_job
{
    /// Chosen by the client; identifies the job in all queues.
    std::string m_id;
    /// Passed to each task unchanged.
    std::string m_body;
    std::vector<job_step> m_steps;
    /// Stored in the replicated log before it is accepted, so that it survives
    /// the loss of any process.
    bool m_is_durable = false;
    /// Feature that the job requires and this version does not support; empty
    /// if there is none.
    std::string m_unsupported_feature;
};
BOOST_DESCRIBE_STRUCT(step_job, (),
                      (m_id, m_body, m_steps, m_is_durable,
                       m_unsupported_feature))

/// Identifies a task within a job.
struct task_index
{
    std::uint32_t m_step = 0;
    std::uint32_t m_task = 0;

    auto operator<=>(task_index const&) const = default;
};
BOOST_DESCRIBE_STRUCT(task_index, (), (m_step, m_task))

/// A worker's report about itself.
struct worker_report
{
    std::string m_name;
    /// Start time of the worker in Unix milliseconds. A restarted worker may
    /// keep its name but gets a new incarnation.
    std::int64_t m_incarnation = 0;
    std::string m_service;
    resources m_capacity;
    /// Include the worker's kind and rack.
    std::vector<std::string> m_labels;
    /// False while the worker drains.
    bool m_is_accepting = true;
    /// The worker's steady clock at the time of the report, in milliseconds.
    std::int64_t m_clock_ms = 0;
    /// Number of the report within the incarnation. A report with a lower
    /// number than an earlier arrival is outdated.
    std::uint64_t m_sequence = 0;

    auto operator==(worker_report const&) const -> bool = default;
};
BOOST_DESCRIBE_STRUCT(worker_report, (),
                      (m_name, m_incarnation, m_service, m_capacity, m_labels,
                       m_is_accepting, m_clock_ms, m_sequence))

/// How one run of a task ended.
enum class run_outcome : std::uint8_t
{
    succeeded,
    failed,  ///< The task or the worker failed.
    stopped, ///< Stopped on request.
    lapsed,  ///< Its lease expired, or the worker is gone. It may not have
             ///< started.
    refused  ///< It never started: it was not ordered at the worker, or the
             ///< incarnation of the worker that was asked has confirmed it.
};

[[nodiscard]] auto to_string(run_outcome outcome) -> std::string_view;

enum class job_state : std::uint8_t
{
    queued, ///< No task has ended.
    active,
    completed, ///< All tasks have succeeded.
    failed,    ///< A task has reached the failure limit of its queue.
    cancelled
};

[[nodiscard]] auto to_string(job_state state) -> std::string_view;

} // namespace hickorylatch::core

#endif
