#include "core/model/configuration_history.hpp"

#include <algorithm>

namespace hickorylatch::core
{

namespace
{

// Connected processes miss few changes, and a configuration with some thousand
// queues takes about a megabyte.
constexpr auto kept_versions = std::size_t{4};

} // namespace

auto configuration_history::add(configuration const& newest) -> void
{
    if (!m_versions.empty() && m_versions.back().m_version == newest.m_version)
        return;
    m_versions.push_back(newest);
    // Operators read the document from the replica's state, so patches don't
    // need it.
    m_versions.back().m_document.clear();
    if (m_versions.size() > kept_versions)
        m_versions.pop_front();
}

auto configuration_history::patch_from(configuration_version known) const
    -> configuration_patch
{
    if (m_versions.empty())
        return {};
    auto const found =
        std::ranges::find(m_versions, known, &configuration::m_version);
    return make_patch(found == m_versions.end() ? configuration{} : *found,
                      m_versions.back());
}

auto configuration_history::previous() const -> configuration_version
{
    return m_versions.size() < 2 ? 0
                                 : m_versions[m_versions.size() - 2].m_version;
}

} // namespace hickorylatch::core
