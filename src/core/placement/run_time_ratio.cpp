#include "core/placement/run_time_ratio.hpp"

#include <algorithm>
#include <cmath>

namespace hickorylatch::core
{

namespace
{

// Averages over about the last 64 runs. Single declarations are wrong by up to
// half of the run time, so that fewer runs would make the ratio unstable.
constexpr auto smoothing_weight = 1.0 / 64;
// Limits the effect of a single run that hung.
constexpr auto max_log_ratio = 1.4; // a factor of 4

} // namespace

auto run_time_ratio::observe(duration declared, duration actual,
                             double slowness) -> void
{
    if (actual <= duration{0})
        return;
    auto const normalized =
        static_cast<double>(actual.count()) / std::max(slowness, 0.1);
    m_mean_us +=
        (normalized - m_mean_us) * (m_mean_us == 0.0 ? 1.0 : smoothing_weight);
    if (declared <= duration{0})
        return;
    auto const ratio =
        std::log(normalized / static_cast<double>(declared.count()));
    m_log_ratio +=
        (std::clamp(ratio, -max_log_ratio, max_log_ratio) - m_log_ratio) *
        smoothing_weight;
}

auto run_time_ratio::expected(duration declared) const -> duration
{
    auto const value =
        declared > duration{0}
            ? static_cast<double>(declared.count()) * std::exp(m_log_ratio)
            : m_mean_us;
    return duration{static_cast<duration::rep>(value)};
}

} // namespace hickorylatch::core
