#include "core/roles/coordinator.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace hickorylatch::core
{

auto coordinator::committed(control_context const& context,
                            log_entry const& entry) -> void
{
    if (auto const* accepted = std::get_if<accept_submission>(&entry.m_command))
        on_accepted(context, accepted->m_submission_id);
    else if (auto const* ended = std::get_if<end_submission>(&entry.m_command))
        on_ended(context, ended->m_submission_id);
    else if (auto const* moved = std::get_if<core::reallot>(&entry.m_command))
        on_reallotted(context, *moved);
    else if (std::holds_alternative<change_configuration>(entry.m_command))
        m_dispatcher.apply(context.m_state.config());
    else if (std::holds_alternative<set_evacuation>(entry.m_command))
        m_dispatcher.apply(context.m_state.evacuated().m_current);
}

auto coordinator::on_accepted(control_context const& context, submission_id id)
    -> void
{
    auto const found = m_live.find(id);
    if (found == m_live.end())
        return;
    auto& work = found->second;
    work.m_is_committed = true;
    if (work.m_has_ended)
    {
        propose_end(context, work, {});
        return;
    }
    if (work.m_submission.m_kind == submission_kind::request)
    {
        start_committed(context, work, 0);
        return;
    }
    for (auto task = 0U; task < work.m_tasks.size(); ++task)
    {
        if (work.m_tasks[task].m_phase == task_phase::committing &&
            !enqueue(context, work, task, work.m_tasks[task].m_agent))
            return;
    }
}

auto coordinator::on_reallotted(control_context const& context,
                                core::reallot const& moved) -> void
{
    auto const found = m_live.find(moved.m_submission_id);
    if (found == m_live.end() || found->second.m_has_ended)
        return;
    for (auto const& [task, agent] : moved.m_allotments)
    {
        auto& waiting = found->second.m_tasks[task];
        if (waiting.m_phase == task_phase::moving)
        {
            waiting.m_phase = task_phase::waiting;
            waiting.m_agent = agent;
            m_dispatcher.reassign({moved.m_submission_id, task}, agent);
        }
        else if (waiting.m_phase == task_phase::committing &&
                 waiting.m_agent == agent)
            start_committed(context, found->second, task);
    }
}

auto coordinator::start_committed(control_context const& context,
                                  live_submission& work, std::uint32_t task)
    -> void
{
    if (work.m_tasks[task].m_phase != task_phase::committing)
        return;
    // The agent may have been removed while its allotment was being committed.
    if (m_agents.contains(work.m_tasks[task].m_agent))
        send_start(context, work, task);
    else
        enqueue(context, work, task, no_node);
}

auto coordinator::on_ended(control_context const& context, submission_id id)
    -> void
{
    auto const found = m_live.find(id);
    if (found == m_live.end())
        return;
    auto& work = found->second;
    for (auto task = 0U; task < work.m_tasks.size(); ++task)
    {
        auto const link = m_agents.find(work.m_tasks[task].m_agent);
        if (link != m_agents.end())
            link->second.m_forgettable_attempts.push_back({id, task});
    }
    for (auto const& who : std::exchange(work.m_waiters, {}))
        send_answer(context, who, work.m_verdict, {});
    m_ids_by_key.erase({work.m_submission.m_customer, work.m_submission.m_key});
    m_live.erase(found);
}

auto coordinator::finish_submission(control_context const& context,
                                    live_submission& work,
                                    verdict const& outcome) -> void
{
    if (work.m_has_ended)
        return;
    work.m_has_ended = true;
    work.m_verdict = outcome;
    auto answers = std::vector<task_answer>{};
    for (auto number = 0U; number < work.m_tasks.size(); ++number)
    {
        auto& task = work.m_tasks[number];
        if (task.m_phase == task_phase::done)
            answers.push_back(task.m_answer);
        else
            release_task(context, work, number);
    }
    if (!work.m_is_proposed)
    {
        for (auto const& who : std::exchange(work.m_waiters, {}))
            send_answer(context, who, outcome, answers);
        m_ids_by_key.erase(
            {work.m_submission.m_customer, work.m_submission.m_key});
        m_live.erase(work.m_submission_id);
        return;
    }
    // A failure is reported only after its end is committed, because until then
    // a later leader could still run the remaining tasks. A complete answer
    // does not wait for the commit: the agents still hold the results.
    if (outcome.m_run == run_state::ran)
    {
        for (auto const& who : std::exchange(work.m_waiters, {}))
            send_answer(context, who, outcome, answers);
    }
    else
        answers.clear();
    if (work.m_is_committed)
        propose_end(context, work, std::move(answers));
}

auto coordinator::release_task(control_context const& context,
                               live_submission& work, std::uint32_t number)
    -> void
{
    auto const& task = work.m_tasks[number];
    auto const attempt = attempt_id{work.m_submission_id, number};
    if (task.m_phase == task_phase::waiting ||
        task.m_phase == task_phase::moving)
        m_dispatcher.withdraw(attempt);
    else if (task.m_phase == task_phase::committing)
        m_dispatcher.finish(context.m_now, attempt, attempt_outcome::not_run);
    else
        context.m_out.emplace_back(
            send{task.m_agent, stop_attempt{m_term, attempt}});
}

auto coordinator::propose_end(control_context const& context,
                              live_submission const& work,
                              std::vector<task_answer> answers) -> void
{
    context.m_replica.propose(end_submission{work.m_submission_id,
                                             work.m_verdict, std::move(answers),
                                             context.m_wall_clock});
}

} // namespace hickorylatch::core
