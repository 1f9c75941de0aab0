#ifndef HICKORYLATCH_CORE_MODEL_GROUP_SETTINGS_HPP
#define HICKORYLATCH_CORE_MODEL_GROUP_SETTINGS_HPP

#include <cstddef>
#include <string>
#include <vector>

namespace hickorylatch::core
{

/// Settings for automatic creation and repair of the control group. Without
/// seeds both are left to operators.
struct group_settings
{
    /// Addresses of the initial members.
    std::vector<std::string> m_seeds;
    /// The whole system starts for the first time, so an empty disk means that
    /// there is no group yet.
    bool m_is_first_start = false;
    /// Desired number of voters; fewer if there are not enough replicas.
    std::size_t m_voters = 3;
    /// The VM of this process has no disk: the process is not a member and
    /// forwards operations.
    bool m_is_volatile = false;
};

} // namespace hickorylatch::core

#endif
