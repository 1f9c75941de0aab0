#ifndef HICKORYLATCH_SETTINGS_JSON_DOCUMENT_HPP
#define HICKORYLATCH_SETTINGS_JSON_DOCUMENT_HPP

#include "settings/error_collector.hpp"
#include "settings/object_reader.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

namespace hickorylatch::settings
{

enum class json_syntax : std::uint8_t
{
    strict,
    /// Comments and trailing commas are allowed.
    with_comments
};

/// A parsed JSON text whose root is an object without duplicate keys.
class json_document
{
public:
    /// Adds errors for invalid syntax, duplicate keys, numbers out of range and
    /// a root that is not an object.
    json_document(std::string_view text, json_syntax syntax,
                  error_collector& errors);
    ~json_document();
    json_document(json_document const&) = delete;
    auto operator=(json_document const&) -> json_document& = delete;

    /// Reader of the root object. Empty if the syntax is invalid or the root is
    /// not an object. The document and the collector must outlive it.
    [[nodiscard]] auto root() const -> std::optional<object_reader>;

private:
    std::unique_ptr<boost::json::value> m_value;
    error_collector* m_errors;
};

} // namespace hickorylatch::settings

#endif
