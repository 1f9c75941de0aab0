#ifndef HICKORYLATCH_CORE_PLACEMENT_CONCURRENT_RUNS_HPP
#define HICKORYLATCH_CORE_PLACEMENT_CONCURRENT_RUNS_HPP

#include "core/model/message.hpp"
#include "core/model/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace hickorylatch::core
{

/// What is kept of a run while it is at the worker.
struct run_concurrency
{
    /// None if its order named no queue: the run is not counted.
    std::optional<queue_key> m_queue;
    time_point m_begun_at{0};
    /// The sums of the queues that were known at its begin.
    std::vector<std::pair<queue_key, double>> m_sums;
};

/// Counts the runs at one worker by queue, and determines for each run how many
/// of each queue were beside it on average. Takes constant time per run.
class concurrent_runs
{
public:
    /// Runs of queues beyond this number are not counted.
    static constexpr auto max_queues = std::size_t{8};

    /// A new incarnation of the worker: its first runs are not representative.
    auto worker_started(time_point now) -> void;
    [[nodiscard]] auto begin(time_point now, std::optional<queue_key> queue)
        -> run_concurrency;
    /// Must be called once for each run that has begun. Returns none if the run
    /// was not counted or its worker had just started.
    [[nodiscard]] auto end(time_point now, run_concurrency const& ended)
        -> std::optional<std::vector<queue_concurrency>>;
    /// Queues with runs at the worker.
    [[nodiscard]] auto running() const -> std::vector<queue_count>;

private:
    struct queue_state
    {
        queue_key m_key = 0;
        std::uint32_t m_count = 0;
        /// Sum of the times that its runs have been here, in microseconds.
        double m_sum = 0.0;
    };

    auto advance(time_point now) -> void;
    /// Null if there are too many queues.
    auto find_or_add(queue_key key) -> queue_state*;

    std::vector<queue_state> m_queues;
    time_point m_advanced_at{0};
    time_point m_warm_at{0};
};

} // namespace hickorylatch::core

#endif
