#ifndef HICKORYLATCH_CORE_JOBS_JOB_STORE_HPP
#define HICKORYLATCH_CORE_JOBS_JOB_STORE_HPP

#include "core/model/command.hpp"
#include "core/model/configuration.hpp"
#include "core/model/ids.hpp"
#include "core/model/job.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace hickorylatch::core
{

/// Number of failed runs of one task.
struct task_failures
{
    task_index m_task;
    std::uint32_t m_count = 0;
};
BOOST_DESCRIBE_STRUCT(task_failures, (), (m_task, m_count))

/// State of a durable job according to the replicated log. After a job has
/// ended, its body, steps and progress are discarded.
struct durable_job
{
    std::uint64_t m_number = 0;
    step_job m_job;
    job_queue m_queue;
    job_state m_state = job_state::queued;
    std::vector<task_index> m_succeeded;
    std::vector<task_failures> m_failures;

    [[nodiscard]] auto has_ended() const -> bool;
};
BOOST_DESCRIBE_STRUCT(durable_job, (),
                      (m_number, m_job, m_queue, m_state, m_succeeded,
                       m_failures))

/// Content of a job store, for snapshots.
struct job_store_image
{
    std::vector<durable_job> m_jobs;
    std::vector<node_id> m_agents;
};
BOOST_DESCRIBE_STRUCT(job_store_image, (), (m_jobs, m_agents))

/// Durable jobs as a result of the committed commands. Identical on every
/// replica.
class job_store
{
public:
    job_store() = default;
    explicit job_store(job_store_image image);

    auto apply(log_index index, accept_job const& accepted) -> void;
    auto apply(record_ends const& ended) -> void;
    auto apply(drop_job const& dropped) -> void;
    auto apply(forget_jobs const& forgotten) -> void;
    auto apply(change_agents const& changed) -> void;
    [[nodiscard]] auto image() const -> job_store_image;

    /// Null if there is none.
    [[nodiscard]] auto find(std::string_view id) const -> durable_job const*;
    [[nodiscard]] auto find(std::uint64_t number) const -> durable_job const*;
    [[nodiscard]] auto jobs() const
        -> std::map<std::uint64_t, durable_job> const&;
    /// Number of jobs that have not ended.
    [[nodiscard]] auto open_jobs() const -> std::size_t;
    /// Agents that may hold runs of durable jobs.
    [[nodiscard]] auto agents() const -> std::set<node_id> const&;

private:
    auto record_end(task_end const& end) -> void;
    auto end_job(durable_job& job, job_state state) -> void;

    std::map<std::uint64_t, durable_job> m_jobs;
    std::map<std::string, std::uint64_t, std::less<>> m_by_id;
    std::size_t m_open_count = 0;
    std::set<node_id> m_agents;
};

} // namespace hickorylatch::core

#endif
