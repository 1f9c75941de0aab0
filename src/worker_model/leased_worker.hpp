#ifndef HICKORYLATCH_WORKER_MODEL_LEASED_WORKER_HPP
#define HICKORYLATCH_WORKER_MODEL_LEASED_WORKER_HPP

#include "core/model/event.hpp"
#include "core/model/job.hpp"
#include "core/model/time.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace hickorylatch::worker_model
{

/// How a worker behaves.
struct leased_worker_settings
{
    core::resources m_capacity{64'000, 131'072, 0};
    /// Refuses what does not fit.
    bool m_enforces_capacity = false;
    core::duration m_longest_lease = std::chrono::milliseconds{1000};
    /// Time from an order to stop a run to its end.
    core::duration m_stop_time = std::chrono::milliseconds{30};
    /// Speed of its steady clock; at least 0.98 in practice.
    double m_clock_rate = 1.0;
    /// Multiplies every run time.
    double m_slowness = 1.0;
};

/// What a start asks for.
struct start_order
{
    core::worker_run m_run;
    core::resources m_needs;
    /// Time until the run succeeds on a worker of common speed.
    core::duration m_run_time{0};
    std::int64_t m_lease_until_ms = 0;
    std::uint64_t m_fencing_token = 0;
};

/// One lifetime of a worker that runs tasks under leases, without I/O: what the
/// stand-ins for workers of an installation answer. Times are of one clock of
/// the caller's choice and never go back.
class leased_worker
{
public:
    explicit leased_worker(leased_worker_settings settings);

    auto start(core::time_point now, start_order const& order)
        -> core::worker_answer;
    auto stop(core::time_point now, core::worker_run const& run,
              std::uint64_t fencing_token) -> core::worker_answer;
    /// Extends the lease, forgets acknowledged ends and lists the rest. A lease
    /// of 0 is left as it is.
    auto poll(core::time_point now, std::uint64_t acknowledged,
              std::int64_t lease_until_ms, std::uint64_t fencing_token)
        -> core::runs_polled;
    /// Plays everything that has happened by now.
    auto advance(core::time_point now) -> void;

    /// Failures for the runs that start from now on.
    auto set_fails(bool fails) -> void;
    /// Runs that start from now on stand still.
    auto set_hangs(bool hangs) -> void;
    auto set_slowness(double slowness) -> void;

    /// Its steady clock, in milliseconds.
    [[nodiscard]] auto clock_ms(core::time_point now) const -> std::int64_t;
    [[nodiscard]] auto next_event() const -> core::time_point;
    /// True if a poll would list an end that was not acknowledged.
    [[nodiscard]] auto has_ends() const -> bool;
    [[nodiscard]] auto running() const -> std::size_t;
    [[nodiscard]] auto is_running(std::string const& job,
                                  core::task_index task) const -> bool;
    /// Times at which a start brought it over its capacity.
    [[nodiscard]] auto overloads() const -> unsigned;
    [[nodiscard]] auto starts() const -> unsigned;
    /// Runs that ended by themselves, successfully.
    [[nodiscard]] auto successes() const -> unsigned;

private:
    using key = std::pair<std::string, core::task_index>;

    struct run_state
    {
        std::uint32_t m_run = 0;
        core::resources m_needs;
        core::time_point m_ends_at = core::never;
        core::run_outcome m_outcome = core::run_outcome::succeeded;
    };

    [[nodiscard]] auto accepts(std::uint64_t fencing_token) -> bool;
    [[nodiscard]] auto lapse_at() const -> core::time_point;
    auto extend(core::time_point now, std::int64_t lease_until_ms) -> void;
    auto end(std::map<key, run_state>::iterator run, core::run_outcome outcome)
        -> void;

    leased_worker_settings m_settings;
    std::map<key, run_state> m_running;
    /// Highest run of each task that was stopped or ended here.
    std::map<key, std::uint32_t> m_ended_runs;
    std::deque<core::ended_run> m_ends;
    std::uint64_t m_last_end = 0;
    std::uint64_t m_token = 0;
    std::int64_t m_lease_until_ms = 0;
    bool m_fails = false;
    bool m_hangs = false;
    unsigned m_overloads = 0;
    unsigned m_starts = 0;
    unsigned m_successes = 0;
};

} // namespace hickorylatch::worker_model

#endif
