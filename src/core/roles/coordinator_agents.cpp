#include "core/roles/coordinator.hpp"

#include <algorithm>
#include <utility>

namespace hickorylatch::core
{

namespace
{

// Retries allowed on top of the share of first starts.
constexpr auto retry_allowance = std::uint64_t{10};
// A task that is refused this many times fails its submission.
constexpr auto refusal_limit = 5U;

auto outcome_of(core::finished const& outcome) -> attempt_outcome
{
    if (outcome.m_verdict.m_run == run_state::not_run)
        return attempt_outcome::not_run;
    if (outcome.m_verdict.m_run == run_state::ran &&
        outcome.m_answer.m_succeeded)
        return attempt_outcome::succeeded;
    if (outcome.m_verdict.m_reason == reason::cancelled)
        return attempt_outcome::stopped;
    return attempt_outcome::failed;
}

auto count_wasted_message(control_context const& context, std::string_view kind)
    -> void
{
    context.m_out.emplace_back(observe_metric{
        "hickorylatch_wasted_messages_total", {{"kind", std::string{kind}}}});
}

} // namespace

auto coordinator::connected(node_id peer) -> void
{
    if (auto const link = m_agents.find(peer); link != m_agents.end())
        link->second.m_has_announced = false;
}

auto coordinator::announced(control_context const& context,
                            announce const& announcement) -> void
{
    auto const node = announcement.m_agent.m_node;
    auto& link = m_agents[node];
    link.m_info = announcement.m_agent;
    link.m_last_heard_at = context.m_now;
    link.m_is_connected = true;
    link.m_last_sent_at = announcement.m_sent_at;
    auto const is_new_link = !std::exchange(link.m_has_announced, true);
    m_unannounced_agents.erase(node);
    m_dispatcher.add_agent(context.m_now, announcement.m_agent,
                           announcement.m_running);
    auto answer = welcome{};
    answer.m_renewed = lease_grant(context, announcement.m_sent_at);
    answer.m_configuration = context.m_state.config();
    auto const members = context.m_replica.members();
    answer.m_members.assign(members.begin(), members.end());
    context.m_out.emplace_back(send{node, std::move(answer)});
    // On a link with an earlier announcement, starts may be in transit to the
    // agent.
    if (!is_new_link)
        return;
    match_orphans(announcement);
    reconcile_attempts(context, announcement);
}

auto coordinator::reconcile_attempts(control_context const& context,
                                     announce const& announcement) -> void
{
    auto known = announcement.m_running;
    known.insert(known.end(), announcement.m_finished.begin(),
                 announcement.m_finished.end());
    std::ranges::sort(known);
    auto missing = std::vector<attempt_id>{};
    for (auto& [id, work] : m_live)
    {
        if (work.m_has_ended)
            continue;
        for (auto number = 0U; number < work.m_tasks.size(); ++number)
        {
            auto& task = work.m_tasks[number];
            if (task.m_agent != announcement.m_agent.m_node ||
                (task.m_phase != task_phase::unknown &&
                 task.m_phase != task_phase::sent))
                continue;
            auto const attempt = attempt_id{id, number};
            if (std::ranges::binary_search(known, attempt))
                task.m_phase = task_phase::sent;
            else
                missing.push_back(attempt);
        }
    }
    // This incarnation of the agent did not start these; the start messages
    // were lost.
    for (auto const attempt : missing)
    {
        auto const found = m_live.find(attempt.m_submission_id);
        if (found == m_live.end() || found->second.m_has_ended)
            continue;
        m_dispatcher.finish(context.m_now, attempt, attempt_outcome::not_run);
        // The agent does not keep results of uncommitted requests, so such an
        // attempt may have run.
        if (is_volatile(attempt))
            task_lost(context, attempt);
        else
            enqueue(context, found->second, attempt.m_task,
                    announcement.m_agent.m_node);
    }
}

auto coordinator::finished(control_context const& context, node_id from,
                           core::finished const& outcome) -> void
{
    auto const link = m_agents.find(from);
    if (link == m_agents.end())
        return;
    link->second.m_last_heard_at = context.m_now;
    link->second.m_last_sent_at =
        std::max(link->second.m_last_sent_at, outcome.m_sent_at);
    auto const attempt = outcome.m_attempt;
    auto const found = m_live.find(attempt.m_submission_id);
    auto const is_current =
        found != m_live.end() &&
        attempt.m_task < found->second.m_tasks.size() &&
        found->second.m_tasks[attempt.m_task].m_agent == from &&
        found->second.m_tasks[attempt.m_task].m_phase == task_phase::sent;
    if (!is_current)
    {
        count_wasted_message(context, "late_result");
        if (found == m_live.end() && is_volatile(attempt))
            store_orphan_result(outcome);
        auto const is_reassigned =
            found != m_live.end() && !found->second.m_has_ended;
        if (!is_reassigned)
            m_dispatcher.finish(context.m_now, attempt, outcome_of(outcome));
        if (found == m_live.end() && !is_volatile(attempt))
            link->second.m_forgettable_attempts.push_back(attempt);
        return;
    }
    m_dispatcher.finish(context.m_now, attempt, outcome_of(outcome));
    if (!found->second.m_has_ended)
        task_ended(context, found->second, outcome);
    else
        found->second.m_tasks[attempt.m_task].m_phase = task_phase::done;
}

auto coordinator::task_ended(control_context const& context,
                             live_submission& work,
                             core::finished const& outcome) -> void
{
    auto const number = outcome.m_attempt.m_task;
    auto& task = work.m_tasks[number];
    auto const has_run = outcome.m_verdict.m_run == run_state::ran;
    if (outcome.m_verdict.m_run == run_state::not_run)
    {
        task_refused(context, work, number, outcome.m_verdict);
        return;
    }
    if ((!has_run || !outcome.m_answer.m_succeeded) && may_retry(work, number))
    {
        retry_task(context, work, number);
        return;
    }
    auto const is_job = work.m_submission.m_kind == submission_kind::job;
    if (!has_run || (is_job && !outcome.m_answer.m_succeeded))
    {
        auto const why =
            has_run ? reason::call_failed : outcome.m_verdict.m_reason;
        fail_submission(context, work, why,
                        "task " + std::to_string(number) +
                            " failed with status " +
                            std::to_string(outcome.m_answer.m_status) + ": " +
                            outcome.m_verdict.m_detail);
        return;
    }
    task.m_phase = task_phase::done;
    task.m_answer = outcome.m_answer;
    if (--work.m_remaining != 0)
        return;
    auto bytes = std::size_t{0};
    for (auto const& each : work.m_tasks)
        bytes += each.m_answer.m_body.size();
    // A larger log entry would not fit into a frame.
    if (work.m_is_proposed && bytes > m_settings.m_content_limit)
        fail_submission(context, work, reason::call_failed,
                        "the answers hold more than " +
                            std::to_string(m_settings.m_content_limit) +
                            " bytes");
    else
        finish_submission(context, work, {run_state::ran, reason::none, {}, 0});
}

auto coordinator::task_refused(control_context const& context,
                               live_submission& work, std::uint32_t number,
                               verdict const& why) -> void
{
    count_wasted_message(context, "refused_start");
    auto& task = work.m_tasks[number];
    task.m_phase = task_phase::waiting;
    if (++task.m_refusals >= refusal_limit)
    {
        fail_submission(context, work, why.m_reason,
                        "refused by several agents");
        return;
    }
    // The agent guarantees not to start the task, so any agent may run it.
    task.m_agent = no_node;
    enqueue(context, work, number, no_node);
}

auto coordinator::fail_submission(control_context const& context,
                                  live_submission& work, reason why,
                                  std::string_view detail,
                                  std::uint32_t retry_after_ms) -> void
{
    auto const has_started =
        std::ranges::any_of(work.m_tasks,
                            [](live_task const& task)
                            {
                                return task.m_retries != 0 ||
                                       task.m_phase == task_phase::sent ||
                                       task.m_phase == task_phase::unknown ||
                                       task.m_phase == task_phase::done;
                            });
    finish_submission(context, work,
                      has_started ? uncertain(why, detail)
                                  : refused(why, detail, retry_after_ms));
}

auto coordinator::may_retry(live_submission const& work,
                            std::uint32_t number) const -> bool
{
    return is_volatile({work.m_submission_id, number}) &&
           work.m_tasks[number].m_retries < m_settings.m_retry_limit &&
           m_retries * 100 < m_first_starts * m_settings.m_retry_percent +
                                 retry_allowance * 100;
}

auto coordinator::retry_task(control_context const& context,
                             live_submission& work, std::uint32_t number)
    -> void
{
    ++m_retries;
    ++work.m_tasks[number].m_retries;
    // The earlier attempt may still be running and hold a slot. A new id keeps
    // the two apart.
    change_submission_id(work.m_submission_id, new_submission_id(true));
    enqueue(context, work, number, no_node);
}

auto coordinator::task_lost(control_context const& context, attempt_id attempt)
    -> void
{
    auto const found = m_live.find(attempt.m_submission_id);
    if (found == m_live.end() || found->second.m_has_ended)
        return;
    auto& work = found->second;
    if (may_retry(work, attempt.m_task))
        retry_task(context, work, attempt.m_task);
    else
        fail_submission(context, work, reason::agent_lost,
                        "task " + std::to_string(attempt.m_task) +
                            " may have started on an agent that was lost");
}

auto coordinator::renewed(control_context const& context, node_id from,
                          renew const& renewal) -> void
{
    if (auto const link = m_agents.find(from); link != m_agents.end())
    {
        link->second.m_last_heard_at = context.m_now;
        link->second.m_last_sent_at =
            std::max(link->second.m_last_sent_at, renewal.m_sent_at);
    }
    // An agent without a usage measurement reports zero.
    if (renewal.m_used_millicores != 0 || renewal.m_used_memory_mb != 0)
        m_dispatcher.report_usage(from, renewal.m_used_millicores,
                                  renewal.m_used_memory_mb);
    context.m_out.emplace_back(
        send{from, lease_grant(context, renewal.m_sent_at)});
}

auto coordinator::disconnected(control_context const& context, node_id peer)
    -> void
{
    auto const link = m_agents.find(peer);
    if (link == m_agents.end())
        return;
    link->second.m_is_connected = false;
    link->second.m_has_announced = false;
    handle_lost_link(context, peer);
}

auto coordinator::handle_lost_link(control_context const& context,
                                   node_id agent) -> void
{
    m_dispatcher.set_leaving(agent, true);
    // The agent announces its running attempts again on a new link. Without one
    // no result of these can arrive.
    std::erase_if(m_orphans,
                  [agent](auto const& each)
                  {
                      return each.second.m_agent == agent &&
                             !each.second.m_outcome;
                  });
    auto attempts = std::vector<attempt_id>{};
    for (auto const& [id, work] : m_live)
    {
        if (is_volatile({id, 0}) && !work.m_has_ended &&
            work.m_tasks[0].m_agent == agent &&
            work.m_tasks[0].m_phase == task_phase::sent)
            attempts.push_back({id, 0});
    }
    for (auto const attempt : attempts)
    {
        m_dispatcher.finish(context.m_now, attempt, attempt_outcome::stopped);
        task_lost(context, attempt);
    }
}

auto coordinator::remove_lost_agent(control_context const& context,
                                    node_id agent) -> void
{
    auto const name = m_agents.contains(agent)
                          ? m_agents.at(agent).m_info.m_name
                          : std::string{"unknown"};
    context.m_out.emplace_back(
        log_line{log_level::warning, "agent_lost", {{"agent", name}}});
    m_dispatcher.remove_agent(agent);
    m_agents.erase(agent);
    m_unannounced_agents.erase(agent);
    auto lost = std::vector<attempt_id>{};
    auto movable = std::vector<attempt_id>{};
    for (auto& [id, work] : m_live)
    {
        for (auto number = 0U; number < work.m_tasks.size(); ++number)
        {
            auto const& task = work.m_tasks[number];
            if (task.m_agent != agent || task.m_phase == task_phase::done ||
                work.m_has_ended)
                continue;
            auto const is_lost = task.m_phase == task_phase::sent ||
                                 task.m_phase == task_phase::unknown;
            (is_lost ? lost : movable).push_back({id, number});
        }
    }
    for (auto const attempt : lost)
        task_lost(context, attempt);
    for (auto const attempt : movable)
    {
        auto const found = m_live.find(attempt.m_submission_id);
        if (found == m_live.end() || found->second.m_has_ended ||
            !found->second.m_is_committed)
            continue;
        m_dispatcher.withdraw(attempt);
        found->second.m_tasks[attempt.m_task].m_agent = no_node;
        enqueue(context, found->second, attempt.m_task, no_node);
    }
}

auto coordinator::cancel(control_context const& context, node_id from,
                         core::cancel const& request) -> void
{
    auto const known = m_waiting_requests.find({from, request.m_sequence});
    if (known == m_waiting_requests.end())
        return;
    auto const found = m_live.find(known->second);
    m_waiting_requests.erase(known);
    if (found == m_live.end())
        return;
    auto& work = found->second;
    std::erase_if(work.m_waiters,
                  [&](waiter const& who)
                  {
                      return who.m_entry == from &&
                             who.m_sequence == request.m_sequence;
                  });
    // An accepted submission is kept when its caller disconnects. The caller
    // can resend it with the same key to get the answer.
    if (work.m_waiters.empty() && !work.m_is_proposed)
        fail_submission(context, work, reason::cancelled, {});
}

auto coordinator::cancel_job(control_context const& context,
                             core::cancel_job const& request) -> verdict
{
    if (auto const found =
            m_ids_by_key.find({request.m_customer, request.m_key});
        found != m_ids_by_key.end())
    {
        fail_submission(context, m_live.at(found->second), reason::cancelled,
                        "cancelled by an operator");
        return {run_state::ran, reason::none, {}, 0};
    }
    if (context.m_state.find(request.m_customer, request.m_key) != nullptr)
        return refused(reason::invalid, "the job has already ended");
    return refused(reason::invalid, "no such job");
}

auto coordinator::agents() const -> std::map<node_id, agent_link> const&
{
    return m_agents;
}

auto coordinator::task_dispatcher() const -> dispatcher const&
{
    return m_dispatcher;
}

auto coordinator::live_submissions() const
    -> std::map<submission_id, live_submission> const&
{
    return m_live;
}

} // namespace hickorylatch::core
