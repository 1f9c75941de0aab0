#ifndef HICKORYLATCH_EXPERIMENT_SCENARIO_HPP
#define HICKORYLATCH_EXPERIMENT_SCENARIO_HPP

#include "core/model/configuration.hpp"
#include "core/model/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace hickorylatch::experiment
{

using core::duration;
using core::time_point;

/// How requests are assigned to slots.
enum class policy_kind : std::uint8_t
{
    random,            ///< A random endpoint.
    round_robin,       ///< Each entry uses the endpoints in turn.
    least_outstanding, ///< Fewest outstanding requests of the entry.
    two_choices,       ///< The less loaded of two random ones.
    entry_credits,     ///< Queue at the entry, slots granted as credits.
    central            ///< The dispatcher at the control leader.
};

/// A group of customers with the same priority.
struct customer_group
{
    core::priority m_priority = 0;
    /// Share of all requests.
    double m_share = 1;
    std::uint32_t m_customers = 1;
};

/// Parameters of one run of the experiment.
struct scenario
{
    policy_kind m_policy = policy_kind::central;
    std::uint32_t m_entries = 5;
    std::uint32_t m_endpoints = 10;
    std::uint32_t m_slots = 8;
    std::uint32_t m_domains = 4;
    /// Offered load as a share of the capacity of all slots.
    double m_load = 0.9;
    /// Arrivals before its end are not measured.
    duration m_warm_up{60'000'000};
    /// Period of the measured arrivals, after the warm-up.
    duration m_measured_time{600'000'000};
    std::vector<std::uint64_t> m_seeds{1, 2, 3, 4, 5, 6, 7, 8};

    /// One-way network delays between failure domains, within one, and to
    /// clients.
    duration m_delay_between_domains{1'500};
    duration m_delay_within_domain{250};
    duration m_client_delay{1'000};

    std::vector<customer_group> m_groups{{9, 0.1, 2}, {5, 0.3, 3}, {0, 0.6, 3}};
    duration m_min_run_time{50'000};
    duration m_max_run_time{1'000'000};
    /// Share of long tasks, and the bounds of their run time.
    double m_long_share = 0.02;
    duration m_min_long_run_time{3'000'000};
    duration m_max_long_run_time{8'000'000};
    /// Time after which a client gives up; 0 for no limit.
    duration m_deadline{30'000'000};
    std::uint32_t m_queue_limit = 10'000;
    /// Idle time after which a process renews its lease.
    duration m_renew_after{1'000'000};
    /// Share of requests that need a commit before they start, and its
    /// duration.
    double m_committed_share = 0;
    duration m_commit_delay{5'000};

    /// Binds tasks to slots before the predicted end of their current task, by
    /// the commit delay if some requests need a commit.
    bool m_binds_early = false;

    /// Factor of the arrival rate during the burst, its start after the
    /// warm-up, and its length.
    double m_burst_factor = 1;
    duration m_burst_start{120'000'000};
    duration m_burst_length{2'000'000};
    /// Whether endpoint 0 fails every task at its start once the warm-up is
    /// over.
    bool m_has_failing_endpoint = false;
    /// Run time factor of endpoint 0.
    double m_straggler_factor = 1;
    /// Factor by which declared run times are too large or too small, at
    /// random.
    double m_declared_error = 1;
    /// Share of recent requests that is cancelled at each interval.
    double m_cancelled_share = 0;
    duration m_cancel_interval{20'000'000};
    /// Time for which the last failure domain is evacuated, in the middle of
    /// the measured time; 0 for never. The central policy only.
    duration m_evacuation_length{0};
};

[[nodiscard]] auto to_string(policy_kind kind) -> std::string;

} // namespace hickorylatch::experiment

#endif
