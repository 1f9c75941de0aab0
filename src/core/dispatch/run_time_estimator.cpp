#include "core/dispatch/run_time_estimator.hpp"

#include <algorithm>
#include <cmath>

namespace hickorylatch::core
{

namespace
{

/// Weight of a sample: yields the arithmetic mean at first, then a moving
/// average over about the last 256 samples.
auto weight(std::uint64_t count) -> double
{
    constexpr auto sample_window = std::uint64_t{256};
    return 1.0 / static_cast<double>(std::min(count, sample_window));
}

auto to_duration(double microseconds) -> duration
{
    return duration{static_cast<std::int64_t>(microseconds)};
}

} // namespace

auto run_time_estimator::observe(duration declared, duration actual) -> void
{
    auto const time =
        static_cast<double>(std::max(actual, duration{1}).count());
    ++m_count;
    m_mean += (time - m_mean) * weight(m_count);
    // The steps up and down are in the ratio 99 to 1, so the estimate converges
    // to the value that one of 100 tasks exceeds.
    m_p99 = std::max(m_p99, m_mean);
    m_p99 *= time > m_p99 ? 1.099 : 0.999;
    if (declared <= duration{0})
        return;
    ++m_declared_count;
    auto const ratio = std::log(time / static_cast<double>(declared.count()));
    auto const declared_weight = weight(m_declared_count);
    m_log_ratio_deviation +=
        (std::abs(ratio - m_log_ratio) - m_log_ratio_deviation) *
        declared_weight;
    m_log_ratio += (ratio - m_log_ratio) * declared_weight;
}

auto run_time_estimator::expected(duration declared) const -> duration
{
    if (m_count == 0)
        return std::max(declared, duration{0});
    if (declared <= duration{0} || !is_declared_reliable())
        return mean();
    return to_duration(static_cast<double>(declared.count()) *
                       std::exp(m_log_ratio));
}

auto run_time_estimator::lower_bound(duration declared) const -> duration
{
    if (declared <= duration{0} || !is_declared_reliable())
        return duration{0};
    // Leaves half the typical error as a margin.
    return to_duration(static_cast<double>(declared.count()) *
                       std::exp(m_log_ratio - m_log_ratio_deviation / 2));
}

auto run_time_estimator::predicted(duration declared) const -> duration
{
    if (declared <= duration{0} || !is_declared_reliable())
        return duration{0};
    auto const time = expected(declared);
    return static_cast<double>(time.count()) * m_log_ratio_deviation <=
                   static_cast<double>(max_prediction_error.count())
               ? time
               : duration{0};
}

auto run_time_estimator::deadline_margin(duration declared,
                                         duration budget) const -> duration
{
    if (declared > duration{0} && is_declared_reliable())
        return lower_bound(declared);
    return std::min(to_duration(m_p99), std::max(budget / 2, duration{0}));
}

auto run_time_estimator::has_enough_samples() const -> bool
{
    constexpr auto min_samples = std::uint64_t{32};
    return m_count >= min_samples;
}

auto run_time_estimator::mean() const -> duration
{
    return to_duration(m_mean);
}

auto run_time_estimator::is_declared_reliable() const -> bool
{
    // A factor of two in either direction; declared run times that are randomly
    // off by a factor of ten give 2.3.
    constexpr auto max_log_ratio_deviation = 0.7;
    return m_declared_count >= 8 &&
           m_log_ratio_deviation < max_log_ratio_deviation;
}

} // namespace hickorylatch::core
