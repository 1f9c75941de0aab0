#ifndef HICKORYLATCH_EXPERIMENT_SIMULATED_SYSTEM_HPP
#define HICKORYLATCH_EXPERIMENT_SIMULATED_SYSTEM_HPP

#include "experiment/event_scheduler.hpp"
#include "experiment/workload.hpp"

#include <concepts>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace hickorylatch::experiment
{

/// Simulated environment of a policy: virtual time, requests, network and
/// endpoints.
class simulated_system
{
public:
    simulated_system(scenario const& setup,
                     std::vector<simulated_request> requests);

    [[nodiscard]] auto scheduler() -> event_scheduler&;
    [[nodiscard]] auto setup() const -> scenario const&;
    [[nodiscard]] auto requests() -> std::vector<simulated_request>&;

    /// One-way network delays. The leader is in failure domain 0; entries and
    /// endpoints are spread evenly over all domains.
    [[nodiscard]] auto entry_to_endpoint(std::uint32_t entry,
                                         std::uint32_t endpoint) const
        -> duration;
    [[nodiscard]] auto entry_to_leader(std::uint32_t entry) const -> duration;
    [[nodiscard]] auto endpoint_to_leader(std::uint32_t endpoint) const
        -> duration;
    /// Delivers a message of this request after a delay.
    auto send(simulated_request& request, duration delay,
              std::function<void()> deliver) -> void;
    /// Runs a request on an endpoint, which must have a free slot, and calls
    /// `done` with whether it succeeded, unless `stop` is called first.
    auto run(simulated_request& request, std::uint32_t endpoint,
             std::function<void(bool)> done) -> void;
    /// Stops a running request. Returns false if it does not run.
    auto stop(simulated_request& request) -> bool;
    /// Lets the entry answer the client.
    auto answer(simulated_request& request, request_end end) -> void;
    /// Counts messages that did not contribute to an answer, if sent within the
    /// measured time.
    auto count_wasted(std::string const& kind, std::uint64_t count) -> void;
    [[nodiscard]] auto wasted() const
        -> std::map<std::string, std::uint64_t> const&;
    /// Whether the client no longer waits.
    [[nodiscard]] auto is_past_deadline(simulated_request const& request) const
        -> bool;

private:
    [[nodiscard]] auto delay(std::uint32_t from, std::uint32_t to) const
        -> duration;

    scenario m_setup;
    std::vector<simulated_request> m_requests;
    event_scheduler m_scheduler;
    std::map<std::string, std::uint64_t> m_wasted;
    /// Id of the current run of each request; 0 if it does not run.
    std::vector<std::uint64_t> m_run_ids;
    std::uint64_t m_last_run_id = 0;
};

/// Assigns requests to slots. `submit` and `cancel` are called when a client's
/// message reaches the entry.
template <typename Policy>
concept dispatch_policy = std::constructible_from<Policy, simulated_system&> &&
    requires(Policy policy, simulated_request& request)
{
    policy.submit(request);
    policy.cancel(request);
};

} // namespace hickorylatch::experiment

#endif
