#ifndef HICKORYLATCH_CORE_PLACEMENT_LIVE_RUN_HPP
#define HICKORYLATCH_CORE_PLACEMENT_LIVE_RUN_HPP

#include "core/model/effect.hpp"
#include "core/model/job.hpp"
#include "core/model/time.hpp"
#include "core/model/verdict.hpp"
#include "core/placement/concurrent_runs.hpp"
#include "core/placement/run_queue.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

namespace hickorylatch::core
{

/// Progress of a run at the worker, as far as its agent knows.
enum class live_run_state : std::uint8_t
{
    starting,      ///< Start ordered, not answered yet.
    start_unknown, ///< The answer to the start was lost; it may still
                   ///< start.
    running,
    stopping
};

/// A run that an agent has ordered its worker to start.
struct live_run
{
    std::shared_ptr<ordered_job> m_job;
    run_ref m_ref;
    resources m_needs;
    duration m_expected{0};
    live_run_state m_state = live_run_state::starting;
    /// Run number that the worker knows.
    std::uint32_t m_number = 0;
    time_point m_queued_at{0};
    time_point m_started_at{0};
    /// When its start was confirmed. Lists that were requested earlier may
    /// have been made before it started.
    time_point m_confirmed_at{0};
    /// Lease of the start, by the worker's clock.
    std::int64_t m_lease_until_ms = 0;
    /// It was stopped because it made no progress; its end counts as a
    /// failure of the worker.
    bool m_is_hung = false;
    /// Stopped in favour of a run of the same task that another entry
    /// ordered.
    bool m_is_superseded = false;
    /// To be stopped as soon as its start is confirmed.
    bool m_is_stop_requested = false;
    /// Its start was ordered at an earlier incarnation of the worker. The
    /// current one can't tell whether it started there.
    bool m_is_of_earlier_incarnation = false;
    /// Since when it is unknown whether it has started.
    time_point m_start_unknown_since = never;
    /// From then on it can no longer start: the worker confirmed this, or
    /// the lease of its start had expired. It may have started before.
    time_point m_revoked_at = never;
    time_point m_stop_retry_at = never;
    run_concurrency m_concurrency;
};

/// Time after its start at which the run counts as hung. `slowness` is the
/// ratio of run times at the worker to expected run times.
[[nodiscard]] auto hang_limit(live_run const& run, double slowness) -> duration;

/// Emits the log line and the metrics of a run that has ended.
auto log_end(time_point now, std::string_view job, live_run const& run,
             run_outcome outcome, reason why, effects& out) -> void;
/// The same for a run that was not started. `waiting` is the number of runs in
/// the agent's queue.
auto log_refusal(time_point now, waiting_run const& refused, reason why,
                 std::size_t waiting, effects& out) -> void;

} // namespace hickorylatch::core

#endif
