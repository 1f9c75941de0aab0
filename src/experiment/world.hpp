#ifndef HICKORYLATCH_EXPERIMENT_WORLD_HPP
#define HICKORYLATCH_EXPERIMENT_WORLD_HPP

#include "experiment/simulator.hpp"
#include "experiment/workload.hpp"

#include <concepts>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace hickorylatch::experiment
{

/// What a policy works with: virtual time, requests, network and endpoints.
class world
{
public:
    world(scenario const& of, std::vector<request> requests);

    [[nodiscard]] auto time() -> simulator&;
    [[nodiscard]] auto setup() const -> scenario const&;
    [[nodiscard]] auto requests() -> std::vector<request>&;

    /// One-way trips. The leader is in failure domain 0; entries and endpoints
    /// are spread over all.
    [[nodiscard]] auto entry_to_endpoint(std::uint32_t entry,
                                         std::uint32_t endpoint) const
        -> duration;
    [[nodiscard]] auto entry_to_leader(std::uint32_t entry) const -> duration;
    [[nodiscard]] auto endpoint_to_leader(std::uint32_t endpoint) const
        -> duration;
    /// Delivers a message of this request after a trip.
    auto send(request& of, duration trip, std::function<void()> deliver)
        -> void;
    /// Runs a request on an endpoint, which must have a free slot. `done` is
    /// told whether it succeeded, unless `stop` comes first.
    auto run(request& of, std::uint32_t endpoint,
             std::function<void(bool)> done) -> void;
    /// Stops a running request. False if it does not run.
    auto stop(request& of) -> bool;
    /// Lets the entry answer the client.
    auto answer(request& of, request_end end) -> void;
    /// Counts messages that brought no answer nearer, within the counted time.
    auto waste(std::string const& kind, std::uint64_t count) -> void;
    [[nodiscard]] auto wasted() const
        -> std::map<std::string, std::uint64_t> const&;
    /// True if the client waits no longer.
    [[nodiscard]] auto is_past_deadline(request const& of) const -> bool;

private:
    [[nodiscard]] auto trip(std::uint32_t from, std::uint32_t to) const
        -> duration;

    scenario m_setup;
    std::vector<request> m_requests;
    simulator m_time;
    std::map<std::string, std::uint64_t> m_wasted;
    /// Number of the current run of each request; 0 if it does not run.
    std::vector<std::uint64_t> m_runs;
    std::uint64_t m_last_run = 0;
};

/// Brings requests to slots. `submit` and `cancel` are called when a client's
/// message reaches the entry.
template <typename Policy>
concept dispatch_policy = std::constructible_from<Policy, world&> &&
    requires(Policy policy, request& of)
{
    policy.submit(of);
    policy.cancel(of);
};

} // namespace hickorylatch::experiment

#endif
