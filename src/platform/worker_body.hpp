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

/// What every answer of a worker holds.
struct worker_reply
{
    /// The worker's steady clock; 0 if it gave none.
    std::int64_t m_clock_ms = 0;
    /// Why an order was refused; empty if it gave none.
    std::string m_reason;
};

/// An answer that can't be read gives an empty one.
[[nodiscard]] auto parse_worker_reply(std::string_view body) -> worker_reply;

/// Takes the runs and ends from the answer to a poll. Errors: `body_error`.
[[nodiscard]] auto parse_runs(std::string_view body)
    -> boost::leaf::result<core::runs_polled>;

[[nodiscard]] auto print_start(core::start_run const& order) -> std::string;
[[nodiscard]] auto print_stop(core::stop_run const& order) -> std::string;
[[nodiscard]] auto print_poll(core::poll_runs const& order) -> std::string;

} // namespace hickorylatch::platform

#endif
