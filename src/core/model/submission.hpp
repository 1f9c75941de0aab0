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

/// W3C trace context: 32 and 16 hexadecimal digits.
struct trace_context
{
    std::string m_trace;
    std::string m_span;

    auto operator==(trace_context const&) const -> bool = default;
};
BOOST_DESCRIBE_STRUCT(trace_context, (), (m_trace, m_span))

/// What one task declares that it needs. Declared values are often far off.
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

/// A request or a job as it travels from an entry to the control leader.
struct submission
{
    submission_kind m_kind = submission_kind::request;
    /// Schema version of the operator's record; 0 for a request.
    std::uint32_t m_schema_version = 0;
    std::string m_service;
    /// HTTP path below the service; empty for a job.
    std::string m_path;
    std::string m_customer;
    /// Idempotency key, unique for the customer. Empty only for requests that
    /// are safe to run more than once.
    std::string m_key;
    /// When the client first submitted it; 0 if not given.
    unix_milliseconds m_submitted_at = 0;
    /// Digest of the content, to tell a resend from a reused key.
    std::uint64_t m_digest = 0;
    /// Time left when it was sent, in milliseconds; 0 for none.
    std::uint32_t m_deadline_ms = 0;
    /// Priority of a job's record; requests use their customer's.
    std::optional<priority> m_priority;
    std::string m_account_manager;
    std::vector<task> m_tasks;
    /// Unknown optional fields of the record as JSON text, passed on as is.
    std::string m_extra;
    trace_context m_trace;
    /// The client states that it never submitted this key before.
    bool m_is_first = false;
};
BOOST_DESCRIBE_STRUCT(submission, (),
                      (m_kind, m_schema_version, m_service, m_path, m_customer,
                       m_key, m_submitted_at, m_digest, m_deadline_ms,
                       m_priority, m_account_manager, m_tasks, m_extra, m_trace,
                       m_is_first))

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
