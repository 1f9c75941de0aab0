#ifndef HICKORYLATCH_EXPERIMENT_WORKLOAD_HPP
#define HICKORYLATCH_EXPERIMENT_WORKLOAD_HPP

#include "experiment/scenario.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace hickorylatch::experiment
{

enum class request_end : std::uint8_t
{
    open,     ///< No answer yet.
    answered, ///< Ran and was answered.
    failed,   ///< An endpoint failed it.
    refused,  ///< Not run: queue full, deadline or quota.
    cancelled ///< Its client cancelled it.
};

/// One request and its outcome.
struct simulated_request
{
    std::uint32_t m_number = 0;
    std::uint32_t m_entry = 0;
    std::string m_customer;
    core::priority m_priority = 0;
    /// When the client sends it.
    time_point m_sent_at{0};
    duration m_run_time{0};
    duration m_declared_run_time{0};
    /// When the client cancels it; `never` if it does not.
    time_point m_cancel_at = core::never;
    /// Whether it needs a commit before it starts.
    bool m_needs_commit = false;

    request_end m_end = request_end::open;
    time_point m_started_at{0};
    time_point m_finished_at{0};
    /// When the client receives the answer.
    time_point m_answered_at{0};
    /// Sum of the delays of its messages, including those to and from the
    /// client.
    duration m_network_delay{0};
};

/// Generates the requests in the order in which clients send them. They depend
/// on the load of the scenario and on the seed, but not on the policy.
[[nodiscard]] auto make_workload(scenario const& setup, std::uint64_t seed)
    -> std::vector<simulated_request>;

[[nodiscard]] auto mean_run_time(scenario const& setup) -> duration;

/// Runs the workload through one ideal queue for all slots, in priority order,
/// with no network delay except that of the clients. It does not use an
/// endpoint that fails or is a straggler.
auto run_ideal(scenario const& setup, std::vector<simulated_request>& requests)
    -> void;

} // namespace hickorylatch::experiment

#endif
