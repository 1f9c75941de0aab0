#include "core/placement/worker_directory.hpp"

#include "core/model/stable_hash.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>
#include <tuple>

namespace hickorylatch::core
{

namespace
{

// Agents send a load every 150 ms; two consecutive ones may be lost.
constexpr auto load_timeout = duration{std::chrono::milliseconds{400}};

// Weight of the wait against the run time in the cost. Waits are forecasts from
// declared run times, and a task that waits for a fast worker while another
// worker is idle delays the tasks behind it.
constexpr auto wait_weight = 8;

// Entries see the same loads, a few milliseconds old, so they must not all send
// their tasks to the same best worker. A worker whose cost is higher by this
// fraction of the run time is chosen 1/e as often for the same room: fast
// workers are preferred, and slow ones get their share when room gets short.
constexpr auto cost_scale = 0.5;

// Used when all workers are full: the wait dominates the cost, and a wrong
// choice costs more.
constexpr auto full_cost_scale = 0.1;

// A lost link is reopened within 0.1 s, and a lost agent restarts within 1 s.
constexpr auto claim_retention = duration{std::chrono::seconds{1}};

auto has_label(worker_report const& worker, std::string_view label) -> bool
{
    return std::ranges::find(worker.m_labels, label) != worker.m_labels.end();
}

} // namespace

auto worker_directory::set_spread_factor(double factor) -> void
{
    m_spread_factor = factor;
}

auto worker_directory::set_evacuations(evacuations const& known) -> void
{
    m_evacuations = known;
}

auto worker_directory::separate_interfering_tasks() -> void
{
    m_interference.emplace();
}

auto worker_directory::interference() -> interference_estimate*
{
    return m_interference ? &*m_interference : nullptr;
}

auto worker_directory::connected(node_id agent) -> void
{
    auto& worker = m_workers[agent];
    worker = {};
    worker.m_is_connected = true;
}

auto worker_directory::disconnected(time_point now, node_id agent) -> void
{
    m_workers.erase(agent);
    std::erase_if(m_claim_agents,
                  [now](auto const& each)
                  {
                      return each.second.m_disconnected_at != never &&
                             now - each.second.m_disconnected_at >=
                                 claim_retention;
                  });
    for (auto& [worker, known] : m_claim_agents)
        if (known.m_agent == agent)
            known.m_disconnected_at = now;
}

auto worker_directory::announce(time_point now, node_id agent,
                                worker_announcement const& announcement) -> void
{
    auto const found = m_workers.find(agent);
    if (found == m_workers.end())
        return;
    found->second.m_announcement = announcement;
    found->second.m_announcement.m_runs.clear();
    std::erase_if(m_claim_agents,
                  [agent](auto const& each)
                  {
                      return each.second.m_agent == agent;
                  });
    m_claim_agents[announcement.m_worker.m_name] = {
        agent, announcement.m_failure_domain};
    found->second.m_is_announced = true;
    found->second.m_updated_at = now;
}

auto worker_directory::update(time_point now, node_id agent,
                              worker_load const& load) -> void
{
    auto const found = m_workers.find(agent);
    if (found == m_workers.end())
        return;
    auto& worker = found->second;
    worker.m_load = load;
    worker.m_updated_at = now;
    while (!worker.m_unreported.empty() &&
           worker.m_unreported.front().m_order <= load.m_last_order)
        worker.m_unreported.pop_front();
}

auto worker_directory::next_order(node_id agent) -> std::uint64_t
{
    return ++m_workers.at(agent).m_last_order;
}

auto worker_directory::add_order(node_id agent, std::uint64_t order,
                                 resources const& needs, duration expected,
                                 std::optional<queue_key> queue) -> void
{
    m_workers.at(agent).m_unreported.push_back({order, needs, expected, queue});
}

auto worker_directory::remove_order(node_id agent, std::uint64_t order) -> void
{
    auto& unreported = m_workers.at(agent).m_unreported;
    while (!unreported.empty() && unreported.back().m_order == order)
        unreported.pop_back();
}

auto worker_directory::mark_full(node_id agent) -> void
{
    if (auto const found = m_workers.find(agent); found != m_workers.end())
        found->second.m_load.m_free = {};
}

auto worker_directory::is_evacuated(worker_state const& worker) const -> bool
{
    return worker.m_is_announced &&
           m_evacuations.contains(worker.m_announcement.m_failure_domain);
}

auto worker_directory::is_usable(time_point now,
                                 worker_state const& worker) const -> bool
{
    return is_accepting(worker) && now - worker.m_updated_at < load_timeout;
}

auto worker_directory::is_accepting(worker_state const& worker) const -> bool
{
    return worker.m_is_announced &&
           worker.m_load.m_accepts != acceptance::none && !is_evacuated(worker);
}

auto worker_directory::is_accepting(node_id agent) const -> bool
{
    auto const found = m_workers.find(agent);
    return found != m_workers.end() && is_accepting(found->second);
}

auto worker_directory::contact(time_point now) const -> worker_contact
{
    if (has_any_usable(now))
        return worker_contact::usable;
    auto known = std::size_t{0};
    auto evacuated = std::size_t{0};
    for (auto const& [agent, worker] : m_workers)
    {
        if (is_accepting(worker))
            return worker_contact::silent;
        known += worker.m_is_announced ? 1 : 0;
        evacuated += is_evacuated(worker) ? 1 : 0;
    }
    return known != 0 && known == evacuated ? worker_contact::evacuated
                                            : worker_contact::departed;
}

auto worker_directory::choose(time_point now, placement_request const& request,
                              random_source& random) const
    -> std::optional<placement_choice>
{
    auto found = candidates(now, request, acceptance::trial);
    if (found.empty())
        return std::nullopt;
    auto const best = std::ranges::min(found, {}, &placement_choice::m_cost);
    auto const has_room = [&](placement_choice const& each)
    {
        return each.m_room != 0 &&
               each.m_cost <= best.m_cost + request.m_expected;
    };
    auto const fraction = random.fraction();
    if (std::ranges::none_of(found, has_room))
        return draw(found, request.m_expected, full_cost_scale, fraction);
    std::erase_if(found, std::not_fn(has_room));
    auto const choice = draw(found, request.m_expected, cost_scale, fraction);
    if (!m_interference || m_interference->pairs() == 0)
        return choice;
    add_interference(request, found);
    auto separated = draw(found, request.m_expected, cost_scale, fraction);
    // Admission must not refuse a job because its tasks are separated, so the
    // forecast stays that of the choice without separation.
    separated.m_run = choice.m_run;
    return separated;
}

auto worker_directory::add_interference(
    placement_request const& request, std::span<placement_choice> choices) const
    -> void
{
    for (auto& each : choices)
    {
        auto const& worker = m_workers.at(each.m_agent);
        auto beside =
            worker.m_load.m_running.value_or(std::vector<queue_count>{});
        for (auto const& run : worker.m_unreported)
            if (run.m_queue)
                beside.push_back({*run.m_queue, 1});
        each.m_cost +=
            m_interference->cost(request.m_queue, request.m_expected, beside);
    }
}

auto worker_directory::soonest_available(time_point now,
                                         placement_request const& request,
                                         std::size_t count,
                                         random_source& random) const
    -> std::vector<placement_choice>
{
    auto found = candidates(now, request, acceptance::full);
    // All entries list the agents in the same order. Rotating the list by a
    // random offset keeps them from choosing the same agents at equal costs.
    auto const first = found.empty() ? 0 : random.number() % found.size();
    // clang's analysis can't compile `std::ranges::rotate` of this library.
    std::rotate(found.begin(),
                found.begin() + static_cast<std::ptrdiff_t>(first),
                found.end());
    std::ranges::stable_sort(found, {}, &placement_choice::m_cost);
    found.resize(std::min(found.size(), count));
    std::ranges::stable_sort(found, {}, &placement_choice::m_wait);
    return found;
}

auto worker_directory::candidates(time_point now,
                                  placement_request const& request,
                                  acceptance min_acceptance) const
    -> std::vector<placement_choice>
{
    auto found = std::vector<placement_choice>{};
    for (auto const& [agent, worker] : m_workers)
    {
        if (!can_run(now, agent, worker, request) ||
            worker.m_load.m_accepts < min_acceptance)
            continue;
        auto choice = assess(worker, request);
        choice.m_agent = agent;
        found.push_back(choice);
    }
    return found;
}

auto worker_directory::draw(std::span<placement_choice const> from,
                            duration expected, double relative_scale,
                            double fraction) -> placement_choice
{
    auto const best = std::ranges::min(from, {}, &placement_choice::m_cost);
    auto const scale =
        std::max(static_cast<double>(expected.count()) * relative_scale, 1.0);
    auto weights = std::vector<double>{};
    for (auto const& each : from)
    {
        auto const excess =
            static_cast<double>((each.m_cost - best.m_cost).count());
        weights.push_back(std::max(each.m_room, std::uint32_t{1}) *
                          std::exp(-excess / scale));
    }
    auto left = fraction * std::accumulate(weights.begin(), weights.end(), 0.0);
    for (auto index = std::size_t{0}; index + 1 < from.size(); ++index)
    {
        left -= weights[index];
        if (left < 0.0)
            return from[index];
    }
    return from.back();
}

auto worker_directory::is_suitable(worker_state const& worker,
                                   std::string_view service,
                                   job_step const& step) -> bool
{
    auto const& report = worker.m_announcement.m_worker;
    return report.m_service == service &&
           report.m_capacity.fits(step.m_needs) &&
           (step.m_required_label.empty() ||
            has_label(report, step.m_required_label));
}

auto worker_directory::can_run(time_point now, node_id agent,
                               worker_state const& worker,
                               placement_request const& request) const -> bool
{
    if (!is_usable(now, worker) ||
        !is_suitable(worker, request.m_service, *request.m_step))
        return false;
    if (std::ranges::find(request.m_avoided_agents, agent) !=
        request.m_avoided_agents.end())
        return false;
    // A worker on trial gets one run at a time.
    return worker.m_load.m_accepts != acceptance::trial ||
           worker.m_unreported.empty();
}

auto worker_directory::assess(worker_state const& worker,
                              placement_request const& request) const
    -> placement_choice
{
    auto const& step = *request.m_step;
    auto const is_far =
        !step.m_data_rack.empty() &&
        !has_label(worker.m_announcement.m_worker, step.m_data_rack);
    auto const factor = worker.m_load.m_slowness_permille / 1000.0 *
                        (is_far ? m_spread_factor : 1.0);
    auto choice = placement_choice{};
    auto const room = free_room(worker);
    choice.m_room = room.fit_count(step.m_needs);
    choice.m_wait = expected_wait(worker, request, room);
    if (choice.m_wait != duration{0})
        choice.m_room = 0;
    choice.m_run = scaled(request.m_expected, factor);
    choice.m_completion_interval =
        choice.m_run /
        std::max(
            worker.m_announcement.m_worker.m_capacity.fit_count(step.m_needs),
            std::uint32_t{1});
    choice.m_cost = choice.m_wait * wait_weight + choice.m_run;
    return choice;
}

auto worker_directory::free_room(worker_state const& worker) -> resources
{
    auto room = worker.m_load.m_free;
    for (auto const& run : worker.m_unreported)
        room -= run.m_needs;
    return room;
}

auto worker_directory::expected_wait(worker_state const& worker,
                                     placement_request const& request,
                                     resources const& room) -> duration
{
    auto wait = duration{0};
    for (auto const& each : worker.m_load.m_waits)
        if (each.m_rank <= request.m_rank)
            wait = std::chrono::milliseconds{each.m_wait_ms};
    if (wait == duration{0} && room.fits(request.m_step->m_needs))
        return duration{0};
    // Work ordered since the last load, in millicores times microseconds.
    auto unreported = 0.0;
    for (auto const& run : worker.m_unreported)
        unreported += run.m_needs.m_millicores *
                      static_cast<double>(run.m_expected.count());
    auto const cores =
        std::max(worker.m_announcement.m_worker.m_capacity.m_millicores,
                 std::uint32_t{1});
    // Without room there is some wait even if the load shows none.
    constexpr auto min_wait = duration{1'000};
    return std::max(wait, min_wait) +
           duration{static_cast<duration::rep>(unreported / cores)};
}

auto worker_directory::is_usable(time_point now, node_id agent) const -> bool
{
    auto const found = m_workers.find(agent);
    return found != m_workers.end() && is_usable(now, found->second);
}

auto worker_directory::has_usable(time_point now,
                                  std::string_view service) const -> bool
{
    return std::ranges::any_of(
        m_workers,
        [&](auto const& each)
        {
            return is_usable(now, each.second) &&
                   each.second.m_announcement.m_worker.m_service == service;
        });
}

auto worker_directory::has_any_usable(time_point now) const -> bool
{
    return std::ranges::any_of(m_workers,
                               [&](auto const& each)
                               {
                                   return is_usable(now, each.second);
                               });
}

auto worker_directory::is_evacuated(node_id agent) const -> bool
{
    auto const found = m_workers.find(agent);
    return found != m_workers.end() && is_evacuated(found->second);
}

auto worker_directory::requires_evacuated(std::string_view service,
                                          job_step const& step) const -> bool
{
    if (m_evacuations.m_failure_domains.empty())
        return false;
    auto has_evacuated = false;
    for (auto const& [agent, worker] : m_workers)
    {
        if (!worker.m_is_announced ||
            !worker.m_announcement.m_worker.m_is_accepting ||
            !is_suitable(worker, service, step))
            continue;
        if (!is_evacuated(worker))
            return false;
        has_evacuated = true;
    }
    return has_evacuated;
}

auto worker_directory::free_share(time_point now) const -> double
{
    auto free = 0.0;
    auto capacity = 0.0;
    for (auto const& [agent, worker] : m_workers)
    {
        if (!is_usable(now, worker))
            continue;
        free += free_room(worker).m_millicores;
        capacity += worker.m_announcement.m_worker.m_capacity.m_millicores;
    }
    return capacity == 0.0 ? 0.0 : free / capacity;
}

auto worker_directory::slowness(node_id agent) const -> double
{
    auto const found = m_workers.find(agent);
    return found == m_workers.end()
               ? 1.0
               : found->second.m_load.m_slowness_permille / 1000.0;
}

auto worker_directory::last_order(node_id agent) const -> std::uint64_t
{
    auto const found = m_workers.find(agent);
    return found == m_workers.end() ? 0 : found->second.m_last_order;
}

auto worker_directory::is_connected(node_id agent) const -> bool
{
    return m_workers.contains(agent);
}

auto worker_directory::connected_agents() const -> std::vector<node_id>
{
    auto agents = std::vector<node_id>{};
    for (auto const& [agent, worker] : m_workers)
        agents.push_back(agent);
    return agents;
}

auto worker_directory::worker_name(node_id agent) const -> std::string_view
{
    auto const found = m_workers.find(agent);
    return found == m_workers.end()
               ? std::string_view{}
               : std::string_view{found->second.m_announcement.m_worker.m_name};
}

auto worker_directory::load_age(time_point now, node_id agent) const -> duration
{
    auto const found = m_workers.find(agent);
    return found == m_workers.end() ? duration{0}
                                    : now - found->second.m_updated_at;
}

auto worker_directory::size() const -> std::size_t
{
    return m_workers.size();
}

auto worker_directory::claim_agent(time_point now, std::string_view job_id,
                                   std::string_view failure_domain) const
    -> claim_location
{
    auto best =
        std::tuple{false, std::uint64_t{0}, std::string_view{}, no_node};
    for (auto const& [worker, known] : m_claim_agents)
        if (known.m_disconnected_at == never ||
            now - known.m_disconnected_at < claim_retention)
            best = std::max(best, {known.m_failure_domain == failure_domain,
                                   stable_hash(job_id, worker),
                                   std::string_view{worker}, known.m_agent});
    return {std::get<2>(best), std::get<3>(best)};
}

} // namespace hickorylatch::core
