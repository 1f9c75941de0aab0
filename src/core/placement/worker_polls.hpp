#ifndef HICKORYLATCH_CORE_PLACEMENT_WORKER_POLLS_HPP
#define HICKORYLATCH_CORE_PLACEMENT_WORKER_POLLS_HPP

#include "core/model/time.hpp"

#include <cstdint>
#include <map>
#include <optional>

namespace hickorylatch::core
{

/// A poll to send now.
struct due_poll
{
    std::uint64_t m_number = 0;
    /// The worker answers after this time or when the next run ends.
    duration m_wait{0};
};

/// Decides when a worker is polled for its running and ended runs, and whether
/// it is reachable. While tasks run, one long poll waits at the worker for the
/// next end of a run. A probe, which is answered at once, is sent in addition
/// when an up-to-date list is needed.
class worker_polls
{
public:
    /// Starts anew for a new incarnation of the worker.
    auto reset() -> void;
    /// Requests a list that the worker makes after this call.
    auto request_list() -> void;
    /// Sets whether the worker lists ends that can't be acknowledged yet. It
    /// then answers long polls at once, so these must be spaced out.
    auto set_ends_pending(bool are_pending) -> void;
    /// Returns the next poll to send, if one is due. To be called until there
    /// is none.
    auto next(time_point now, bool has_runs, bool needs_poll)
        -> std::optional<due_poll>;
    /// Returns when the poll was sent; none if it is not outstanding.
    auto answered(time_point now, std::uint64_t number)
        -> std::optional<time_point>;
    /// Records that a poll got no usable answer. False if it is not
    /// outstanding.
    auto failed(time_point now, std::uint64_t number) -> bool;
    /// Shortens long polls for a while, because further answers are likely to
    /// be lost.
    auto answer_lost(time_point now) -> void;
    /// Treats the worker as unreachable until a poll is answered.
    auto mark_unreachable(time_point now) -> void;

    [[nodiscard]] auto is_reachable() const -> bool;
    [[nodiscard]] auto next_deadline() const -> time_point;

private:
    struct outstanding
    {
        time_point m_sent_at{0};
        bool m_is_probe = false;
    };

    [[nodiscard]] auto has_outstanding(bool is_probe) const -> bool;
    auto send(time_point now, duration wait) -> due_poll;

    std::uint64_t m_last_number = 0;
    std::map<std::uint64_t, outstanding> m_outstanding;
    bool m_is_reachable = true;
    bool m_is_list_requested = false;
    bool m_are_ends_pending = false;
    /// No poll is sent before, so that a worker that refuses connections is not
    /// polled in a loop.
    time_point m_paused_until{0};
    /// When the next poll is due; `never` unless it is spaced out.
    time_point m_next_due_at = never;
    time_point m_answered_at{0};
    unsigned m_failures = 0;
    /// Send time of the first poll that failed since the last answer.
    time_point m_unanswered_since = never;
    /// Until when long polls are short.
    time_point m_short_waits_until{0};
    time_point m_retry_at = never;
    duration m_retry_delay{0};
};

} // namespace hickorylatch::core

#endif
