#include "experiment/world.hpp"

#include <utility>

namespace hickorylatch::experiment
{

world::world(scenario const& of, std::vector<request> requests)
    : m_setup{of}, m_requests{std::move(requests)}, m_runs(m_requests.size(), 0)
{
}

auto world::time() -> simulator&
{
    return m_time;
}

auto world::setup() const -> scenario const&
{
    return m_setup;
}

auto world::requests() -> std::vector<request>&
{
    return m_requests;
}

auto world::entry_to_endpoint(std::uint32_t entry, std::uint32_t endpoint) const
    -> duration
{
    return trip(entry, endpoint);
}

auto world::entry_to_leader(std::uint32_t entry) const -> duration
{
    return trip(entry, 0);
}

auto world::endpoint_to_leader(std::uint32_t endpoint) const -> duration
{
    return trip(endpoint, 0);
}

auto world::send(request& of, duration trip, std::function<void()> deliver)
    -> void
{
    of.m_network += trip;
    m_time.after(trip, std::move(deliver));
}

auto world::run(request& of, std::uint32_t endpoint,
                std::function<void(bool)> done) -> void
{
    constexpr auto failing_time = duration{200};
    auto const fails = m_setup.m_has_failing_endpoint && endpoint == 0 &&
                       m_time.now() >= m_setup.m_warm_up;
    auto const factor = endpoint == 0 ? m_setup.m_straggler_factor : 1.0;
    auto const run_time =
        fails ? failing_time
              : duration{static_cast<std::int64_t>(
                    static_cast<double>(of.m_run_time.count()) * factor)};
    of.m_started = m_time.now();
    auto const run = ++m_last_run;
    m_runs[of.m_number] = run;
    m_time.after(run_time,
                 [this, &of, run, fails, done = std::move(done)]
                 {
                     if (m_runs[of.m_number] != run)
                         return;
                     m_runs[of.m_number] = 0;
                     of.m_finished = m_time.now();
                     done(!fails);
                 });
}

auto world::stop(request& of) -> bool
{
    return std::exchange(m_runs[of.m_number], 0) != 0;
}

auto world::answer(request& of, request_end end) -> void
{
    if (of.m_end != request_end::open)
    {
        waste("unused answer", 1);
        return;
    }
    of.m_end = end;
    of.m_network += m_setup.m_to_client;
    of.m_answered = m_time.now() + m_setup.m_to_client;
}

auto world::waste(std::string const& kind, std::uint64_t count) -> void
{
    if (m_time.now() >= m_setup.m_warm_up &&
        m_time.now() < m_setup.m_warm_up + m_setup.m_length)
        m_wasted[kind] += count;
}

auto world::wasted() const -> std::map<std::string, std::uint64_t> const&
{
    return m_wasted;
}

auto world::is_past_deadline(request const& of) const -> bool
{
    return m_setup.m_deadline > duration{0} &&
           m_time.now() >= of.m_sent + m_setup.m_deadline;
}

auto world::trip(std::uint32_t from, std::uint32_t to) const -> duration
{
    return from % m_setup.m_domains == to % m_setup.m_domains
               ? m_setup.m_within_domain
               : m_setup.m_between_domains;
}

} // namespace hickorylatch::experiment
