#ifndef HICKORYLATCH_EXPERIMENT_REPORT_HPP
#define HICKORYLATCH_EXPERIMENT_REPORT_HPP

#include "experiment/scenario.hpp"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace hickorylatch::experiment
{

/// Mean over the seeds and half the width of its 95 % confidence interval.
struct estimate
{
    double m_mean = 0;
    double m_half_width = 0;
};

[[nodiscard]] auto estimate_of(std::span<double const> samples) -> estimate;

/// Results of one run of the experiment over all its seeds. Slowdown is the
/// response time over the run time; the net one leaves out all trips of the
/// request's messages, the gross one only those between client and entry.
struct report
{
    scenario m_scenario;
    /// Counted requests of one seed, on average.
    double m_requests = 0;
    estimate m_ideal_slowdown;
    estimate m_net_slowdown;
    /// Slowdown over the ideal's, paired by seed.
    estimate m_net_ratio;
    estimate m_gross_ratio;
    /// Net slowdown over the ideal's for the highest priority.
    estimate m_top_ratio;
    /// Time of requests answered in time over the capacity of all slots.
    estimate m_goodput;
    /// Shares of all counted requests.
    estimate m_refused;
    estimate m_failed;
    estimate m_late;
    /// Messages per request by kind, and all kinds.
    std::map<std::string, estimate> m_wasted;
    estimate m_all_wasted;
    /// Response time as the client sees it over the ideal's, by percentile
    /// ("p50", "p99", "p99.9") and priority.
    std::map<core::priority, std::map<std::string, estimate>> m_response_ratios;
};

[[nodiscard]] auto run(scenario const& of) -> report;

[[nodiscard]] auto to_text(report const& results) -> std::string;
[[nodiscard]] auto to_json(report const& results) -> std::string;

} // namespace hickorylatch::experiment

#endif
