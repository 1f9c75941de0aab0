#ifndef HICKORYLATCH_PLATFORM_CONFIGURATION_BODY_HPP
#define HICKORYLATCH_PLATFORM_CONFIGURATION_BODY_HPP

#include "core/model/configuration.hpp"

#include <boost/leaf/result.hpp>

#include <string_view>

namespace hickorylatch::platform
{

/// Parses and validates an operator's configuration. The configuration's
/// document is `text`. Errors: `body_error`.
[[nodiscard]] auto parse_configuration(std::string_view text)
    -> boost::leaf::result<core::configuration>;

} // namespace hickorylatch::platform

#endif
