#include "core/placement/job_claims.hpp"

#include "core/placement/log_fields.hpp"

#include <algorithm>
#include <utility>

namespace hickorylatch::core
{

namespace
{

// An agent of the same failure domain answers within 2 ms. Without an answer
// the job is admitted: clients rarely send a job to a second process, while
// lost agents are more common.
constexpr auto claim_answer_timeout = duration{std::chrono::milliseconds{40}};

} // namespace

auto job_claims::send_claim(time_point now, node_id agent,
                            claim_state const& claim, effects& out) -> void
{
    if (agent != no_node && claim.m_deadline > now)
        out.emplace_back(
            send{agent, claim_job{claim.m_job_id, claim.m_awaits_grant,
                                  whole_ms(claim.m_deadline - now)}});
}

auto job_claims::await_grant(time_point now, job_arrived const& request,
                             claim_location const& location,
                             time_point deadline, effects& out) -> void
{
    auto const& id = request.m_job.m_id;
    auto const [found, is_new] = m_waiting.try_emplace(id);
    auto& job = found->second;
    job.m_requests.push_back(request);
    if (!is_new)
        return;
    job.m_claim = {id, std::string{location.m_worker}, deadline, true};
    job.m_waiting_since = now;
    job.m_wait_until = now + claim_answer_timeout;
    job.m_is_granted = location.m_agent == no_node;
    job.m_was_held = is_stopping(id);
    send_claim(now, location.m_agent, job.m_claim, out);
}

auto job_claims::claim(time_point now, placed_job const& job,
                       claim_location const& location, effects& out) -> void
{
    auto const [entry, is_new] = m_claims.insert_or_assign(
        job.number(),
        claim_state{job.job().m_id, std::string{location.m_worker},
                    job.deadline(), false});
    send_claim(now, location.m_agent, entry->second, out);
}

auto job_claims::release(std::uint64_t number) -> void
{
    m_claims.erase(number);
}

auto job_claims::agent_announced(time_point now, node_id agent,
                                 std::string_view worker, effects& out) -> void
{
    for (auto const& [number, claim] : m_claims)
        if (claim.m_worker == worker)
            send_claim(now, agent, claim, out);
    for (auto const& [id, job] : m_waiting)
        if (job.m_claim.m_worker == worker && !job.m_is_granted)
            send_claim(now, agent, job.m_claim, out);
}

auto job_claims::answered(time_point now, claim_answer const& answer,
                          effects& out) -> void
{
    auto const found = m_waiting.find(answer.m_job_id);
    if (found == m_waiting.end())
        return;
    auto& job = found->second;
    job.m_is_granted = answer.m_is_granted;
    if (answer.m_is_granted)
        return;
    job.m_was_held = true;
    job.m_wait_until = now + std::chrono::milliseconds{answer.m_wait_ms};
    out.emplace_back(log_line{log_level::info,
                              "job_held_elsewhere",
                              {{"job", answer.m_job_id},
                               {"wait_ms", std::to_string(answer.m_wait_ms)}}});
}

auto job_claims::abandon(exchange_id exchange) -> void
{
    for (auto& [id, job] : m_waiting)
        std::erase_if(job.m_requests,
                      [exchange](job_arrived const& each)
                      {
                          return each.m_exchange == exchange;
                      });
    std::erase_if(m_waiting,
                  [](auto const& each)
                  {
                      return each.second.m_requests.empty();
                  });
}

auto job_claims::yield(node_id agent, std::string const& job_id, effects& out)
    -> std::vector<job_arrived>
{
    auto requests = std::vector<job_arrived>{};
    if (auto const found = m_waiting.find(job_id); found != m_waiting.end())
    {
        requests = std::move(found->second.m_requests);
        m_waiting.erase(found);
    }
    if (is_stopping(job_id))
        m_yield_agents[job_id].insert(agent);
    else
        out.emplace_back(send{agent, job_yielded{job_id}});
    return requests;
}

auto job_claims::mark_stopping(std::string const& job_id, std::uint64_t number)
    -> void
{
    m_stopping[job_id].insert(number);
    m_stopping_ids[number] = job_id;
}

auto job_claims::runs_stopped(std::uint64_t number, effects& out) -> void
{
    auto const known = m_stopping_ids.find(number);
    if (known == m_stopping_ids.end())
        return;
    auto const id = std::move(known->second);
    m_stopping_ids.erase(known);
    auto const found = m_stopping.find(id);
    found->second.erase(number);
    if (!found->second.empty())
        return;
    m_stopping.erase(found);
    auto const agents = m_yield_agents.find(id);
    if (agents == m_yield_agents.end())
        return;
    for (auto const agent : agents->second)
        out.emplace_back(send{agent, job_yielded{id}});
    m_yield_agents.erase(agents);
}

auto job_claims::take_ready(time_point now, effects& out)
    -> std::vector<ready_request>
{
    auto ready = std::vector<ready_request>{};
    for (auto each = m_waiting.begin(); each != m_waiting.end();)
    {
        auto& [id, job] = *each;
        if ((!job.m_is_granted && now < job.m_wait_until) || is_stopping(id))
        {
            ++each;
            continue;
        }
        if (!job.m_is_granted)
            out.emplace_back(
                log_line{log_level::warning,
                         "claim_unanswered",
                         {{"job", id},
                          {"held", job.m_was_held ? "yes" : "no"},
                          {"waited_ms", ms_field(now - job.m_waiting_since)}}});
        for (auto& request : job.m_requests)
        {
            request.m_may_have_run = request.m_may_have_run || job.m_was_held;
            ready.push_back({std::move(request), now - job.m_waiting_since});
        }
        each = m_waiting.erase(each);
    }
    return ready;
}

auto job_claims::is_waiting(std::string_view job_id) const -> bool
{
    return m_waiting.contains(job_id);
}

auto job_claims::is_stopping(std::string_view job_id) const -> bool
{
    return m_stopping.contains(job_id);
}

auto job_claims::size() const -> std::size_t
{
    return m_waiting.size();
}

auto job_claims::next_deadline() const -> time_point
{
    auto first = never;
    for (auto const& [id, job] : m_waiting)
        if (!job.m_is_granted && !is_stopping(id))
            first = std::min(first, job.m_wait_until);
    return first;
}

} // namespace hickorylatch::core
