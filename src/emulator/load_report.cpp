#include "emulator/load_report.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace hickorylatch::emulator
{

namespace
{

auto milliseconds(core::duration time) -> double
{
    return std::chrono::duration<double, std::milli>{time}.count();
}

/// The smallest sample that is not below the given share of all samples.
auto percentile(std::vector<core::duration> const& sorted, double share)
    -> core::duration
{
    auto const rank = std::ceil(share * static_cast<double>(sorted.size()));
    return sorted.at(static_cast<std::size_t>(std::max(rank, 1.0)) - 1);
}

auto print_percentiles(std::ostream& out, std::string_view name,
                       std::vector<core::duration> samples) -> void
{
    if (samples.empty())
        return;
    std::ranges::sort(samples);
    constexpr auto shares = std::to_array<std::pair<std::string_view, double>>(
        {{"p50", 0.5}, {"p99", 0.99}, {"p99.9", 0.999}, {"max", 1}});
    for (auto const& [label, share] : shares)
    {
        out << name << ' ' << label << ' '
            << milliseconds(percentile(samples, share)) << '\n';
    }
}

} // namespace

auto load_report::add_outcome(std::string_view outcome, std::uint16_t status)
    -> void
{
    ++m_outcomes[{std::string{outcome}, status}];
    ++m_ended;
}

auto load_report::add_response(core::duration response_time,
                               core::duration run_time) -> void
{
    m_response_times.push_back(response_time);
    m_overheads.push_back(response_time - run_time);
    m_slowdown_sum +=
        static_cast<double>(response_time.count()) /
        static_cast<double>(std::max<core::duration::rep>(run_time.count(), 1));
}

auto load_report::succeeded() const -> std::size_t
{
    auto const found = m_outcomes.find({"ran", 200});
    return found == m_outcomes.end() ? 0 : found->second;
}

auto load_report::ended() const -> std::size_t
{
    return m_ended;
}

auto load_report::print(core::duration elapsed) const -> std::string
{
    auto out = std::ostringstream{};
    out << std::fixed << std::setprecision(3);
    auto const seconds = std::chrono::duration<double>{elapsed}.count();
    out << "elapsed_s " << seconds << '\n';
    out << "ended " << m_ended << '\n';
    out << "not_sent " << m_not_sent << '\n';
    out << "mismatched " << m_mismatched << '\n';
    for (auto const& [outcome, count] : m_outcomes)
    {
        out << "outcome " << outcome.first << '/' << outcome.second << ' '
            << count << '\n';
    }
    out << "succeeded_per_s "
        << (seconds > 0 ? static_cast<double>(succeeded()) / seconds : 0)
        << '\n';
    print_percentiles(out, "response_ms", m_response_times);
    print_percentiles(out, "response_minus_run_ms", m_overheads);
    if (!m_response_times.empty())
    {
        out << "slowdown mean "
            << m_slowdown_sum / static_cast<double>(m_response_times.size())
            << '\n';
    }
    return out.str();
}

} // namespace hickorylatch::emulator
