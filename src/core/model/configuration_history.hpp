#ifndef HICKORYLATCH_CORE_MODEL_CONFIGURATION_HISTORY_HPP
#define HICKORYLATCH_CORE_MODEL_CONFIGURATION_HISTORY_HPP

#include "core/model/configuration_patch.hpp"

#include <deque>

namespace hickorylatch::core
{

/// Keeps the last configurations, so that a process that has one of them can be
/// updated to the newest by a patch.
class configuration_history
{
public:
    /// Adds the newest configuration. Does nothing if its version was added
    /// last.
    auto add(configuration const& newest) -> void;
    /// Patch from this version to the newest, or from the empty configuration
    /// if this version is no longer kept.
    [[nodiscard]] auto patch_from(configuration_version known) const
        -> configuration_patch;
    /// Version before the newest; 0 if there is none.
    [[nodiscard]] auto previous() const -> configuration_version;

private:
    std::deque<configuration> m_versions;
};

} // namespace hickorylatch::core

#endif
