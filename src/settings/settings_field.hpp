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
    listener,  ///< "ip:port", port 0 to 65535; 0 lets the system choose.
    addresses, ///< Array of `address`.
    number,
    flag,
    section
};

/// One key of the settings. The table of them drives both the parser and the
/// reference page.
struct settings_field
{
    /// Path from the top, like "entry.body_limit_bytes".
    std::string_view m_path;
    field_type m_type = field_type::text;
    presence m_presence = presence::optional;
    /// Default as it is written in the page; empty if it is required.
    std::string_view m_default;
    /// Unit of a number, or the values of a choice.
    std::string_view m_unit;
    std::string_view m_meaning;
    /// Range of a number.
    number_range m_range;
};

/// Every key, sections before their fields.
[[nodiscard]] auto settings_fields() -> std::span<settings_field const>;

/// The entry of a key. The path must be in the table.
[[nodiscard]] auto settings_field_at(std::string_view path)
    -> settings_field const&;

/// Markdown tables of every key with type, unit, default and meaning, as they
/// stand in docs/settings.md.
[[nodiscard]] auto settings_reference() -> std::string;

} // namespace hickorylatch::settings

#endif
