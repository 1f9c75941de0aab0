#ifndef HICKORYLATCH_SETTINGS_ERROR_COLLECTOR_HPP
#define HICKORYLATCH_SETTINGS_ERROR_COLLECTOR_HPP

#include "settings/parse_errors.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace hickorylatch::settings
{

/// Collects errors while one source is parsed.
class error_collector
{
public:
    /// The source is a file name or the kind of record.
    explicit error_collector(std::string_view source);

    /// Adds "source: path: reason". An empty path means the whole source.
    auto add(std::string_view path, std::string_view reason) -> void;
    /// Adds an error that may not occur if the same record is sent again later.
    auto add_retryable(std::string_view path, std::string_view reason) -> void;

    [[nodiscard]] auto has_errors() const -> bool;
    /// Moves the errors out of the collector.
    [[nodiscard]] auto take() -> parse_errors;

private:
    std::string m_source;
    parse_errors m_errors;
    std::size_t m_omitted = 0;
    std::size_t m_retryable = 0;
};

/// Path of a field within an object: "object.key".
[[nodiscard]] auto join_path(std::string_view object, std::string_view key)
    -> std::string;

/// Path of an element within an array: "array[index]".
[[nodiscard]] auto join_path(std::string_view array, std::size_t index)
    -> std::string;

} // namespace hickorylatch::settings

#endif
