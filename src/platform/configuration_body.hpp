#ifndef HICKORYLATCH_PLATFORM_CONFIGURATION_BODY_HPP
#define HICKORYLATCH_PLATFORM_CONFIGURATION_BODY_HPP

#include "core/model/configuration.hpp"

#include <boost/leaf/result.hpp>

#include <string_view>

namespace hickorylatch::platform
{

/// Parses and checks an operator's configuration. The text is kept as the
/// configuration's document. Errors: `body_error`.
[[nodiscard]] auto parse_configuration(std::string_view text)
    -> boost::leaf::result<core::configuration>;

} // namespace hickorylatch::platform

#endif
