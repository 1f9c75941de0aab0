#ifndef HICKORYLATCH_SETTINGS_RECORD_SCHEMA_HPP
#define HICKORYLATCH_SETTINGS_RECORD_SCHEMA_HPP

#include "settings/object_reader.hpp"

#include <cstdint>

namespace hickorylatch::settings
{

/// Schema versions of job and configuration records that are understood.
inline constexpr auto oldest_schema_version = std::uint32_t{1};
inline constexpr auto newest_schema_version = std::uint32_t{2};

/// First version with account managers, deadlines, accelerators and
/// `must_understand`.
inline constexpr auto managers_schema_version = std::uint32_t{2};

/// Reads "schema_version". Adds an error and returns 0 if it is missing or not
/// understood; the other fields then have no known meaning.
[[nodiscard]] auto read_schema_version(object_reader& record) -> std::uint32_t;

/// The nearest version that can be printed.
[[nodiscard]] auto printable_schema_version(std::uint32_t version)
    -> std::uint32_t;

} // namespace hickorylatch::settings

#endif
