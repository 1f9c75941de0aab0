#ifndef HICKORYLATCH_CORE_PLACEMENT_STARTUP_ADMISSION_HPP
#define HICKORYLATCH_CORE_PLACEMENT_STARTUP_ADMISSION_HPP

#include "core/model/time.hpp"

#include <cstddef>
#include <cstdint>

namespace hickorylatch::core
{

enum class admission : std::uint8_t
{
    accept,
    hold, ///< Decide again when more workers are known.
    refuse
};

/// Inputs of the decision about one job.
struct admission_request
{
    /// Expected wait of the job's last task for room.
    duration m_wait{0};
    /// Expected run time without a wait.
    duration m_run{0};
    /// Latency objective, from the job's arrival.
    duration m_objective{0};
    /// Time since its arrival.
    duration m_waited{0};
    bool m_was_held = false;
    /// Share of the known workers' capacity that is free.
    double m_free_share = 0.0;
};

/// Decides about jobs that an entry can't serve yet, or only late, after its
/// start.
///
/// Answers a restart of all processes: half a second of jobs has arrived before
/// the entry knows a worker, and the first few workers that it knows have no
/// room for them although the others are idle.
class startup_admission
{
public:
    /// `awaits_workers` enables holding jobs while the set of workers grows.
    explicit startup_admission(bool awaits_workers);

    auto start(time_point now) -> void;
    /// Updates the number of workers that the entry has links to.
    auto observe_workers(time_point now, std::size_t workers) -> void;
    /// A job is held until the entry can serve.
    auto await_first_worker() -> void;
    /// Jobs are held again after a decision about them.
    auto schedule_attempt(time_point now) -> void;

    [[nodiscard]] auto decide(time_point now,
                              admission_request const& request) const
        -> admission;
    [[nodiscard]] auto awaits_workers() const -> bool;
    /// True while an entry that can't serve yet may still receive what it
    /// requires.
    [[nodiscard]] auto is_starting(time_point now) const -> bool;
    /// True while more workers are expected.
    [[nodiscard]] auto is_growing(time_point now) const -> bool;
    /// True if an entry that can serve must decide about held jobs now.
    [[nodiscard]] auto is_due(time_point now) const -> bool;
    /// When held jobs must be decided about at the latest.
    [[nodiscard]] auto next_attempt() const -> time_point;

private:
    [[nodiscard]] auto growth_ends_at() const -> time_point;

    bool m_awaits_workers = false;
    time_point m_started_at = never;
    std::size_t m_workers = 0;
    time_point m_grown_at = never;
    time_point m_next_attempt = never;
    /// No attempt was made since the entry could serve.
    bool m_awaits_first_worker = false;
};

} // namespace hickorylatch::core

#endif
