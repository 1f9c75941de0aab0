#include "core/roles/coordinator.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace hickorylatch::core
{

namespace
{

constexpr auto tick_interval = std::chrono::milliseconds{20};
constexpr auto expiry_interval = std::chrono::seconds{60};
constexpr auto report_interval = std::chrono::seconds{1};
// Maximum number of moves proposed at once. Each is a log entry.
constexpr auto move_limit = std::size_t{64};
constexpr auto forget_batch_size = std::size_t{64};

} // namespace

auto coordinator::check_agents(control_context const& context) -> void
{
    auto lost = std::vector<node_id>{};
    for (auto& [node, link] : m_agents)
    {
        auto const silence = context.m_now - link.m_last_heard_at;
        if (silence > m_settings.m_agent_lost_timeout)
            lost.push_back(node);
        else if (silence > m_settings.m_agent_suspect_timeout &&
                 link.m_is_connected)
        {
            link.m_is_connected = false;
            handle_lost_link(context, node);
        }
        else if (silence < m_settings.m_agent_suspect_timeout / 2 &&
                 !link.m_is_connected)
        {
            link.m_is_connected = true;
            m_dispatcher.set_leaving(node, link.m_info.m_leaving);
        }
    }
    if (context.m_now - m_started_at > m_settings.m_agent_lost_timeout)
        lost.insert(lost.end(), m_unannounced_agents.begin(),
                    m_unannounced_agents.end());
    for (auto const node : lost)
        remove_lost_agent(context, node);
}

auto coordinator::tick(control_context const& context) -> void
{
    if (context.m_now < m_next_tick)
        return;
    m_next_tick = context.m_now + tick_interval;
    expire_tasks(context);
    expire_keys(context);
    report_load(context);
    check_agents(context);
    propose_moves(context);
    for (auto& [node, link] : m_agents)
        send_forget(context, link);
}

auto coordinator::expire_tasks(control_context const& context) -> void
{
    for (auto const attempt : m_dispatcher.expire(context.m_now))
    {
        auto const found = m_live.find(attempt.m_submission_id);
        if (found != m_live.end())
            fail_submission(context, found->second, reason::deadline, {});
    }
}

auto coordinator::expire_keys(control_context const& context) -> void
{
    if (context.m_now < m_next_expiry)
        return;
    m_next_expiry = context.m_now + expiry_interval;
    // Callers that have not resent their request by now are not expected to.
    if (context.m_now > m_started_at + expiry_interval)
        m_orphans.clear();
    auto const before = context.m_wall_clock - m_settings.m_key_retention_ms;
    auto const oldest = context.m_state.first_end_time();
    if (oldest != 0 && oldest < before)
        context.m_replica.propose(core::expire_keys{before});
}

auto coordinator::report_load(control_context const& context) -> void
{
    if (context.m_now < m_next_report)
        return;
    m_next_report = context.m_now + report_interval;
    auto const report = [&](std::string const& service)
    {
        context.m_out.emplace_back(
            observe_metric{"hickorylatch_queued",
                           {{"service", service}},
                           static_cast<double>(m_dispatcher.queued(service))});
        context.m_out.emplace_back(
            observe_metric{"hickorylatch_running",
                           {{"service", service}},
                           static_cast<double>(m_dispatcher.running(service))});
    };
    report(std::string{worker_service});
    for (auto const& each : context.m_state.config().m_services)
        report(each.m_name);
}

auto coordinator::propose_moves(control_context const& context) -> void
{
    for (auto const& move :
         m_dispatcher.propose_moves(context.m_now, move_limit))
    {
        auto const attempt = move.m_attempt;
        auto const found = m_live.find(attempt.m_submission_id);
        if (found == m_live.end())
            continue;
        found->second.m_tasks[attempt.m_task].m_phase = task_phase::moving;
        context.m_replica.propose(core::reallot{attempt.m_submission_id,
                                                {{attempt.m_task, move.m_to}}});
    }
}

auto coordinator::send_forget(control_context const& context, agent_link& link)
    -> void
{
    auto& attempts = link.m_forgettable_attempts;
    if (attempts.empty() || !link.m_is_connected)
        return;
    // Results that are kept longer cost the agent only memory. A small batch is
    // delayed until no submission is in progress, or for one second.
    if (attempts.size() < forget_batch_size && !m_live.empty() &&
        context.m_now - link.m_forget_sent_at < std::chrono::seconds{1})
        return;
    link.m_forget_sent_at = context.m_now;
    context.m_out.emplace_back(
        send{link.m_info.m_node, forget{m_term, std::exchange(attempts, {})}});
}

auto coordinator::next_deadline(time_point now) const -> time_point
{
    if (m_live.empty())
        return now + std::chrono::milliseconds{250};
    return std::max(m_next_tick, now);
}

} // namespace hickorylatch::core
