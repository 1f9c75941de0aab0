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

/// How requests find a slot.
enum class policy_kind : std::uint8_t
{
    random,            ///< Any endpoint.
    round_robin,       ///< Each entry in turn.
    least_outstanding, ///< Fewest outstanding by the entry's own count.
    two_choices,       ///< The better of two by the entry's own count.
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

/// What one run of the experiment simulates.
struct scenario
{
    policy_kind m_policy = policy_kind::central;
    std::uint32_t m_entries = 5;
    std::uint32_t m_endpoints = 10;
    std::uint32_t m_slots = 8;
    std::uint32_t m_domains = 4;
    /// Offered work over the capacity of all slots.
    double m_load = 0.9;
    /// Arrivals before it are not counted.
    duration m_warm_up{60'000'000};
    /// Time in which counted arrivals come in.
    duration m_length{600'000'000};
    std::vector<std::uint64_t> m_seeds{1, 2, 3, 4, 5, 6, 7, 8};

    /// One way between failure domains, within one, and to clients.
    duration m_between_domains{1'500};
    duration m_within_domain{250};
    duration m_to_client{1'000};

    std::vector<customer_group> m_groups{{9, 0.1, 2}, {5, 0.3, 3}, {0, 0.6, 3}};
    duration m_shortest{50'000};
    duration m_longest{1'000'000};
    /// Share of tasks that take between these several seconds instead.
    double m_long_share = 0.02;
    duration m_long_shortest{3'000'000};
    duration m_long_longest{8'000'000};
    /// Time a client waits; 0 for no limit.
    duration m_deadline{30'000'000};
    std::uint32_t m_queue_limit = 10'000;
    /// Idle time after which an agent renews its lease.
    duration m_renew_after{1'000'000};
    /// Share of requests that wait for a commit before they start, and its
    /// time.
    double m_committed_share = 0;
    duration m_commit{5'000};

    /// Binds tasks ahead of predicted ends, by the time of a commit if some
    /// requests wait for one.
    bool m_binds_ahead = false;

    /// Arrival rate is multiplied by the factor from its start on.
    double m_burst_factor = 1;
    duration m_burst_start{120'000'000};
    duration m_burst_length{2'000'000};
    /// From the end of the warm-up on, endpoint 0 fails each task at once.
    bool m_has_failing_endpoint = false;
    /// Run time factor of endpoint 0.
    double m_straggler_factor = 1;
    /// Declared run times are this factor too large or too small, at random.
    double m_declared_error = 1;
    /// Share of the requests in progress that are cancelled at each wave.
    double m_cancelled_share = 0;
    duration m_cancel_every{20'000'000};
};

[[nodiscard]] auto to_string(policy_kind kind) -> std::string;

} // namespace hickorylatch::experiment

#endif
