#ifndef HICKORYLATCH_FUZZ_SETTINGS_CHECKS_HPP
#define HICKORYLATCH_FUZZ_SETTINGS_CHECKS_HPP

#include "fuzz/require.hpp"

#include "settings/configuration_record.hpp"
#include "settings/job_record.hpp"

#include <string_view>

namespace hickorylatch::fuzz
{

/// Checks that an accepted job record is within the limits and has a stable
/// digest.
inline auto check_job_record(std::string_view bytes) -> void
{
    auto const parsed = settings::parse_job_record(bytes);
    if (!parsed)
        return;
    auto const& job = parsed.value();
    require(!job.m_tasks.empty() &&
                job.m_tasks.size() <= settings::max_job_tasks,
            "a job without tasks or with too many");
    require(!job.m_customer.empty() && !job.m_key.empty(),
            "a job without customer or key");
    auto const again = settings::parse_job_record(bytes);
    require(again && again.value().m_digest == job.m_digest,
            "the same record has two digests");
}

/// Checks that the version of an accepted configuration record follows the
/// version that it expects.
inline auto check_configuration_record(std::string_view bytes) -> void
{
    auto const parsed = settings::parse_configuration_record(bytes, {});
    if (!parsed)
        return;
    auto const& config = parsed.value().m_configuration;
    require(config.m_version == parsed.value().m_expected_version + 1,
            "the version does not follow the expected one");
}

} // namespace hickorylatch::fuzz

#endif
