#include "experiment/central_policy.hpp"

#include <string>
#include <utility>

namespace hickorylatch::experiment
{

namespace
{

constexpr auto service_name = "endpoints";

auto attempt_of(simulated_request const& request) -> core::attempt_id
{
    return {core::volatile_submission_bit, request.m_number};
}

} // namespace

central_policy::central_policy(simulated_system& system)
    : m_system{&system}, m_bound_endpoint(system.requests().size()),
      m_is_bound(system.requests().size()),
      m_used_slots(system.setup().m_endpoints),
      m_waiting(system.setup().m_endpoints),
      m_last_sent(system.setup().m_endpoints + system.setup().m_entries)
{
    auto const& setup = system.setup();
    auto config = core::configuration{};
    auto service = core::service{};
    service.m_name = service_name;
    service.m_queue_limit = setup.m_queue_limit;
    config.m_services.push_back(service);
    m_dispatcher.apply(config);
    if (setup.m_binds_early)
        m_dispatcher.enable_early_binding(
            setup.m_committed_share > 0 ? setup.m_commit_delay : duration{0});
    for (auto number = std::uint32_t{0}; number < setup.m_endpoints; ++number)
    {
        auto info = core::agent_info{};
        info.m_node = core::node_id{number + 1};
        info.m_name = "endpoint-" + std::to_string(number);
        info.m_service = service_name;
        info.m_slots = setup.m_slots;
        m_dispatcher.add_agent(system.scheduler().now(), info, {});
    }
    for (auto at = std::size_t{0}; at < m_last_sent.size(); ++at)
        renew_when_idle(at);
    if (setup.m_evacuation_length == duration{0})
        return;
    auto const from = setup.m_warm_up +
                      (setup.m_measured_time - setup.m_evacuation_length) / 2;
    for (auto const is_evacuated : {true, false})
        system.scheduler().at(is_evacuated ? from
                                           : from + setup.m_evacuation_length,
                              [this, is_evacuated]
                              {
                                  set_evacuated(is_evacuated);
                              });
}

auto central_policy::set_evacuated(bool is_evacuated) -> void
{
    auto const& setup = m_system->setup();
    for (auto number = std::uint32_t{0}; number < setup.m_endpoints; ++number)
        if (number % setup.m_domains == setup.m_domains - 1)
            m_dispatcher.set_leaving(core::node_id{number + 1}, is_evacuated);
    dispatch();
}

auto central_policy::submit(simulated_request& request) -> void
{
    record_send(m_system->setup().m_endpoints + request.m_entry);
    m_system->send(request, m_system->entry_to_leader(request.m_entry),
                   [this, &request]
                   {
                       enqueue(request);
                   });
}

auto central_policy::cancel(simulated_request& request) -> void
{
    if (request.m_end != request_end::open)
        return;
    m_system->answer(request, request_end::cancelled);
    record_send(m_system->setup().m_endpoints + request.m_entry);
    m_system->scheduler().after(m_system->entry_to_leader(request.m_entry),
                                [this, &request]
                                {
                                    withdraw(request);
                                });
}

auto central_policy::enqueue(simulated_request& request) -> void
{
    auto item = core::work_item{};
    item.m_attempt = attempt_of(request);
    item.m_service = service_name;
    item.m_customer = request.m_customer;
    item.m_priority = request.m_priority;
    item.m_run_time = request.m_declared_run_time;
    if (request.m_needs_commit)
        item.m_commit_delay = m_system->setup().m_commit_delay;
    // The client's deadline minus the delay of the answer.
    if (m_system->setup().m_deadline > duration{0})
        item.m_deadline = request.m_sent_at + m_system->setup().m_deadline -
                          m_system->entry_to_leader(request.m_entry) -
                          m_system->setup().m_client_delay;
    auto displaced = std::vector<core::attempt_id>{};
    if (m_dispatcher.enqueue(m_system->scheduler().now(), std::move(item),
                             displaced))
        reply(request, request_end::refused);
    for (auto const attempt : displaced)
        reply(m_system->requests()[attempt.m_task], request_end::refused);
    dispatch();
}

auto central_policy::dispatch() -> void
{
    auto const now = m_system->scheduler().now();
    for (auto const attempt : m_dispatcher.expire(now))
        reply(m_system->requests()[attempt.m_task], request_end::refused);
    while (auto const bound = m_dispatcher.bind_next(now))
    {
        auto& request = m_system->requests()[bound->m_attempt.m_task];
        auto const endpoint = static_cast<std::uint32_t>(bound->m_agent) - 1;
        m_bound_endpoint[request.m_number] = endpoint;
        m_is_bound[request.m_number] = true;
        if (!request.m_needs_commit)
        {
            start(request, endpoint);
            continue;
        }
        m_system->scheduler().after(m_system->setup().m_commit_delay,
                                    [this, &request, endpoint]
                                    {
                                        start(request, endpoint);
                                    });
    }
    auto const wake_at = m_dispatcher.wake_at(now);
    if (wake_at >= m_wake_at || wake_at == core::never)
        return;
    m_wake_at = wake_at;
    m_system->scheduler().at(wake_at,
                             [this, wake_at]
                             {
                                 if (m_wake_at != wake_at)
                                     return;
                                 m_wake_at = core::never;
                                 dispatch();
                             });
}

auto central_policy::start(simulated_request& request, std::uint32_t endpoint)
    -> void
{
    m_system->send(request, m_system->endpoint_to_leader(endpoint),
                   [this, &request, endpoint]
                   {
                       run(request, endpoint);
                   });
}

auto central_policy::run(simulated_request& request, std::uint32_t endpoint)
    -> void
{
    if (m_used_slots[endpoint] == m_system->setup().m_slots)
    {
        m_waiting[endpoint].push_back(&request);
        return;
    }
    ++m_used_slots[endpoint];
    m_system->run(
        request, endpoint,
        [this, &request, endpoint](bool succeeded)
        {
            --m_used_slots[endpoint];
            run_waiting(endpoint);
            record_send(endpoint);
            m_system->send(
                request, m_system->endpoint_to_leader(endpoint),
                [this, &request, succeeded]
                {
                    reply(request, succeeded ? request_end::answered
                                             : request_end::failed);
                    finish(request, succeeded ? core::attempt_outcome::succeeded
                                              : core::attempt_outcome::failed);
                });
        });
}

auto central_policy::run_waiting(std::uint32_t endpoint) -> void
{
    if (m_waiting[endpoint].empty())
        return;
    auto& next = *m_waiting[endpoint].front();
    m_waiting[endpoint].pop_front();
    run(next, endpoint);
}

auto central_policy::finish(simulated_request& request,
                            core::attempt_outcome outcome) -> void
{
    m_is_bound[request.m_number] = false;
    m_dispatcher.finish(m_system->scheduler().now(), attempt_of(request),
                        outcome, request.m_finished_at - request.m_started_at);
    dispatch();
}

auto central_policy::reply(simulated_request& request, request_end end) -> void
{
    m_system->send(request, m_system->entry_to_leader(request.m_entry),
                   [this, &request, end]
                   {
                       m_system->answer(request, end);
                   });
}

auto central_policy::withdraw(simulated_request& request) -> void
{
    if (m_dispatcher.withdraw(attempt_of(request)))
        return;
    if (!m_is_bound[request.m_number])
    {
        m_system->count_wasted("late cancel", 1);
        return;
    }
    auto const endpoint = m_bound_endpoint[request.m_number];
    auto const delay = m_system->endpoint_to_leader(endpoint);
    m_system->scheduler().after(
        delay,
        [this, &request, delay, endpoint]
        {
            if (std::erase(m_waiting[endpoint], &request) == 0)
            {
                if (!m_system->stop(request))
                {
                    m_system->count_wasted("late cancel", 2);
                    return;
                }
                --m_used_slots[endpoint];
                run_waiting(endpoint);
            }
            m_system->scheduler().after(
                delay,
                [this, &request]
                {
                    finish(request, core::attempt_outcome::stopped);
                });
        });
}

auto central_policy::renew_when_idle(std::size_t process) -> void
{
    auto const due = m_last_sent[process] + m_system->setup().m_renew_after;
    m_system->scheduler().at(
        due,
        [this, process, due]
        {
            // The renewal and its answer.
            if (m_last_sent[process] + m_system->setup().m_renew_after <= due)
            {
                m_system->count_wasted("heartbeat", 2);
                record_send(process);
            }
            renew_when_idle(process);
        });
}

auto central_policy::record_send(std::size_t process) -> void
{
    m_last_sent[process] = m_system->scheduler().now();
}

} // namespace hickorylatch::experiment
