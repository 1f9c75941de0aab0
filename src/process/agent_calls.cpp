#include "process/agent_calls.hpp"

#include "core/model/traceparent.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace hickorylatch::process
{

namespace
{

// An endpoint fails with a 5xx status; any other status is its answer. A worker
// also fails with a 4xx status.
constexpr auto first_server_error_status = 500;
constexpr auto first_client_error_status = 400;

auto attempt_name(core::attempt_id attempt) -> std::string
{
    return std::to_string(attempt.m_submission_id) + "-" +
           std::to_string(attempt.m_task);
}

} // namespace

agent_calls::agent_calls(net::event_loop& loop, net::socket_address target,
                         settings::agent_settings const& agent,
                         std::size_t answer_limit)
    : m_settings{agent}, m_client{
                             loop, target, {.m_answer_limit = answer_limit}}
{
}

auto agent_calls::start(core::start_call const& call) -> void
{
    auto request = net::http_call{};
    request.m_path = call.m_path.empty() ? "/tasks" : call.m_path;
    request.m_body = call.m_task.m_body;
    request.m_headers = {{"Hickorylatch-Attempt", attempt_name(call.m_attempt)},
                         {"Content-Type", "application/octet-stream"}};
    if (auto header = core::print_traceparent(call.m_trace); !header.empty())
        request.m_headers.emplace_back("traceparent", std::move(header));
    auto timeout_ms = m_settings.m_call_timeout_ms;
    if (call.m_deadline_ms != 0)
    {
        timeout_ms = std::min(timeout_ms, call.m_deadline_ms);
        request.m_headers.emplace_back("Hickorylatch-Deadline-Ms",
                                       std::to_string(call.m_deadline_ms));
    }
    request.m_timeout = std::chrono::milliseconds{timeout_ms};
    m_calls[call.m_attempt] =
        m_client.start(request,
                       [this, attempt = call.m_attempt](net::http_result result)
                       {
                           handle_result(attempt, std::move(result));
                       });
}

auto agent_calls::cancel(core::cancel_call const& call) -> void
{
    auto const pending_call = m_calls.find(call.m_attempt);
    if (pending_call == m_calls.end())
        return;
    if (m_settings.m_kind == core::agent_kind::worker)
    {
        auto stop_request = net::http_call{};
        stop_request.m_path =
            "/attempts/" + attempt_name(call.m_attempt) + "/stop";
        stop_request.m_timeout =
            std::chrono::milliseconds{m_settings.m_call_timeout_ms};
        m_client.start(stop_request, [](net::http_result const&) {});
    }
    m_client.cancel(pending_call->second);
}

auto agent_calls::call_finished()
    -> sigc::signal<void(core::call_finished const&)>&
{
    return m_call_finished;
}

auto agent_calls::handle_result(core::attempt_id attempt,
                                net::http_result result) -> void
{
    m_calls.erase(attempt);
    auto event = core::call_finished{attempt, {}, {}};
    event.m_verdict.m_run = result.m_run;
    event.m_verdict.m_detail = std::move(result.m_error);
    if (result.m_run != core::run_state::ran)
        event.m_verdict.m_reason = core::reason::call_failed;
    auto& answer = result.m_answer;
    auto const is_worker = m_settings.m_kind == core::agent_kind::worker;
    auto const first_failure_status =
        is_worker ? first_client_error_status : first_server_error_status;
    event.m_answer.m_status = answer.m_status;
    event.m_answer.m_succeeded = result.m_run == core::run_state::ran &&
                                 answer.m_status < first_failure_status;
    event.m_answer.m_body = std::move(answer.m_body);
    m_call_finished.emit(event);
}

} // namespace hickorylatch::process
