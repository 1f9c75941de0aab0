#ifndef HICKORYLATCH_CORE_MODEL_COMMAND_HPP
#define HICKORYLATCH_CORE_MODEL_COMMAND_HPP

#include "core/model/configuration.hpp"
#include "core/model/ids.hpp"
#include "core/model/job.hpp"
#include "core/model/submission.hpp"
#include "core/model/verdict.hpp"

#include <cstddef>
#include <string>
#include <variant>
#include <vector>

namespace hickorylatch::core
{

/// First entry of each term. Committing it commits the entries of earlier
/// terms.
struct begin_term
{
    std::uint64_t m_unused = 0;
};
BOOST_DESCRIBE_STRUCT(begin_term, (), (m_unused))

/// Accepts a submission and assigns each of its tasks to an agent incarnation.
struct accept_submission
{
    submission_id m_submission_id = 0;
    submission m_submission;
    /// Assigned agent of each task, in order of the tasks.
    std::vector<node_id> m_allotted;
    unix_milliseconds m_accepted_at = 0;
};
BOOST_DESCRIBE_STRUCT(accept_submission, (),
                      (m_submission_id, m_submission, m_allotted,
                       m_accepted_at))

/// Assigns a task to the agent incarnation that may start it from now on.
struct allotment
{
    std::uint32_t m_task = 0;
    node_id m_agent = no_node;
};
BOOST_DESCRIBE_STRUCT(allotment, (), (m_task, m_agent))

/// Reassigns tasks that have certainly not started to other agents.
struct reallot
{
    submission_id m_submission_id = 0;
    std::vector<allotment> m_allotments;
};
BOOST_DESCRIBE_STRUCT(reallot, (), (m_submission_id, m_allotments))

/// Ends a submission and stores its complete answer.
struct end_submission
{
    submission_id m_submission_id = 0;
    verdict m_verdict;
    /// One answer for each task if all have one, else empty.
    std::vector<task_answer> m_answers;
    unix_milliseconds m_ended_at = 0;
};
BOOST_DESCRIBE_STRUCT(end_submission, (),
                      (m_submission_id, m_verdict, m_answers, m_ended_at))

/// Replaces the configuration if the current version is still the expected one.
struct change_configuration
{
    /// Request id chosen by the operator; a resend gets the first outcome.
    std::string m_request_id;
    configuration_version m_expected_version = 0;
    configuration m_configuration;
};
BOOST_DESCRIBE_STRUCT(change_configuration, (),
                      (m_request_id, m_expected_version, m_configuration))

/// Replaces the configuration if its version is higher than the current one;
/// changes nothing otherwise.
struct install_configuration
{
    configuration m_configuration;
};
BOOST_DESCRIBE_STRUCT(install_configuration, (), (m_configuration))

/// Removes submissions that ended before the given time, with their keys.
struct expire_keys
{
    unix_milliseconds m_before = 0;
};
BOOST_DESCRIBE_STRUCT(expire_keys, (), (m_before))

/// One member of the control group.
struct member
{
    node_id m_node = no_node;
    std::string m_address;
    /// False for a learner, which only receives the log.
    bool m_votes = true;
};
BOOST_DESCRIBE_STRUCT(member, (), (m_node, m_address, m_votes))

/// Replaces the membership of the control group. The new one differs from the
/// previous one by at most one voter.
struct change_membership
{
    std::string m_request_id;
    std::vector<member> m_members;
};
BOOST_DESCRIBE_STRUCT(change_membership, (), (m_request_id, m_members))

/// Accepts a durable job. Its number is the index of the log entry. Changes
/// nothing if the identifier is known already.
struct accept_job
{
    step_job m_job;
    /// The job's queue as configured when the job is accepted.
    job_queue m_queue;
};
BOOST_DESCRIBE_STRUCT(accept_job, (), (m_job, m_queue))

/// The end of a run of a durable job's task.
struct task_end
{
    std::uint64_t m_job = 0;
    task_index m_task;
    /// False if the run failed.
    bool m_has_succeeded = false;
};
BOOST_DESCRIBE_STRUCT(task_end, (), (m_job, m_task, m_has_succeeded))

/// Records ends of runs, in order. Acknowledged to the agent only after the
/// commit; until then the worker keeps the ends.
struct record_ends
{
    std::vector<task_end> m_ends;
};
BOOST_DESCRIBE_STRUCT(record_ends, (), (m_ends))

/// Cancels a durable job that has not ended yet.
struct drop_job
{
    std::uint64_t m_job = 0;
};
BOOST_DESCRIBE_STRUCT(drop_job, (), (m_job))

/// Removes durable jobs that have ended.
struct forget_jobs
{
    std::vector<std::uint64_t> m_jobs;
};
BOOST_DESCRIBE_STRUCT(forget_jobs, (), (m_jobs))

/// Changes the set of agents that may hold runs of durable jobs. A new leader
/// does not restart a run that one of them may hold.
struct change_agents
{
    std::vector<node_id> m_added;
    std::vector<node_id> m_removed;
};
BOOST_DESCRIBE_STRUCT(change_agents, (), (m_added, m_removed))

/// Evacuates or restores a failure domain. Changes nothing if the domain is in
/// the requested state already or a command with this number has been applied.
struct set_evacuation
{
    std::string m_failure_domain;
    /// False restores the domain.
    bool m_is_evacuated = false;
    /// Identifies the operator's request; 0 in a request without a number,
    /// which the first replica that handles it then numbers.
    std::uint64_t m_number = 0;
};
BOOST_DESCRIBE_STRUCT(set_evacuation, (),
                      (m_failure_domain, m_is_evacuated, m_number))

/// Content of an entry of the replicated log. The position of an alternative is
/// part of the stored format: new alternatives go to the end.
using command =
    std::variant<begin_term, accept_submission, reallot, end_submission,
                 change_configuration, expire_keys, change_membership,
                 install_configuration, accept_job, record_ends, drop_job,
                 forget_jobs, change_agents, set_evacuation>;

/// Bytes of caller- and operator-supplied content in a command. The rest of a
/// command is small.
[[nodiscard]] auto content_size(command const& content) -> std::size_t;

/// One entry of the replicated log.
struct log_entry
{
    log_index m_index = 0;
    term_number m_term = 0;
    command m_command;
};
BOOST_DESCRIBE_STRUCT(log_entry, (), (m_index, m_term, m_command))

} // namespace hickorylatch::core

#endif
