#ifndef HICKORYLATCH_CORE_DISPATCH_DISPATCHER_HPP
#define HICKORYLATCH_CORE_DISPATCH_DISPATCHER_HPP

#include "core/dispatch/admission_policy.hpp"
#include "core/dispatch/task_binder.hpp"
#include "core/dispatch/work_item.hpp"
#include "core/dispatch/work_ledger.hpp"
#include "core/model/configuration.hpp"
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

/// Queues and slots of every service, in the leader's memory only. Binds a
/// waiting task to an agent only when the agent has room for it. Operations
/// cost the logarithm of the number of items and agents.
class dispatcher
{
public:
    dispatcher();

    /// Adds an agent or replaces what is known of it. Attempts that it already
    /// runs take their room: those known, queued or running, with their
    /// declared sizes; unknown ones as one slot and one core until `enqueue`
    /// brings their item.
    auto add_agent(time_point now, agent_info const& agent,
                   std::span<attempt_id const> running) -> void;
    /// Removes an agent. Returns its attempts in progress. Items allotted to it
    /// that were never bound stay queued, to be moved (see `moves`), withdrawn
    /// or started when the same incarnation returns.
    auto remove_agent(node_id agent) -> std::vector<attempt_id>;
    auto set_leaving(node_id agent, bool leaving) -> void;
    /// Puts queue limits, quotas and drained names in force. Work already
    /// queued stays.
    auto apply(configuration const& config) -> void;
    /// Takes a worker's usage report. It lags behind; it corrects the declared
    /// sizes of the work there slowly.
    auto report_usage(node_id agent, std::uint32_t used_millicores,
                      std::uint32_t used_memory_mb) -> void;

    /// Queues an item. A verdict comes back if it was refused, not run. An
    /// allotted item is part of accepted work and never refused. An attempt
    /// that is queued or running already is not queued again.
    [[nodiscard]] auto enqueue(time_point now, work_item item)
        -> std::optional<verdict>;
    /// The same, but if the queue is full, a less urgent item may be given up
    /// for this one. Its attempt is added to `displaced`; the caller answers it
    /// as refused, not run, with reason::queue_full.
    [[nodiscard]] auto enqueue(time_point now, work_item item,
                               std::vector<attempt_id>& displaced)
        -> std::optional<verdict>;
    /// Checks the quota of a job's customer and that each task fits some agent,
    /// before `allot`. Changes nothing.
    [[nodiscard]] auto check(std::string_view customer,
                             std::span<task const> tasks) const
        -> std::optional<verdict>;
    /// Chooses an agent for each task of a job, to be committed with its
    /// acceptance. Empty if some task fits no open agent at all. The tasks
    /// count as load of their agents until they are enqueued; call `release` if
    /// the acceptance is not committed.
    [[nodiscard]] auto allot(std::span<task const> tasks)
        -> std::vector<node_id>;
    auto release(std::span<task const> tasks, std::span<node_id const> agents)
        -> void;
    /// Proposes at most `limit` moves of queued tasks from agents that can't
    /// start them now to agents with free room. A proposed task is held back
    /// until `reassign`, so that it can't start while a move is committed.
    [[nodiscard]] auto moves(time_point now, std::size_t limit)
        -> std::vector<allotment_move>;
    /// Queues a task at the agent it is allotted to from now on. Ends a hold by
    /// `moves`; with the former agent it cancels the move. False if the task
    /// is not queued any more.
    auto reassign(attempt_id attempt, node_id agent) -> bool;

    /// From now on binds one task ahead to a busy endpoint whose next slot is
    /// predicted to be free within `lead`, so that the slot does not idle for a
    /// round trip, or for a commit if `lead` is its time. Agents must hold one
    /// `start` beyond their slots until a slot is free. Predicts only where
    /// declared run times prove reliable.
    auto bind_ahead(duration lead) -> void;
    /// Binds the next task to a slot, if any task can start now. Call until
    /// empty, after `expire`.
    [[nodiscard]] auto next(time_point now) -> std::optional<placement>;
    /// Frees the room of an attempt. The run time is the one measured by the
    /// agent; 0 if unknown, then the time since `next` bound it counts.
    auto finish(time_point now, attempt_id attempt, attempt_outcome outcome,
                duration run_time = duration{0}) -> void;
    /// Takes a queued item out. False if it is not queued.
    auto withdraw(attempt_id attempt) -> bool;
    /// Takes out the queued items that probably can't meet their deadline any
    /// more.
    [[nodiscard]] auto expire(time_point now) -> std::vector<attempt_id>;
    /// When `expire` or `next` may have something to do although nothing else
    /// happens; `never` if not at all. For use after both found nothing more to
    /// do at `now`; the time is after `now`.
    [[nodiscard]] auto wake_at(time_point now) const -> time_point;

    [[nodiscard]] auto has_agent(node_id agent) const -> bool;
    [[nodiscard]] auto queued(std::string_view service) const -> std::size_t;
    [[nodiscard]] auto running(std::string_view service) const -> std::size_t;
    /// True if the agent gets nothing but trials after repeated failures.
    [[nodiscard]] auto is_on_probation(node_id agent) const -> bool;

private:
    [[nodiscard]] auto enqueue(time_point now, work_item item,
                               std::vector<attempt_id>* displaced)
        -> std::optional<verdict>;
    auto queue(time_point now, work_item item) -> void;
    auto record_run(time_point now, running_item const& done,
                    attempt_outcome outcome, duration run_time) -> void;

    // On the heap, so that the policies' pointers survive a move.
    std::unique_ptr<work_ledger> m_ledger;
    admission_policy m_admission;
    task_binder m_binder;
};

} // namespace hickorylatch::core

#endif
