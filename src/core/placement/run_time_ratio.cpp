#include "core/placement/run_time_ratio.hpp"

#include <algorithm>
#include <cmath>

namespace hickorylatch::core
{

namespace
{

// Follows about the last 64 runs. Errors of single declarations are as large as
// half of the run time, so fewer would make the ratio jump.
constexpr auto weight = 1.0 / 64;
// One run that stood still must not count for many.
constexpr auto ratio_limit = 1.4; // a factor of 4

} // namespace

auto run_time_ratio::observe(duration declared, duration actual,
                             double slowness) -> void
{
    if (actual <= duration{0})
        return;
    auto const common =
        static_cast<double>(actual.count()) / std::max(slowness, 0.1);
    m_mean_us += (common - m_mean_us) * (m_mean_us == 0.0 ? 1.0 : weight);
    if (declared <= duration{0})
        return;
    auto const ratio = std::log(common / static_cast<double>(declared.count()));
    m_log_ratio +=
        (std::clamp(ratio, -ratio_limit, ratio_limit) - m_log_ratio) * weight;
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
