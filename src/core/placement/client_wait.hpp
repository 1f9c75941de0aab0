#ifndef HICKORYLATCH_CORE_PLACEMENT_CLIENT_WAIT_HPP
#define HICKORYLATCH_CORE_PLACEMENT_CLIENT_WAIT_HPP

#include "core/model/event.hpp"
#include "core/model/time.hpp"

#include <cstdint>

namespace hickorylatch::core
{

/// How long a client waits for an answer, from the number in its request.
[[nodiscard]] auto to_client_wait(std::uint32_t client_wait_ms) -> duration;

/// How long a query for the state of a job in progress may wait for the job's
/// end. Clients query at about the time they expect it, and repeat the query
/// only a quarter of a second later.
[[nodiscard]] auto to_state_query_wait(duration client_wait) -> duration;

/// Deducts the time for which the client has waited already.
auto reduce_wait(job_arrived& request, duration waited) -> void;

} // namespace hickorylatch::core

#endif
