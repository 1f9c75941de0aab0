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

/// A caller's request that could not be understood. Carried as a LEAF error
/// object; nothing of it ran.
struct bad_request
{
    std::uint16_t m_status = 400;
    std::string m_text;
};

/// Reads a caller's `POST /v1/services/{service}/{path}`.
[[nodiscard]] auto parse_caller_request(net::http_request const& request)
    -> boost::leaf::result<core::submission>;

/// HTTP status of an outcome. A request that ran has its endpoint's status.
[[nodiscard]] auto http_status(core::verdict const& outcome) -> std::uint16_t;

/// Headers that carry the verdict.
[[nodiscard]] auto verdict_headers(core::verdict const& outcome)
    -> net::http_headers;

/// The answer to a caller or to the operator who posted a job.
[[nodiscard]] auto print_reply(core::reply const& answer,
                               std::uint32_t schema_version)
    -> net::http_answer;

[[nodiscard]] auto print_operator_reply(core::operate_result const& result)
    -> net::http_answer;

/// A refusal as a JSON document with its verdict.
[[nodiscard]] auto print_refusal(std::uint16_t status,
                                 core::verdict const& outcome)
    -> net::http_answer;

} // namespace hickorylatch::process

#endif
