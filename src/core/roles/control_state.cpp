#include "core/roles/control_state.hpp"

#include <algorithm>
#include <type_traits>
#include <variant>

namespace hickorylatch::core
{

namespace
{

// Outcomes kept to answer resent requests: a week at 14,000 changes a day.
constexpr auto max_outcomes = std::size_t{100'000};

} // namespace

control_state::control_state(control_image image)
    : m_configuration{std::move(image.m_configuration)}, m_jobs{std::move(
                                                             image.m_jobs)},
      m_evacuations{std::move(image.m_evacuations)}
{
    std::ranges::stable_sort(image.m_submissions, {},
                             &submission_record::m_ended_at);
    for (auto& record : image.m_submissions)
        insert(std::move(record));
    for (auto& outcome : image.m_outcomes)
        add_outcome(std::move(outcome));
    for (auto const& watermark : image.m_expiry_watermarks)
        m_expiry_watermarks[watermark.m_customer] = watermark.m_submitted_at;
}

auto control_state::apply(log_entry const& entry) -> void
{
    if (auto const* accepted = std::get_if<accept_job>(&entry.m_command))
        return m_jobs.apply(entry.m_index, *accepted);
    if (auto const* change = std::get_if<set_evacuation>(&entry.m_command))
        return m_evacuations.apply(entry.m_index, *change);
    std::visit(
        [this](auto const& command)
        {
            on(command);
        },
        entry.m_command);
}

template <typename Command>
auto control_state::on(Command const& command) -> void
{
    if constexpr (!std::is_same_v<Command, accept_job> &&
                  !std::is_same_v<Command, set_evacuation>)
        m_jobs.apply(command);
}

auto control_state::image() const -> control_image
{
    auto result = control_image{};
    result.m_configuration = m_configuration;
    result.m_jobs = m_jobs.image();
    result.m_evacuations = m_evacuations;
    for (auto const& [id, record] : m_submissions)
        result.m_submissions.push_back(record);
    for (auto const& request_id : m_outcome_order)
        result.m_outcomes.push_back(m_outcomes.at(request_id));
    for (auto const& [customer, submitted_at] : m_expiry_watermarks)
        result.m_expiry_watermarks.push_back({customer, submitted_at});
    return result;
}

auto control_state::jobs() const -> job_store const&
{
    return m_jobs;
}

auto control_state::evacuated() const -> evacuation_record const&
{
    return m_evacuations;
}

auto control_state::config() const -> configuration const&
{
    return m_configuration;
}

auto control_state::find(submission_id id) const -> submission_record const*
{
    auto const found = m_submissions.find(id);
    return found == m_submissions.end() ? nullptr : &found->second;
}

auto control_state::find(std::string_view customer, std::string_view key) const
    -> submission_record const*
{
    auto const found =
        m_ids_by_key.find({std::string{customer}, std::string{key}});
    return found == m_ids_by_key.end() ? nullptr : find(found->second);
}

auto control_state::outcome(std::string const& request_id) const
    -> operator_outcome const*
{
    auto const found = m_outcomes.find(request_id);
    return found == m_outcomes.end() ? nullptr : &found->second;
}

auto control_state::may_have_expired(std::string const& customer,
                                     unix_milliseconds submitted_at) const
    -> bool
{
    auto const found = m_expiry_watermarks.find(customer);
    return found != m_expiry_watermarks.end() && submitted_at <= found->second;
}

auto control_state::submissions() const
    -> std::map<submission_id, submission_record> const&
{
    return m_submissions;
}

auto control_state::first_end_time() const -> unix_milliseconds
{
    return m_end_order.empty() ? 0 : m_end_order.front().first;
}

auto control_state::on(begin_term const&) -> void
{
}

auto control_state::on(accept_submission const& accepted) -> void
{
    auto const& work = accepted.m_submission;
    // A leader may commit an acceptance left over from an earlier leader after
    // the same key was accepted again. The first committed one counts.
    if (find(work.m_customer, work.m_key) != nullptr ||
        may_have_expired(work.m_customer, work.m_submitted_at))
        return;
    auto record = submission_record{};
    record.m_submission_id = accepted.m_submission_id;
    record.m_submission = work;
    record.m_allotted = accepted.m_allotted;
    record.m_accepted_at = accepted.m_accepted_at;
    insert(std::move(record));
}

auto control_state::on(reallot const& moved) -> void
{
    auto const found = m_submissions.find(moved.m_submission_id);
    if (found == m_submissions.end() || found->second.m_has_ended)
        return;
    auto& allotted = found->second.m_allotted;
    for (auto const& [task, agent] : moved.m_allotments)
    {
        if (task < allotted.size())
            allotted[task] = agent;
    }
}

auto control_state::on(end_submission const& ended) -> void
{
    auto const found = m_submissions.find(ended.m_submission_id);
    if (found == m_submissions.end() || found->second.m_has_ended)
        return;
    auto& record = found->second;
    record.m_has_ended = true;
    record.m_verdict = ended.m_verdict;
    record.m_answers = ended.m_answers;
    record.m_ended_at = ended.m_ended_at;
    // The digest is enough to recognise a resend.
    record.m_submission.m_tasks.clear();
    record.m_submission.m_unknown_fields.clear();
    record.m_allotted.clear();
    m_end_order.emplace_back(record.m_ended_at, record.m_submission_id);
}

auto control_state::on(change_configuration const& change) -> void
{
    if (outcome(change.m_request_id) != nullptr)
        return;
    auto result = operator_outcome{change.m_request_id, {}, 0};
    if (change.m_expected_version == m_configuration.m_version)
    {
        m_configuration = change.m_configuration;
        m_configuration.m_version = change.m_expected_version + 1;
        result.m_verdict.m_run = run_state::ran;
    }
    else
        result.m_verdict = refused(reason::version_conflict);
    result.m_version = m_configuration.m_version;
    add_outcome(std::move(result));
}

auto control_state::on(expire_keys const& limit) -> void
{
    while (!m_end_order.empty() && m_end_order.front().first < limit.m_before)
    {
        auto const found = m_submissions.find(m_end_order.front().second);
        m_end_order.pop_front();
        if (found == m_submissions.end())
            continue;
        auto const& work = found->second.m_submission;
        auto& watermark = m_expiry_watermarks[work.m_customer];
        watermark = std::max(watermark, work.m_submitted_at);
        m_ids_by_key.erase({work.m_customer, work.m_key});
        m_submissions.erase(found);
    }
}

auto control_state::on(change_membership const& change) -> void
{
    if (outcome(change.m_request_id) != nullptr)
        return;
    auto result = operator_outcome{change.m_request_id, {}, 0};
    result.m_verdict.m_run = run_state::ran;
    result.m_version = m_configuration.m_version;
    add_outcome(std::move(result));
}

auto control_state::on(install_configuration const& installed) -> void
{
    if (installed.m_configuration.m_version > m_configuration.m_version)
        m_configuration = installed.m_configuration;
}

auto control_state::add_outcome(operator_outcome outcome) -> void
{
    m_outcome_order.push_back(outcome.m_request_id);
    auto request_id = outcome.m_request_id;
    m_outcomes.emplace(std::move(request_id), std::move(outcome));
    if (m_outcome_order.size() <= max_outcomes)
        return;
    m_outcomes.erase(m_outcome_order.front());
    m_outcome_order.pop_front();
}

auto control_state::insert(submission_record record) -> void
{
    auto const id = record.m_submission_id;
    m_ids_by_key[{record.m_submission.m_customer, record.m_submission.m_key}] =
        id;
    if (record.m_has_ended)
        m_end_order.emplace_back(record.m_ended_at, id);
    m_submissions.emplace(id, std::move(record));
}

} // namespace hickorylatch::core
