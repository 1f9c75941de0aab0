#include "core/placement/client_wait.hpp"

#include <algorithm>

namespace hickorylatch::core
{

namespace
{

// Assumed when the client does not say how long it waits.
constexpr auto default_client_wait = duration{std::chrono::seconds{30}};
// Most clients wait for 1.5 s; half of that leaves time to query another
// replica.
constexpr auto max_state_wait = duration{std::chrono::milliseconds{750}};

} // namespace

auto to_client_wait(std::uint32_t client_wait_ms) -> duration
{
    return client_wait_ms == 0
               ? default_client_wait
               : duration{std::chrono::milliseconds{client_wait_ms}};
}

auto to_state_query_wait(duration client_wait) -> duration
{
    return std::min(client_wait / 2, max_state_wait);
}

auto reduce_wait(job_arrived& request, duration waited) -> void
{
    request.m_waited += waited;
    if (request.m_client_wait_ms != 0)
        request.m_client_wait_ms -=
            std::min(whole_ms(waited), request.m_client_wait_ms - 1);
}

} // namespace hickorylatch::core
