#ifndef HICKORYLATCH_CORE_MODEL_VERDICT_HPP
#define HICKORYLATCH_CORE_MODEL_VERDICT_HPP

#include <boost/describe.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace hickorylatch::core
{

/// Says whether a request may have run.
enum class run_state : std::uint8_t
{
    ran,         ///< It ran; the answer is that of the endpoint or worker.
    not_run,     ///< It did not run and never will.
    may_have_run ///< Unknown; a non-idempotent request must not be repeated.
};

/// Why a request was refused or a job failed.
enum class reason : std::uint8_t
{
    none,
    queue_full,           ///< Not run: the queue of its service is full.
    deadline,             ///< The deadline passed or can't be met.
    no_leader,            ///< No control leader is known.
    no_capacity,          ///< No announced agent could ever run it.
    key_conflict,         ///< The key was used for other content.
    key_forgotten,        ///< The key is older than the keys that are kept.
    keys_full,            ///< The table of keys is full.
    unknown_customer,     ///< The customer is not in the configuration.
    unknown_service,      ///< The service is not in the configuration.
    quota,                ///< The customer's quota is used up.
    cancelled,            ///< The caller or an operator cancelled it.
    agent_lost,           ///< The agent that may have started it was lost.
    call_failed,          ///< The endpoint or worker reported a failure.
    draining,             ///< This process is shutting down.
    lease_expired,        ///< This process holds no valid lease.
    invalid,              ///< The record or request is malformed.
    version_conflict,     ///< Another change of the configuration came first.
    missing_submitted_at, ///< A non-idempotent request has no submission time.
    superseded            ///< The caller sent it again to another process.
};

/// The outcome of a request or job, without its body.
struct verdict
{
    run_state m_run = run_state::not_run;
    reason m_reason = reason::none;
    /// Explanation for the caller; empty if the reason is enough.
    std::string m_detail;
    /// Suggested delay before a resend, in milliseconds; 0 for none.
    std::uint32_t m_retry_after_ms = 0;

    auto operator==(verdict const&) const -> bool = default;
};
BOOST_DESCRIBE_STRUCT(verdict, (),
                      (m_run, m_reason, m_detail, m_retry_after_ms))

[[nodiscard]] auto to_string(run_state state) -> std::string_view;
[[nodiscard]] auto to_string(reason why) -> std::string_view;

/// Verdict for a request that certainly did not run.
[[nodiscard]] auto refused(reason why, std::string_view detail = {},
                           std::uint32_t retry_after_ms = 0) -> verdict;

/// Verdict for a failed request that may have run.
[[nodiscard]] auto uncertain(reason why, std::string_view detail = {})
    -> verdict;

/// The verdict on a request that was sent to another process before: what this
/// one refuses, the other one may have executed. That a key is unknown holds
/// for all processes.
[[nodiscard]] auto after_resend(verdict const& answer) -> verdict;

} // namespace hickorylatch::core

#endif
