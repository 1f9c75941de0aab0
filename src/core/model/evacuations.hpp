#ifndef HICKORYLATCH_CORE_MODEL_EVACUATIONS_HPP
#define HICKORYLATCH_CORE_MODEL_EVACUATIONS_HPP

#include <boost/describe/class.hpp>

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hickorylatch::core
{

/// The failure domains in which no task may be started. Sent to every entry and
/// agent, which keep the one with the highest revision.
struct evacuations
{
    /// Index of the log entry that changed the set last; 0 if none did.
    std::uint64_t m_revision = 0;
    /// Sorted and unique.
    std::vector<std::string> m_failure_domains;

    [[nodiscard]] auto contains(std::string_view failure_domain) const -> bool
    {
        return std::ranges::binary_search(m_failure_domains, failure_domain);
    }

    auto operator==(evacuations const&) const -> bool = default;
};
/// The names separated by commas, for log lines.
[[nodiscard]] inline auto domains_field(evacuations const& evacuated)
    -> std::string
{
    auto text = std::string{};
    for (auto const& domain : evacuated.m_failure_domains)
        text.append(text.empty() ? "" : ",").append(domain);
    return text;
}
BOOST_DESCRIBE_STRUCT(evacuations, (), (m_revision, m_failure_domains))

} // namespace hickorylatch::core

#endif
