#ifndef HICKORYLATCH_SETTINGS_CONFIGURATION_RECORD_HPP
#define HICKORYLATCH_SETTINGS_CONFIGURATION_RECORD_HPP

#include "core/model/command.hpp"
#include "core/model/configuration.hpp"
#include "settings/parse_errors.hpp"

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace hickorylatch::settings
{

/// Parses an operator's configuration record of schema version 1 or 2. The
/// version of the returned configuration is the expected one plus 1.
///
/// Version 1 has no account managers. So that such a record does not erase
/// them, they are copied by customer name from `current`, the configuration
/// known to this process. The leader's compare-and-set on the version makes
/// this safe:
/// - `current` is the expected version: the managers are correct if the leader
///   accepts the change.
/// - `current` is newer: the leader rejects the change or, for a resend, gives
///   its first result again; the managers are not used.
/// - `current` is older: the managers are unknown, so the record is an error
///   with `parse_errors::m_may_retry` set.
///
/// Errors: `parse_errors` with every error found, with the source
/// "configuration record".
[[nodiscard]] auto
parse_configuration_record(std::string_view json,
                           core::configuration const& current)
    -> boost::leaf::result<core::change_configuration>;

/// Prints a configuration as a record of the given schema version, 1 or 2.
/// `expected_version` is the configuration's own version, so that the record
/// can be edited and sent back.
[[nodiscard]] auto print_configuration_record(core::configuration const& config,
                                              std::uint32_t schema_version)
    -> std::string;

} // namespace hickorylatch::settings

#endif
