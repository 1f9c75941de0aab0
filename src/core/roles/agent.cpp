#include "core/roles/agent.hpp"

#include <algorithm>
#include <string>
#include <utility>
#include <variant>

namespace hickorylatch::core
{

namespace
{

// How long a stopping agent keeps results that no leader has stored.
constexpr auto result_grace = std::chrono::seconds{5};

auto to_field(attempt_id attempt) -> std::string
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
    // The leader speaks first. Its configuration on a new link is answered by
    // an announcement, since messages of the old link may be lost.
    m_lease.lose_leader(peer.m_node);
    m_unannounced.insert(peer.m_node);
}

auto agent::disconnected(node_id peer) -> void
{
    m_unannounced.erase(peer);
    m_lease.lose_leader(peer);
}

auto agent::receive(time_point now, node_id from, message const& incoming,
                    random_source& random, effects& out) -> void
{
    if (auto const* greeting = std::get_if<welcome>(&incoming))
        on(now, from, *greeting, out);
    else if (auto const* change = std::get_if<configuration_changed>(&incoming))
        on(now, from, *change, out);
    else if (auto const* order = std::get_if<core::start>(&incoming))
        on(now, from, *order, random, out);
    else if (auto const* halt = std::get_if<stop_attempt>(&incoming))
        on(now, *halt, out);
    else if (auto const* stored = std::get_if<core::forget>(&incoming))
        on(*stored);
    else if (auto const* grant = std::get_if<renewed>(&incoming))
        m_lease.extend(from, *grant);
    drop_received();
}

auto agent::drop_received() -> void
{
    // A grant names the send time of the last message that the leader took.
    std::erase_if(m_finished,
                  [this](auto const& kept)
                  {
                      return is_volatile(kept.first) &&
                             kept.second.m_outcome.m_sent_at <
                                 m_lease.granted_at();
                  });
}

auto agent::on(time_point now, node_id from, welcome const& greeting,
               effects& out) -> void
{
    if (!m_lease.follow(from, greeting.m_renewed.m_term,
                        greeting.m_configuration))
        return;
    m_lease.extend(from, greeting.m_renewed);
    for (auto& [attempt, kept] : m_finished)
    {
        kept.m_outcome.m_sent_at = now;
        out.emplace_back(send{from, kept.m_outcome});
    }
    lease::keep_links_to(greeting.m_members, out);
}

auto agent::on(time_point now, node_id from,
               configuration_changed const& change, effects& out) -> void
{
    auto const is_new =
        m_lease.leader() != from || m_lease.term() != change.m_term;
    if (!m_lease.follow(from, change.m_term, change.m_configuration))
        return;
    lease::keep_links_to(change.m_members, out);
    auto const is_new_link = m_unannounced.erase(from) != 0;
    if (is_new || is_new_link)
        announce_to(now, from, out);
}

auto agent::why_not(time_point now, core::start const& order) const -> reason
{
    if (m_refused.contains(order.m_attempt))
        return reason::cancelled;
    if (m_is_stopping)
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
    // A leader of an older term gets no answer: the current one may still
    // start this attempt here.
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
    if (auto const why = why_not(now, order); why != reason::none)
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

auto agent::call_finished(time_point now, core::call_finished const& call,
                          effects& out) -> void
{
    auto const found = m_running.find(call.m_attempt);
    if (found == m_running.end())
        return;
    auto const ended = std::exchange(found->second, {});
    m_running.erase(found);
    out.emplace_back(record_span{
        ended.m_span,
        ended.m_start.m_trace.m_span,
        "agent.call",
        ended.m_started,
        now,
        {{"attempt", to_field(call.m_attempt)},
         {"verdict", std::string{to_string(call.m_verdict.m_run)}}}});
    auto outcome = finished{call.m_attempt, call.m_verdict, call.m_answer, now};
    if (call.m_verdict.m_run == run_state::not_run &&
        !is_volatile(call.m_attempt))
        m_refused.insert(call.m_attempt);
    else
        m_finished[call.m_attempt] = {outcome, ended.m_start.m_caller};
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
    m_stop_at = now + result_grace;
    m_info.m_leaving = true;
    if (m_lease.leader() != no_node)
        announce_to(now, m_lease.leader(), out);
}

auto agent::is_idle(time_point now) const -> bool
{
    return m_is_stopping && m_running.empty() &&
           (m_finished.empty() || now >= m_stop_at);
}

auto agent::has_lease(time_point now) const -> bool
{
    return m_lease.is_valid(now);
}

auto agent::next_deadline() const -> time_point
{
    auto const stopping =
        m_is_stopping && m_running.empty() ? m_stop_at : never;
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
    auto news = announce{};
    news.m_agent = m_info;
    news.m_sent_at = now;
    for (auto const& [attempt, call] : m_running)
    {
        news.m_running.push_back(attempt);
        if (is_volatile(attempt))
            news.m_volatile.push_back({attempt, call.m_start.m_caller});
    }
    for (auto const& [attempt, kept] : m_finished)
    {
        news.m_finished.push_back(attempt);
        if (is_volatile(attempt))
            news.m_volatile.push_back({attempt, kept.m_caller});
    }
    out.emplace_back(send{leader, std::move(news)});
    m_lease.asked(now);
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
