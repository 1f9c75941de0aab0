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
    answered, ///< Ran; its answer reached the client.
    failed,   ///< An endpoint failed it.
    refused,  ///< Not run: queue full, deadline or quota.
    cancelled ///< Its client gave up.
};

/// One request and what became of it.
struct request
{
    std::uint32_t m_number = 0;
    std::uint32_t m_entry = 0;
    std::string m_customer;
    core::priority m_priority = 0;
    /// When the client sends it.
    time_point m_sent{0};
    duration m_run_time{0};
    duration m_declared{0};
    /// When the client gives up; `never` if it does not.
    time_point m_cancel_at = core::never;
    /// True if it needs a commit before it starts.
    bool m_is_committed = false;

    request_end m_end = request_end::open;
    time_point m_started{0};
    time_point m_finished{0};
    /// When the client has its answer.
    time_point m_answered{0};
    /// Trips of its messages on the way, clients' included.
    duration m_network{0};
};

/// Requests in the order in which clients send them. Depends on the scenario's
/// load and the seed, not on its policy.
[[nodiscard]] auto make_workload(scenario const& of, std::uint64_t seed)
    -> std::vector<request>;

[[nodiscard]] auto mean_run_time(scenario const& of) -> duration;

/// Runs the workload in one queue over all slots, in priority order, without
/// network beyond the clients' round trip. It knows and leaves out an endpoint
/// that fails or is a straggler.
auto run_ideal(scenario const& of, std::vector<request>& requests) -> void;

} // namespace hickorylatch::experiment

#endif
