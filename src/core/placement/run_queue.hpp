#ifndef HICKORYLATCH_CORE_PLACEMENT_RUN_QUEUE_HPP
#define HICKORYLATCH_CORE_PLACEMENT_RUN_QUEUE_HPP

#include "core/model/message.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace hickorylatch::core
{

/// Properties that all runs of one order have in common.
struct ordered_job
{
    /// The process that ordered the runs. Runs of durable jobs are transferred
    /// from one leader of the control group to the next.
    node_id m_requester = no_node;
    std::string m_id;
    std::string m_body;
    std::uint32_t m_rank = 0;
    /// A run that would end after this time is not started.
    time_point m_deadline = never;
    /// None if the requester does not want to know what ran beside its runs.
    std::optional<queue_key> m_queue;
};

/// A run that waits for room at a worker, or a reservation of room for tasks
/// that the requester has not chosen yet.
struct waiting_run
{
    std::shared_ptr<ordered_job> m_job;
    run_ref m_ref;
    resources m_needs;
    duration m_expected{0};
    time_point m_queued_at{0};
    /// Number of tasks of the step that room is reserved for; 0 for a run.
    std::uint32_t m_reserved_tasks = 0;
    /// Fraction of the reserved tasks that will run here, as estimated by the
    /// requester.
    double m_local_share = 1.0;
};

/// Runs that wait at one worker, ordered by rank and then by arrival.
class run_queue
{
public:
    using position = std::pair<std::uint32_t, std::uint64_t>;
    using runs = std::map<position, waiting_run>;

    auto add(waiting_run run) -> void;
    auto erase(runs::const_iterator at) -> runs::const_iterator;
    /// Removes the run from the queue and returns it; none if it is not queued.
    auto take(node_id requester, run_ref const& wanted)
        -> std::optional<waiting_run>;

    /// Subtracts tasks that room was offered for from a reservation, and
    /// removes the reservation with its last task. Returns the next position.
    auto reduce_reservation(runs::const_iterator at, std::uint32_t count)
        -> runs::const_iterator;
    /// Removes the reservations of one job, or all of a requester.
    auto release_reservations(node_id requester,
                              std::optional<std::uint64_t> job) -> void;

    [[nodiscard]] auto all() const -> runs const&;
    [[nodiscard]] auto size() const -> std::size_t;
    /// When the next run expires; `never` if none does.
    [[nodiscard]] auto next_expiry() const -> time_point;
    /// The run that expires next. There must be one.
    [[nodiscard]] auto next_to_expire() const -> runs::const_iterator;

private:
    /// The first time at which the run can no longer end by its deadline.
    [[nodiscard]] static auto expiry_of(waiting_run const& run) -> time_point;

    runs m_runs;
    /// All runs by the time at which they expire.
    std::set<std::pair<time_point, position>> m_by_expiry;
    std::uint64_t m_arrivals = 0;
};

/// Room that the expected end of a run frees, as input to a forecast.
struct room_release
{
    time_point m_at{0};
    resources m_freed;
};

/// Forecasts how long a task would wait behind the runs of each rank in the
/// queue, assuming that all run times are as expected. `needs` is the room that
/// the task needs.
[[nodiscard]] auto
forecast_waits(time_point now, run_queue const& queue, resources room,
               std::vector<room_release> releases, resources const& needs)
    -> std::vector<rank_wait>;

} // namespace hickorylatch::core

#endif
