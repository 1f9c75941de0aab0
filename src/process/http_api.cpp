#include "process/http_api.hpp"

#include "core/model/traceparent.hpp"
#include "settings/content_digest.hpp"
#include "settings/job_record.hpp"

#include <boost/json.hpp>
#include <boost/leaf/error.hpp>

#include <charconv>
#include <concepts>

namespace hickorylatch::process
{

namespace
{

constexpr auto services_prefix = std::string_view{"/v1/services/"};
constexpr auto milliseconds_per_second = 1000U;

auto fail(std::uint16_t status, std::string text) -> boost::leaf::error_id
{
    return boost::leaf::new_error(bad_request{status, std::move(text)});
}

template <std::integral Number>
auto read_number(net::http_headers const& headers, std::string_view name)
    -> boost::leaf::result<Number>
{
    auto const text = net::find_header(headers, name);
    if (!text)
        return Number{0};
    auto number = Number{0};
    auto const* const end = text->data() + text->size();
    auto const [parsed_end, error] = std::from_chars(text->data(), end, number);
    if (error != std::errc{} || parsed_end != end || number < 0)
        return fail(400, std::string{name} +
                             ": expected a whole number, got '" +
                             std::string{*text} + "'");
    return number;
}

auto read_text(net::http_headers const& headers, std::string_view name)
    -> std::string
{
    return std::string{net::find_header(headers, name).value_or("")};
}

} // namespace

auto parse_caller_request(net::http_request const& request)
    -> boost::leaf::result<core::submission>
{
    auto const path = std::string_view{request.m_path};
    if (!path.starts_with(services_prefix))
        return fail(404, "no such resource; callers post to "
                         "/v1/services/{service}/{path}");
    if (request.m_method != "POST")
        return fail(405, "use POST");
    auto const rest = path.substr(services_prefix.size());
    auto const slash = rest.find('/');
    auto submission = core::submission{};
    submission.m_service = rest.substr(0, slash);
    submission.m_path =
        slash == std::string_view::npos ? "/" : rest.substr(slash);
    // The endpoint could resolve an encoded or relative path to another
    // resource than the one whose idempotence is checked here.
    if (submission.m_path.find('%') != std::string::npos ||
        submission.m_path.find("..") != std::string::npos ||
        submission.m_path.find("//") != std::string::npos)
        return fail(400, "the path must not hold '%', '..' or '//'");
    if (!request.m_query.empty())
        submission.m_path += "?" + request.m_query;
    submission.m_customer =
        read_text(request.m_headers, "Hickorylatch-Customer");
    if (submission.m_customer.empty())
        return fail(400, "Hickorylatch-Customer: header is missing");
    submission.m_key = read_text(request.m_headers, "Idempotency-Key");
    BOOST_LEAF_ASSIGN(submission.m_submitted_at,
                      read_number<core::unix_milliseconds>(
                          request.m_headers, "Hickorylatch-Submitted-At"));
    BOOST_LEAF_ASSIGN(submission.m_deadline_ms,
                      read_number<std::uint32_t>(request.m_headers,
                                                 "Hickorylatch-Deadline-Ms"));
    submission.m_is_first_submission =
        net::find_header(request.m_headers, "Hickorylatch-First-Submission") ==
        "true";
    if (auto const header = net::find_header(request.m_headers, "traceparent"))
        submission.m_trace =
            core::parse_traceparent(*header).value_or(core::trace_context{});
    submission.m_tasks.resize(1);
    submission.m_tasks[0].m_body = request.m_body;
    submission.m_digest = settings::content_digest(submission);
    return submission;
}

auto http_status(core::verdict const& verdict) -> std::uint16_t
{
    switch (verdict.m_reason)
    {
    case core::reason::none:
        return 200;
    case core::reason::invalid:
    case core::reason::missing_submitted_at:
        return 400;
    case core::reason::unknown_customer:
    case core::reason::unknown_service:
        return 404;
    case core::reason::key_conflict:
    case core::reason::version_conflict:
        return 409;
    case core::reason::key_forgotten:
        return 410;
    case core::reason::quota:
        return 429;
    case core::reason::cancelled:
        return 499;
    case core::reason::agent_lost:
    case core::reason::call_failed:
        return 502;
    case core::reason::deadline:
        return 504;
    default:
        return 503;
    }
}

auto verdict_headers(core::verdict const& verdict) -> net::http_headers
{
    auto headers = net::http_headers{
        {"Hickorylatch-Verdict", std::string{to_string(verdict.m_run)}}};
    if (verdict.m_reason != core::reason::none)
        headers.emplace_back("Hickorylatch-Reason",
                             to_string(verdict.m_reason));
    if (verdict.m_retry_after_ms != 0)
    {
        auto const seconds =
            (verdict.m_retry_after_ms + milliseconds_per_second - 1) /
            milliseconds_per_second;
        headers.emplace_back("Retry-After", std::to_string(seconds));
    }
    return headers;
}

auto make_refusal(std::uint16_t status, core::verdict const& verdict)
    -> net::http_answer
{
    auto response = net::http_answer{status, verdict_headers(verdict), {}};
    response.m_headers.emplace_back("Content-Type", "application/json");
    response.m_body = boost::json::serialize(
        boost::json::object{{"verdict", to_string(verdict.m_run)},
                            {"reason", to_string(verdict.m_reason)},
                            {"detail", verdict.m_detail},
                            {"retry_after_ms", verdict.m_retry_after_ms}});
    return response;
}

auto make_reply(core::reply const& reply, std::uint32_t schema_version)
    -> net::http_answer
{
    auto const& verdict = reply.m_verdict;
    auto response = net::http_answer{};
    if (reply.m_kind == core::submission_kind::job)
    {
        response = {http_status(verdict), verdict_headers(verdict),
                    settings::print_job_answer(verdict, reply.m_answers,
                                               schema_version)};
        response.m_headers.emplace_back("Content-Type", "application/json");
    }
    else if (verdict.m_run == core::run_state::ran &&
             reply.m_answers.size() == 1)
        response = {reply.m_answers[0].m_status, verdict_headers(verdict),
                    reply.m_answers[0].m_body};
    else
        response = make_refusal(http_status(verdict), verdict);
    if (auto header = core::print_traceparent(reply.m_trace); !header.empty())
        response.m_headers.emplace_back("traceparent", std::move(header));
    return response;
}

auto make_operator_reply(core::operate_result const& result) -> net::http_answer
{
    auto const& verdict = result.m_verdict;
    if (!result.m_document.empty())
        return {200, {{"Content-Type", "application/json"}}, result.m_document};
    auto response = make_refusal(http_status(verdict), verdict);
    response.m_body = boost::json::serialize(
        boost::json::object{{"verdict", to_string(verdict.m_run)},
                            {"reason", to_string(verdict.m_reason)},
                            {"detail", verdict.m_detail},
                            {"version", result.m_version}});
    return response;
}

} // namespace hickorylatch::process
