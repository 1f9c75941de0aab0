#ifndef HICKORYLATCH_CORE_ROLES_LIVE_SUBMISSION_HPP
#define HICKORYLATCH_CORE_ROLES_LIVE_SUBMISSION_HPP

#include "core/model/ids.hpp"
#include "core/model/submission.hpp"
#include "core/model/time.hpp"
#include "core/model/verdict.hpp"

#include <cstdint>
#include <vector>

namespace hickorylatch::core
{

/// A request of an entry that waits for the end of a submission.
struct waiter
{
    node_id m_entry = no_node;
    std::uint64_t m_sequence = 0;
    time_point m_sent_at{0};

    auto operator==(waiter const&) const -> bool = default;
};

enum class task_phase : std::uint8_t
{
    waiting,    ///< Queued; not sent, or its start was refused or lost.
    moving,     ///< Queued, not dispatched until its move is committed.
    committing, ///< Holds a slot while its allotment is being committed.
    sent,       ///< Sent to its agent; it may have started.
    unknown,    ///< Allotted to an agent that has not reported its state yet.
    done        ///< Its answer was received.
};

/// One task of a submission in progress.
struct live_task
{
    task_phase m_phase = task_phase::waiting;
    node_id m_agent = no_node;
    task_answer m_answer;
    std::uint32_t m_retries = 0;
    /// Number of refusals. An agent guarantees not to run a task it refused.
    std::uint32_t m_refusals = 0;
    time_point m_sent_at{0};
};

/// The leader's in-memory state of a submission in progress.
struct live_submission
{
    submission_id m_submission_id = 0;
    submission m_submission;
    std::vector<waiter> m_waiters;
    std::vector<live_task> m_tasks;
    std::uint32_t m_remaining = 0;
    priority m_priority = 0;
    time_point m_arrived_at{0};
    time_point m_deadline = never;
    /// Its acceptance was proposed; a later leader may find it committed.
    bool m_is_proposed = false;
    bool m_is_committed = false;
    bool m_has_ended = false;
    verdict m_verdict;
};

} // namespace hickorylatch::core

#endif
