#ifndef HICKORYLATCH_SETTINGS_SETTINGS_FIELD_HPP
#define HICKORYLATCH_SETTINGS_SETTINGS_FIELD_HPP

#include "settings/object_reader.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace hickorylatch::settings
{

enum class field_type : std::uint8_t
{
    text,
    name,
    file,
    choice,
    address,   ///< "ip:port", port 1 to 65535.
    listener,  ///< "ip:port", port 0 to 65535; 0 for any free port.
    addresses, ///< Array of `address`.
    names,     ///< Array of `name`.
    number,
    flag,
    section
};

/// Definition of one settings key. The parser and the reference page both use
/// the table of these definitions.
struct settings_field
{
    /// Path from the root, such as "entry.body_limit_bytes".
    std::string_view m_path;
    field_type m_type = field_type::text;
    presence m_presence = presence::optional;
    /// Default as shown on the reference page; empty for a required key.
    std::string_view m_default;
    /// Unit of a number, or the values of a choice.
    std::string_view m_unit;
    std::string_view m_description;
    /// Range of a number.
    number_range m_range;
};

/// All keys; each section is followed by its fields.
[[nodiscard]] auto settings_fields() -> std::span<settings_field const>;

/// Definition of a key. The path must be in the table.
[[nodiscard]] auto settings_field_at(std::string_view path)
    -> settings_field const&;

/// Markdown tables of all keys with type, unit, default and meaning, as
/// included in docs/settings.md.
[[nodiscard]] auto settings_reference() -> std::string;

} // namespace hickorylatch::settings

#endif
