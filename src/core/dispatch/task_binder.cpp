#include "core/dispatch/task_binder.hpp"

#include <algorithm>
#include <functional>
#include <utility>

namespace hickorylatch::core
{

namespace
{

/// Items tried for an agent before it is left idle: a small task may pass a
/// large one that does not fit.
constexpr auto tried_items = std::size_t{8};
/// Agents tried for a task.
constexpr auto tried_agents = std::size_t{16};
/// A task that has waited this long for room is passed by no other.
constexpr auto longest_passing = duration{2'000'000};

} // namespace

task_binder::task_binder(work_ledger& ledger) : m_ledger{&ledger}
{
}

auto task_binder::bind_next(time_point now) -> std::optional<placement>
{
    if (auto bound = bind_trial(now))
        return bound;
    auto& agents = m_ledger->ready_agents();
    while (!agents.empty())
    {
        auto const node = *agents.begin();
        if (auto* const agent = m_ledger->agents().find(node))
        {
            if (auto bound = bind_own(now, *agent))
                return bound;
        }
        agents.erase(node);
    }
    auto& services = m_ledger->ready_services();
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
    for (auto const node : m_ledger->agents().backlogged())
        sources.emplace_back(m_ledger->agents().find(node)->m_queue.size(),
                             node);
    std::ranges::sort(sources, std::greater<>{});
    auto proposed = std::vector<allotment_move>{};
    for (auto const& [size, from] : sources)
    {
        while (proposed.size() < limit)
        {
            auto const* const source = m_ledger->agents().find(from);
            if (source == nullptr)
                break;
            auto const is_usable = !source->m_health.is_on_probation();
            agent_state* target = nullptr;
            auto const* const item = source->m_queue.find(
                now, tried_items,
                [&](queued_item const& tried)
                {
                    auto const wanted = demand_of(tried.m_item);
                    if (is_usable && source->has_room(wanted))
                        return false;
                    target = find_target(wanted, *source);
                    return target != nullptr;
                });
            if (item == nullptr)
                break;
            auto const attempt = item->m_item.m_attempt;
            proposed.push_back({attempt, from, target->m_info.m_node});
            m_ledger->hold(attempt, target->m_info.m_node);
        }
    }
    return proposed;
}

auto task_binder::bind_trial(time_point now) -> std::optional<placement>
{
    for (auto const& [at, node] : m_ledger->agents().trials())
    {
        if (at > now)
            break;
        auto& agent = *m_ledger->agents().find(node);
        auto const* item = next_own(now, agent);
        if (item == nullptr)
            item = m_ledger->service(agent.m_info.m_service)
                       .m_queue.least_urgent();
        if (item != nullptr && agent.has_room(demand_of(item->m_item)))
            return bind(now, item->m_item.m_attempt, agent);
    }
    return std::nullopt;
}

auto task_binder::bind_own(time_point now, agent_state& agent)
    -> std::optional<placement>
{
    if (agent.m_health.is_on_probation())
        return std::nullopt;
    auto const* const item = next_own(now, agent);
    if (item == nullptr)
        return std::nullopt;
    return bind(now, item->m_item.m_attempt, agent);
}

auto task_binder::bind_shared(time_point now, std::string const& name)
    -> std::optional<placement>
{
    auto const& service = m_ledger->service(name);
    if (service.m_queue.size() == 0 ||
        m_ledger->agents().of(name).m_free.empty())
        return std::nullopt;
    agent_state* agent = nullptr;
    auto const* item =
        service.m_queue.find(now, tried_items,
                             [&](queued_item const& tried)
                             {
                                 agent =
                                     find_free(name, demand_of(tried.m_item));
                                 return agent != nullptr;
                             });
    if (item == nullptr)
        return std::nullopt;
    if (agent->m_health.is_straggler())
    {
        // Urgent work rather waits a moment for a normal agent.
        item = service.m_queue.least_urgent();
        if (!agent->has_room(demand_of(item->m_item)) ||
            !is_worth_straggler(service, *agent, *item))
            return std::nullopt;
    }
    return bind(now, item->m_item.m_attempt, *agent);
}

auto task_binder::next_own(time_point now, agent_state const& agent) const
    -> queued_item const*
{
    auto const fits = [&agent](queued_item const& item)
    {
        return agent.has_room(demand_of(item.m_item));
    };
    auto const* const first = agent.m_queue.front(now);
    if (first == nullptr || !agent.is_open())
        return nullptr;
    if (now - first->m_arrived > longest_passing)
        return fits(*first) ? first : nullptr;
    return agent.m_queue.find(now, tried_items, fits);
}

auto task_binder::find_free(std::string const& service,
                            demand const& wanted) const -> agent_state*
{
    auto tried = std::size_t{0};
    for (auto const& key : m_ledger->agents().of(service).m_free)
    {
        if (tried++ == tried_agents)
            return nullptr;
        auto* const agent = m_ledger->agents().find(std::get<node_id>(key));
        if (agent->has_room(wanted))
            return agent;
    }
    return nullptr;
}

auto task_binder::is_worth_straggler(service_state const& service,
                                     agent_state const& agent,
                                     queued_item const& item) const -> bool
{
    auto const factor = agent.m_health.factor();
    auto const& agents = m_ledger->agents().of(agent.m_info.m_service);
    auto const other_slots = static_cast<double>(agents.m_capacity) / 1000 -
                             agent.m_info.m_slots / factor;
    if (other_slots < 1)
        return true;
    auto const wait = static_cast<double>(service.m_times.mean().count()) *
                      static_cast<double>(service.m_queue.size()) / other_slots;
    auto const longer = static_cast<double>(item.m_cost.count()) * (factor - 1);
    return wait > longer;
}

auto task_binder::find_target(demand const& wanted,
                              agent_state const& from) const -> agent_state*
{
    auto tried = std::size_t{0};
    for (auto const& key : m_ledger->agents().of(from.m_info.m_service).m_free)
    {
        if (tried++ == tried_agents)
            return nullptr;
        auto* const agent = m_ledger->agents().find(std::get<node_id>(key));
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
    agent.m_health.bound();
    agent.m_last_bound = ++m_bindings;
    m_ledger->start(now, attempt, agent);
    return {attempt, agent.m_info.m_node};
}

} // namespace hickorylatch::core
