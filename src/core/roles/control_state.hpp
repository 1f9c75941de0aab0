#ifndef HICKORYLATCH_CORE_ROLES_CONTROL_STATE_HPP
#define HICKORYLATCH_CORE_ROLES_CONTROL_STATE_HPP

#include "core/jobs/job_store.hpp"
#include "core/model/command.hpp"
#include "core/model/evacuation_record.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace hickorylatch::core
{

/// An accepted submission and, once it has ended, its answers.
struct submission_record
{
    submission_id m_submission_id = 0;
    submission m_submission;
    std::vector<node_id> m_allotted;
    unix_milliseconds m_accepted_at = 0;
    bool m_has_ended = false;
    verdict m_verdict;
    std::vector<task_answer> m_answers;
    unix_milliseconds m_ended_at = 0;
};
BOOST_DESCRIBE_STRUCT(submission_record, (),
                      (m_submission_id, m_submission, m_allotted, m_accepted_at,
                       m_has_ended, m_verdict, m_answers, m_ended_at))

/// Outcome of an operator's request, kept to answer resends of it.
struct operator_outcome
{
    std::string m_request_id;
    verdict m_verdict;
    configuration_version m_version = 0;
};
BOOST_DESCRIBE_STRUCT(operator_outcome, (),
                      (m_request_id, m_verdict, m_version))

/// The records of this customer's submissions up to this submission time may
/// have expired.
struct expiry_watermark
{
    std::string m_customer;
    unix_milliseconds m_submitted_at = 0;
};
BOOST_DESCRIBE_STRUCT(expiry_watermark, (), (m_customer, m_submitted_at))

/// The whole applied state as one aggregate, for snapshots.
struct control_image
{
    configuration m_configuration;
    std::vector<submission_record> m_submissions;
    std::vector<operator_outcome> m_outcomes;
    std::vector<expiry_watermark> m_expiry_watermarks;
    job_store_image m_jobs;
    evacuation_record m_evacuations;
};
BOOST_DESCRIBE_STRUCT(control_image, (),
                      (m_configuration, m_submissions, m_outcomes,
                       m_expiry_watermarks, m_jobs, m_evacuations))

/// State machine that the committed commands are applied to. The state is the
/// same on every replica.
class control_state
{
public:
    control_state() = default;
    explicit control_state(control_image image);

    /// Applies the next committed entry.
    auto apply(log_entry const& entry) -> void;
    [[nodiscard]] auto image() const -> control_image;

    [[nodiscard]] auto config() const -> configuration const&;
    /// Null if there is no such submission.
    [[nodiscard]] auto find(submission_id id) const -> submission_record const*;
    [[nodiscard]] auto find(std::string_view customer,
                            std::string_view key) const
        -> submission_record const*;
    [[nodiscard]] auto outcome(std::string const& request_id) const
        -> operator_outcome const*;
    /// True if the record of a submission of this time may have expired.
    [[nodiscard]] auto may_have_expired(std::string const& customer,
                                        unix_milliseconds submitted_at) const
        -> bool;
    [[nodiscard]] auto submissions() const
        -> std::map<submission_id, submission_record> const&;
    [[nodiscard]] auto jobs() const -> job_store const&;
    [[nodiscard]] auto evacuated() const -> evacuation_record const&;
    /// End time of the submission that ended first; 0 if none has ended.
    [[nodiscard]] auto first_end_time() const -> unix_milliseconds;

private:
    auto on(begin_term const&) -> void;
    auto on(accept_submission const& accepted) -> void;
    auto on(reallot const& moved) -> void;
    auto on(end_submission const& ended) -> void;
    auto on(change_configuration const& change) -> void;
    auto on(expire_keys const& limit) -> void;
    auto on(change_membership const& change) -> void;
    auto on(install_configuration const& installed) -> void;
    /// Handles the commands that concern durable jobs only.
    template <typename Command>
    auto on(Command const& command) -> void;

    auto add_outcome(operator_outcome outcome) -> void;
    auto insert(submission_record record) -> void;

    configuration m_configuration;
    job_store m_jobs;
    evacuation_record m_evacuations;
    std::map<submission_id, submission_record> m_submissions;
    std::map<std::pair<std::string, std::string>, submission_id> m_ids_by_key;
    /// Ended submissions, ordered by end time.
    std::deque<std::pair<unix_milliseconds, submission_id>> m_end_order;
    std::unordered_map<std::string, operator_outcome> m_outcomes;
    std::deque<std::string> m_outcome_order;
    std::map<std::string, unix_milliseconds> m_expiry_watermarks;
};

} // namespace hickorylatch::core

#endif
