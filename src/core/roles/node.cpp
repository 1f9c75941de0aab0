#include "core/roles/node.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace hickorylatch::core
{

namespace
{

/// Passes each event to the roles that it concerns.
class event_router
{
public:
    event_router(node& target, time_point now, effects& out)
        : m_node{target}, m_now{now}, m_out{out}
    {
    }

    auto operator()(started const& event) -> void
    {
        m_node.m_random.seed(event.m_seed);
        if (m_node.m_broker)
            m_node.m_broker->start(m_now);
        if (m_node.m_control)
            m_node.m_control->start(m_now, m_node.m_random, m_out);
        // A leader serves the entry or agent in its own process, too.
        if (m_node.m_control && (m_node.m_entry || m_node.m_agent))
            (*this)(peer_connected{make_hello(m_node)});
    }

    auto operator()(timer_fired const&) -> void
    {
        if (m_node.m_entry)
            m_node.m_entry->tick(m_now, m_out);
        if (m_node.m_agent)
            m_node.m_agent->tick(m_now, m_out);
        if (m_node.m_broker)
            m_node.m_broker->tick(m_now, m_node.m_random, m_out);
        if (m_node.m_executor)
            m_node.m_executor->tick(m_now, m_out);
        if (m_node.m_control)
            m_node.m_control->tick(m_now, m_node.m_random, m_out);
    }

    auto operator()(process_resumed const& event) -> void
    {
        if (m_node.m_executor)
            m_node.m_executor->resumed(event.m_suspended, m_out);
    }

    auto operator()(peer_connected const& event) -> void
    {
        if (m_node.m_entry)
            m_node.m_entry->connected(event.m_peer);
        if (m_node.m_agent)
            m_node.m_agent->connected(event.m_peer);
        if (m_node.m_broker)
            m_node.m_broker->connected(m_now, event.m_peer, m_out);
        if (m_node.m_executor)
            m_node.m_executor->connected(m_now, event.m_peer, m_out);
        if (m_node.m_control)
            m_node.m_control->connected(m_now, event.m_peer, m_node.m_random,
                                        m_out);
    }

    auto operator()(peer_disconnected const& event) -> void
    {
        if (m_node.m_entry)
            m_node.m_entry->disconnected(event.m_peer);
        if (m_node.m_agent)
            m_node.m_agent->disconnected(event.m_peer);
        if (m_node.m_broker)
            m_node.m_broker->disconnected(m_now, event.m_peer, m_out);
        if (m_node.m_executor)
            m_node.m_executor->disconnected(m_now, event.m_peer, m_out);
        if (m_node.m_control)
            m_node.m_control->disconnected(m_now, event.m_peer, m_node.m_random,
                                           m_out);
    }

    auto operator()(message_received const& event) -> void
    {
        if (m_node.m_entry)
            m_node.m_entry->receive(m_now, event.m_from, event.m_message,
                                    m_out);
        if (m_node.m_agent)
            m_node.m_agent->receive(m_now, event.m_from, event.m_message,
                                    m_node.m_random, m_out);
        if (m_node.m_broker)
            m_node.m_broker->receive(m_now, event.m_from, event.m_message,
                                     m_node.m_random, m_out);
        if (m_node.m_executor)
            m_node.m_executor->receive(m_now, event.m_from, event.m_message,
                                       m_out);
        if (m_node.m_control)
            m_node.m_control->receive(m_now, event.m_from, event.m_message,
                                      m_node.m_random, m_out);
    }

    auto operator()(log_synced const& event) -> void
    {
        if (m_node.m_control)
            m_node.m_control->synced(m_now, event, m_node.m_random, m_out);
    }

    auto operator()(snapshot_saved const& event) -> void
    {
        if (m_node.m_control)
            m_node.m_control->saved(event);
    }

    auto operator()(request_arrived const& event) -> void
    {
        if (m_node.m_entry)
            m_node.m_entry->arrived(m_now, event, m_node.m_random, m_out);
    }

    auto operator()(request_abandoned const& event) -> void
    {
        if (m_node.m_entry)
            m_node.m_entry->abandoned(event.m_exchange, m_out);
        if (m_node.m_broker)
            m_node.m_broker->abandoned(m_now, event.m_exchange, m_out);
        if (m_node.m_control)
            m_node.m_control->abandoned(event.m_exchange);
    }

    auto operator()(operation_arrived const& event) -> void
    {
        if (m_node.m_control)
            m_node.m_control->arrived(m_now, event, m_node.m_random, m_out);
        else if (m_node.m_entry)
            m_node.m_entry->arrived(m_now, event, m_out);
    }

    auto operator()(exchange_checked const& event) -> void
    {
        if (m_node.m_control)
            m_node.m_control->checked(m_now, event, m_node.m_random, m_out);
        else if (m_node.m_entry)
            m_node.m_entry->checked(m_now, event, m_out);
    }

    auto operator()(call_finished const& event) -> void
    {
        if (m_node.m_agent)
            m_node.m_agent->call_finished(m_now, event, m_out);
    }

    auto operator()(stop_requested const&) -> void
    {
        m_node.m_is_stopping = true;
        if (m_node.m_entry)
            m_node.m_entry->stop();
        if (m_node.m_agent)
            m_node.m_agent->stop(m_now, m_out);
        if (m_node.m_broker)
            m_node.m_broker->stop(m_now);
        if (m_node.m_executor)
            m_node.m_executor->stop(m_now, m_out);
        if (m_node.m_control)
            m_node.m_control->stop(m_now, m_node.m_random, m_out);
    }

    auto operator()(clock_read const& event) -> void
    {
        if (m_node.m_control)
            m_node.m_control->clock(m_now, event, m_out);
    }

    auto operator()(job_arrived const& event) -> void
    {
        if (m_node.m_broker)
            m_node.m_broker->arrived(m_now, event, m_node.m_random, m_out);
    }

    auto operator()(job_query_arrived const& event) -> void
    {
        if (m_node.m_broker)
            m_node.m_broker->query_arrived(m_now, event, m_out);
    }

    auto operator()(worker_reported const& event) -> void
    {
        if (m_node.m_executor)
            m_node.m_executor->reported(m_now, event.m_report, m_out);
    }

    auto operator()(worker_left const& event) -> void
    {
        if (m_node.m_executor)
            m_node.m_executor->left(m_now, event, m_out);
    }

    auto operator()(run_start_answered const& event) -> void
    {
        if (m_node.m_executor)
            m_node.m_executor->answered(m_now, event, m_out);
    }

    auto operator()(run_stop_answered const& event) -> void
    {
        if (m_node.m_executor)
            m_node.m_executor->answered(m_now, event, m_out);
    }

    auto operator()(runs_polled const& event) -> void
    {
        if (m_node.m_executor)
            m_node.m_executor->answered(m_now, event, m_out);
    }

    auto operator()(worker_checked const& event) -> void
    {
        if (m_node.m_executor)
            m_node.m_executor->answered(m_now, event, m_out);
    }

    auto operator()(seeds_changed const& event) -> void
    {
        if (m_node.m_broker)
            m_node.m_broker->replace_seeds(m_now, event.m_seeds, m_out);
        if (m_node.m_executor)
            m_node.m_executor->replace_seeds(m_now, event.m_seeds, m_out);
        if (m_node.m_control)
            m_node.m_control->replace_seeds(m_now, event.m_seeds, m_out);
    }

private:
    node& m_node;
    time_point m_now;
    effects& m_out;
};

/// True if the timer has to be handled before this event. Otherwise a process
/// that was suspended would use permissions that have expired meanwhile.
auto is_overdue(node const& target, time_point now, event const& incoming)
    -> bool
{
    return now >= target.m_timer &&
           !std::holds_alternative<timer_fired>(incoming) &&
           !std::holds_alternative<process_resumed>(incoming);
}

/// Delivers messages between two roles of the same process, which have no link.
auto deliver_to_self(node& target, time_point now, effects& out,
                     std::size_t first) -> void
{
    for (auto index = first; index < out.size(); ++index)
    {
        auto* const sent = std::get_if<send>(&out[index]);
        if (sent == nullptr || sent->m_to != target.m_id)
            continue;
        auto const received =
            message_received{target.m_id, std::move(sent->m_message)};
        out.erase(out.begin() + static_cast<std::ptrdiff_t>(index));
        --index;
        event_router{target, now, out}(received);
    }
}

auto is_idle(node const& target, time_point now) -> bool
{
    return (!target.m_entry || target.m_entry->is_idle()) &&
           (!target.m_agent || target.m_agent->is_idle(now)) &&
           (!target.m_broker || target.m_broker->is_idle(now)) &&
           (!target.m_executor || target.m_executor->is_idle());
}

auto next_deadline(node const& target, time_point now) -> time_point
{
    auto first = never;
    if (target.m_entry)
        first = std::min(first, target.m_entry->next_deadline());
    if (target.m_agent)
        first = std::min(first, target.m_agent->next_deadline());
    if (target.m_broker)
        first = std::min(first, target.m_broker->next_deadline());
    if (target.m_executor)
        first = std::min(first, target.m_executor->next_deadline());
    if (target.m_control)
        first = std::min(first, target.m_control->next_deadline(now));
    return first;
}

} // namespace

auto reduce(node& target, time_point now, event const& incoming, effects& out)
    -> void
{
    auto const first = out.size();
    auto router = event_router{target, now, out};
    if (is_overdue(target, now, incoming))
        router(timer_fired{});
    std::visit(router, incoming);
    deliver_to_self(target, now, out, first);
    // Requests that still arrive on open connections are refused above instead
    // of being left unanswered.
    if (target.m_has_exited)
        return;
    if (target.m_is_stopping && is_idle(target, now))
    {
        target.m_has_exited = true;
        out.emplace_back(exit_process{});
        return;
    }
    if (auto const next = next_deadline(target, now); next != target.m_timer)
    {
        target.m_timer = next;
        out.emplace_back(set_timer{next});
    }
}

auto make_hello(node const& target) -> hello
{
    auto result = hello{};
    result.m_node = target.m_id;
    result.m_role = target.m_control                    ? role::control
                    : target.m_entry || target.m_broker ? role::entry
                                                        : role::agent;
    result.m_name = target.m_name;
    result.m_address = target.m_address;
    result.m_failure_domain = target.m_failure_domain;
    result.m_cluster = target.m_control ? target.m_control->cluster() : 0;
    result.m_secret = target.m_secret;
    result.m_is_volatile = target.m_control && target.m_control->is_volatile();
    result.m_needs_configuration =
        target.m_entry || target.m_agent || target.m_broker ||
        (target.m_executor && target.m_executor->serves_configuration());
    result.m_follows_any_replica = target.m_broker || target.m_executor;
    return result;
}

auto is_ready(node const& target, time_point now) -> bool
{
    if (target.m_is_stopping)
        return false;
    return (!target.m_entry || target.m_entry->has_lease(now)) &&
           (!target.m_broker || target.m_broker->is_ready(now));
}

auto releases_callers(node const& target) -> bool
{
    return target.m_broker && target.m_broker->releases_callers();
}

} // namespace hickorylatch::core
