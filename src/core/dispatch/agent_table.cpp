#include "core/dispatch/agent_table.hpp"

#include <algorithm>

namespace hickorylatch::core
{

namespace
{

auto saturating_subtract(std::uint64_t from, std::uint64_t amount)
    -> std::uint64_t
{
    return from - std::min(from, amount);
}

auto utilization(double used, std::uint32_t capacity) -> double
{
    return capacity == 0 ? 0.0 : used / static_cast<double>(capacity);
}

/// Updates a moving average of measured over declared use.
auto update_ratio(double& ratio, double used, double declared) -> void
{
    // Reports may lag by several tasks.
    constexpr auto weight = 0.125;
    // Limits assignments to twice the declared capacity.
    constexpr auto min_ratio = 0.5;
    constexpr auto max_ratio = 10.0;
    if (declared > 0)
        ratio += (std::clamp(used / declared, min_ratio, max_ratio) - ratio) *
                 weight;
}

/// Order of preference among agents with a free slot: healthy agents first,
/// then those whose last task failed, stragglers last.
auto health_class(agent_health const& health) -> int
{
    if (health.is_straggler())
        return 2;
    return health.is_suspect() ? 1 : 0;
}

} // namespace

auto demand::operator+=(demand const& other) -> demand&
{
    m_tasks += other.m_tasks;
    m_cores += other.m_cores;
    m_memory_mb += other.m_memory_mb;
    m_accelerators += other.m_accelerators;
    return *this;
}

auto demand::operator-=(demand const& other) -> demand&
{
    m_tasks = saturating_subtract(m_tasks, other.m_tasks);
    m_cores = saturating_subtract(m_cores, other.m_cores);
    m_memory_mb = saturating_subtract(m_memory_mb, other.m_memory_mb);
    m_accelerators = saturating_subtract(m_accelerators, other.m_accelerators);
    return *this;
}

auto demand_of(work_item const& item) -> demand
{
    return {1, item.m_cores, item.m_memory_mb, item.m_accelerators};
}

auto demand_of(task const& wanted) -> demand
{
    return {1, wanted.m_cores, wanted.m_memory_mb, wanted.m_accelerators};
}

auto agent_state::is_schedulable() const -> bool
{
    return m_is_present && !m_is_drained && !m_info.m_leaving;
}

auto agent_state::fits_when_idle(demand const& wanted) const -> bool
{
    if (m_info.m_slots == 0)
        return false;
    if (m_info.m_kind == agent_kind::endpoint)
        return true;
    return wanted.m_cores <= m_info.m_cores &&
           wanted.m_memory_mb <= m_info.m_memory_mb &&
           wanted.m_accelerators <= m_info.m_accelerators;
}

auto agent_state::slots() const -> std::uint32_t
{
    return m_info.m_slots + (m_ending > 0 ? 1 : 0);
}

auto agent_state::has_room(demand const& wanted, demand const& planned) const
    -> bool
{
    auto used = m_running;
    used += planned;
    if (!is_schedulable() || used.m_tasks >= slots() || !fits_when_idle(wanted))
        return false;
    if (m_info.m_kind == agent_kind::endpoint || used.m_tasks == 0)
        return true;
    used += wanted;
    return static_cast<double>(used.m_cores) * m_core_ratio <=
               static_cast<double>(m_info.m_cores) &&
           static_cast<double>(used.m_memory_mb) * m_memory_ratio <=
               static_cast<double>(m_info.m_memory_mb) &&
           used.m_accelerators <= m_info.m_accelerators;
}

auto agent_state::report_usage(std::uint32_t used_millicores,
                               std::uint32_t used_memory_mb) -> void
{
    // Declared use may have changed since the last report; the mean of its
    // values at both reports approximates it.
    auto declared = m_running;
    declared += m_reported;
    m_reported = m_running;
    update_ratio(m_core_ratio, used_millicores / 1000.0,
                 static_cast<double>(declared.m_cores) / 2);
    update_ratio(m_memory_ratio, used_memory_mb,
                 static_cast<double>(declared.m_memory_mb) / 2);
}

auto agent_state::load(demand const& extra) const -> double
{
    auto all = m_running;
    all += m_waiting;
    all += m_pending;
    all += extra;
    auto largest =
        utilization(static_cast<double>(all.m_tasks), m_info.m_slots);
    if (m_info.m_kind == agent_kind::worker)
    {
        largest = std::max(
            {largest,
             utilization(static_cast<double>(all.m_cores) * m_core_ratio,
                         m_info.m_cores),
             utilization(static_cast<double>(all.m_memory_mb) * m_memory_ratio,
                         m_info.m_memory_mb),
             utilization(static_cast<double>(all.m_accelerators),
                         m_info.m_accelerators)});
    }
    return m_health.is_straggler() ? largest * m_health.slowdown() : largest;
}

auto agent_table::add(agent_info const& info) -> agent_state&
{
    auto& agent = find_or_add(info.m_node, info.m_service);
    auto& entry = m_agents.at(info.m_node);
    unindex(info.m_node, entry);
    entry.m_service = &m_services[info.m_service];
    agent.m_info = info;
    agent.m_is_present = true;
    agent.m_is_drained = is_drained(info);
    reindex(agent);
    return agent;
}

auto agent_table::remove(node_id node) -> void
{
    auto const found = m_agents.find(node);
    if (found == m_agents.end())
        return;
    auto& agent = found->second.m_state;
    agent.m_is_present = false;
    agent.m_running = {};
    agent.m_ending = 0;
    agent.m_pending = {};
    reindex(agent);
    if (agent.m_queue.size() > 0)
        return;
    unindex(node, found->second);
    m_agents.erase(found);
}

auto agent_table::find_or_add(node_id node, std::string_view service)
    -> agent_state&
{
    auto const [at, is_new] = m_agents.try_emplace(node);
    if (is_new)
    {
        at->second.m_state.m_info.m_node = node;
        at->second.m_state.m_info.m_service = service;
        at->second.m_service = &m_services[std::string{service}];
    }
    return at->second.m_state;
}

auto agent_table::find(node_id node) -> agent_state*
{
    auto const found = m_agents.find(node);
    return found == m_agents.end() ? nullptr : &found->second.m_state;
}

auto agent_table::find(node_id node) const -> agent_state const*
{
    auto const found = m_agents.find(node);
    return found == m_agents.end() ? nullptr : &found->second.m_state;
}

auto agent_table::reindex(agent_state& agent) -> void
{
    auto const node = agent.m_info.m_node;
    auto& entry = m_agents.at(node);
    unindex(node, entry);
    if (agent.m_queue.size() > 0)
        m_backlogged.insert(node);
    if (!agent.m_is_present)
        return;
    auto& service = *entry.m_service;
    service.m_present.insert(node);
    if (!agent.is_schedulable())
        return;
    entry.m_trial_key = agent.m_health.trial_at();
    if (entry.m_trial_key != never)
        m_trials.emplace(entry.m_trial_key, node);
    entry.m_load_key = agent.load();
    entry.m_has_load = true;
    service.m_by_load.emplace(entry.m_load_key, node);
    if (agent.m_info.m_accelerators > 0)
        service.m_accelerated_by_load.emplace(entry.m_load_key, node);
    if (agent.m_health.is_on_probation())
        return;
    entry.m_capacity =
        static_cast<std::uint64_t>(1000.0 * agent.m_info.m_slots /
                                   std::max(1.0, agent.m_health.slowdown()));
    service.m_capacity += entry.m_capacity;
    if (agent.m_running.m_tasks >= agent.slots())
        return;
    entry.m_is_free = true;
    entry.m_free_key = {health_class(agent.m_health),
                        agent.m_running.m_tasks * 1000 / agent.m_info.m_slots,
                        agent.m_last_bind_number, node};
    service.m_free.insert(entry.m_free_key);
}

auto agent_table::set_drained(std::span<std::string const> names) -> void
{
    m_drained = {names.begin(), names.end()};
    update_drained();
}

auto agent_table::set_evacuated(evacuations const& evacuated) -> void
{
    m_evacuated = evacuated;
    update_drained();
}

auto agent_table::update_drained() -> void
{
    for (auto& [node, entry] : m_agents)
    {
        entry.m_state.m_is_drained = is_drained(entry.m_state.m_info);
        reindex(entry.m_state);
    }
}

auto agent_table::agents_of(std::string_view service) const
    -> service_agents const&
{
    static auto const none = service_agents{};
    auto const found = m_services.find(service);
    return found == m_services.end() ? none : found->second;
}

auto agent_table::trials() const
    -> std::set<std::pair<time_point, node_id>> const&
{
    return m_trials;
}

auto agent_table::backlogged() const -> std::set<node_id> const&
{
    return m_backlogged;
}

auto agent_table::is_drained(agent_info const& info) const -> bool
{
    return m_drained.contains(info.m_name) ||
           m_evacuated.contains(info.m_failure_domain);
}

auto agent_table::unindex(node_id node, record& entry) -> void
{
    auto& service = *entry.m_service;
    m_backlogged.erase(node);
    service.m_present.erase(node);
    if (entry.m_trial_key != never)
        m_trials.erase(std::pair{entry.m_trial_key, node});
    if (entry.m_has_load)
    {
        service.m_by_load.erase(std::pair{entry.m_load_key, node});
        service.m_accelerated_by_load.erase(std::pair{entry.m_load_key, node});
    }
    if (entry.m_is_free)
        service.m_free.erase(entry.m_free_key);
    service.m_capacity -= entry.m_capacity;
    entry.m_trial_key = never;
    entry.m_has_load = false;
    entry.m_is_free = false;
    entry.m_capacity = 0;
}

} // namespace hickorylatch::core
