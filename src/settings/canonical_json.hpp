#ifndef HICKORYLATCH_SETTINGS_CANONICAL_JSON_HPP
#define HICKORYLATCH_SETTINGS_CANONICAL_JSON_HPP

#include <string>

namespace boost::json
{
class object;
} // namespace boost::json

namespace hickorylatch::settings
{

/// Serializes an object without whitespace and with the keys of every object
/// sorted, so that records that differ only in the order of fields have the
/// same text.
[[nodiscard]] auto print_canonical(boost::json::object const& object)
    -> std::string;

} // namespace hickorylatch::settings

#endif
