#include "core/dispatcher.hpp"

#include <algorithm>

namespace hickorylatch::core
{

auto dispatcher::add_agent(time_point, agent_info const& agent,
                           std::span<attempt_id const> running) -> void
{
    auto& state = m_agents[agent.m_node];
    state.m_info = agent;
    for (auto const attempt : running)
    {
        if (m_running.contains(attempt))
            continue;
        auto item = work_item{};
        item.m_attempt = attempt;
        item.m_service = agent.m_service;
        m_running.emplace(attempt, std::pair{agent.m_node, item});
        ++state.m_used_slots;
        state.m_used_cores += item.m_cores;
    }
}

auto dispatcher::remove_agent(node_id agent) -> std::vector<attempt_id>
{
    auto lost = std::vector<attempt_id>{};
    for (auto const& [attempt, place] : m_running)
    {
        if (place.first == agent)
            lost.push_back(attempt);
    }
    for (auto const attempt : lost)
        m_running.erase(attempt);
    m_agents.erase(agent);
    std::ranges::sort(lost);
    return lost;
}

auto dispatcher::set_leaving(node_id agent, bool leaving) -> void
{
    if (auto const found = m_agents.find(agent); found != m_agents.end())
        found->second.m_info.m_leaving = leaving;
}

auto dispatcher::apply(configuration const& config) -> void
{
    m_drained = config.m_drained;
    m_limits.clear();
    for (auto const& service : config.m_services)
        m_limits[service.m_name] = service.m_queue_limit;
}

auto dispatcher::enqueue(time_point, work_item item) -> std::optional<verdict>
{
    auto const limit = m_limits.find(item.m_service);
    if (limit != m_limits.end() && queued(item.m_service) >= limit->second)
        return refused(reason::queue_full, {}, 1000);
    auto& line = m_queue[item.m_priority];
    line.push_back(std::move(item));
    return std::nullopt;
}

auto dispatcher::allot(std::span<task const> tasks) -> std::vector<node_id>
{
    auto chosen = std::vector<node_id>{};
    for (auto const& wanted : tasks)
    {
        agent_state* best = nullptr;
        for (auto& [node, state] : m_agents)
        {
            auto const& info = state.m_info;
            if (info.m_service != worker_service || info.m_leaving ||
                info.m_cores < wanted.m_cores ||
                info.m_memory_mb < wanted.m_memory_mb ||
                info.m_accelerators < wanted.m_accelerators)
                continue;
            if (best == nullptr || state.m_allotted < best->m_allotted)
                best = &state;
        }
        if (best == nullptr)
            return {};
        ++best->m_allotted;
        chosen.push_back(best->m_info.m_node);
    }
    return chosen;
}

auto dispatcher::next(time_point) -> std::optional<placement>
{
    for (auto& [level, line] : m_queue)
    {
        for (auto item = line.begin(); item != line.end(); ++item)
        {
            auto* const agent = choose_agent(*item);
            if (agent == nullptr)
                continue;
            ++agent->m_used_slots;
            agent->m_used_cores += item->m_cores;
            agent->m_used_memory_mb += item->m_memory_mb;
            agent->m_used_accelerators += item->m_accelerators;
            auto const node = agent->m_info.m_node;
            auto const attempt = item->m_attempt;
            m_running.emplace(attempt, std::pair{node, std::move(*item)});
            line.erase(item);
            return placement{attempt, node};
        }
    }
    return std::nullopt;
}

auto dispatcher::finish(time_point, attempt_id attempt, attempt_outcome) -> void
{
    auto const found = m_running.find(attempt);
    if (found == m_running.end())
        return;
    auto const& [node, item] = found->second;
    if (auto const agent = m_agents.find(node); agent != m_agents.end())
    {
        --agent->second.m_used_slots;
        agent->second.m_used_cores -= item.m_cores;
        agent->second.m_used_memory_mb -= item.m_memory_mb;
        agent->second.m_used_accelerators -= item.m_accelerators;
    }
    m_running.erase(found);
}

auto dispatcher::withdraw(attempt_id attempt) -> bool
{
    for (auto& [level, line] : m_queue)
    {
        auto const found =
            std::ranges::find(line, attempt, &work_item::m_attempt);
        if (found == line.end())
            continue;
        line.erase(found);
        return true;
    }
    return false;
}

auto dispatcher::expire(time_point now) -> std::vector<attempt_id>
{
    auto expired = std::vector<attempt_id>{};
    for (auto& [level, line] : m_queue)
    {
        std::erase_if(line,
                      [&](work_item const& item)
                      {
                          if (item.m_deadline > now)
                              return false;
                          expired.push_back(item.m_attempt);
                          return true;
                      });
    }
    return expired;
}

auto dispatcher::has_agent(node_id agent) const -> bool
{
    return m_agents.contains(agent);
}

auto dispatcher::queued(std::string_view service) const -> std::size_t
{
    auto total = std::size_t{0};
    for (auto const& [level, line] : m_queue)
        total += static_cast<std::size_t>(
            std::ranges::count(line, service, &work_item::m_service));
    return total;
}

auto dispatcher::running(std::string_view service) const -> std::size_t
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_running,
        [service](auto const& entry)
        {
            return entry.second.second.m_service == service;
        }));
}

auto dispatcher::has_room(agent_state const& agent, work_item const& item) const
    -> bool
{
    auto const& info = agent.m_info;
    if (info.m_leaving || info.m_service != item.m_service ||
        agent.m_used_slots >= info.m_slots ||
        std::ranges::find(m_drained, info.m_name) != m_drained.end())
        return false;
    if (info.m_kind == agent_kind::endpoint)
        return true;
    return agent.m_used_cores + item.m_cores <= info.m_cores &&
           agent.m_used_memory_mb + item.m_memory_mb <= info.m_memory_mb &&
           agent.m_used_accelerators + item.m_accelerators <=
               info.m_accelerators;
}

auto dispatcher::choose_agent(work_item const& item) -> agent_state*
{
    agent_state* best = nullptr;
    for (auto& [node, state] : m_agents)
    {
        if (item.m_allotted != no_node && item.m_allotted != node)
            continue;
        if (!has_room(state, item))
            continue;
        if (best == nullptr || state.m_used_slots < best->m_used_slots)
            best = &state;
    }
    return best;
}

} // namespace hickorylatch::core
