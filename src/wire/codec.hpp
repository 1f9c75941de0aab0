#ifndef HICKORYLATCH_WIRE_CODEC_HPP
#define HICKORYLATCH_WIRE_CODEC_HPP

#include "core/model/effect.hpp"
#include "core/model/message.hpp"
#include "core/roles/control_state.hpp"

#include <boost/leaf/result.hpp>

#include <string>
#include <string_view>

namespace hickorylatch::wire
{

/// Reason why bytes could not be decoded. A LEAF error object.
struct decode_error
{
    std::string m_reason;
};

/// Encodes a value with the Thrift compact protocol.
[[nodiscard]] auto encode(core::message const& value) -> std::string;
[[nodiscard]] auto encode(core::log_entry const& value) -> std::string;
[[nodiscard]] auto encode(core::snapshot const& value) -> std::string;
[[nodiscard]] auto encode(core::hard_state const& value) -> std::string;
[[nodiscard]] auto encode(core::control_image const& value) -> std::string;

/// These fail with `decode_error` if the bytes are not exactly one value or if
/// a declared length is larger than the input. They never allocate more than a
/// small multiple of the input size.
[[nodiscard]] auto decode_message(std::string_view bytes)
    -> boost::leaf::result<core::message>;
[[nodiscard]] auto decode_log_entry(std::string_view bytes)
    -> boost::leaf::result<core::log_entry>;
[[nodiscard]] auto decode_snapshot(std::string_view bytes)
    -> boost::leaf::result<core::snapshot>;
[[nodiscard]] auto decode_control_image(std::string_view bytes)
    -> boost::leaf::result<core::control_image>;
[[nodiscard]] auto decode_hard_state(std::string_view bytes)
    -> boost::leaf::result<core::hard_state>;

} // namespace hickorylatch::wire

#endif
