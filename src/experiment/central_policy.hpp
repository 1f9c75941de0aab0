#ifndef HICKORYLATCH_EXPERIMENT_CENTRAL_POLICY_HPP
#define HICKORYLATCH_EXPERIMENT_CENTRAL_POLICY_HPP

#include "core/dispatch/dispatcher.hpp"
#include "experiment/world.hpp"

#include <cstdint>
#include <deque>
#include <vector>

namespace hickorylatch::experiment
{

/// The dispatcher of the core library at the control leader, with the messages
/// of the design page.
class central_policy
{
public:
    explicit central_policy(world& in);

    auto submit(request& of) -> void;
    auto cancel(request& of) -> void;

private:
    auto arrive(request& of) -> void;
    /// Binds what can start and sets the timer for the next deadline or trial.
    auto pump() -> void;
    auto start(request& of, std::uint32_t endpoint) -> void;
    auto run(request& of, std::uint32_t endpoint) -> void;
    /// Runs what its agent holds back for a slot.
    auto run_held(std::uint32_t endpoint) -> void;
    auto end(request& of, core::attempt_outcome outcome) -> void;
    auto reply(request& of, request_end how) -> void;
    auto withdraw(request& of) -> void;
    /// Lets a process renew its lease whenever it has sent nothing for a while.
    auto renew_when_idle(std::size_t process) -> void;
    auto note_sent(std::size_t process) -> void;

    world* m_world;
    core::dispatcher m_dispatcher;
    core::time_point m_wake_at = core::never;
    /// Endpoint of each bound request.
    std::vector<std::uint32_t> m_target;
    std::vector<bool> m_is_bound;
    /// Slots in use by endpoint, and requests that wait there for one.
    std::vector<std::uint32_t> m_used;
    std::vector<std::deque<request*>> m_held;
    /// When each agent, then each entry, last sent a message to the leader.
    std::vector<time_point> m_last_sent;
};

} // namespace hickorylatch::experiment

#endif
