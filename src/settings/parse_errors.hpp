#ifndef HICKORYLATCH_SETTINGS_PARSE_ERRORS_HPP
#define HICKORYLATCH_SETTINGS_PARSE_ERRORS_HPP

#include <string>
#include <string_view>
#include <vector>

namespace hickorylatch::settings
{

/// LEAF error object of every parse function of this folder: all errors found
/// in one pass, each as "source: path: reason". Handle it with a LEAF handler
/// that takes `parse_errors const&`.
struct parse_errors
{
    std::vector<std::string> m_messages;
    /// True if the same record may be accepted later without changes.
    bool m_may_retry = false;
};

/// The messages joined by the separator.
[[nodiscard]] auto to_string(parse_errors const& errors,
                             std::string_view separator = "\n") -> std::string;

} // namespace hickorylatch::settings

#endif
