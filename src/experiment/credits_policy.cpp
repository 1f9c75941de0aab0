#include "experiment/credits_policy.hpp"

namespace hickorylatch::experiment
{

credits_policy::credits_policy(world& in)
    : m_world{&in}, m_endpoints(in.setup().m_endpoints),
      m_waiting(in.setup().m_entries), m_target(in.requests().size())
{
}

auto credits_policy::submit(request& of) -> void
{
    m_waiting[of.m_entry].emplace(place{-of.m_priority, of.m_number}, &of);
    auto const count = m_endpoints.size();
    auto const first = m_random() % count;
    auto const second = (first + 1 + m_random() % (count - 1)) % count;
    for (auto const chosen : {first, second})
    {
        auto const endpoint = static_cast<std::uint32_t>(chosen);
        m_world->time().after(m_world->entry_to_endpoint(of.m_entry, endpoint),
                              [this, entry = of.m_entry, endpoint]
                              {
                                  m_endpoints[endpoint].m_asks.push_back(entry);
                                  grant(endpoint);
                              });
    }
}

auto credits_policy::cancel(request& of) -> void
{
    if (of.m_end != request_end::open)
        return;
    m_world->answer(of, request_end::cancelled);
    if (m_waiting[of.m_entry].erase(place{-of.m_priority, of.m_number}) > 0)
        return;
    auto const endpoint = m_target[of.m_number];
    m_world->time().after(m_world->entry_to_endpoint(of.m_entry, endpoint),
                          [this, &of, endpoint]
                          {
                              if (m_world->stop(of))
                                  free_slot(endpoint);
                              else
                                  m_world->waste("late cancel", 1);
                          });
}

auto credits_policy::grant(std::uint32_t endpoint) -> void
{
    auto& at = m_endpoints[endpoint];
    while (at.m_used < m_world->setup().m_slots && !at.m_asks.empty())
    {
        auto const entry = at.m_asks.front();
        at.m_asks.pop_front();
        ++at.m_used;
        m_world->time().after(m_world->entry_to_endpoint(entry, endpoint),
                              [this, entry, endpoint]
                              {
                                  use(entry, endpoint);
                              });
    }
}

auto credits_policy::use(std::uint32_t entry, std::uint32_t endpoint) -> void
{
    auto& waiting = m_waiting[entry];
    auto const trip = m_world->entry_to_endpoint(entry, endpoint);
    while (!waiting.empty())
    {
        auto& of = *waiting.begin()->second;
        waiting.erase(waiting.begin());
        if (m_world->is_past_deadline(of))
        {
            m_world->answer(of, request_end::refused);
            continue;
        }
        m_target[of.m_number] = endpoint;
        of.m_network += trip * 2; // the ask and the grant
        m_world->send(of, trip,
                      [this, &of, endpoint]
                      {
                          start(of, endpoint);
                      });
        return;
    }
    // The ask, the grant and the return were of no use.
    m_world->waste("unused credit", 3);
    m_world->time().after(trip,
                          [this, endpoint]
                          {
                              free_slot(endpoint);
                          });
}

auto credits_policy::start(request& of, std::uint32_t endpoint) -> void
{
    m_world->run(of, endpoint,
                 [this, &of, endpoint](bool succeeded)
                 {
                     free_slot(endpoint);
                     m_world->send(
                         of, m_world->entry_to_endpoint(of.m_entry, endpoint),
                         [this, &of, succeeded]
                         {
                             m_world->answer(of, succeeded
                                                     ? request_end::answered
                                                     : request_end::failed);
                         });
                 });
}

auto credits_policy::free_slot(std::uint32_t endpoint) -> void
{
    --m_endpoints[endpoint].m_used;
    grant(endpoint);
}

} // namespace hickorylatch::experiment
