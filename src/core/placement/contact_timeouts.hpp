#ifndef HICKORYLATCH_CORE_PLACEMENT_CONTACT_TIMEOUTS_HPP
#define HICKORYLATCH_CORE_PLACEMENT_CONTACT_TIMEOUTS_HPP

#include "core/model/time.hpp"

namespace hickorylatch::core
{

/// How long an agent continues the runs of an entry that does not confirm its
/// contact. Shorter than the delay after which a client submits its job again,
/// because another entry may run it then.
inline constexpr auto entry_contact_timeout =
    duration{std::chrono::milliseconds{500}};

/// The same for the leader of the control group. The next leader takes over the
/// runs within 1.1 to 1.5 s after the loss of the previous leader.
inline constexpr auto leader_contact_timeout =
    duration{std::chrono::milliseconds{2'000}};

/// Time after the last message from an agent, or from the process that ordered
/// its runs, by which these runs have certainly ended: the agent waits for the
/// contact timeout, the worker's lease expires by a slow clock, and the margin
/// covers the stops that the agent sends.
[[nodiscard]] constexpr auto runs_ended_after(duration contact_timeout,
                                              duration lease) -> duration
{
    constexpr auto slowest_clock_percent = 103;
    constexpr auto stop_margin = duration{std::chrono::milliseconds{150}};
    return contact_timeout + lease * slowest_clock_percent / 100 + stop_margin;
}

/// Timeout for the answer to an order or a poll, in addition to the time that a
/// poll waits. A worker answers within a millisecond. If an answer comes later,
/// the next list shows what happened, so a short timeout costs no more than
/// that list.
inline constexpr auto worker_answer_timeout =
    duration{std::chrono::milliseconds{20}};

} // namespace hickorylatch::core

#endif
