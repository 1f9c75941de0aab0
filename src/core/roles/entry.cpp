#include "core/roles/entry.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace hickorylatch::core
{

namespace
{

// The leader answers at the deadline. The entry answers this much later if the
// leader's answer has not arrived.
constexpr auto leader_answer_grace = std::chrono::milliseconds{500};
constexpr auto operation_timeout = std::chrono::seconds{10};
// Delay before a retry after a replica answered that it does not lead; doubles
// up to the limit.
constexpr auto leader_retry_delay = std::chrono::milliseconds{25};
constexpr auto leader_retry_delay_limit = std::chrono::milliseconds{400};
// Maximum wait of a job without a deadline for its answer.
constexpr auto job_timeout = std::chrono::hours{24};
// Maximum duration of a failover. Callers should wait this long before a retry.
constexpr auto failover_retry_ms = std::uint32_t{2000};

/// Refusal by an entry, which does not have the state of the leader. A
/// submission with a key may repeat one that ran, unless the client states that
/// it is the first.
auto refused_by_entry(submission const& work, reason why,
                      std::string_view detail, std::uint32_t retry_after_ms)
    -> verdict
{
    auto outcome = refused(why, detail, retry_after_ms);
    if (!work.m_key.empty() && !work.m_is_first_submission)
        outcome.m_run = run_state::may_have_run;
    return outcome;
}

} // namespace

auto entry::connected(hello const& peer) -> void
{
    // Messages on an older link to this peer may be lost.
    if (peer.m_node == m_lease.leader())
        disconnected(peer.m_node);
}

auto entry::disconnected(node_id peer) -> void
{
    if (peer != m_lease.leader())
        return;
    m_lease.clear_leader(peer);
    for (auto const& [sequence, request] : m_requests)
        m_unsent.insert(sequence);
    for (auto& [sequence, request] : m_operations)
    {
        if (request.m_order)
            request.m_order->restart();
        m_unsent.insert(sequence);
    }
}

auto entry::receive(time_point now, node_id from, message const& incoming,
                    effects& out) -> void
{
    if (auto const* result = std::get_if<submit_result>(&incoming))
        on(*result, from, now, out);
    else if (auto const* done = std::get_if<operate_result>(&incoming))
    {
        on(*done, out);
        forward(now, out);
    }
    else if (auto const* refusal = std::get_if<not_leader>(&incoming))
    {
        on(*refusal);
        m_retry_delay =
            std::min<duration>(m_retry_delay * 2, leader_retry_delay_limit);
        m_retry_at = std::min(m_retry_at, now + m_retry_delay);
    }
    else if (auto const* change = std::get_if<configuration_changed>(&incoming))
        follow(now, from, *change, out);
    else if (auto const* grant = std::get_if<renewed>(&incoming))
    {
        m_lease.extend(from, *grant);
        m_retry_delay = leader_retry_delay;
        forward(now, out);
    }
}

auto entry::refusal(time_point now, submission const& work) const
    -> std::optional<verdict>
{
    if (m_is_stopping)
        return refused_by_entry(work, reason::draining, {}, 1);
    if (!m_lease.is_valid(now))
        return refused_by_entry(work, reason::lease_expired,
                                "this entry has no current configuration",
                                failover_retry_ms);
    if (work.m_kind == submission_kind::job)
        return std::nullopt;
    if (find_customer(m_lease.config(), work.m_customer) == nullptr)
        return refused_by_entry(work, reason::unknown_customer, work.m_customer,
                                0);
    auto const* target = find_service(m_lease.config(), work.m_service);
    if (target == nullptr)
        return refused_by_entry(work, reason::unknown_service, work.m_service,
                                0);
    if (is_idempotent(*target, work.m_path))
        return std::nullopt;
    if (work.m_key.empty())
        return refused(reason::invalid,
                       "a non-idempotent request needs an idempotency key");
    if (work.m_submitted_at == 0)
        return refused(reason::missing_submitted_at);
    return std::nullopt;
}

auto entry::priority_label(submission const& work) const -> std::string
{
    auto const* owner = find_customer(m_lease.config(), work.m_customer);
    auto const level = owner == nullptr ? priority{0} : owner->m_priority;
    return std::to_string(work.m_priority.value_or(level));
}

auto entry::is_durable(submission const& work) const -> bool
{
    if (work.m_kind == submission_kind::job)
        return true;
    auto const* target = find_service(m_lease.config(), work.m_service);
    return target == nullptr || !is_idempotent(*target, work.m_path);
}

auto entry::arrived(time_point now, request_arrived const& request,
                    random_source& random, effects& out) -> void
{
    auto const& work = request.m_submission;
    auto const span = random.child_of(work.m_trace);
    if (auto const why = refusal(now, work))
    {
        out.emplace_back(
            reply{request.m_exchange, work.m_kind, *why, {}, span});
        out.emplace_back(count_refusal(*why));
        return;
    }
    auto const sequence = ++m_last_sequence;
    auto& pending = m_requests[sequence];
    pending.m_exchange = request.m_exchange;
    pending.m_submission = work;
    pending.m_parent_span = work.m_trace.m_span;
    pending.m_submission.m_trace = span;
    pending.m_arrived = now;
    pending.m_is_durable = is_durable(work);
    if (work.m_kind == submission_kind::request && work.m_deadline_ms == 0)
        pending.m_submission.m_deadline_ms =
            find_service(m_lease.config(), work.m_service)
                ->m_default_deadline_ms;
    auto const limit = pending.m_submission.m_deadline_ms;
    pending.m_deadline = limit == 0 ? now + job_timeout
                                    : now + std::chrono::milliseconds{limit} +
                                          leader_answer_grace;
    m_exchanges[request.m_exchange] = sequence;
    m_deadlines.emplace(pending.m_deadline, sequence);
    m_unsent.insert(sequence);
    if (m_retry_at == never)
        forward(now, out);
}

auto entry::arrived(time_point now, operation_arrived const& request,
                    effects& out) -> void
{
    auto const sequence = ++m_last_sequence;
    auto& pending = m_operations[sequence];
    pending.m_exchange = request.m_exchange;
    pending.m_operation = request.m_operation;
    pending.m_deadline = now + operation_timeout;
    if (auto const* change = std::get_if<set_evacuation>(&request.m_operation))
    {
        pending.m_order.emplace(*change);
        pending.m_deadline -= request.m_waited;
    }
    m_exchanges[request.m_exchange] = sequence;
    m_deadlines.emplace(pending.m_deadline, sequence);
    m_unsent.insert(sequence);
    forward(now, out);
}

auto entry::abandoned(exchange_id exchange, effects& out) -> void
{
    auto const found = m_exchanges.find(exchange);
    if (found == m_exchanges.end())
        return;
    auto const sequence = found->second;
    m_exchanges.erase(found);
    m_operations.erase(sequence);
    auto const request = m_requests.find(sequence);
    if (request == m_requests.end())
        return;
    if (request->second.m_send_count != 0 && m_lease.leader() != no_node)
        out.emplace_back(send{m_lease.leader(), cancel{sequence}});
    m_requests.erase(request);
}

auto entry::checked(time_point now, exchange_checked const& answer,
                    effects& out) -> void
{
    auto const exchange = m_exchanges.find(answer.m_exchange);
    if (exchange == m_exchanges.end())
        return;
    auto const found = m_operations.find(exchange->second);
    if (found == m_operations.end() || !found->second.m_order ||
        !found->second.m_order->requester_waits(answer.m_check))
        return;
    m_unsent.insert(found->first);
    forward(now, out);
}

auto entry::tick(time_point now, effects& out) -> void
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now)
    {
        auto const sequence = m_deadlines.begin()->second;
        m_deadlines.erase(m_deadlines.begin());
        if (auto const request = m_requests.find(sequence);
            request != m_requests.end())
        {
            auto const was_sent = request->second.m_send_count != 0;
            if (was_sent && m_lease.leader() != no_node)
                out.emplace_back(send{m_lease.leader(), cancel{sequence}});
            finish(now, sequence,
                   was_sent ? uncertain(reason::deadline)
                            : refused_by_entry(request->second.m_submission,
                                               reason::deadline, {}, 0),
                   {}, out);
        }
        if (auto const found = m_operations.find(sequence);
            found != m_operations.end())
        {
            auto result = operate_result{sequence, {}, 0, {}};
            result.m_verdict = found->second.m_was_sent
                                   ? uncertain(reason::no_leader)
                                   : refused(reason::no_leader);
            on(result, out);
        }
    }
    if (m_retry_at <= now)
    {
        m_retry_at = never;
        forward(now, out);
    }
    m_lease.tick(now, out);
}

