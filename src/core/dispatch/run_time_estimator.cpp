#include "core/dispatch/run_time_estimator.hpp"

#include <algorithm>
#include <cmath>

namespace hickorylatch::core
{

namespace
{

/// Weight of a sample: the plain mean at first, then the last 256 or so.
auto weight(std::uint64_t count) -> double
{
    constexpr auto window = std::uint64_t{256};
    return 1.0 / static_cast<double>(std::min(count, window));
}

auto rounded(double microseconds) -> duration
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
    // Rises and falls in the ratio 99 to 1, so it settles where one of 100
    // tasks takes longer.
    m_high = std::max(m_high, m_mean);
    m_high *= time > m_high ? 1.099 : 0.999;
    if (declared <= duration{0})
        return;
    ++m_declared_count;
    auto const ratio = std::log(time / static_cast<double>(declared.count()));
    auto const share = weight(m_declared_count);
    m_log_error += (std::abs(ratio - m_log_ratio) - m_log_error) * share;
    m_log_ratio += (ratio - m_log_ratio) * share;
}

auto run_time_estimator::expected(duration declared) const -> duration
{
    if (m_count == 0)
        return std::max(declared, duration{0});
    if (declared <= duration{0} || !is_declared_reliable())
        return mean();
    return rounded(static_cast<double>(declared.count()) *
                   std::exp(m_log_ratio));
}

auto run_time_estimator::least(duration declared) const -> duration
{
    if (declared <= duration{0} || !is_declared_reliable())
        return duration{0};
    // Half the typical error is left as a margin.
    return rounded(static_cast<double>(declared.count()) *
                   std::exp(m_log_ratio - m_log_error / 2));
}

auto run_time_estimator::predicted(duration declared) const -> duration
{
    if (declared <= duration{0} || !is_declared_reliable())
        return duration{0};
    auto const time = expected(declared);
    return static_cast<double>(time.count()) * m_log_error <=
                   static_cast<double>(largest_uncertainty.count())
               ? time
               : duration{0};
}

auto run_time_estimator::margin(duration declared, duration budget) const
    -> duration
{
    if (declared > duration{0} && is_declared_reliable())
        return least(declared);
    return std::min(rounded(m_high), std::max(budget / 2, duration{0}));
}

auto run_time_estimator::is_warm() const -> bool
{
    constexpr auto enough = std::uint64_t{32};
    return m_count >= enough;
}

auto run_time_estimator::mean() const -> duration
{
    return rounded(m_mean);
}

auto run_time_estimator::is_declared_reliable() const -> bool
{
    // A factor of two either way; declarations off by ten at random give 2.3.
    constexpr auto largest_error = 0.7;
    return m_declared_count >= 8 && m_log_error < largest_error;
}

} // namespace hickorylatch::core
