#ifndef HICKORYLATCH_CORE_PLACEMENT_INTERFERENCE_ESTIMATE_HPP
#define HICKORYLATCH_CORE_PLACEMENT_INTERFERENCE_ESTIMATE_HPP

#include "core/model/ids.hpp"
#include "core/model/message.hpp"
#include "core/model/time.hpp"

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace hickorylatch::core
{

[[nodiscard]] auto to_queue_key(std::string_view queue) -> queue_key;

/// A run that succeeded, and the runs that were at the worker meanwhile.
struct interference_sample
{
    queue_key m_queue = 0;
    node_id m_agent = no_node;
    /// May be 0, unknown.
    duration m_declared{0};
    duration m_actual{0};
    /// Mean numbers of runs beside it. Empty if it was alone.
    std::span<queue_concurrency const> m_beside;
};

/// An ordered pair of queues that begins or ceases to count as interfering.
struct interference_change
{
    queue_key m_queue = 0;
    queue_key m_beside = 0;
    bool m_counts = false;
    /// Factor on the run time for each run of `m_beside` at the worker.
    double m_factor = 1.0;
    /// Standard error of the logarithm of the factor.
    double m_log_error = 0.0;
};

/// Estimates by which factor the run time of one queue's tasks changes for each
/// run of another queue at the same worker. A regression of the logarithm of
/// actual over declared run times on the numbers of runs beside them, relative
/// to the mean of the same queue at the same worker: a slow worker and a wrong
/// declared time cancel out.
class interference_estimate
{
public:
    /// Queues beyond this number are ignored.
    static constexpr auto max_queues = std::size_t{8};

    /// Takes constant time. Ignored if the run has no run time.
    auto observe(time_point now, interference_sample const& sample) -> void;
    /// Updates which pairs count, at intervals. Returns the changes.
    auto update(time_point now) -> std::vector<interference_change>;

    /// Factor on the run time of `queue` for each run of `beside` at the
    /// worker; 1 if the pair does not count.
    [[nodiscard]] auto factor(queue_key queue, queue_key beside) const
        -> double;
    /// Run time that a run of the queue is expected to gain from the runs at a
    /// worker, and they from it.
    [[nodiscard]] auto cost(queue_key queue, duration expected,
                            std::span<queue_count const> beside) const
        -> duration;
    /// Number of ordered pairs that count.
    [[nodiscard]] auto pairs() const -> std::size_t;

private:
    using row = std::array<double, max_queues>;

    /// Recent mean of a queue's runs at one worker.
    struct worker_mean
    {
        /// Number of runs that the mean stands for.
        double m_weight = 0.0;
        double m_log_ratio = 0.0;
        row m_beside{};
        time_point m_observed_at{0};
    };

    /// Sums over the recent runs of one queue.
    struct queue_state
    {
        queue_key m_key = 0;
        time_point m_seen_at{0};
        double m_weight = 0.0;
        /// Of the squared deviations of the logarithms.
        double m_square_sum = 0.0;
        /// Of the products of the deviations of two numbers of runs beside it.
        std::array<row, max_queues> m_products{};
        /// Of the products of these deviations and that of the logarithm.
        row m_effects{};
        /// When the sums were last decayed.
        time_point m_decayed_at{0};
        double m_mean_run_us = 0.0;
        std::map<node_id, worker_mean> m_workers;

        /// Result of the last update, by the neighbour's position.
        row m_logs{};
        std::array<bool, max_queues> m_counts{};
        /// Standard deviation of a run's logarithm.
        double m_deviation = 0.0;
    };

    [[nodiscard]] auto find(queue_key key) const -> std::optional<std::size_t>;
    /// Position of the queue; none if there are too many queues.
    auto find_or_add(time_point now, queue_key key)
        -> std::optional<std::size_t>;
    /// Forgets the queue at this position, as a neighbour too.
    auto forget(std::size_t at) -> void;
    static auto decay(time_point now, queue_state& queue) -> void;
    static auto add(queue_state& queue, row const& beside, double log_ratio)
        -> void;
    auto update(queue_state& queue, std::vector<interference_change>& changes)
        -> void;

    /// Positions stay the same while a queue is known. Unused if the queue was
    /// never seen.
    std::array<std::optional<queue_state>, max_queues> m_queues;
    time_point m_update_at{0};
    time_point m_sweep_at{0};
};

} // namespace hickorylatch::core

#endif
