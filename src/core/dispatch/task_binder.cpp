#include "core/dispatch/task_binder.hpp"

#include <algorithm>
#include <functional>
#include <utility>

namespace hickorylatch::core
{

namespace
{

/// Items tried for an agent before it is left idle: a small task may overtake a
/// large one that does not fit.
constexpr auto max_items_tried = std::size_t{8};
/// Agents tried for a task.
constexpr auto max_agents_tried = std::size_t{16};
/// A task that has waited longer than this for room is not overtaken any more.
constexpr auto max_overtaken_wait = duration{2'000'000};

} // namespace

task_binder::task_binder(dispatch_state& state) : m_state{&state}
{
}

auto task_binder::bind_next(time_point now) -> std::optional<placement>
{
    if (auto bound = bind_trial(now))
        return bound;
    auto& agents = m_state->ready_agents();
    while (!agents.empty())
    {
        auto const node = *agents.begin();
        if (auto* const agent = m_state->agents().find(node))
        {
            if (auto bound = bind_assigned(now, *agent))
                return bound;
        }
        agents.erase(node);
    }
    auto& services = m_state->ready_services();
    while (!services.empty())
    {
        auto const name = *services.begin();
        if (auto bound = bind_shared(now, name))
            return bound;
        services.erase(name);
    }
    return std::nullopt;
}

auto task_binder::propose_moves(time_point now, std::size_t limit)
    -> std::vector<allotment_move>
{
    auto sources = std::vector<std::pair<std::size_t, node_id>>{};
    for (auto const node : m_state->agents().backlogged())
        sources.emplace_back(m_state->agents().find(node)->m_queue.size(),
                             node);
    std::ranges::sort(sources, std::greater<>{});
    auto proposed = std::vector<allotment_move>{};
    for (auto const& [size, from] : sources)
    {
        while (proposed.size() < limit)
        {
            auto const* const source = m_state->agents().find(from);
            if (source == nullptr)
                break;
            auto const is_usable = !source->m_health.is_on_probation();
            agent_state* target = nullptr;
            auto const* const item = source->m_queue.find(
                now, max_items_tried,
                [&](queued_item const& candidate)
                {
                    auto const wanted = demand_of(candidate.m_item);
                    if (is_usable && source->has_room(wanted))
                        return false;
                    target = find_move_target(wanted, *source);
                    return target != nullptr;
                });
            if (item == nullptr)
                break;
            auto const attempt = item->m_item.m_attempt;
            proposed.push_back({attempt, from, target->m_info.m_node});
            m_state->hold_for_move(attempt, target->m_info.m_node);
        }
    }
    return proposed;
}

auto task_binder::bind_trial(time_point now) -> std::optional<placement>
{
    for (auto const& [at, node] : m_state->agents().trials())
    {
        if (at > now)
            break;
        auto& agent = *m_state->agents().find(node);
        auto const* item = next_assigned(now, agent);
        if (item == nullptr)
            item =
                m_state->service(agent.m_info.m_service).m_queue.least_urgent();
        if (item != nullptr && agent.has_room(demand_of(item->m_item)))
            return bind(now, item->m_item.m_attempt, agent);
    }
    return std::nullopt;
}

auto task_binder::bind_assigned(time_point now, agent_state& agent)
    -> std::optional<placement>
{
    if (agent.m_health.is_on_probation())
        return std::nullopt;
    auto const* const item = next_assigned(now, agent);
    if (item == nullptr)
        return std::nullopt;
    return bind(now, item->m_item.m_attempt, agent);
}

auto task_binder::bind_shared(time_point now, std::string const& name)
    -> std::optional<placement>
{
    auto const& service = m_state->service(name);
    if (service.m_queue.size() == 0 ||
        m_state->agents().agents_of(name).m_free.empty())
        return std::nullopt;
    agent_state* agent = nullptr;
    auto const* item = service.m_queue.find(
        now, max_items_tried,
        [&](queued_item const& candidate)
        {
            agent = find_free_agent(name, demand_of(candidate.m_item));
            return agent != nullptr;
        });
    if (item == nullptr)
        return std::nullopt;
    if (agent->m_health.is_straggler())
    {
        // Urgent work waits for a normal agent; only the least urgent item may
        // run on a straggler.
        item = service.m_queue.least_urgent();
        if (!agent->has_room(demand_of(item->m_item)) ||
            !is_straggler_faster(service, *agent, *item))
            return std::nullopt;
    }
    return bind(now, item->m_item.m_attempt, *agent);
}

auto task_binder::next_assigned(time_point now, agent_state const& agent) const
    -> queued_item const*
{
    auto const fits = [&agent](queued_item const& item)
    {
        return agent.has_room(demand_of(item.m_item));
    };
    auto const* const first = agent.m_queue.front(now);
    if (first == nullptr || !agent.is_schedulable())
        return nullptr;
    if (now - first->m_arrived_at > max_overtaken_wait)
        return fits(*first) ? first : nullptr;
    return agent.m_queue.find(now, max_items_tried, fits);
}

auto task_binder::find_free_agent(std::string const& service,
                                  demand const& wanted) const -> agent_state*
{
    auto tried = std::size_t{0};
    for (auto const& key : m_state->agents().agents_of(service).m_free)
    {
        if (tried++ == max_agents_tried)
            return nullptr;
        auto* const agent = m_state->agents().find(std::get<node_id>(key));
        if (agent->has_room(wanted))
            return agent;
    }
    return nullptr;
}

auto task_binder::is_straggler_faster(service_state const& service,
                                      agent_state const& agent,
                                      queued_item const& item) const -> bool
{
    auto const slowdown = agent.m_health.slowdown();
    auto const& agents = m_state->agents().agents_of(agent.m_info.m_service);
    auto const other_slots = static_cast<double>(agents.m_capacity) / 1000 -
                             agent.m_info.m_slots / slowdown;
    if (other_slots < 1)
        return true;
    auto const wait = static_cast<double>(service.m_run_times.mean().count()) *
                      static_cast<double>(service.m_queue.size()) / other_slots;
    auto const longer =
        static_cast<double>(item.m_cost.count()) * (slowdown - 1);
    return wait > longer;
}

auto task_binder::find_move_target(demand const& wanted,
                                   agent_state const& from) const
    -> agent_state*
{
    auto tried = std::size_t{0};
    for (auto const& key :
         m_state->agents().agents_of(from.m_info.m_service).m_free)
    {
        if (tried++ == max_agents_tried)
            return nullptr;
        auto* const agent = m_state->agents().find(std::get<node_id>(key));
        if (agent == &from || agent->m_queue.size() > 0 ||
            agent->m_health.is_straggler())
            continue;
        if (agent->has_room(wanted, agent->m_pending))
            return agent;
    }
    return nullptr;
}

auto task_binder::bind(time_point now, attempt_id attempt, agent_state& agent)
    -> placement
{
    agent.m_health.record_binding();
    agent.m_last_bind_number = ++m_bind_count;
    m_state->start(now, attempt, agent);
    return {attempt, agent.m_info.m_node};
}

} // namespace hickorylatch::core
