#include "core/dispatch/dispatcher.hpp"

#include "core/dispatch/placement_policy.hpp"

#include <algorithm>
#include <utility>

namespace hickorylatch::core
{

dispatcher::dispatcher()
    : m_state{std::make_unique<dispatch_state>()},
      m_admission{*m_state}, m_binder{*m_state}
{
}

auto dispatcher::add_agent(time_point now, agent_info const& info,
                           std::span<attempt_id const> running) -> void
{
    auto& agent = m_state->agents().add(info);
    for (auto const attempt : running)
    {
        if (m_state->is_running(attempt))
            continue;
        agent.m_health.record_binding();
        if (m_state->is_queued(attempt))
            m_state->start(now, attempt, agent);
        else
            m_state->add_unknown(now, attempt, agent);
    }
    m_state->agents().reindex(agent);
    m_state->mark_ready(agent);
}

auto dispatcher::remove_agent(node_id node) -> std::vector<attempt_id>
{
    auto lost = m_state->running_at(node);
    for (auto const attempt : lost)
    {
        m_state->remove_running(attempt);
        if (auto* const agent = m_state->agents().find(node))
            agent->m_health.record_release();
    }
    m_state->agents().remove(node);
    return lost;
}

auto dispatcher::set_leaving(node_id node, bool leaving) -> void
{
    auto* const agent = m_state->agents().find(node);
    if (agent == nullptr)
        return;
    agent->m_info.m_leaving = leaving;
    m_state->agents().reindex(*agent);
    m_state->mark_ready(*agent);
}

auto dispatcher::apply(configuration const& config) -> void
{
    m_state->apply(config);
}

auto dispatcher::apply(evacuations const& evacuated) -> void
{
    m_state->apply(evacuated);
}

auto dispatcher::report_usage(node_id node, std::uint32_t used_millicores,
                              std::uint32_t used_memory_mb) -> void
{
    auto* const agent = m_state->agents().find(node);
    if (agent == nullptr)
        return;
    agent->report_usage(used_millicores, used_memory_mb);
    m_state->agents().reindex(*agent);
    m_state->mark_ready(*agent);
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
    auto policy = placement_policy{m_state->agents()};
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
        auto* const agent = m_state->agents().find(agents[at]);
        if (agent == nullptr)
            continue;
        agent->m_pending -= demand_of(tasks[at]);
        m_state->agents().reindex(*agent);
    }
}

auto dispatcher::propose_moves(time_point now, std::size_t limit)
    -> std::vector<allotment_move>
{
    return m_binder.propose_moves(now, limit);
}

auto dispatcher::reassign(attempt_id attempt, node_id agent) -> bool
{
    return m_state->reassign(attempt, agent);
}

auto dispatcher::enable_early_binding(duration lead) -> void
{
    m_state->set_prediction_lead(lead);
}

auto dispatcher::bind_next(time_point now) -> std::optional<placement>
{
    m_state->mark_ending(now);
    return m_binder.bind_next(now);
}

auto dispatcher::finish(time_point now, attempt_id attempt,
                        attempt_outcome outcome, duration run_time) -> void
{
    auto const done = m_state->remove_running(attempt);
    if (!done)
        return;
    record_run(now, *done, outcome, run_time);
    if (auto* const agent = m_state->agents().find(done->m_agent))
        m_state->agents().reindex(*agent);
}

auto dispatcher::withdraw(attempt_id attempt) -> bool
{
    return m_state->remove(attempt);
}

auto dispatcher::expire(time_point now) -> std::vector<attempt_id>
{
    auto expired = std::vector<attempt_id>{};
    while (true)
    {
        auto const [at, attempt] = m_state->next_expiry();
        if (at == never || at > now)
            return expired;
        m_state->remove(attempt);
        expired.push_back(attempt);
    }
}

auto dispatcher::wake_at(time_point now) const -> time_point
{
    auto const earliest =
        std::min(m_state->next_expiry().first, m_state->next_predicted_end());
    auto const& agents = std::as_const(*m_state).agents();
    for (auto const& [at, node] : agents.trials())
    {
        if (at >= earliest)
            break;
        if (at <= now)
            continue;
        auto const& agent = *agents.find(node);
        auto const* const service =
            m_state->find_service(agent.m_info.m_service);
        if (agent.m_queue.size() > 0 ||
            (service != nullptr && service->m_queue.size() > 0))
            return at;
    }
    return earliest;
}

