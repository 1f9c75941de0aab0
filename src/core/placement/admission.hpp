#ifndef HICKORYLATCH_CORE_PLACEMENT_ADMISSION_HPP
#define HICKORYLATCH_CORE_PLACEMENT_ADMISSION_HPP

#include "core/model/time.hpp"

namespace hickorylatch::core
{

/// How long a job may be expected to wait for room if it is to be taken.
/// `objective` is the time within which it is of full use, `run` the expected
/// run time that is part of it.
///
/// Answers offered loads above the capacity: without a limit the queues grow
/// until every job is late, and with one the jobs that are taken are in time.
[[nodiscard]] auto longest_wait(duration objective, duration run) -> duration;

} // namespace hickorylatch::core

#endif
