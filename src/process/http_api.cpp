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
    auto const [stopped, error] = std::from_chars(text->data(), end, number);
    if (error != std::errc{} || stopped != end || number < 0)
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
    auto work = core::submission{};
    work.m_service = rest.substr(0, slash);
    work.m_path = slash == std::string_view::npos ? "/" : rest.substr(slash);
    // An encoded or relative path could name another resource at the endpoint
    // than the one whose idempotence is decided here.
    if (work.m_path.find('%') != std::string::npos ||
        work.m_path.find("..") != std::string::npos ||
        work.m_path.find("//") != std::string::npos)
        return fail(400, "the path must not hold '%', '..' or '//'");
    if (!request.m_query.empty())
        work.m_path += "?" + request.m_query;
    work.m_customer = read_text(request.m_headers, "Hickorylatch-Customer");
    if (work.m_customer.empty())
        return fail(400, "Hickorylatch-Customer: header is missing");
    work.m_key = read_text(request.m_headers, "Idempotency-Key");
    BOOST_LEAF_ASSIGN(work.m_submitted_at,
                      read_number<core::unix_milliseconds>(
                          request.m_headers, "Hickorylatch-Submitted-At"));
    BOOST_LEAF_ASSIGN(work.m_deadline_ms,
                      read_number<std::uint32_t>(request.m_headers,
                                                 "Hickorylatch-Deadline-Ms"));
    work.m_is_first_submission =
        net::find_header(request.m_headers, "Hickorylatch-First-Submission") ==
        "true";
    if (auto const header = net::find_header(request.m_headers, "traceparent"))
        work.m_trace =
            core::parse_traceparent(*header).value_or(core::trace_context{});
    work.m_tasks.resize(1);
    work.m_tasks[0].m_body = request.m_body;
    work.m_digest = settings::content_digest(work);
    return work;
}

auto http_status(core::verdict const& outcome) -> std::uint16_t
{
    switch (outcome.m_reason)
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

auto verdict_headers(core::verdict const& outcome) -> net::http_headers
{
    auto headers = net::http_headers{
        {"Hickorylatch-Verdict", std::string{to_string(outcome.m_run)}}};
    if (outcome.m_reason != core::reason::none)
        headers.emplace_back("Hickorylatch-Reason",
                             to_string(outcome.m_reason));
    if (outcome.m_retry_after_ms != 0)
    {
        auto const seconds =
            (outcome.m_retry_after_ms + milliseconds_per_second - 1) /
            milliseconds_per_second;
        headers.emplace_back("Retry-After", std::to_string(seconds));
    }
    return headers;
}

auto print_refusal(std::uint16_t status, core::verdict const& outcome)
    -> net::http_answer
{
    auto answer = net::http_answer{status, verdict_headers(outcome), {}};
    answer.m_headers.emplace_back("Content-Type", "application/json");
    answer.m_body = boost::json::serialize(
        boost::json::object{{"verdict", to_string(outcome.m_run)},
                            {"reason", to_string(outcome.m_reason)},
                            {"detail", outcome.m_detail},
                            {"retry_after_ms", outcome.m_retry_after_ms}});
    return answer;
}

auto print_reply(core::reply const& answer, std::uint32_t schema_version)
    -> net::http_answer
{
    auto const& outcome = answer.m_verdict;
    auto printed = net::http_answer{};
    if (answer.m_kind == core::submission_kind::job)
    {
        printed = {http_status(outcome), verdict_headers(outcome),
                   settings::print_job_answer(outcome, answer.m_answers,
                                              schema_version)};
        printed.m_headers.emplace_back("Content-Type", "application/json");
    }
    else if (outcome.m_run == core::run_state::ran &&
             answer.m_answers.size() == 1)
        printed = {answer.m_answers[0].m_status, verdict_headers(outcome),
                   answer.m_answers[0].m_body};
    else
        printed = print_refusal(http_status(outcome), outcome);
    if (auto header = core::print_traceparent(answer.m_trace); !header.empty())
        printed.m_headers.emplace_back("traceparent", std::move(header));
    return printed;
}

auto print_operator_reply(core::operate_result const& result)
    -> net::http_answer
{
    auto const& outcome = result.m_verdict;
    if (!result.m_document.empty())
        return {200, {{"Content-Type", "application/json"}}, result.m_document};
    auto printed = print_refusal(http_status(outcome), outcome);
    printed.m_body = boost::json::serialize(
        boost::json::object{{"verdict", to_string(outcome.m_run)},
                            {"reason", to_string(outcome.m_reason)},
                            {"detail", outcome.m_detail},
                            {"version", result.m_version}});
    return printed;
}

} // namespace hickorylatch::process
