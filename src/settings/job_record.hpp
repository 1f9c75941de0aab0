#ifndef HICKORYLATCH_SETTINGS_JOB_RECORD_HPP
#define HICKORYLATCH_SETTINGS_JOB_RECORD_HPP

#include "core/model/submission.hpp"
#include "core/model/verdict.hpp"
#include "settings/parse_errors.hpp"

#include <boost/leaf/result.hpp>

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace hickorylatch::settings
{

/// Maximum number of tasks in a job.
inline constexpr auto max_job_tasks = std::size_t{1'400};

/// Parses an operator's job record of schema version 1 or 2, with its content
/// digest. The trace context is left empty.
///
/// Fields that are not part of the schema version are kept in
/// `submission::m_unknown_fields` as a JSON object with sorted keys; those of
/// tasks are in its "tasks", an array with one object for each task. A field
/// listed in `must_understand` must be part of the record's version; the list
/// itself is checked in version 1 too.
///
/// Errors: `parse_errors` with every error found, with the source "job record".
[[nodiscard]] auto parse_job_record(std::string_view json)
    -> boost::leaf::result<core::submission>;

/// Serializes the answer to a job as a record of the schema version of its
/// submission, clamped to 1 or 2. A body that is not UTF-8 text is encoded in
/// "body_base64" instead of "body".
[[nodiscard]] auto print_job_answer(core::verdict const& outcome,
                                    std::span<core::task_answer const> answers,
                                    std::uint32_t schema_version)
    -> std::string;

} // namespace hickorylatch::settings

#endif
