#ifndef HICKORYLATCH_EXPERIMENT_CENTRAL_POLICY_HPP
#define HICKORYLATCH_EXPERIMENT_CENTRAL_POLICY_HPP

#include "core/dispatch/dispatcher.hpp"
#include "experiment/simulated_system.hpp"

#include <cstdint>
#include <deque>
#include <vector>

namespace hickorylatch::experiment
{

/// The dispatcher of the core library at the control leader, with the messages
/// that the real processes exchange.
class central_policy
{
public:
    explicit central_policy(simulated_system& system);

    auto submit(simulated_request& request) -> void;
    auto cancel(simulated_request& request) -> void;

private:
    auto enqueue(simulated_request& request) -> void;
    /// Binds requests that can start and sets the timer for the next deadline
    /// or trial.
    auto dispatch() -> void;
    auto start(simulated_request& request, std::uint32_t endpoint) -> void;
    auto run(simulated_request& request, std::uint32_t endpoint) -> void;
    /// Runs the next request that waits at the agent for a slot.
    auto run_waiting(std::uint32_t endpoint) -> void;
    auto finish(simulated_request& request, core::attempt_outcome outcome)
        -> void;
    auto reply(simulated_request& request, request_end end) -> void;
    auto withdraw(simulated_request& request) -> void;
    /// Renews the lease of a process whenever it has been idle for a while.
    /// Evacuates or restores the last failure domain.
    auto set_evacuated(bool is_evacuated) -> void;
    auto renew_when_idle(std::size_t process) -> void;
    auto record_send(std::size_t process) -> void;

    simulated_system* m_system;
    core::dispatcher m_dispatcher;
    core::time_point m_wake_at = core::never;
    /// Endpoint of each bound request.
    std::vector<std::uint32_t> m_bound_endpoint;
    std::vector<bool> m_is_bound;
    /// Slots in use by endpoint, and requests that wait there for a slot.
    std::vector<std::uint32_t> m_used_slots;
    std::vector<std::deque<simulated_request*>> m_waiting;
    /// When each agent, then each entry, last sent a message to the leader.
    std::vector<time_point> m_last_sent;
};

} // namespace hickorylatch::experiment

#endif