auto entry::stop() -> void
{
    m_is_stopping = true;
}

auto entry::is_idle() const -> bool
{
    return m_is_stopping && m_requests.empty() && m_operations.empty();
}

auto entry::has_lease(time_point now) const -> bool
{
    return m_lease.is_valid(now);
}

auto entry::is_stopping() const -> bool
{
    return m_is_stopping;
}

auto entry::next_deadline() const -> time_point
{
    auto const first = m_deadlines.empty() ? never : m_deadlines.begin()->first;
    return std::min({first, m_retry_at, m_lease.next_deadline()});
}

auto entry::held_lease() const -> lease const&
{
    return m_lease;
}

auto entry::config() const -> configuration const&
{
    return m_lease.config();
}

auto entry::pending_requests() const -> std::size_t
{
    return m_requests.size();
}

auto entry::forward(time_point now, effects& out) -> void
{
    auto const leader = m_lease.leader();
    if (leader == no_node)
        return;
    for (auto const sequence : std::exchange(m_unsent, {}))
    {
        if (auto const request = m_requests.find(sequence);
            request != m_requests.end())
            forward(now, sequence, request->second, out);
        else if (auto const found = m_operations.find(sequence);
                 found != m_operations.end())
            forward(sequence, found->second, out);
    }
}

auto entry::forward(std::uint64_t sequence, pending_operation& request,
                    effects& out) -> void
{
    auto const next = request.m_order ? request.m_order->next_operation()
                                      : std::optional{request.m_operation};
    if (!next)
        return;
    // A request for a token changes nothing at the leader.
    if (!std::holds_alternative<issue_fencing_token>(*next))
        request.m_was_sent = true;
    out.emplace_back(send{m_lease.leader(), operate{sequence, *next}});
}

