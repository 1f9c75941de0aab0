#ifndef HICKORYLATCH_PLATFORM_JOB_BODY_HPP
#define HICKORYLATCH_PLATFORM_JOB_BODY_HPP

#include "core/model/job.hpp"

#include <boost/leaf/result.hpp>

#include <string_view>

namespace hickorylatch::platform
{

/// Parses the body of a client's job. Errors: `body_error`.
[[nodiscard]] auto parse_job(std::string_view id, std::string_view body)
    -> boost::leaf::result<core::step_job>;

/// True for 16 hexadecimal digits.
[[nodiscard]] auto is_job_id(std::string_view text) -> bool;

} // namespace hickorylatch::platform

#endif