auto dispatcher::has_agent(node_id node) const -> bool
{
    auto const* const agent = m_state->agents().find(node);
    return agent != nullptr && agent->m_is_present;
}

auto dispatcher::queued(std::string_view service) const -> std::size_t
{
    auto const* const found = m_state->find_service(service);
    return found == nullptr ? 0 : found->m_queued;
}

auto dispatcher::running(std::string_view service) const -> std::size_t
{
    auto const* const found = m_state->find_service(service);
    return found == nullptr ? 0 : found->m_running;
}

auto dispatcher::is_on_probation(node_id node) const -> bool
{
    auto const* const agent = m_state->agents().find(node);
    return agent != nullptr && agent->m_health.is_on_probation();
}

auto dispatcher::enqueue(time_point now, work_item item,
                         std::vector<attempt_id>* displaced)
    -> std::optional<verdict>
{
    if (m_state->is_queued(item.m_attempt))
        return std::nullopt;
    if (item.m_allotted != no_node || m_state->is_running(item.m_attempt))
    {
        enqueue_admitted(now, std::move(item));
        return std::nullopt;
    }
    if (auto refusal = m_admission.check(now, item))
        return refusal;
    if (m_admission.is_full(item.m_service))
    {
        auto const* const victim = displaced == nullptr
                                       ? nullptr
                                       : m_admission.find_displaceable(
                                             item.m_service, item.m_priority);
        if (victim == nullptr)
            return refused(reason::queue_full, {},
                           m_admission.retry_after(item.m_service));
        displaced->push_back(victim->m_item.m_attempt);
        m_state->remove(displaced->back());
    }
    enqueue_admitted(now, std::move(item));
    return std::nullopt;
}

auto dispatcher::enqueue_admitted(time_point now, work_item item) -> void
{
    // Run time charged to a customer while no run time is known.
    constexpr auto default_cost = duration{100'000};
    if (auto* const agent = m_state->agents().find(item.m_allotted))
    {
        agent->m_pending -= demand_of(item);
        m_state->agents().reindex(*agent);
    }
    if (m_state->is_running(item.m_attempt))
    {
        m_state->identify(std::move(item));
        return;
    }
    auto const& times = m_state->service(item.m_service).m_run_times;
    auto latest = item.m_deadline;
    if (latest != never)
        latest -= times.deadline_margin(item.m_run_time, latest - now);
    auto const cost = times.expected(item.m_run_time);
    m_state->add({std::move(item), now, latest,
                  cost > duration{0} ? cost : default_cost, 0});
}

auto dispatcher::record_run(time_point now, running_item const& done,
                            attempt_outcome outcome, duration run_time) -> void
{
    auto* const agent = m_state->agents().find(done.m_agent);
    auto& service = m_state->service(done.m_item.m_service);
    // Failures count neither for run times nor for the slowdown: an agent that
    // fails every task immediately would appear to be the fastest.
    if (outcome == attempt_outcome::succeeded && done.m_is_known)
    {
        auto const actual =
            run_time > duration{0} ? run_time : now - done.m_started_at;
        auto const declared = done.m_item.m_run_time;
        if (agent != nullptr && service.m_run_times.has_enough_samples())
        {
            auto const expected =
                std::max(service.m_run_times.expected(declared), duration{1});
            auto const slowdown = static_cast<double>(actual.count()) /
                                  static_cast<double>(expected.count());
            // With ten agents, the mean of the service adapts faster than that
            // of a single agent; see agent_health.
            constexpr auto weight = 1.0 / 128;
            service.m_slowdown +=
                (agent_health::clamp_slowdown(slowdown) - service.m_slowdown) *
                weight;
            agent->m_health.observe_slowdown(now,
                                             slowdown / service.m_slowdown);
        }
        service.m_run_times.observe(declared, actual);
        service.m_queue.charge(done.m_item.m_priority, done.m_item.m_customer,
                               actual - done.m_cost);
    }
    if (agent == nullptr)
        return;
    if (outcome == attempt_outcome::succeeded)
        agent->m_health.record_success(now);
    else if (outcome == attempt_outcome::failed)
        agent->m_health.record_failure(now);
    else
        agent->m_health.record_release();
}

} // namespace hickorylatch::core
