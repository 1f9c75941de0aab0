#ifndef HICKORYLATCH_CORE_MODEL_UTF8_HPP
#define HICKORYLATCH_CORE_MODEL_UTF8_HPP

#include <string>
#include <string_view>

namespace hickorylatch::core
{

/// True if the bytes are valid UTF-8.
[[nodiscard]] auto is_utf8(std::string_view bytes) -> bool;

/// The bytes without those that are not valid UTF-8.
[[nodiscard]] auto skip_invalid_utf8(std::string_view bytes) -> std::string;

} // namespace hickorylatch::core

#endif
