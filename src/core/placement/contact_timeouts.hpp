#ifndef HICKORYLATCH_CORE_PLACEMENT_CONTACT_TIMEOUTS_HPP
#define HICKORYLATCH_CORE_PLACEMENT_CONTACT_TIMEOUTS_HPP

#include "core/model/time.hpp"

namespace hickorylatch::core
{

/// How long an agent goes on with the runs of an entry that does not confirm
/// them. Shorter than a client's delay before it sends its job again, because
/// another entry may run it then.
inline constexpr auto entry_contact_timeout =
    duration{std::chrono::milliseconds{500}};

/// The same for the leader of the control group. The next leader takes the runs
/// over, which takes 1.1 to 1.5 s after the loss of the last one.
inline constexpr auto leader_contact_timeout =
    duration{std::chrono::milliseconds{2'000}};

/// How long after the last word of an agent, or of the process whose runs it
/// has, these have certainly ended: the agent gives them up, its worker's lease
/// runs out by a slow clock, and the rest is for the stops that the agent
/// sends.
[[nodiscard]] constexpr auto runs_ended_after(duration contact_timeout,
                                              duration lease) -> duration
{
    constexpr auto slowest_clock_percent = 103;
    constexpr auto stop_margin = duration{std::chrono::milliseconds{150}};
    return contact_timeout + lease * slowest_clock_percent / 100 + stop_margin;
}

/// How long an order or a poll may go without its answer, beyond the time that
/// a poll waits. A worker answers within a millisecond, and a list settles what
/// was answered later, so a short time costs no more than that list.
inline constexpr auto worker_answer_timeout =
    duration{std::chrono::milliseconds{20}};

} // namespace hickorylatch::core

#endif
