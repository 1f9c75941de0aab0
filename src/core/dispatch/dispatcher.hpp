#ifndef HICKORYLATCH_CORE_DISPATCH_DISPATCHER_HPP
#define HICKORYLATCH_CORE_DISPATCH_DISPATCHER_HPP

#include "core/dispatch/admission_policy.hpp"
#include "core/dispatch/dispatch_state.hpp"
#include "core/dispatch/task_binder.hpp"
#include "core/dispatch/work_item.hpp"
#include "core/model/configuration.hpp"
#include "core/model/evacuations.hpp"
#include "core/model/ids.hpp"
#include "core/model/message.hpp"
#include "core/model/time.hpp"
#include "core/model/verdict.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace hickorylatch::core
{

/// Manages the queues and slots of all services, in the leader's memory only.
/// Binds a queued task to an agent only when the agent has room for it.
/// Operations cost the logarithm of the number of items and agents.
class dispatcher
{
public:
    dispatcher();

    /// Adds an agent or replaces its information. Attempts that it already runs
    /// occupy it: queued and running attempts with their declared sizes,
    /// unknown ones with one slot and one core until `enqueue` provides their
    /// item.
    auto add_agent(time_point now, agent_info const& agent,
                   std::span<attempt_id const> running) -> void;
    /// Removes an agent and returns its running attempts. Items assigned to it
    /// that were never bound stay queued until they are moved (see
    /// `propose_moves`), withdrawn, or started after the same incarnation
    /// returns.
    auto remove_agent(node_id agent) -> std::vector<attempt_id>;
    auto set_leaving(node_id agent, bool leaving) -> void;
    /// Applies queue limits, quotas and the names of drained agents. Work that
    /// is already queued stays.
    auto apply(configuration const& config) -> void;
    /// Treats the agents of evacuated failure domains as drained.
    auto apply(evacuations const& evacuated) -> void;
    /// Corrects the declared sizes of the tasks at a worker by its usage
    /// report. The correction is gradual because reports lag behind.
    auto report_usage(node_id agent, std::uint32_t used_millicores,
                      std::uint32_t used_memory_mb) -> void;

    /// Queues an item. Returns a verdict if it was refused. An item that is
    /// assigned to an agent belongs to accepted work and is never refused. An
    /// attempt that is already queued or running is not queued again.
    [[nodiscard]] auto enqueue(time_point now, work_item item)
        -> std::optional<verdict>;
    /// The same, but if the queue is full, the item may displace a less urgent
    /// one, whose attempt is added to `displaced`. The caller answers it as not
    /// run, with reason::queue_full.
    [[nodiscard]] auto enqueue(time_point now, work_item item,
                               std::vector<attempt_id>& displaced)
        -> std::optional<verdict>;
    /// Checks the customer's quota, the queue limit and that each task fits
    /// some agent, before `allot`. Returns a verdict if the job is refused.
    [[nodiscard]] auto check(std::string_view customer,
                             std::span<task const> tasks) const
        -> std::optional<verdict>;
    /// Chooses an agent for each task of a job, to be committed with the
    /// acceptance of the job. Empty if a task fits no schedulable agent. The
    /// tasks count as load of their agents until they are enqueued; call
    /// `release` if the acceptance is not committed.
    [[nodiscard]] auto allot(std::span<task const> tasks)
        -> std::vector<node_id>;
    auto release(std::span<task const> tasks, std::span<node_id const> agents)
        -> void;
    /// Proposes at most `limit` moves of queued tasks from agents that can't
    /// start them now to agents that can. A proposed task is held until
    /// `reassign`, so that it can't start while its move is being committed.
    [[nodiscard]] auto propose_moves(time_point now, std::size_t limit)
        -> std::vector<allotment_move>;
    /// Assigns a queued task to an agent and releases it if it is held by
    /// `propose_moves`; passing the former agent cancels the move. False if the
    /// task is no longer queued.
    auto reassign(attempt_id attempt, node_id agent) -> bool;

    /// Enables the binding of one task to a busy endpoint whose next slot is
    /// predicted to be free within `lead`, so that the slot does not idle for a
    /// round trip, or for a commit if `lead` is the time of a commit. Agents
    /// must queue one `start` beyond their slots until a slot is free. Ends are
    /// predicted only if declared run times have proved reliable.
    auto enable_early_binding(duration lead) -> void;
    /// Binds the next task that can start now. Call after `expire`, repeatedly
    /// until empty.
    [[nodiscard]] auto bind_next(time_point now) -> std::optional<placement>;
    /// Releases the resources of an attempt. The run time is the one measured
    /// by the agent; if it is 0, the time since `bind_next` bound the attempt
    /// is used.
    auto finish(time_point now, attempt_id attempt, attempt_outcome outcome,
                duration run_time = duration{0}) -> void;
    /// Removes a queued item. False if it is not queued.
    auto withdraw(attempt_id attempt) -> bool;
    /// Removes and returns the queued items that are no longer likely to meet
    /// their deadline.
    [[nodiscard]] auto expire(time_point now) -> std::vector<attempt_id>;
    /// Time after `now` at which `expire` or `bind_next` should be called even
    /// if no other event occurs; `never` if there is none. Call after both have
    /// found nothing more to do at `now`.
    [[nodiscard]] auto wake_at(time_point now) const -> time_point;

    [[nodiscard]] auto has_agent(node_id agent) const -> bool;
    [[nodiscard]] auto queued(std::string_view service) const -> std::size_t;
    [[nodiscard]] auto running(std::string_view service) const -> std::size_t;
    /// True if the agent gets only trial tasks after repeated failures.
    [[nodiscard]] auto is_on_probation(node_id agent) const -> bool;

private:
    [[nodiscard]] auto enqueue(time_point now, work_item item,
                               std::vector<attempt_id>* displaced)
        -> std::optional<verdict>;
    auto enqueue_admitted(time_point now, work_item item) -> void;
    auto record_run(time_point now, running_item const& done,
                    attempt_outcome outcome, duration run_time) -> void;

    // On the heap, so that the pointers held by the policies stay valid when
    // the dispatcher is moved.
    std::unique_ptr<dispatch_state> m_state;
    admission_policy m_admission;
    task_binder m_binder;
};

} // namespace hickorylatch::core

#endif
