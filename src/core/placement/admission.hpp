#ifndef HICKORYLATCH_CORE_PLACEMENT_ADMISSION_HPP
#define HICKORYLATCH_CORE_PLACEMENT_ADMISSION_HPP

#include "core/model/time.hpp"
#include "core/placement/worker_directory.hpp"

#include <cstdint>
#include <span>

namespace hickorylatch::core
{

/// How long a job may be expected to wait for room if it is to be taken.
/// `objective` is the time within which it is of full use, `run` the expected
/// run time that is part of it.
///
/// Answers offered loads above the capacity: without a limit the queues grow
/// until every job is late, and with one the jobs that are taken are in time.
[[nodiscard]] auto longest_wait(duration objective, duration run) -> duration;

/// Wait until workers have had room for all of `tasks`, each at the first one
/// that has room. Answers loads above the capacity, where each worker has a
/// queue: many long queues are still a long wait.
[[nodiscard]] auto wait_for_room(std::span<placement_choice const> workers,
                                 std::uint32_t tasks) -> duration;

} // namespace hickorylatch::core

#endif
