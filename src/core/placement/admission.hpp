#ifndef HICKORYLATCH_CORE_PLACEMENT_ADMISSION_HPP
#define HICKORYLATCH_CORE_PLACEMENT_ADMISSION_HPP

#include "core/model/time.hpp"
#include "core/placement/worker_directory.hpp"

#include <cstdint>
#include <span>

namespace hickorylatch::core
{

/// Maximum expected wait for room with which a job is accepted. `objective` is
/// its latency objective, which includes the expected run time `run`.
///
/// Protects against loads above the capacity: without a limit the queues grow
/// until every job is late, and with it the accepted jobs are in time.
[[nodiscard]] auto max_wait(duration objective, duration run) -> duration;

/// Expected wait until workers have had room for all of `tasks`, each at the
/// first worker that has room. Holds also above the capacity, when each worker
/// has a queue: many long queues are still a long wait.
[[nodiscard]] auto expected_room_wait(std::span<placement_choice const> workers,
                                      std::uint32_t tasks) -> duration;

} // namespace hickorylatch::core

#endif
