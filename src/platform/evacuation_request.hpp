#ifndef HICKORYLATCH_PLATFORM_EVACUATION_REQUEST_HPP
#define HICKORYLATCH_PLATFORM_EVACUATION_REQUEST_HPP

#include "core/model/message.hpp"
#include "net/http_message.hpp"

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace hickorylatch::platform
{

/// A request that had no effect. Carried as a LEAF error object.
struct rejected_request
{
    std::uint16_t m_status = 400;
    std::string m_text;
};

/// True if requests on this path evacuate or restore a failure domain.
[[nodiscard]] auto is_evacuation_path(std::string_view path) -> bool;

/// Parses an operator's request on such a path. Errors: `rejected_request`.
[[nodiscard]] auto parse_evacuation(net::http_request const& request)
    -> boost::leaf::result<core::set_evacuation>;

/// The answer to an operator whose request had this result.
[[nodiscard]] auto make_evacuation_answer(core::verdict const& verdict)
    -> net::http_answer;

/// A JSON answer that states why a request had no effect.
[[nodiscard]] auto make_rejection(rejected_request const& rejected)
    -> net::http_answer;

} // namespace hickorylatch::platform

#endif
