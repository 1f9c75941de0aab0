#ifndef HICKORYLATCH_EXPERIMENT_REPORT_HPP
#define HICKORYLATCH_EXPERIMENT_REPORT_HPP

#include "experiment/scenario.hpp"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace hickorylatch::experiment
{

/// Mean over the seeds, with half the width of its 95 % confidence interval.
struct estimate
{
    double m_mean = 0;
    double m_half_width = 0;
};

[[nodiscard]] auto estimate_of(std::span<double const> samples) -> estimate;

/// Shares of all measured requests of a run without the evacuation.
struct undisturbed_results
{
    estimate m_in_time;
    estimate m_refused;
};

/// Results of one run of the experiment over all its seeds. The slowdown is the
/// response time divided by the run time; the net slowdown excludes the network
/// delays of all messages of the request, the gross slowdown only those between
/// client and entry.
struct report
{
    scenario m_scenario;
    /// Mean number of measured requests per seed.
    double m_requests = 0;
    estimate m_ideal_slowdown;
    estimate m_net_slowdown;
    /// Slowdown relative to that of the ideal queue, paired by seed.
    estimate m_net_ratio;
    estimate m_gross_ratio;
    /// Net slowdown of the highest priority relative to that of the ideal
    /// queue.
    estimate m_top_priority_ratio;
    /// Run time of requests answered in time, as a share of the capacity of all
    /// slots.
    estimate m_goodput;
    /// Shares of all measured requests.
    estimate m_in_time;
    estimate m_refused;
    estimate m_failed;
    estimate m_late;
    /// Wasted messages per request, by kind and in total.
    std::map<std::string, estimate> m_wasted;
    estimate m_all_wasted;
    /// Response time at the client relative to that of the ideal queue, by
    /// priority and percentile ("p50", "p99", "p99.9").
    std::map<core::priority, std::map<std::string, estimate>> m_response_ratios;
    /// Set if the scenario has an evacuation.
    std::optional<undisturbed_results> m_undisturbed;
};

[[nodiscard]] auto run(scenario const& setup) -> report;

[[nodiscard]] auto to_text(report const& results) -> std::string;
[[nodiscard]] auto to_json(report const& results) -> std::string;

} // namespace hickorylatch::experiment

#endif
