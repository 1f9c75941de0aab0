#ifndef HICKORYLATCH_CORE_MODEL_UTF8_HPP
#define HICKORYLATCH_CORE_MODEL_UTF8_HPP

#include <string>
#include <string_view>

namespace hickorylatch::core
{

[[nodiscard]] auto is_utf8(std::string_view bytes) -> bool;

/// Removes the bytes that are not part of valid UTF-8.
[[nodiscard]] auto skip_invalid_utf8(std::string_view bytes) -> std::string;

} // namespace hickorylatch::core

#endif
