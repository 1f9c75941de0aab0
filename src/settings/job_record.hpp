#ifndef HICKORYLATCH_SETTINGS_JOB_RECORD_HPP
#define HICKORYLATCH_SETTINGS_JOB_RECORD_HPP

#include "core/submission.hpp"
#include "core/verdict.hpp"
#include "settings/parse_errors.hpp"

#include <boost/leaf/result.hpp>

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace hickorylatch::settings
{

/// Newest schema version of job and configuration records; 1 is the oldest.
inline constexpr auto newest_schema_version = std::uint32_t{2};

/// Tasks of one job at most.
inline constexpr auto max_job_tasks = std::size_t{1'400};

/// Parses an operator's job record of schema version 1 or 2. The trace context
/// is left empty. Errors: `parse_errors` with every error found; the source
/// named in them is "job record".
[[nodiscard]] auto parse_job_record(std::string_view json)
    -> boost::leaf::result<core::submission>;

/// Digest of the content: everything but key, submission time, deadline left
/// and trace context. The same on every platform and in every version.
/// Requests use it too.
[[nodiscard]] auto content_digest(core::submission const& content)
    -> std::uint64_t;

/// The answer to a job as a record of the schema version of its submission.
[[nodiscard]] auto print_job_answer(core::verdict const& outcome,
                                    std::span<core::task_answer const> answers,
                                    std::uint32_t schema_version)
    -> std::string;

} // namespace hickorylatch::settings

#endif
