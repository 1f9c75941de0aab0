#ifndef HICKORYLATCH_CORE_MODEL_SUBMISSION_HPP
#define HICKORYLATCH_CORE_MODEL_SUBMISSION_HPP

#include "core/model/configuration.hpp"
#include "core/model/ids.hpp"
#include "core/model/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hickorylatch::core
{

/// W3C trace context: ids of the trace and the span, of 32 and 16 hexadecimal
/// digits.
struct trace_context
{
    std::string m_trace;
    std::string m_span;

    auto operator==(trace_context const&) const -> bool = default;
};
BOOST_DESCRIBE_STRUCT(trace_context, (), (m_trace, m_span))

/// One task with its declared resources. Declared values are often far off.
struct task
{
    std::string m_body;
    std::uint32_t m_cores = 1;
    std::uint32_t m_memory_mb = 0;
    std::uint32_t m_accelerators = 0;
    /// Declared run time in milliseconds; 0 if unknown.
    std::uint32_t m_run_time_ms = 0;
};
BOOST_DESCRIBE_STRUCT(task, (),
                      (m_body, m_cores, m_memory_mb, m_accelerators,
                       m_run_time_ms))

enum class submission_kind : std::uint8_t
{
    request, ///< One task for an endpoint of a service.
    job      ///< Many tasks for workers.
};

/// A request or a job as an entry sends it to the control leader.
struct submission
{
    submission_kind m_kind = submission_kind::request;
    /// Schema version of the operator's job record; 0 for a request.
    std::uint32_t m_schema_version = 0;
    std::string m_service;
    /// HTTP path below the service; empty for a job.
    std::string m_path;
    std::string m_customer;
    /// Idempotency key, unique per customer. Empty only for idempotent
    /// requests.
    std::string m_key;
    /// Time of the client's first submission; 0 if not given.
    unix_milliseconds m_submitted_at = 0;
    /// Digest of the content, which tells a resend from a reused key.
    std::uint64_t m_digest = 0;
    /// Time left until the deadline at sending, in milliseconds; 0 for no
    /// deadline.
    std::uint32_t m_deadline_ms = 0;
    /// Priority from the job record; requests have their customer's.
    std::optional<priority> m_priority;
    std::string m_account_manager;
    std::vector<task> m_tasks;
    /// Unknown optional fields of the job record as JSON text, passed on
    /// unchanged.
    std::string m_unknown_fields;
    trace_context m_trace;
    /// The client states that it has not submitted this key before.
    bool m_is_first_submission = false;
};
BOOST_DESCRIBE_STRUCT(submission, (),
                      (m_kind, m_schema_version, m_service, m_path, m_customer,
                       m_key, m_submitted_at, m_digest, m_deadline_ms,
                       m_priority, m_account_manager, m_tasks, m_unknown_fields,
                       m_trace, m_is_first_submission))

/// One task's answer.
struct task_answer
{
    bool m_succeeded = false;
    /// HTTP status from the endpoint or worker; 0 if it gave none.
    std::uint16_t m_status = 0;
    std::string m_body;
};
BOOST_DESCRIBE_STRUCT(task_answer, (), (m_succeeded, m_status, m_body))

/// Service name under which worker agents announce themselves.
inline constexpr auto worker_service = std::string_view{"workers"};

} // namespace hickorylatch::core

#endif
