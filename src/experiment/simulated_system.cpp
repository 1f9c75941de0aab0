#include "experiment/simulated_system.hpp"

#include <utility>

namespace hickorylatch::experiment
{

simulated_system::simulated_system(scenario const& setup,
                                   std::vector<simulated_request> requests)
    : m_setup{setup}, m_requests{std::move(requests)},
      m_run_ids(m_requests.size(), 0)
{
}

auto simulated_system::scheduler() -> event_scheduler&
{
    return m_scheduler;
}

auto simulated_system::setup() const -> scenario const&
{
    return m_setup;
}

auto simulated_system::requests() -> std::vector<simulated_request>&
{
    return m_requests;
}

auto simulated_system::entry_to_endpoint(std::uint32_t entry,
                                         std::uint32_t endpoint) const
    -> duration
{
    return delay(entry, endpoint);
}

auto simulated_system::entry_to_leader(std::uint32_t entry) const -> duration
{
    return delay(entry, 0);
}

auto simulated_system::endpoint_to_leader(std::uint32_t endpoint) const
    -> duration
{
    return delay(endpoint, 0);
}

auto simulated_system::send(simulated_request& request, duration delay,
                            std::function<void()> deliver) -> void
{
    request.m_network_delay += delay;
    m_scheduler.after(delay, std::move(deliver));
}

auto simulated_system::run(simulated_request& request, std::uint32_t endpoint,
                           std::function<void(bool)> done) -> void
{
    constexpr auto failed_run_time = duration{200};
    auto const fails = m_setup.m_has_failing_endpoint && endpoint == 0 &&
                       m_scheduler.now() >= m_setup.m_warm_up;
    auto const factor = endpoint == 0 ? m_setup.m_straggler_factor : 1.0;
    auto const run_time =
        fails ? failed_run_time
              : duration{static_cast<std::int64_t>(
                    static_cast<double>(request.m_run_time.count()) * factor)};
    request.m_started_at = m_scheduler.now();
    auto const run = ++m_last_run_id;
    m_run_ids[request.m_number] = run;
    m_scheduler.after(run_time,
                      [this, &request, run, fails, done = std::move(done)]
                      {
                          if (m_run_ids[request.m_number] != run)
                              return;
                          m_run_ids[request.m_number] = 0;
                          request.m_finished_at = m_scheduler.now();
                          done(!fails);
                      });
}

auto simulated_system::stop(simulated_request& request) -> bool
{
    return std::exchange(m_run_ids[request.m_number], 0) != 0;
}

auto simulated_system::answer(simulated_request& request, request_end end)
    -> void
{
    if (request.m_end != request_end::open)
    {
        count_wasted("unused answer", 1);
        return;
    }
    request.m_end = end;
    request.m_network_delay += m_setup.m_client_delay;
    request.m_answered_at = m_scheduler.now() + m_setup.m_client_delay;
}

auto simulated_system::count_wasted(std::string const& kind,
                                    std::uint64_t count) -> void
{
    if (m_scheduler.now() >= m_setup.m_warm_up &&
        m_scheduler.now() < m_setup.m_warm_up + m_setup.m_measured_time)
        m_wasted[kind] += count;
}

auto simulated_system::wasted() const
    -> std::map<std::string, std::uint64_t> const&
{
    return m_wasted;
}

auto simulated_system::is_past_deadline(simulated_request const& request) const
    -> bool
{
    return m_setup.m_deadline > duration{0} &&
           m_scheduler.now() >= request.m_sent_at + m_setup.m_deadline;
}

auto simulated_system::delay(std::uint32_t from, std::uint32_t to) const
    -> duration
{
    return from % m_setup.m_domains == to % m_setup.m_domains
               ? m_setup.m_delay_within_domain
               : m_setup.m_delay_between_domains;
}

} // namespace hickorylatch::experiment
