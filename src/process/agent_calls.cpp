#include "process/agent_calls.hpp"

#include "core/model/traceparent.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace hickorylatch::process
{

namespace
{

// A server error is the endpoint's failure; other statuses are its answer.
constexpr auto first_server_error = 500;
constexpr auto first_client_error = 400;

auto to_name(core::attempt_id attempt) -> std::string
{
    return std::to_string(attempt.m_submission_id) + "-" +
           std::to_string(attempt.m_task);
}

} // namespace

agent_calls::agent_calls(net::event_loop& loop, net::socket_address target,
                         settings::agent_settings const& limits,
                         std::size_t answer_limit)
    : m_limits{limits}, m_client{loop, target, {.m_answer_limit = answer_limit}}
{
}

auto agent_calls::start(core::start_call const& call) -> void
{
    auto request = net::http_call{};
    request.m_path = call.m_path.empty() ? "/tasks" : call.m_path;
    request.m_body = call.m_task.m_body;
    request.m_headers = {{"Hickorylatch-Attempt", to_name(call.m_attempt)},
                         {"Content-Type", "application/octet-stream"}};
    if (auto header = core::print_traceparent(call.m_trace); !header.empty())
        request.m_headers.emplace_back("traceparent", std::move(header));
    auto limit = m_limits.m_call_timeout_ms;
    if (call.m_deadline_ms != 0)
    {
        limit = std::min(limit, call.m_deadline_ms);
        request.m_headers.emplace_back("Hickorylatch-Deadline-Ms",
                                       std::to_string(call.m_deadline_ms));
    }
    request.m_timeout = std::chrono::milliseconds{limit};
    m_calls[call.m_attempt] =
        m_client.start(request,
                       [this, attempt = call.m_attempt](net::http_result result)
                       {
                           finished(attempt, std::move(result));
                       });
}

auto agent_calls::cancel(core::cancel_call const& call) -> void
{
    auto const found = m_calls.find(call.m_attempt);
    if (found == m_calls.end())
        return;
    if (m_limits.m_kind == core::agent_kind::worker)
    {
        auto stop = net::http_call{};
        stop.m_path = "/attempts/" + to_name(call.m_attempt) + "/stop";
        stop.m_timeout = std::chrono::milliseconds{m_limits.m_call_timeout_ms};
        m_client.start(stop, [](net::http_result const&) {});
    }
    m_client.cancel(found->second);
}

auto agent_calls::call_finished()
    -> sigc::signal<void(core::call_finished const&)>&
{
    return m_call_finished;
}

auto agent_calls::finished(core::attempt_id attempt, net::http_result result)
    -> void
{
    m_calls.erase(attempt);
    auto done = core::call_finished{attempt, {}, {}};
    done.m_verdict.m_run = result.m_run;
    done.m_verdict.m_detail = std::move(result.m_error);
    if (result.m_run != core::run_state::ran)
        done.m_verdict.m_reason = core::reason::call_failed;
    auto& answer = result.m_answer;
    auto const is_worker = m_limits.m_kind == core::agent_kind::worker;
    auto const first_failure =
        is_worker ? first_client_error : first_server_error;
    done.m_answer.m_status = answer.m_status;
    done.m_answer.m_succeeded =
        result.m_run == core::run_state::ran && answer.m_status < first_failure;
    done.m_answer.m_body = std::move(answer.m_body);
    m_call_finished.emit(done);
}

} // namespace hickorylatch::process
