#include "experiment/credits_policy.hpp"

namespace hickorylatch::experiment
{

credits_policy::credits_policy(simulated_system& system)
    : m_system{&system}, m_endpoints(system.setup().m_endpoints),
      m_waiting(system.setup().m_entries),
      m_chosen_endpoint(system.requests().size())
{
}

auto credits_policy::submit(simulated_request& request) -> void
{
    m_waiting[request.m_entry].emplace(
        queue_key{-request.m_priority, request.m_number}, &request);
    auto const count = m_endpoints.size();
    auto const first = m_random() % count;
    auto const second = (first + 1 + m_random() % (count - 1)) % count;
    for (auto const chosen : {first, second})
    {
        auto const endpoint = static_cast<std::uint32_t>(chosen);
        m_system->scheduler().after(
            m_system->entry_to_endpoint(request.m_entry, endpoint),
            [this, entry = request.m_entry, endpoint]
            {
                m_endpoints[endpoint].m_waiting_entries.push_back(entry);
                grant_credits(endpoint);
            });
    }
}

auto credits_policy::cancel(simulated_request& request) -> void
{
    if (request.m_end != request_end::open)
        return;
    m_system->answer(request, request_end::cancelled);
    if (m_waiting[request.m_entry].erase(
            queue_key{-request.m_priority, request.m_number}) > 0)
        return;
    auto const endpoint = m_chosen_endpoint[request.m_number];
    m_system->scheduler().after(
        m_system->entry_to_endpoint(request.m_entry, endpoint),
        [this, &request, endpoint]
        {
            if (m_system->stop(request))
                free_slot(endpoint);
            else
                m_system->count_wasted("late cancel", 1);
        });
}

auto credits_policy::grant_credits(std::uint32_t endpoint) -> void
{
    auto& state = m_endpoints[endpoint];
    while (state.m_used_slots < m_system->setup().m_slots &&
           !state.m_waiting_entries.empty())
    {
        auto const entry = state.m_waiting_entries.front();
        state.m_waiting_entries.pop_front();
        ++state.m_used_slots;
        m_system->scheduler().after(
            m_system->entry_to_endpoint(entry, endpoint),
            [this, entry, endpoint]
            {
                use_credit(entry, endpoint);
            });
    }
}

auto credits_policy::use_credit(std::uint32_t entry, std::uint32_t endpoint)
    -> void
{
    auto& waiting = m_waiting[entry];
    auto const delay = m_system->entry_to_endpoint(entry, endpoint);
    while (!waiting.empty())
    {
        auto& request = *waiting.begin()->second;
        waiting.erase(waiting.begin());
        if (m_system->is_past_deadline(request))
        {
            m_system->answer(request, request_end::refused);
            continue;
        }
        m_chosen_endpoint[request.m_number] = endpoint;
        request.m_network_delay += delay * 2; // credit request and grant
        m_system->send(request, delay,
                       [this, &request, endpoint]
                       {
                           start(request, endpoint);
                       });
        return;
    }
    // Credit request, grant and return were wasted.
    m_system->count_wasted("unused credit", 3);
    m_system->scheduler().after(delay,
                                [this, endpoint]
                                {
                                    free_slot(endpoint);
                                });
}

auto credits_policy::start(simulated_request& request, std::uint32_t endpoint)
    -> void
{
    m_system->run(
        request, endpoint,
        [this, &request, endpoint](bool succeeded)
        {
            free_slot(endpoint);
            m_system->send(
                request, m_system->entry_to_endpoint(request.m_entry, endpoint),
                [this, &request, succeeded]
                {
                    m_system->answer(request, succeeded ? request_end::answered
                                                        : request_end::failed);
                });
        });
}

auto credits_policy::free_slot(std::uint32_t endpoint) -> void
{
    --m_endpoints[endpoint].m_used_slots;
    grant_credits(endpoint);
}

} // namespace hickorylatch::experiment
