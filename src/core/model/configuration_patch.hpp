#ifndef HICKORYLATCH_CORE_MODEL_CONFIGURATION_PATCH_HPP
#define HICKORYLATCH_CORE_MODEL_CONFIGURATION_PATCH_HPP

#include "core/model/configuration.hpp"

#include <string>
#include <vector>

namespace hickorylatch::core
{

/// Host and path prefix where jobs for a queue are posted; unique per queue.
struct queue_route
{
    std::string m_host;
    std::string m_path_prefix;

    auto operator<=>(queue_route const&) const = default;
};
BOOST_DESCRIBE_STRUCT(queue_route, (), (m_host, m_path_prefix))

/// Difference between two configurations. Contains only the queues that have
/// changed, because configurations have thousands of them. The operator's
/// document is not included: only replicas need it.
struct configuration_patch
{
    /// Version that the patch applies to; 0 for the empty configuration.
    configuration_version m_base = 0;
    configuration_version m_version = 0;
    std::vector<customer> m_customers;
    std::vector<service> m_services;
    std::vector<std::string> m_drained;
    std::vector<queue_route> m_removed;
    /// Queues that are new or have changed, in full.
    std::vector<job_queue> m_changed;
};
BOOST_DESCRIBE_STRUCT(configuration_patch, (),
                      (m_base, m_version, m_customers, m_services, m_drained,
                       m_removed, m_changed))

[[nodiscard]] auto make_patch(configuration const& from,
                              configuration const& to) -> configuration_patch;

/// Returns false and changes nothing if the patch is for another version.
[[nodiscard]] auto apply_patch(configuration& target,
                               configuration_patch const& patch) -> bool;

} // namespace hickorylatch::core

#endif
