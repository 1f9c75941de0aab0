#ifndef HICKORYLATCH_PROCESS_HTTP_API_HPP
#define HICKORYLATCH_PROCESS_HTTP_API_HPP

#include "core/model/effect.hpp"
#include "core/model/submission.hpp"
#include "core/model/verdict.hpp"
#include "net/http_message.hpp"

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace hickorylatch::process
{

/// A caller's request that is invalid. Carried as a LEAF error object; nothing
/// was started for it.
struct bad_request
{
    std::uint16_t m_status = 400;
    std::string m_text;
};

/// Parses a caller's `POST /v1/services/{service}/{path}`.
[[nodiscard]] auto parse_caller_request(net::http_request const& request)
    -> boost::leaf::result<core::submission>;

/// HTTP status of a verdict. Requests that ran use their endpoint's status
/// instead.
[[nodiscard]] auto http_status(core::verdict const& verdict) -> std::uint16_t;

/// Headers that carry the verdict.
[[nodiscard]] auto verdict_headers(core::verdict const& verdict)
    -> net::http_headers;

/// HTTP answer to a caller or to an operator who posted a job.
[[nodiscard]] auto make_reply(core::reply const& reply,
                              std::uint32_t schema_version) -> net::http_answer;

[[nodiscard]] auto make_operator_reply(core::operate_result const& result)
    -> net::http_answer;

/// HTTP answer that refuses a request, with the verdict as a JSON document.
[[nodiscard]] auto make_refusal(std::uint16_t status,
                                core::verdict const& verdict)
    -> net::http_answer;

} // namespace hickorylatch::process

#endif
