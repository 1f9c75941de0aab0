#include "settings/record_schema.hpp"

#include <algorithm>
#include <string>

namespace hickorylatch::settings
{

auto read_schema_version(object_reader& record) -> std::uint32_t
{
    constexpr auto key = std::string_view{"schema_version"};
    auto version = std::int64_t{0};
    record.read_number(key, presence::required, {}, version);
    if (!record.has(key))
        return 0;
    if (version >= oldest_schema_version && version <= newest_schema_version)
        return static_cast<std::uint32_t>(version);
    record.fail(key, "schema version is not understood; versions " +
                         std::to_string(oldest_schema_version) + " to " +
                         std::to_string(newest_schema_version) + " are");
    return 0;
}

auto printable_schema_version(std::uint32_t version) -> std::uint32_t
{
    return std::clamp(version, oldest_schema_version, newest_schema_version);
}

} // namespace hickorylatch::settings
