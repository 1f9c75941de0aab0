#ifndef HICKORYLATCH_PLATFORM_WORKER_BODY_HPP
#define HICKORYLATCH_PLATFORM_WORKER_BODY_HPP

#include "core/model/effect.hpp"
#include "core/model/event.hpp"
#include "core/model/job.hpp"

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace hickorylatch::platform
{

/// Parses a worker's report of itself. Errors: `body_error`.
[[nodiscard]] auto parse_worker_report(std::string_view name,
                                       std::string_view body)
    -> boost::leaf::result<core::worker_report>;

/// Members that every answer of a worker has.
struct worker_reply
{
    /// The worker's steady clock; 0 if the answer has none.
    std::int64_t m_clock_ms = 0;
    /// Why an order was refused; empty if the answer has none.
    std::string m_reason;
    /// Incarnation of the worker that answered; 0 if the answer has none.
    std::int64_t m_incarnation = 0;
};

/// Returns empty members for an answer that is invalid.
[[nodiscard]] auto parse_worker_reply(std::string_view body) -> worker_reply;

/// Parses the active and ended runs in the answer to a poll. Errors:
/// `body_error`.
[[nodiscard]] auto parse_poll_answer(std::string_view body)
    -> boost::leaf::result<core::runs_polled>;

[[nodiscard]] auto serialize_start(core::start_run const& order) -> std::string;
[[nodiscard]] auto serialize_stop(core::stop_run const& order) -> std::string;
[[nodiscard]] auto serialize_poll(core::poll_runs const& order) -> std::string;

} // namespace hickorylatch::platform

#endif
