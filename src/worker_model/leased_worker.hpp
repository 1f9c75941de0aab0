#ifndef HICKORYLATCH_WORKER_MODEL_LEASED_WORKER_HPP
#define HICKORYLATCH_WORKER_MODEL_LEASED_WORKER_HPP

#include "core/model/event.hpp"
#include "core/model/job.hpp"
#include "core/model/time.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hickorylatch::worker_model
{

/// Behaviour of a simulated worker.
struct leased_worker_settings
{
    core::resources m_capacity{64'000, 131'072, 0};
    /// Refuses tasks that do not fit into its free resources.
    bool m_enforces_capacity = false;
    core::duration m_max_lease = std::chrono::milliseconds{1000};
    /// Time between a stop request and the end of the run.
    core::duration m_stop_delay = std::chrono::milliseconds{30};
    /// Rate of its steady clock relative to real time; at least 0.98 in
    /// practice.
    double m_clock_rate = 1.0;
    /// Factor applied to the run time of each order.
    double m_run_time_factor = 1.0;
    /// Factor by which a run of the first job is slowed down while a run of the
    /// second one is beside it; empty if runs do not affect each other.
    std::function<double(std::string_view, std::string_view)> m_slowdown;
};

/// Parameters of a start request.
struct start_order
{
    core::worker_run m_run;
    core::resources m_needs;
    /// Run time on a worker of normal speed.
    core::duration m_run_time{0};
    std::int64_t m_lease_until_ms = 0;
    std::uint64_t m_fencing_token = 0;
};

/// Simulates one incarnation of a worker that runs tasks under leases, without
/// I/O. Answers like the emulated workers of an installation. All times are of
/// one monotonic clock of the caller.
class leased_worker
{
public:
    explicit leased_worker(leased_worker_settings settings);

    auto start(core::time_point now, start_order const& order)
        -> core::worker_answer;
    auto stop(core::time_point now, core::worker_run const& run,
              std::uint64_t fencing_token) -> core::worker_answer;
    /// Extends the lease, removes acknowledged ends, and returns the remaining
    /// ends and the running tasks. A lease of 0 does not change the lease.
    auto poll(core::time_point now, std::uint64_t acknowledged,
              std::int64_t lease_until_ms, std::uint64_t fencing_token)
        -> core::runs_polled;
    /// Processes all events up to `now`.
    auto advance(core::time_point now) -> void;

    /// Sets whether runs that start from now on fail.
    auto set_failing(bool fails) -> void;
    /// Sets whether runs that start from now on never end by themselves.
    auto set_hanging(bool hangs) -> void;
    auto set_run_time_factor(double factor) -> void;

    /// Reading of its steady clock in milliseconds.
    [[nodiscard]] auto clock_ms(core::time_point now) const -> std::int64_t;
    [[nodiscard]] auto next_event() const -> core::time_point;
    /// True if there are ends that were not acknowledged.
    [[nodiscard]] auto has_ends() const -> bool;
    [[nodiscard]] auto running() const -> std::size_t;
    [[nodiscard]] auto is_running(std::string const& job,
                                  core::task_index task) const -> bool;
    /// Number of starts that exceeded its capacity.
    [[nodiscard]] auto overloads() const -> unsigned;
    [[nodiscard]] auto starts() const -> unsigned;
    /// Number of runs that succeeded.
    [[nodiscard]] auto successes() const -> unsigned;

private:
    using task_key = std::pair<std::string, core::task_index>;

    struct run_state
    {
        std::uint32_t m_run = 0;
        core::resources m_needs;
        core::time_point m_ends_at = core::never;
        core::run_outcome m_outcome = core::run_outcome::succeeded;
        /// Factor of the runs beside it, included in `m_ends_at`.
        double m_slowdown = 1.0;
    };

    [[nodiscard]] auto check_fencing_token(std::uint64_t fencing_token) -> bool;
    [[nodiscard]] auto lease_expires_at() const -> core::time_point;
    auto extend_lease(core::time_point now, std::int64_t lease_until_ms)
        -> void;
    /// Adapts the ends of the runs to the runs beside them.
    auto update_slowdowns(core::time_point now) -> void;
    auto end_run(std::map<task_key, run_state>::iterator run,
                 core::run_outcome outcome) -> void;

    leased_worker_settings m_settings;
    std::map<task_key, run_state> m_running;
    /// Highest run number of each task that was stopped or has ended here.
    std::map<task_key, std::uint32_t> m_highest_ended_run;
    std::deque<core::ended_run> m_ends;
    std::uint64_t m_last_end_number = 0;
    std::uint64_t m_fencing_token = 0;
    std::int64_t m_lease_until_ms = 0;
    bool m_fails = false;
    bool m_hangs = false;
    unsigned m_overloads = 0;
    unsigned m_starts = 0;
    unsigned m_successes = 0;
};

} // namespace hickorylatch::worker_model

#endif
