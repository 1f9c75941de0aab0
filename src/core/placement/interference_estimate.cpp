#include "core/placement/interference_estimate.hpp"

#include "core/model/stable_hash.hpp"

#include <algorithm>
#include <cmath>

namespace hickorylatch::core
{

namespace
{

// The workload changes within seconds to minutes. A queue with 30 runs per
// second at one entry has 600 runs in the estimate.
constexpr auto decay_time = std::chrono::duration<double>{20.0};
// A worker that becomes slow has more runs beside each other, because they
// take longer. Its mean must follow before that looks like interference.
constexpr auto worker_decay_time = std::chrono::duration<double>{10.0};
// Unused queues and workers are forgotten after this time.
constexpr auto retention = duration{std::chrono::seconds{60}};
constexpr auto sweep_interval = duration{std::chrono::seconds{10}};
constexpr auto update_interval = duration{std::chrono::milliseconds{200}};

// Deviations of a run's logarithm are limited to this many standard deviations,
// so that a single run that hung has a bounded weight.
constexpr auto deviation_limit = 2.5;
// Before a deviation is known: declared times are wrong by up to 1.6.
constexpr auto initial_deviation = 0.35;
constexpr auto min_deviation = 0.05;
// Standard deviation of the logarithm of a factor that is assumed before any
// run: factors above 2 per neighbour are rare.
constexpr auto prior_deviation = 0.3;

// Two deployments without interference showed up to 0.03 per neighbour, with
// both signs. A pair begins to count at twice that, surely above 0.03.
constexpr auto begin_log = 0.06;
constexpr auto noise_log = 0.03;
// 64 pairs are tested five times a second, so that 2 or 3 standard errors would
// be exceeded by chance within minutes.
constexpr auto begin_errors = 4.0;
// Less strict than the beginning, so that a pair does not alternate.
constexpr auto end_log = 0.04;
constexpr auto end_errors = 2.0;
// Standard errors of fewer runs are too uncertain themselves.
constexpr auto min_weight = 40.0;

// Numbers of runs of one queue beside a run are limited to this.
constexpr auto max_beside = 32.0;
// Limits the effect of several neighbours on the cost to a factor of 20.
constexpr auto max_log = 3.0;

constexpr auto mean_run_weight = 1.0 / 32;

auto decay_factor(duration age, std::chrono::duration<double> time) -> double
{
    return std::exp(
        -(std::chrono::duration<double>{std::max(age, duration{0})} / time));
}

template <std::size_t Size>
using matrix = std::array<std::array<double, Size>, Size>;

/// Inverse of a symmetric positive definite matrix.
template <std::size_t Size>
auto inverse(matrix<Size> of) -> matrix<Size>
{
    auto result = matrix<Size>{};
    for (auto index = std::size_t{0}; index < Size; ++index)
        result[index][index] = 1.0;
    for (auto pivot = std::size_t{0}; pivot < Size; ++pivot)
    {
        auto const scale = 1.0 / of[pivot][pivot];
        for (auto column = std::size_t{0}; column < Size; ++column)
        {
            of[pivot][column] *= scale;
            result[pivot][column] *= scale;
        }
        for (auto line = std::size_t{0}; line < Size; ++line)
        {
            auto const times = of[line][pivot];
            if (line == pivot || times == 0.0)
                continue;
            for (auto column = std::size_t{0}; column < Size; ++column)
            {
                of[line][column] -= times * of[pivot][column];
                result[line][column] -= times * result[pivot][column];
            }
        }
    }
    return result;
}

} // namespace

auto to_queue_key(std::string_view queue) -> queue_key
{
    return static_cast<queue_key>(stable_hash(queue, {}));
}

auto interference_estimate::observe(time_point now,
                                    interference_sample const& sample) -> void
{
    if (sample.m_actual <= duration{0})
        return;
    auto const at = find_or_add(now, sample.m_queue);
    if (!at)
        return;
    auto beside = row{};
    for (auto const& each : sample.m_beside)
        if (auto const neighbour = find_or_add(now, each.m_queue))
            beside[*neighbour] =
                std::min(each.m_mean_permille / 1'000.0, max_beside);
    auto& queue = *m_queues[*at];
    auto const actual = static_cast<double>(sample.m_actual.count());
    queue.m_mean_run_us += (actual - queue.m_mean_run_us) *
                           (queue.m_mean_run_us == 0.0 ? 1.0 : mean_run_weight);
    auto const log_ratio = std::log(
        actual /
        static_cast<double>(std::max(sample.m_declared, duration{1}).count()));
    auto& mean = queue.m_workers[sample.m_agent];
    mean.m_weight *= decay_factor(now - mean.m_observed_at, worker_decay_time);
    mean.m_observed_at = now;
    // The deviation from a mean of n runs has (n + 1) / n times the variance of
    // a run.
    auto const scale = std::sqrt(mean.m_weight / (mean.m_weight + 1.0));
    auto deviations = row{};
    for (auto index = std::size_t{0}; index < max_queues; ++index)
        deviations[index] = (beside[index] - mean.m_beside[index]) * scale;
    auto const limit =
        deviation_limit *
        (queue.m_deviation == 0.0 ? initial_deviation : queue.m_deviation);
    auto expected = 0.0;
    for (auto index = std::size_t{0}; index < max_queues; ++index)
        expected += deviations[index] * queue.m_logs[index];
    auto const difference = std::clamp(
        (log_ratio - mean.m_log_ratio) * scale - expected, -limit, limit);
    decay(now, queue);
    if (mean.m_weight > 0.0)
        add(queue, deviations, expected + difference);
    // A single run must not move the mean far either, except the first one.
    auto const is_first = mean.m_weight < 0.5;
    mean.m_weight += 1.0;
    auto const share = 1.0 / mean.m_weight;
    for (auto index = std::size_t{0}; index < max_queues; ++index)
        mean.m_beside[index] += (beside[index] - mean.m_beside[index]) * share;
    auto const distance = log_ratio - mean.m_log_ratio;
    mean.m_log_ratio +=
        (is_first ? distance : std::clamp(distance, -limit, limit)) * share;
}

auto interference_estimate::add(queue_state& queue, row const& beside,
                                double log_ratio) -> void
{
    queue.m_weight += 1.0;
    queue.m_square_sum += log_ratio * log_ratio;
    for (auto line = std::size_t{0}; line < max_queues; ++line)
    {
        if (beside[line] == 0.0)
            continue;
        queue.m_effects[line] += beside[line] * log_ratio;
        for (auto column = std::size_t{0}; column < max_queues; ++column)
            queue.m_products[line][column] += beside[line] * beside[column];
    }
}

auto interference_estimate::decay(time_point now, queue_state& queue) -> void
{
    auto const factor = decay_factor(now - queue.m_decayed_at, decay_time);
    queue.m_decayed_at = now;
    queue.m_weight *= factor;
    queue.m_square_sum *= factor;
    for (auto& each : queue.m_effects)
        each *= factor;
    for (auto& line : queue.m_products)
        for (auto& each : line)
            each *= factor;
}

auto interference_estimate::update(time_point now)
    -> std::vector<interference_change>
{
    auto changes = std::vector<interference_change>{};
    if (now < m_update_at)
        return changes;
    m_update_at = now + update_interval;
    for (auto& queue : m_queues)
        if (queue)
        {
            decay(now, *queue);
            update(*queue, changes);
        }
    if (now < m_sweep_at)
        return changes;
    m_sweep_at = now + sweep_interval;
    for (auto& queue : m_queues)
        if (queue)
            std::erase_if(queue->m_workers,
                          [now](auto const& each)
                          {
                              return now - each.second.m_observed_at >
                                     retention;
                          });
    return changes;
}

auto interference_estimate::update(queue_state& queue,
                                   std::vector<interference_change>& changes)
    -> void
{
    auto const deviation =
        queue.m_deviation == 0.0 ? initial_deviation : queue.m_deviation;
    auto information = queue.m_products;
    auto const prior =
        deviation * deviation / (prior_deviation * prior_deviation);
    for (auto index = std::size_t{0}; index < max_queues; ++index)
        information[index][index] += prior;
    auto const variances = inverse(information);
    auto explained = 0.0;
    for (auto line = std::size_t{0}; line < max_queues; ++line)
    {
        queue.m_logs[line] = 0.0;
        for (auto column = std::size_t{0}; column < max_queues; ++column)
            queue.m_logs[line] +=
                variances[line][column] * queue.m_effects[column];
        explained += queue.m_logs[line] * queue.m_effects[line];
    }
    if (queue.m_weight >= min_weight)
        queue.m_deviation = std::sqrt(
            std::max((queue.m_square_sum - explained) / queue.m_weight,
                     min_deviation * min_deviation));
    for (auto index = std::size_t{0}; index < max_queues; ++index)
    {
        if (!m_queues[index])
            continue;
        auto const log = queue.m_logs[index];
        auto const error = deviation * std::sqrt(variances[index][index]);
        auto const counts =
            queue.m_counts[index]
                ? log > end_log && log - end_errors * error > 0.0
                : queue.m_weight >= min_weight && log > begin_log &&
                      log - begin_errors * error > noise_log;
        if (counts == queue.m_counts[index])
            continue;
        queue.m_counts[index] = counts;
        changes.push_back({queue.m_key, m_queues[index]->m_key, counts,
                           std::exp(log), error});
    }
}

auto interference_estimate::factor(queue_key queue, queue_key beside) const
    -> double
{
    auto const at = find(queue);
    auto const neighbour = find(beside);
    if (!at || !neighbour || !m_queues[*at]->m_counts[*neighbour])
        return 1.0;
    return std::exp(m_queues[*at]->m_logs[*neighbour]);
}

auto interference_estimate::cost(queue_key queue, duration expected,
                                 std::span<queue_count const> beside) const
    -> duration
{
    auto const at = find(queue);
    if (!at)
        return duration{0};
    // Runs that are there have half of their run time left on average, but
    // similar ones follow them. With half, separation is less than half as
    // effective in tests of two queues at 0.45 of the capacity.
    auto const overlap = [&](queue_state const& other)
    {
        return std::min(static_cast<double>(expected.count()),
                        other.m_mean_run_us);
    };
    auto added = 0.0;
    for (auto const& each : beside)
    {
        auto const neighbour = find(each.m_queue);
        if (!neighbour)
            continue;
        auto const& other = *m_queues[*neighbour];
        auto const rise =
            [count = each.m_count](queue_state const& of, std::size_t index)
        {
            return of.m_counts[index]
                       ? count * std::expm1(std::min(of.m_logs[index], max_log))
                       : 0.0;
        };
        added += overlap(other) *
                 (rise(*m_queues[*at], *neighbour) + rise(other, *at));
    }
    auto const limit =
        static_cast<double>(expected.count()) * std::exp(max_log);
    return duration{static_cast<duration::rep>(std::min(added, limit))};
}

auto interference_estimate::pairs() const -> std::size_t
{
    auto count = std::size_t{0};
    for (auto const& queue : m_queues)
        if (queue)
            count += static_cast<std::size_t>(
                std::ranges::count(queue->m_counts, true));
    return count;
}

auto interference_estimate::find(queue_key key) const
    -> std::optional<std::size_t>
{
    for (auto index = std::size_t{0}; index < max_queues; ++index)
        if (m_queues[index] && m_queues[index]->m_key == key)
            return index;
    return std::nullopt;
}

auto interference_estimate::find_or_add(time_point now, queue_key key)
    -> std::optional<std::size_t>
{
    if (auto const found = find(key))
    {
        m_queues[*found]->m_seen_at = now;
        return found;
    }
    for (auto index = std::size_t{0}; index < max_queues; ++index)
    {
        auto& queue = m_queues[index];
        if (queue && now - queue->m_seen_at <= retention)
            continue;
        if (queue)
            forget(index);
        queue.emplace(queue_state{});
        queue->m_key = key;
        queue->m_seen_at = now;
        queue->m_decayed_at = now;
        return index;
    }
    return std::nullopt;
}

auto interference_estimate::forget(std::size_t at) -> void
{
    m_queues[at].reset();
    for (auto& queue : m_queues)
    {
        if (!queue)
            continue;
        queue->m_products[at] = {};
        for (auto& line : queue->m_products)
            line[at] = 0.0;
        queue->m_effects[at] = 0.0;
        queue->m_logs[at] = 0.0;
        queue->m_counts[at] = false;
        for (auto& [agent, mean] : queue->m_workers)
            mean.m_beside[at] = 0.0;
    }
}

} // namespace hickorylatch::core
