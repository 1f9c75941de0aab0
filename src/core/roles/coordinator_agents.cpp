#include "core/roles/coordinator.hpp"

#include <algorithm>
#include <utility>

namespace hickorylatch::core
{

namespace
{

// Retries allowed before the share of first starts begins to count.
constexpr auto retry_allowance = std::uint64_t{10};
// A task refused by this many agents fails its submission.
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

auto count_wasted(control_context const& with, std::string_view kind) -> void
{
    with.m_out.emplace_back(observe_metric{"hickorylatch_wasted_messages_total",
                                           {{"kind", std::string{kind}}}});
}

} // namespace

auto coordinator::connected(node_id peer) -> void
{
    if (auto const link = m_agents.find(peer); link != m_agents.end())
        link->second.m_has_announced = false;
}

auto coordinator::announced(control_context const& with, announce const& news)
    -> void
{
    auto const node = news.m_agent.m_node;
    auto& link = m_agents[node];
    link.m_info = news.m_agent;
    link.m_heard_at = with.m_now;
    link.m_is_connected = true;
    link.m_last_sent_at = news.m_sent_at;
    auto const is_new_link = !std::exchange(link.m_has_announced, true);
    m_expected.erase(node);
    m_dispatcher.add_agent(with.m_now, news.m_agent, news.m_running);
    auto greeting = welcome{};
    greeting.m_renewed = grant(with, news.m_sent_at);
    greeting.m_configuration = with.m_state.config();
    auto const members = with.m_replica.members();
    greeting.m_members.assign(members.begin(), members.end());
    with.m_out.emplace_back(send{node, std::move(greeting)});
    // On a known link, starts may be on their way to the agent.
    if (!is_new_link)
        return;
    take_orphans(news);
    resolve_unknown(with, news);
}

auto coordinator::resolve_unknown(control_context const& with,
                                  announce const& news) -> void
{
    auto known = news.m_running;
    known.insert(known.end(), news.m_finished.begin(), news.m_finished.end());
    std::ranges::sort(known);
    auto missing = std::vector<attempt_id>{};
    for (auto& [id, work] : m_live)
    {
        if (work.m_has_ended)
            continue;
        for (auto number = 0U; number < work.m_tasks.size(); ++number)
        {
            auto& task = work.m_tasks[number];
            if (task.m_agent != news.m_agent.m_node ||
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
    // This incarnation did not start these; the order was lost on the way.
    for (auto const attempt : missing)
    {
        auto const found = m_live.find(attempt.m_submission_id);
        if (found == m_live.end() || found->second.m_has_ended)
            continue;
        m_dispatcher.finish(with.m_now, attempt, attempt_outcome::not_run);
        // Results of requests that are not committed are not kept, so one of
        // these may have run.
        if (is_volatile(attempt))
            task_lost(with, attempt);
        else
            enqueue(with, found->second, attempt.m_task, news.m_agent.m_node);
    }
}

auto coordinator::finished(control_context const& with, node_id from,
                           core::finished const& outcome) -> void
{
    auto const link = m_agents.find(from);
    if (link == m_agents.end())
        return;
    link->second.m_heard_at = with.m_now;
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
        count_wasted(with, "late_result");
        if (found == m_live.end() && is_volatile(attempt))
            keep_for_orphan(outcome);
        auto const is_elsewhere =
            found != m_live.end() && !found->second.m_has_ended;
        if (!is_elsewhere)
            m_dispatcher.finish(with.m_now, attempt, outcome_of(outcome));
        if (found == m_live.end() && !is_volatile(attempt))
            link->second.m_to_forget.push_back(attempt);
        return;
    }
    m_dispatcher.finish(with.m_now, attempt, outcome_of(outcome));
    if (!found->second.m_has_ended)
        task_ended(with, found->second, outcome);
    else
        found->second.m_tasks[attempt.m_task].m_phase = task_phase::done;
}

auto coordinator::task_ended(control_context const& with, live_submission& work,
                             core::finished const& outcome) -> void
{
    auto const number = outcome.m_attempt.m_task;
    auto& task = work.m_tasks[number];
    auto const has_run = outcome.m_verdict.m_run == run_state::ran;
    if (outcome.m_verdict.m_run == run_state::not_run)
    {
        task_refused(with, work, number, outcome.m_verdict);
        return;
    }
    if ((!has_run || !outcome.m_answer.m_succeeded) && may_retry(work, number))
    {
        retry(with, work, number);
        return;
    }
    auto const is_job = work.m_submission.m_kind == submission_kind::job;
    if (!has_run || (is_job && !outcome.m_answer.m_succeeded))
    {
        auto const why =
            has_run ? reason::call_failed : outcome.m_verdict.m_reason;
        fail(with, work, why,
             "task " + std::to_string(number) + " failed with status " +
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
    // A larger entry of the log would not fit into a frame.
    if (work.m_is_proposed && bytes > m_settings.m_content_limit)
        fail(with, work, reason::call_failed,
             "the answers hold more than " +
                 std::to_string(m_settings.m_content_limit) + " bytes");
    else
        end(with, work, {run_state::ran, reason::none, {}, 0});
}

auto coordinator::task_refused(control_context const& with,
                               live_submission& work, std::uint32_t number,
                               verdict const& why) -> void
{
    count_wasted(with, "refused_start");
    auto& task = work.m_tasks[number];
    task.m_phase = task_phase::waiting;
    if (++task.m_refusals >= refusal_limit)
    {
        fail(with, work, why.m_reason, "refused by several agents");
        return;
    }
    // That agent will never start it; any other one may.
    task.m_agent = no_node;
    enqueue(with, work, number, no_node);
}

auto coordinator::fail(control_context const& with, live_submission& work,
                       reason why, std::string_view detail,
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
    end(with, work,
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

auto coordinator::retry(control_context const& with, live_submission& work,
                        std::uint32_t number) -> void
{
    ++m_retries;
    ++work.m_tasks[number].m_retries;
    // The earlier attempt may still be running somewhere and hold a slot there.
    rename(work.m_submission_id, new_submission_id(true));
    enqueue(with, work, number, no_node);
}

auto coordinator::task_lost(control_context const& with, attempt_id attempt)
    -> void
{
    auto const found = m_live.find(attempt.m_submission_id);
    if (found == m_live.end() || found->second.m_has_ended)
        return;
    auto& work = found->second;
    if (may_retry(work, attempt.m_task))
        retry(with, work, attempt.m_task);
    else
        fail(with, work, reason::agent_lost,
             "task " + std::to_string(attempt.m_task) +
                 " may have started on an agent that was lost");
}

auto coordinator::renewed(control_context const& with, node_id from,
                          renew const& ask) -> void
{
    if (auto const link = m_agents.find(from); link != m_agents.end())
    {
        link->second.m_heard_at = with.m_now;
        link->second.m_last_sent_at =
            std::max(link->second.m_last_sent_at, ask.m_sent_at);
    }
    // An agent without a measurement reports zero.
    if (ask.m_used_millicores != 0 || ask.m_used_memory_mb != 0)
        m_dispatcher.report_usage(from, ask.m_used_millicores,
                                  ask.m_used_memory_mb);
    with.m_out.emplace_back(send{from, grant(with, ask.m_sent_at)});
}

auto coordinator::disconnected(control_context const& with, node_id peer)
    -> void
{
    auto const link = m_agents.find(peer);
    if (link == m_agents.end())
        return;
    link->second.m_is_connected = false;
    link->second.m_has_announced = false;
    abandon_link(with, peer);
}

auto coordinator::abandon_link(control_context const& with, node_id agent)
    -> void
{
    m_dispatcher.set_leaving(agent, true);
    // A new link announces what still runs; nothing else ends these.
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
        m_dispatcher.finish(with.m_now, attempt, attempt_outcome::stopped);
        task_lost(with, attempt);
    }
}

auto coordinator::give_up(control_context const& with, node_id agent) -> void
{
    auto const name = m_agents.contains(agent)
                          ? m_agents.at(agent).m_info.m_name
                          : std::string{"unknown"};
    with.m_out.emplace_back(
        log_line{log_level::warning, "agent_lost", {{"agent", name}}});
    m_dispatcher.remove_agent(agent);
    m_agents.erase(agent);
    m_expected.erase(agent);
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
        task_lost(with, attempt);
    for (auto const attempt : movable)
    {
        auto const found = m_live.find(attempt.m_submission_id);
        if (found == m_live.end() || found->second.m_has_ended ||
            !found->second.m_is_committed)
            continue;
        m_dispatcher.withdraw(attempt);
        found->second.m_tasks[attempt.m_task].m_agent = no_node;
        enqueue(with, found->second, attempt.m_task, no_node);
    }
}

auto coordinator::cancel(control_context const& with, node_id from,
                         core::cancel const& request) -> void
{
    auto const known = m_waiting.find({from, request.m_sequence});
    if (known == m_waiting.end())
        return;
    auto const found = m_live.find(known->second);
    m_waiting.erase(known);
    if (found == m_live.end())
        return;
    auto& work = found->second;
    std::erase_if(work.m_waiters,
                  [&](waiter const& who)
                  {
                      return who.m_entry == from &&
                             who.m_sequence == request.m_sequence;
                  });
    // Accepted work is not lost because its caller went away; it can be asked
    // for again by its key.
    if (work.m_waiters.empty() && !work.m_is_proposed)
        fail(with, work, reason::cancelled, {});
}

auto coordinator::cancel_job(control_context const& with,
                             core::cancel_job const& order) -> verdict
{
    if (auto const found = m_keys.find({order.m_customer, order.m_key});
        found != m_keys.end())
    {
        fail(with, m_live.at(found->second), reason::cancelled,
             "cancelled by an operator");
        return {run_state::ran, reason::none, {}, 0};
    }
    if (with.m_state.find(order.m_customer, order.m_key) != nullptr)
        return refused(reason::invalid, "the job has already ended");
    return refused(reason::invalid, "no such job");
}

auto coordinator::agents() const -> std::map<node_id, agent_link> const&
{
    return m_agents;
}

auto coordinator::work() const -> dispatcher const&
{
    return m_dispatcher;
}

auto coordinator::live() const
    -> std::map<submission_id, live_submission> const&
{
    return m_live;
}

} // namespace hickorylatch::core
