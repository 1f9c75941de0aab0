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
// Moves proposed at once; each is an entry of the log.
constexpr auto move_limit = std::size_t{64};
constexpr auto forget_batch = std::size_t{64};

} // namespace

auto coordinator::check_agents(control_context const& with) -> void
{
    auto lost = std::vector<node_id>{};
    for (auto& [node, link] : m_agents)
    {
        auto const silence = with.m_now - link.m_heard_at;
        if (silence > m_settings.m_agent_lost)
            lost.push_back(node);
        else if (silence > m_settings.m_agent_suspect && link.m_is_connected)
        {
            link.m_is_connected = false;
            abandon_link(with, node);
        }
        else if (silence < m_settings.m_agent_suspect / 2 &&
                 !link.m_is_connected)
        {
            link.m_is_connected = true;
            m_dispatcher.set_leaving(node, link.m_info.m_leaving);
        }
    }
    if (with.m_now - m_began > m_settings.m_agent_lost)
        lost.insert(lost.end(), m_expected.begin(), m_expected.end());
    for (auto const node : lost)
        give_up(with, node);
}

auto coordinator::tick(control_context const& with) -> void
{
    if (with.m_now < m_next_tick)
        return;
    m_next_tick = with.m_now + tick_interval;
    expire(with);
    expire_keys(with);
    report_load(with);
    check_agents(with);
    move_waiting(with);
    for (auto& [node, link] : m_agents)
        flush_forget(with, link);
}

auto coordinator::expire(control_context const& with) -> void
{
    for (auto const attempt : m_dispatcher.expire(with.m_now))
    {
        auto const found = m_live.find(attempt.m_submission_id);
        if (found != m_live.end())
            fail(with, found->second, reason::deadline, {});
    }
}

auto coordinator::expire_keys(control_context const& with) -> void
{
    if (with.m_now < m_next_expiry)
        return;
    m_next_expiry = with.m_now + expiry_interval;
    // Callers that did not come back by now have given up.
    if (with.m_now > m_began + expiry_interval)
        m_orphans.clear();
    auto const before = with.m_wall - m_settings.m_key_retention_ms;
    auto const oldest = with.m_state.oldest_end();
    if (oldest != 0 && oldest < before)
        with.m_replica.propose(core::expire_keys{before});
}

auto coordinator::report_load(control_context const& with) -> void
{
    if (with.m_now < m_next_report)
        return;
    m_next_report = with.m_now + report_interval;
    auto const report = [&](std::string const& service)
    {
        with.m_out.emplace_back(
            observe_metric{"hickorylatch_queued",
                           {{"service", service}},
                           static_cast<double>(m_dispatcher.queued(service))});
        with.m_out.emplace_back(
            observe_metric{"hickorylatch_running",
                           {{"service", service}},
                           static_cast<double>(m_dispatcher.running(service))});
    };
    report(std::string{worker_service});
    for (auto const& each : with.m_state.config().m_services)
        report(each.m_name);
}

auto coordinator::move_waiting(control_context const& with) -> void
{
    for (auto const& move : m_dispatcher.propose_moves(with.m_now, move_limit))
    {
        auto const attempt = move.m_attempt;
        auto const found = m_live.find(attempt.m_submission_id);
        if (found == m_live.end())
            continue;
        found->second.m_tasks[attempt.m_task].m_phase = task_phase::moving;
        with.m_replica.propose(core::reallot{attempt.m_submission_id,
                                             {{attempt.m_task, move.m_to}}});
    }
}

auto coordinator::flush_forget(control_context const& with, agent_link& link)
    -> void
{
    auto& attempts = link.m_to_forget;
    if (attempts.empty() || !link.m_is_connected)
        return;
    // Results that wait cost the agent memory only, so small batches wait for
    // its next idle moment.
    if (attempts.size() < forget_batch && !m_live.empty() &&
        with.m_now - link.m_forgot_at < std::chrono::seconds{1})
        return;
    link.m_forgot_at = with.m_now;
    with.m_out.emplace_back(
        send{link.m_info.m_node, forget{m_term, std::exchange(attempts, {})}});
}

auto coordinator::next_deadline(time_point now) const -> time_point
{
    if (m_live.empty())
        return now + std::chrono::milliseconds{250};
    return std::max(m_next_tick, now);
}

} // namespace hickorylatch::core
