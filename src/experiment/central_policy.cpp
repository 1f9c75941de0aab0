#include "experiment/central_policy.hpp"

#include <string>
#include <utility>

namespace hickorylatch::experiment
{

namespace
{

constexpr auto service_name = "endpoints";

auto attempt_of(request const& of) -> core::attempt_id
{
    return {core::volatile_submission_bit, of.m_number};
}

} // namespace

central_policy::central_policy(world& in)
    : m_world{&in}, m_target(in.requests().size()),
      m_is_bound(in.requests().size()), m_used(in.setup().m_endpoints),
      m_held(in.setup().m_endpoints),
      m_last_sent(in.setup().m_endpoints + in.setup().m_entries)
{
    auto const& setup = in.setup();
    auto config = core::configuration{};
    auto service = core::service{};
    service.m_name = service_name;
    service.m_queue_limit = setup.m_queue_limit;
    config.m_services.push_back(service);
    m_dispatcher.apply(config);
    if (setup.m_binds_ahead)
        m_dispatcher.enable_early_binding(
            setup.m_committed_share > 0 ? setup.m_commit : duration{0});
    for (auto number = std::uint32_t{0}; number < setup.m_endpoints; ++number)
    {
        auto info = core::agent_info{};
        info.m_node = core::node_id{number + 1};
        info.m_name = "endpoint-" + std::to_string(number);
        info.m_service = service_name;
        info.m_slots = setup.m_slots;
        m_dispatcher.add_agent(in.time().now(), info, {});
    }
    for (auto at = std::size_t{0}; at < m_last_sent.size(); ++at)
        renew_when_idle(at);
}

auto central_policy::submit(request& of) -> void
{
    note_sent(m_world->setup().m_endpoints + of.m_entry);
    m_world->send(of, m_world->entry_to_leader(of.m_entry),
                  [this, &of]
                  {
                      arrive(of);
                  });
}

auto central_policy::cancel(request& of) -> void
{
    if (of.m_end != request_end::open)
        return;
    m_world->answer(of, request_end::cancelled);
    note_sent(m_world->setup().m_endpoints + of.m_entry);
    m_world->time().after(m_world->entry_to_leader(of.m_entry),
                          [this, &of]
                          {
                              withdraw(of);
                          });
}

auto central_policy::arrive(request& of) -> void
{
    auto item = core::work_item{};
    item.m_attempt = attempt_of(of);
    item.m_service = service_name;
    item.m_customer = of.m_customer;
    item.m_priority = of.m_priority;
    item.m_run_time = of.m_declared;
    if (of.m_is_committed)
        item.m_commit_delay = m_world->setup().m_commit;
    // The client's deadline less the way back.
    if (m_world->setup().m_deadline > duration{0})
        item.m_deadline = of.m_sent + m_world->setup().m_deadline -
                          m_world->entry_to_leader(of.m_entry) -
                          m_world->setup().m_to_client;
    auto displaced = std::vector<core::attempt_id>{};
    if (m_dispatcher.enqueue(m_world->time().now(), std::move(item), displaced))
        reply(of, request_end::refused);
    for (auto const attempt : displaced)
        reply(m_world->requests()[attempt.m_task], request_end::refused);
    pump();
}

auto central_policy::pump() -> void
{
    auto const now = m_world->time().now();
    for (auto const attempt : m_dispatcher.expire(now))
        reply(m_world->requests()[attempt.m_task], request_end::refused);
    while (auto const bound = m_dispatcher.bind_next(now))
    {
        auto& of = m_world->requests()[bound->m_attempt.m_task];
        auto const endpoint = static_cast<std::uint32_t>(bound->m_agent) - 1;
        m_target[of.m_number] = endpoint;
        m_is_bound[of.m_number] = true;
        if (!of.m_is_committed)
        {
            start(of, endpoint);
            continue;
        }
        m_world->time().after(m_world->setup().m_commit,
                              [this, &of, endpoint]
                              {
                                  start(of, endpoint);
                              });
    }
    auto const wake = m_dispatcher.wake_at(now);
    if (wake >= m_wake_at || wake == core::never)
        return;
    m_wake_at = wake;
    m_world->time().at(wake,
                       [this, wake]
                       {
                           if (m_wake_at != wake)
                               return;
                           m_wake_at = core::never;
                           pump();
                       });
}

auto central_policy::start(request& of, std::uint32_t endpoint) -> void
{
    m_world->send(of, m_world->endpoint_to_leader(endpoint),
                  [this, &of, endpoint]
                  {
                      run(of, endpoint);
                  });
}

auto central_policy::run(request& of, std::uint32_t endpoint) -> void
{
    if (m_used[endpoint] == m_world->setup().m_slots)
    {
        m_held[endpoint].push_back(&of);
        return;
    }
    ++m_used[endpoint];
    m_world->run(of, endpoint,
                 [this, &of, endpoint](bool succeeded)
                 {
                     --m_used[endpoint];
                     run_held(endpoint);
                     note_sent(endpoint);
                     m_world->send(
                         of, m_world->endpoint_to_leader(endpoint),
                         [this, &of, succeeded]
                         {
                             reply(of, succeeded ? request_end::answered
                                                 : request_end::failed);
                             end(of, succeeded
                                         ? core::attempt_outcome::succeeded
                                         : core::attempt_outcome::failed);
                         });
                 });
}

auto central_policy::run_held(std::uint32_t endpoint) -> void
{
    if (m_held[endpoint].empty())
        return;
    auto& next = *m_held[endpoint].front();
    m_held[endpoint].pop_front();
    run(next, endpoint);
}

auto central_policy::end(request& of, core::attempt_outcome outcome) -> void
{
    m_is_bound[of.m_number] = false;
    m_dispatcher.finish(m_world->time().now(), attempt_of(of), outcome,
                        of.m_finished - of.m_started);
    pump();
}

auto central_policy::reply(request& of, request_end how) -> void
{
    m_world->send(of, m_world->entry_to_leader(of.m_entry),
                  [this, &of, how]
                  {
                      m_world->answer(of, how);
                  });
}

auto central_policy::withdraw(request& of) -> void
{
    if (m_dispatcher.withdraw(attempt_of(of)))
        return;
    if (!m_is_bound[of.m_number])
    {
        m_world->waste("late cancel", 1);
        return;
    }
    auto const endpoint = m_target[of.m_number];
    auto const trip = m_world->endpoint_to_leader(endpoint);
    m_world->time().after(trip,
                          [this, &of, trip, endpoint]
                          {
                              if (std::erase(m_held[endpoint], &of) == 0)
                              {
                                  if (!m_world->stop(of))
                                  {
                                      m_world->waste("late cancel", 2);
                                      return;
                                  }
                                  --m_used[endpoint];
                                  run_held(endpoint);
                              }
                              m_world->time().after(
                                  trip,
                                  [this, &of]
                                  {
                                      end(of, core::attempt_outcome::stopped);
                                  });
                          });
}

auto central_policy::renew_when_idle(std::size_t process) -> void
{
    auto const due = m_last_sent[process] + m_world->setup().m_renew_after;
    m_world->time().at(
        due,
        [this, process, due]
        {
            // The renewal and its answer.
            if (m_last_sent[process] + m_world->setup().m_renew_after <= due)
            {
                m_world->waste("heartbeat", 2);
                note_sent(process);
            }
            renew_when_idle(process);
        });
}

auto central_policy::note_sent(std::size_t process) -> void
{
    m_last_sent[process] = m_world->time().now();
}

} // namespace hickorylatch::experiment
