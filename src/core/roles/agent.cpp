#include "core/roles/agent.hpp"

#include <algorithm>
#include <string>
#include <utility>
#include <variant>

namespace hickorylatch::core
{

namespace
{

// Time that a stopping agent keeps results that no leader has acknowledged.
constexpr auto result_retention = std::chrono::seconds{5};

auto format_attempt(attempt_id attempt) -> std::string
{
    return std::to_string(attempt.m_submission_id) + "/" +
           std::to_string(attempt.m_task);
}

} // namespace

agent::agent(agent_info info) : m_info{std::move(info)}
{
}

auto agent::connected(hello const& peer) -> void
{
    // The leader sends its configuration first on a new link. The agent then
    // announces its state, since messages on the old link may be lost.
    m_lease.clear_leader(peer.m_node);
    m_unannounced_peers.insert(peer.m_node);
}

auto agent::disconnected(node_id peer) -> void
{
    m_unannounced_peers.erase(peer);
    m_lease.clear_leader(peer);
}

auto agent::receive(time_point now, node_id from, message const& incoming,
                    random_source& random, effects& out) -> void
{
    if (auto const* answer = std::get_if<welcome>(&incoming))
        on(now, from, *answer, out);
    else if (auto const* change = std::get_if<configuration_changed>(&incoming))
        on(now, from, *change, out);
    else if (auto const* order = std::get_if<core::start>(&incoming))
        on(now, from, *order, random, out);
    else if (auto const* stop_order = std::get_if<stop_attempt>(&incoming))
        on(now, *stop_order, out);
    else if (auto const* acknowledged = std::get_if<core::forget>(&incoming))
        on(*acknowledged);
    else if (auto const* grant = std::get_if<renewed>(&incoming))
        m_lease.extend(from, *grant);
    else if (auto const* evacuated = std::get_if<evacuations>(&incoming))
        on(*evacuated, out);
    drop_received_results();
}

auto agent::drop_received_results() -> void
{
    // A lease renewal contains the send time of the last message that the
    // leader has received.
    std::erase_if(m_finished,
                  [this](auto const& each)
                  {
                      return is_volatile(each.first) &&
                             each.second.m_outcome.m_sent_at <
                                 m_lease.granted_at();
                  });
}

auto agent::on(time_point now, node_id from, welcome const& answer,
               effects& out) -> void
{
    if (!m_lease.follow(from, answer.m_renewed.m_term, answer.m_configuration))
        return;
    m_lease.extend(from, answer.m_renewed);
    for (auto& [attempt, result] : m_finished)
    {
        result.m_outcome.m_sent_at = now;
        out.emplace_back(send{from, result.m_outcome});
    }
    lease::keep_links_to(answer.m_members, out);
}

auto agent::on(time_point now, node_id from,
               configuration_changed const& change, effects& out) -> void
{
    auto const is_new_leader =
        m_lease.leader() != from || m_lease.term() != change.m_term;
    if (!m_lease.follow(from, change.m_term, change.m_configuration))
        return;
    lease::keep_links_to(change.m_members, out);
    auto const is_new_link = m_unannounced_peers.erase(from) != 0;
    if (is_new_leader || is_new_link)
        announce_to(now, from, out);
}

auto agent::refusal_reason(time_point now, core::start const& order) const
    -> reason
{
    if (m_refused.contains(order.m_attempt))
        return reason::cancelled;
    if (m_is_stopping || m_evacuations.contains(m_info.m_failure_domain))
        return reason::draining;
    if (!m_lease.is_valid(now))
        return reason::lease_expired;
    if (m_running.size() >= m_info.m_slots)
        return reason::queue_full;
    return reason::none;
}

auto agent::on(time_point now, node_id from, core::start const& order,
               random_source& random, effects& out) -> void
{
    // A leader of an older term gets no answer, because the current one may
    // still start this attempt here.
    if (from != m_lease.leader() || order.m_term != m_lease.term())
        return;
    m_lease.extend(from, order.m_renewed);
    auto const attempt = order.m_attempt;
    if (m_running.contains(attempt))
        return;
    if (auto const done = m_finished.find(attempt); done != m_finished.end())
    {
        report(now, done->second.m_outcome, out);
        return;
    }
    if (auto const why = refusal_reason(now, order); why != reason::none)
    {
        refuse(now, attempt, why, out);
        return;
    }
    auto const span = random.child_of(order.m_trace);
    out.emplace_back(start_call{attempt, order.m_path, order.m_task,
                                order.m_deadline_ms, span});
    auto& call = m_running[attempt];
    call.m_start = order;
    call.m_start.m_task.m_body.clear();
    call.m_span = span;
    call.m_started = now;
}

auto agent::on(time_point now, stop_attempt const& order, effects& out) -> void
{
    if (order.m_term != m_lease.term())
        return;
    auto const attempt = order.m_attempt;
    if (m_running.contains(attempt))
        out.emplace_back(cancel_call{attempt});
    else if (auto const done = m_finished.find(attempt);
             done != m_finished.end())
        report(now, done->second.m_outcome, out);
    else
        refuse(now, attempt, reason::cancelled, out);
}

auto agent::on(core::forget const& order) -> void
{
    if (order.m_term != m_lease.term())
        return;
    for (auto const attempt : order.m_attempts)
    {
        m_finished.erase(attempt);
        m_refused.erase(attempt);
    }
}

auto agent::on(evacuations const& received, effects& out) -> void
{
    if (!m_evacuations.adopt(received, out))
        return;
    auto const is_evacuated = m_evacuations.contains(m_info.m_failure_domain);
    out.emplace_back(observe_metric{
        "hickorylatch_worker_evacuated", {}, is_evacuated ? 1.0 : 0.0});
}

auto agent::call_finished(time_point now, core::call_finished const& call,
                          effects& out) -> void
{
    auto const found = m_running.find(call.m_attempt);
    if (found == m_running.end())
        return;
    auto const finished_call = std::exchange(found->second, {});
    m_running.erase(found);
    out.emplace_back(record_span{
        finished_call.m_span,
        finished_call.m_start.m_trace.m_span,
        "agent.call",
        finished_call.m_started,
        now,
        {{"attempt", format_attempt(call.m_attempt)},
         {"verdict", std::string{to_string(call.m_verdict.m_run)}}}});
    auto outcome = finished{call.m_attempt, call.m_verdict, call.m_answer, now};
    if (call.m_verdict.m_run == run_state::not_run &&
        !is_volatile(call.m_attempt))
        m_refused.insert(call.m_attempt);
    else
        m_finished[call.m_attempt] = {outcome, finished_call.m_start.m_caller};
    report(now, std::move(outcome), out);
}

auto agent::tick(time_point now, effects& out) -> void
{
    m_lease.tick(now, out);
}

auto agent::stop(time_point now, effects& out) -> void
{
    if (m_is_stopping)
        return;
    m_is_stopping = true;
    m_stop_deadline = now + result_retention;
    m_info.m_leaving = true;
    if (m_lease.leader() != no_node)
        announce_to(now, m_lease.leader(), out);
}

auto agent::is_idle(time_point now) const -> bool
{
    return m_is_stopping && m_running.empty() &&
           (m_finished.empty() || now >= m_stop_deadline);
}

auto agent::has_lease(time_point now) const -> bool
{
    return m_lease.is_valid(now);
}

auto agent::next_deadline() const -> time_point
{
    auto const stopping =
        m_is_stopping && m_running.empty() ? m_stop_deadline : never;
    return std::min(m_lease.next_deadline(), stopping);
}

auto agent::held_lease() const -> lease const&
{
    return m_lease;
}

auto agent::config() const -> configuration const&
{
    return m_lease.config();
}

auto agent::announce_to(time_point now, node_id leader, effects& out) -> void
{
    auto announcement = announce{};
    announcement.m_agent = m_info;
    announcement.m_sent_at = now;
    for (auto const& [attempt, call] : m_running)
    {
        announcement.m_running.push_back(attempt);
        if (is_volatile(attempt))
            announcement.m_volatile.push_back({attempt, call.m_start.m_caller});
    }
    for (auto const& [attempt, result] : m_finished)
    {
        announcement.m_finished.push_back(attempt);
        if (is_volatile(attempt))
            announcement.m_volatile.push_back({attempt, result.m_caller});
    }
    out.emplace_back(send{leader, std::move(announcement)});
    m_lease.renewal_requested(now);
}

auto agent::refuse(time_point now, attempt_id attempt, reason why, effects& out)
    -> void
{
    if (!is_volatile(attempt))
        m_refused.insert(attempt);
    report(now, finished{attempt, refused(why), {}, now}, out);
}

auto agent::report(time_point now, finished outcome, effects& out) -> void
{
    outcome.m_sent_at = now;
    if (m_lease.leader() == no_node)
        return;
    out.emplace_back(send{m_lease.leader(), std::move(outcome)});
}

} // namespace hickorylatch::core
