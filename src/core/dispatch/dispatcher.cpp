#include "core/dispatch/dispatcher.hpp"

#include "core/dispatch/placement_policy.hpp"

#include <algorithm>
#include <utility>

namespace hickorylatch::core
{

dispatcher::dispatcher()
    : m_ledger{std::make_unique<work_ledger>()},
      m_admission{*m_ledger}, m_binder{*m_ledger}
{
}

auto dispatcher::add_agent(time_point now, agent_info const& info,
                           std::span<attempt_id const> running) -> void
{
    auto& agent = m_ledger->agents().add(info);
    for (auto const attempt : running)
    {
        if (m_ledger->is_running(attempt))
            continue;
        agent.m_health.bound();
        if (m_ledger->is_queued(attempt))
            m_ledger->start(now, attempt, agent);
        else
            m_ledger->add_unknown(now, attempt, agent);
    }
    m_ledger->agents().refresh(agent);
    m_ledger->mark_ready(agent);
}

auto dispatcher::remove_agent(node_id node) -> std::vector<attempt_id>
{
    auto lost = m_ledger->running_at(node);
    for (auto const attempt : lost)
    {
        m_ledger->stop(attempt);
        if (auto* const agent = m_ledger->agents().find(node))
            agent->m_health.released();
    }
    m_ledger->agents().remove(node);
    return lost;
}

auto dispatcher::set_leaving(node_id node, bool leaving) -> void
{
    auto* const agent = m_ledger->agents().find(node);
    if (agent == nullptr)
        return;
    agent->m_info.m_leaving = leaving;
    m_ledger->agents().refresh(*agent);
    m_ledger->mark_ready(*agent);
}

auto dispatcher::apply(configuration const& config) -> void
{
    m_ledger->apply(config);
}

auto dispatcher::report_usage(node_id node, std::uint32_t used_millicores,
                              std::uint32_t used_memory_mb) -> void
{
    auto* const agent = m_ledger->agents().find(node);
    if (agent == nullptr)
        return;
    agent->report_usage(used_millicores, used_memory_mb);
    m_ledger->agents().refresh(*agent);
    m_ledger->mark_ready(*agent);
}

auto dispatcher::enqueue(time_point now, work_item item)
    -> std::optional<verdict>
{
    return enqueue(now, std::move(item), nullptr);
}

auto dispatcher::enqueue(time_point now, work_item item,
                         std::vector<attempt_id>& displaced)
    -> std::optional<verdict>
{
    return enqueue(now, std::move(item), &displaced);
}

auto dispatcher::check(std::string_view customer,
                       std::span<task const> tasks) const
    -> std::optional<verdict>
{
    return m_admission.check(customer, tasks);
}

auto dispatcher::allot(std::span<task const> tasks) -> std::vector<node_id>
{
    auto policy = placement_policy{m_ledger->agents()};
    auto chosen = std::vector<node_id>{};
    chosen.reserve(tasks.size());
    for (auto const& wanted : tasks)
    {
        auto const node = policy.place(demand_of(wanted));
        if (node == no_node)
        {
            release(tasks, chosen);
            return {};
        }
        chosen.push_back(node);
    }
    return chosen;
}

auto dispatcher::release(std::span<task const> tasks,
                         std::span<node_id const> agents) -> void
{
    auto const count = std::min(tasks.size(), agents.size());
    for (auto at = std::size_t{0}; at < count; ++at)
    {
        auto* const agent = m_ledger->agents().find(agents[at]);
        if (agent == nullptr)
            continue;
        agent->m_pending -= demand_of(tasks[at]);
        m_ledger->agents().refresh(*agent);
    }
}

auto dispatcher::moves(time_point now, std::size_t limit)
    -> std::vector<allotment_move>
{
    return m_binder.propose_moves(now, limit);
}

auto dispatcher::reassign(attempt_id attempt, node_id agent) -> bool
{
    return m_ledger->reassign(attempt, agent);
}

auto dispatcher::bind_ahead(duration lead) -> void
{
    m_ledger->predict_ends(lead);
}

auto dispatcher::next(time_point now) -> std::optional<placement>
{
    m_ledger->mark_ending(now);
    return m_binder.bind_next(now);
}

auto dispatcher::finish(time_point now, attempt_id attempt,
                        attempt_outcome outcome, duration run_time) -> void
{
    auto const done = m_ledger->stop(attempt);
    if (!done)
        return;
    record_run(now, *done, outcome, run_time);
    if (auto* const agent = m_ledger->agents().find(done->m_agent))
        m_ledger->agents().refresh(*agent);
}

auto dispatcher::withdraw(attempt_id attempt) -> bool
{
    return m_ledger->drop(attempt);
}

auto dispatcher::expire(time_point now) -> std::vector<attempt_id>
{
    auto expired = std::vector<attempt_id>{};
    while (true)
    {
        auto const [at, attempt] = m_ledger->next_expiry();
        if (at == never || at > now)
            return expired;
        m_ledger->drop(attempt);
        expired.push_back(attempt);
    }
}

auto dispatcher::wake_at(time_point now) const -> time_point
{
    auto const earliest =
        std::min(m_ledger->next_expiry().first, m_ledger->next_ending());
    auto const& agents = std::as_const(*m_ledger).agents();
    for (auto const& [at, node] : agents.trials())
    {
        if (at >= earliest)
            break;
        if (at <= now)
            continue;
        auto const& agent = *agents.find(node);
        auto const* const service =
            m_ledger->find_service(agent.m_info.m_service);
        if (agent.m_queue.size() > 0 ||
            (service != nullptr && service->m_queue.size() > 0))
            return at;
    }
    return earliest;
}

auto dispatcher::has_agent(node_id node) const -> bool
{
    auto const* const agent = m_ledger->agents().find(node);
    return agent != nullptr && agent->m_is_present;
}

auto dispatcher::queued(std::string_view service) const -> std::size_t
{
    auto const* const found = m_ledger->find_service(service);
    return found == nullptr ? 0 : found->m_queued;
}

auto dispatcher::running(std::string_view service) const -> std::size_t
{
    auto const* const found = m_ledger->find_service(service);
    return found == nullptr ? 0 : found->m_running;
}

auto dispatcher::is_on_probation(node_id node) const -> bool
{
    auto const* const agent = m_ledger->agents().find(node);
    return agent != nullptr && agent->m_health.is_on_probation();
}

auto dispatcher::enqueue(time_point now, work_item item,
                         std::vector<attempt_id>* displaced)
    -> std::optional<verdict>
{
    if (m_ledger->is_queued(item.m_attempt))
        return std::nullopt;
    if (item.m_allotted != no_node || m_ledger->is_running(item.m_attempt))
    {
        queue(now, std::move(item));
        return std::nullopt;
    }
    if (auto refusal = m_admission.check(now, item))
        return refusal;
    if (m_admission.is_full(item.m_service))
    {
        auto const* const victim =
            displaced == nullptr
                ? nullptr
                : m_admission.dispensable(item.m_service, item.m_priority);
        if (victim == nullptr)
            return refused(reason::queue_full, {},
                           m_admission.retry_after(item.m_service));
        displaced->push_back(victim->m_item.m_attempt);
        m_ledger->drop(displaced->back());
    }
    queue(now, std::move(item));
    return std::nullopt;
}

auto dispatcher::queue(time_point now, work_item item) -> void
{
    // Charged to a customer while no run time is known.
    constexpr auto unknown_cost = duration{100'000};
    if (auto* const agent = m_ledger->agents().find(item.m_allotted))
    {
        agent->m_pending -= demand_of(item);
        m_ledger->agents().refresh(*agent);
    }
    if (m_ledger->is_running(item.m_attempt))
    {
        m_ledger->identify(std::move(item));
        return;
    }
    auto const& times = m_ledger->service(item.m_service).m_times;
    auto latest = item.m_deadline;
    if (latest != never)
        latest -= times.margin(item.m_run_time, latest - now);
    auto const cost = times.expected(item.m_run_time);
    m_ledger->add({std::move(item), now, latest,
                   cost > duration{0} ? cost : unknown_cost, 0});
}

auto dispatcher::record_run(time_point now, running_item const& done,
                            attempt_outcome outcome, duration run_time) -> void
{
    auto* const agent = m_ledger->agents().find(done.m_agent);
    auto& service = m_ledger->service(done.m_item.m_service);
    // Failures count neither as run times nor as speed: an agent that fails
    // everything at once would look the fastest.
    if (outcome == attempt_outcome::succeeded && done.m_is_known)
    {
        auto const actual =
            run_time > duration{0} ? run_time : now - done.m_started_at;
        auto const declared = done.m_item.m_run_time;
        if (agent != nullptr && service.m_times.is_warm())
        {
            auto const expected =
                std::max(service.m_times.expected(declared), duration{1});
            auto const factor = static_cast<double>(actual.count()) /
                                static_cast<double>(expected.count());
            // Faster than the mean of an agent of ten, see agent_health.
            constexpr auto weight = 1.0 / 128;
            service.m_factor +=
                (agent_health::limited(factor) - service.m_factor) * weight;
            agent->m_health.observe_factor(now, factor / service.m_factor);
        }
        service.m_times.observe(declared, actual);
        service.m_queue.charge(done.m_item.m_priority, done.m_item.m_customer,
                               actual - done.m_cost);
    }
    if (agent == nullptr)
        return;
    if (outcome == attempt_outcome::succeeded)
        agent->m_health.succeeded(now);
    else if (outcome == attempt_outcome::failed)
        agent->m_health.failed(now);
    else
        agent->m_health.released();
}

} // namespace hickorylatch::core
