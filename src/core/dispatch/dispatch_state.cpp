#include "core/dispatch/dispatch_state.hpp"

#include <algorithm>
#include <utility>

namespace hickorylatch::core
{

auto dispatch_state::add(queued_item item) -> void
{
    add_customer_task(item.m_item.m_customer);
    push(std::move(item));
}

auto dispatch_state::remove(attempt_id attempt) -> bool
{
    auto const item = extract(attempt);
    if (!item)
        return false;
    remove_customer_task(item->m_item.m_customer);
    return true;
}

auto dispatch_state::hold_for_move(attempt_id attempt, node_id to) -> void
{
    auto item = extract(attempt);
    if (!item)
        return;
    if (auto* const target = m_agents.find(to))
    {
        target->m_pending += demand_of(item->m_item);
        m_agents.reindex(*target);
    }
    track(*item);
    m_held.emplace(attempt, held_item{std::move(*item), to});
}

auto dispatch_state::reassign(attempt_id attempt, node_id agent) -> bool
{
    auto item = extract(attempt);
    if (!item)
        return false;
    item->m_item.m_allotted = agent;
    push(std::move(*item));
    return true;
}

auto dispatch_state::start(time_point now, attempt_id attempt,
                           agent_state& agent) -> void
{
    auto item = extract(attempt, now);
    if (!item)
        return;
    auto started = running_item{};
    started.m_agent = agent.m_info.m_node;
    started.m_started_at = now;
    started.m_cost = item->m_cost;
    started.m_item = std::move(item->m_item);
    auto const predicted =
        service(started.m_item.m_service)
            .m_run_times.predicted(started.m_item.m_run_time);
    if (m_prediction_lead && predicted > duration{0} &&
        agent.m_info.m_kind == agent_kind::endpoint)
    {
        // A task that is bound early starts when the slot becomes free.
        auto const is_ahead = agent.m_running.m_tasks >= agent.m_info.m_slots;
        auto const start = std::max(now + started.m_item.m_commit_delay,
                                    is_ahead ? agent.m_next_free_at : now);
        started.m_predicted_end = start + predicted - *m_prediction_lead;
    }
    add_running(std::move(started));
}

auto dispatch_state::add_unknown(time_point now, attempt_id attempt,
                                 agent_state& agent) -> void
{
    auto item = work_item{};
    item.m_attempt = attempt;
    item.m_service = agent.m_info.m_service;
    add_customer_task(item.m_customer);
    auto announced = running_item{};
    announced.m_agent = agent.m_info.m_node;
    announced.m_item = std::move(item);
    announced.m_started_at = now;
    announced.m_is_known = false;
    add_running(std::move(announced));
}

auto dispatch_state::identify(work_item item) -> void
{
    auto const found = m_running.find(item.m_attempt);
    if (found == m_running.end() || found->second.m_is_known)
        return;
    auto known = *remove_running(item.m_attempt);
    known.m_item = std::move(item);
    known.m_is_known = true;
    add_customer_task(known.m_item.m_customer);
    add_running(std::move(known));
}

auto dispatch_state::remove_running(attempt_id attempt)
    -> std::optional<running_item>
{
    auto const found = m_running.find(attempt);
    if (found == m_running.end())
        return std::nullopt;
    auto item = std::move(found->second);
    m_running.erase(found);
    m_running_by_agent.erase(std::pair{item.m_agent, attempt});
    m_predicted_ends.erase(std::pair{item.m_predicted_end, attempt});
    --service(item.m_item.m_service).m_running;
    remove_customer_task(item.m_item.m_customer);
    if (auto* const agent = m_agents.find(item.m_agent))
    {
        agent->m_running -= demand_of(item.m_item);
        agent->m_ending -= item.m_is_ending ? 1 : 0;
        m_agents.reindex(*agent);
        mark_ready(*agent);
    }
    return item;
}

auto dispatch_state::apply(configuration const& config) -> void
{
    for (auto& [name, state] : m_services)
        state.m_queue_limit.reset();
    for (auto const& configured : config.m_services)
        service(configured.m_name).m_queue_limit = configured.m_queue_limit;
    for (auto& [name, usage] : m_customers)
        usage.m_quota = 0;
    for (auto const& configured : config.m_customers)
        m_customers[configured.m_name].m_quota = configured.m_quota;
    std::erase_if(m_customers,
                  [](auto const& entry)
                  {
                      return entry.second.m_tasks == 0 &&
                             entry.second.m_quota == 0;
                  });
    m_agents.set_drained(config.m_drained);
    mark_all_ready();
}

auto dispatch_state::apply(evacuations const& evacuated) -> void
{
    m_agents.set_evacuated(evacuated);
    mark_all_ready();
}

auto dispatch_state::mark_all_ready() -> void
{
    for (auto const& [name, state] : m_services)
        m_ready_services.insert(name);
    m_ready_agents = m_agents.backlogged();
}

auto dispatch_state::set_prediction_lead(duration lead) -> void
{
    m_prediction_lead = lead;
}

auto dispatch_state::mark_ending(time_point now) -> void
{
    while (!m_predicted_ends.empty() && m_predicted_ends.begin()->first <= now)
    {
        auto const [end, attempt] = *m_predicted_ends.begin();
        auto& item = m_running.at(attempt);
        m_predicted_ends.erase(m_predicted_ends.begin());
        item.m_predicted_end = never;
        auto* const agent = m_agents.find(item.m_agent);
        if (agent == nullptr)
            continue;
        item.m_is_ending = true;
        ++agent->m_ending;
        agent->m_next_free_at = end + *m_prediction_lead;
        m_agents.reindex(*agent);
        mark_ready(*agent);
    }
}

auto dispatch_state::mark_ready(agent_state const& agent) -> void
{
    m_ready_services.insert(agent.m_info.m_service);
    if (agent.m_queue.size() > 0)
        m_ready_agents.insert(agent.m_info.m_node);
}

auto dispatch_state::is_queued(attempt_id attempt) const -> bool
{
    return m_locations.contains(attempt);
}

auto dispatch_state::is_running(attempt_id attempt) const -> bool
{
    return m_running.contains(attempt);
}

auto dispatch_state::running_at(node_id agent) const -> std::vector<attempt_id>
{
    auto found = std::vector<attempt_id>{};
    for (auto at = m_running_by_agent.lower_bound({agent, attempt_id{}});
         at != m_running_by_agent.end() && at->first == agent; ++at)
        found.push_back(at->second);
    return found;
}

auto dispatch_state::next_expiry() const -> std::pair<time_point, attempt_id>
{
    return m_expiries.empty() ? std::pair{never, attempt_id{}}
                              : *m_expiries.begin();
}

auto dispatch_state::next_predicted_end() const -> time_point
{
    return m_predicted_ends.empty() ? never : m_predicted_ends.begin()->first;
}

auto dispatch_state::customer(std::string_view name) const -> customer_usage
{
    auto const found = m_customers.find(name);
    return found == m_customers.end() ? customer_usage{} : found->second;
}

auto dispatch_state::service(std::string_view name) -> service_state&
{
    auto found = m_services.find(name);
    if (found == m_services.end())
        found = m_services.try_emplace(std::string{name}).first;
    return found->second;
}

auto dispatch_state::find_service(std::string_view name) const
    -> service_state const*
{
    auto const found = m_services.find(name);
    return found == m_services.end() ? nullptr : &found->second;
}

auto dispatch_state::agents() -> agent_table&
{
    return m_agents;
}

auto dispatch_state::agents() const -> agent_table const&
{
    return m_agents;
}

auto dispatch_state::ready_agents() -> std::set<node_id>&
{
    return m_ready_agents;
}

auto dispatch_state::ready_services() -> std::set<std::string, std::less<>>&
{
    return m_ready_services;
}

auto dispatch_state::push(queued_item item) -> void
{
    track(item);
    auto const node = item.m_item.m_allotted;
    if (node == no_node)
    {
        auto& state = service(item.m_item.m_service);
        m_ready_services.insert(item.m_item.m_service);
        state.m_queue.push(std::move(item));
        return;
    }
    auto& agent = m_agents.find_or_add(node, item.m_item.m_service);
    agent.m_waiting += demand_of(item.m_item);
    agent.m_queue.push(std::move(item));
    m_agents.reindex(agent);
    m_ready_agents.insert(node);
}

auto dispatch_state::track(queued_item const& item) -> void
{
    auto const attempt = item.m_item.m_attempt;
    auto& state = service(item.m_item.m_service);
    ++state.m_queued;
    m_locations.insert_or_assign(attempt,
                                 location{&state, item.m_item.m_allotted});
    if (item.m_latest_start != never)
        m_expiries.emplace(item.m_latest_start, attempt);
}

auto dispatch_state::extract(attempt_id attempt,
                             std::optional<time_point> taken_at)
    -> std::optional<queued_item>
{
    auto const extract_from = [&](service_queue& queue)
    {
        return taken_at ? queue.take(*taken_at, attempt)
                        : queue.remove(attempt);
    };
    auto const found = m_locations.find(attempt);
    if (found == m_locations.end())
        return std::nullopt;
    auto const at = found->second;
    m_locations.erase(found);
    --at.m_service->m_queued;
    auto item = std::optional<queued_item>{};
    if (auto const held = m_held.find(attempt); held != m_held.end())
    {
        item = std::move(held->second.m_item);
        if (auto* const target = m_agents.find(held->second.m_to))
        {
            target->m_pending -= demand_of(item->m_item);
            m_agents.reindex(*target);
        }
        m_held.erase(held);
    }
    else if (at.m_agent == no_node)
    {
        item = extract_from(at.m_service->m_queue);
    }
    else
    {
        auto& agent = *m_agents.find(at.m_agent);
        item = extract_from(agent.m_queue);
        agent.m_waiting -= demand_of(item->m_item);
        m_agents.reindex(agent);
        if (!agent.m_is_present && agent.m_queue.size() == 0)
            m_agents.remove(at.m_agent);
    }
    if (item->m_latest_start != never)
        m_expiries.erase(std::pair{item->m_latest_start, attempt});
    return item;
}

auto dispatch_state::add_running(running_item item) -> void
{
    auto const attempt = item.m_item.m_attempt;
    ++service(item.m_item.m_service).m_running;
    m_running_by_agent.emplace(item.m_agent, attempt);
    if (item.m_predicted_end != never)
        m_predicted_ends.emplace(item.m_predicted_end, attempt);
    if (auto* const agent = m_agents.find(item.m_agent))
    {
        agent->m_running += demand_of(item.m_item);
        m_agents.reindex(*agent);
    }
    m_running.emplace(attempt, std::move(item));
}

auto dispatch_state::add_customer_task(std::string const& name) -> void
{
    ++m_customers[name].m_tasks;
}

auto dispatch_state::remove_customer_task(std::string const& name) -> void
{
    auto const found = m_customers.find(name);
    if (found == m_customers.end())
        return;
    auto& usage = found->second;
    if (usage.m_tasks > 0)
        --usage.m_tasks;
    if (usage.m_tasks == 0 && usage.m_quota == 0)
        m_customers.erase(found);
}

} // namespace hickorylatch::core