auto entry::forward(time_point now, std::uint64_t sequence,
                    pending_request& request, effects& out) -> void
{
    ++request.m_send_count;
    auto message = submit{sequence, request.m_submission, now, m_lease.term(),
                          request.m_send_count};
    if (request.m_submission.m_deadline_ms != 0)
    {
        // The leader counts the deadline from the arrival of this message.
        auto const left = std::chrono::duration_cast<std::chrono::milliseconds>(
                              request.m_deadline - leader_answer_grace - now)
                              .count();
        message.m_submission.m_deadline_ms =
            static_cast<std::uint32_t>(std::max<std::int64_t>(left, 1));
    }
    out.emplace_back(send{m_lease.leader(), std::move(message)});
}

auto entry::on(submit_result const& result, node_id from, time_point now,
               effects& out) -> void
{
    m_lease.extend(from, result.m_renewed);
    if (auto const found = m_requests.find(result.m_sequence);
        found != m_requests.end())
    {
        auto outcome = result.m_verdict;
        // Of an uncommitted request a leader knows only the attempts that it
        // started itself; an earlier send may have run under another leader.
        auto const is_only_send =
            found->second.m_is_durable || found->second.m_send_count == 1;
        if (outcome.m_run == run_state::not_run && !is_only_send)
            outcome.m_run = run_state::may_have_run;
        finish(now, result.m_sequence, std::move(outcome), result.m_answers,
               out);
    }
    else
        out.emplace_back(observe_metric{"hickorylatch_wasted_messages_total",
                                        {{"kind", "late_answer"}}});
}

auto entry::update_order(operate_result const& result, effects& out) -> bool
{
    auto const found = m_operations.find(result.m_sequence);
    if (found == m_operations.end() || !found->second.m_order)
        return false;
    auto& order = *found->second.m_order;
    if (result.m_token.m_term != 0)
    {
        order.token_issued(result.m_token);
        if (auto const check = order.take_due_check())
            out.emplace_back(check_exchange{found->second.m_exchange, *check});
        return true;
    }
    if (result.m_verdict.m_reason != reason::version_conflict)
        return false;
    order.restart();
    m_unsent.insert(result.m_sequence);
    return true;
}

auto entry::on(operate_result const& result, effects& out) -> void
{
    if (update_order(result, out))
        return;
    auto const found = m_operations.find(result.m_sequence);
    if (found == m_operations.end())
        return;
    out.emplace_back(reply_operator{found->second.m_exchange, result});
    m_exchanges.erase(found->second.m_exchange);
    m_operations.erase(found);
}

auto entry::on(not_leader const& refusal) -> void
{
    auto const found = m_requests.find(refusal.m_sequence);
    // An answer to an earlier copy does not apply to the copy in transit.
    if (found != m_requests.end() &&
        found->second.m_send_count != refusal.m_copy)
        return;
    m_unsent.insert(refusal.m_sequence);
}

auto entry::follow(time_point now, node_id from,
                   configuration_changed const& change, effects& out) -> void
{
    auto const is_new_leader =
        m_lease.leader() != from || m_lease.term() != change.m_term;
    if (is_new_leader && change.m_term >= m_lease.term())
        disconnected(m_lease.leader());
    if (!m_lease.follow(from, change.m_term, change.m_configuration))
        return;
    m_retry_delay = leader_retry_delay;
    lease::keep_links_to(change.m_members, out);
    m_lease.tick(now, out);
    forward(now, out);
}

auto entry::finish(time_point now, std::uint64_t sequence, verdict outcome,
                   std::vector<task_answer> answers, effects& out) -> void
{
    auto const found = m_requests.find(sequence);
    auto const& request = found->second;
    auto const& work = request.m_submission;
    auto const seconds =
        std::chrono::duration<double>(now - request.m_arrived).count();
    out.emplace_back(
        record_span{work.m_trace,
                    request.m_parent_span,
                    "entry.submission",
                    request.m_arrived,
                    now,
                    {{"customer", work.m_customer},
                     {"service", work.m_service},
                     {"verdict", std::string{to_string(outcome.m_run)}},
                     {"reason", std::string{to_string(outcome.m_reason)}}}});
    out.emplace_back(observe_metric{"hickorylatch_response_seconds",
                                    {{"service", work.m_service},
                                     {"customer", work.m_customer},
                                     {"priority", priority_label(work)}},
                                    seconds});
    if (outcome.m_run != run_state::ran)
        out.emplace_back(count_refusal(outcome));
    out.emplace_back(reply{request.m_exchange, work.m_kind, std::move(outcome),
                           std::move(answers), work.m_trace});
    m_exchanges.erase(request.m_exchange);
    m_requests.erase(found);
}

} // namespace hickorylatch::core
