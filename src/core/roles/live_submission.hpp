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

/// An entry's request that waits for the end of a submission.
struct waiter
{
    node_id m_entry = no_node;
    std::uint64_t m_sequence = 0;
    time_point m_sent_at{0};

    auto operator==(waiter const&) const -> bool = default;
};

enum class task_phase : std::uint8_t
{
    waiting,    ///< Queued; this leader never sent it to an agent.
    moving,     ///< Queued, held back while its move is being committed.
    committing, ///< Holds a slot while its allotment is being committed.
    sent,       ///< Sent to its agent; it may have started.
    unknown,    ///< Allotted under an earlier leader; its agent must tell.
    done        ///< Its answer is here.
};

/// One task of a submission in progress.
struct live_task
{
    task_phase m_phase = task_phase::waiting;
    node_id m_agent = no_node;
    task_answer m_answer;
    std::uint32_t m_retries = 0;
    /// Times that an agent guaranteed not to run it.
    std::uint32_t m_refusals = 0;
    time_point m_sent_at{0};
};

/// A submission in progress, in the leader's memory.
struct live_submission
{
    submission_id m_submission_id = 0;
    submission m_submission;
    std::vector<waiter> m_waiters;
    std::vector<live_task> m_tasks;
    std::uint32_t m_remaining = 0;
    priority m_priority = 0;
    time_point m_arrived{0};
    time_point m_deadline = never;
    /// Its acceptance was proposed, so a later leader may find it committed.
    bool m_is_proposed = false;
    /// Its acceptance is committed.
    bool m_is_committed = false;
    bool m_has_ended = false;
    verdict m_verdict;
};

} // namespace hickorylatch::core

#endif
