#ifndef HICKORYLATCH_SETTINGS_EVACUATION_RECORD_HPP
#define HICKORYLATCH_SETTINGS_EVACUATION_RECORD_HPP

#include "core/model/command.hpp"
#include "settings/parse_errors.hpp"

#include <boost/leaf/result.hpp>

#include <string_view>

namespace hickorylatch::settings
{

/// Parses a record that evacuates or restores a failure domain. Records with
/// the same request ID and content have the same command number. Errors:
/// `parse_errors`.
[[nodiscard]] auto parse_evacuation_record(std::string_view json)
    -> boost::leaf::result<core::set_evacuation>;

} // namespace hickorylatch::settings

#endif
