#ifndef HICKORYLATCH_SETTINGS_RECORD_SCHEMA_HPP
#define HICKORYLATCH_SETTINGS_RECORD_SCHEMA_HPP

#include "settings/object_reader.hpp"

#include <cstdint>

namespace hickorylatch::settings
{

/// Supported schema versions of job and configuration records.
inline constexpr auto oldest_schema_version = std::uint32_t{1};
inline constexpr auto newest_schema_version = std::uint32_t{2};

/// First version with account managers, deadlines, accelerators and
/// `must_understand`.
inline constexpr auto schema_version_2 = std::uint32_t{2};

/// Reads "schema_version". Adds an error and returns 0 if it is missing or not
/// supported; the other fields then must not be read.
[[nodiscard]] auto read_schema_version(object_reader& record) -> std::uint32_t;

/// The supported version nearest to the given one.
[[nodiscard]] auto printable_schema_version(std::uint32_t version)
    -> std::uint32_t;

} // namespace hickorylatch::settings

#endif
