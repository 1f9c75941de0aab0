#ifndef HICKORYLATCH_CORE_PLACEMENT_LINK_TARGETS_HPP
#define HICKORYLATCH_CORE_PLACEMENT_LINK_TARGETS_HPP

#include "core/model/effect.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace hickorylatch::core
{

/// The processes that this one keeps links to: those from the settings and
/// those that control replicas have told of.
class link_targets
{
public:
    /// `seeds` are always kept.
    explicit link_targets(std::vector<std::string> seeds, bool needs_entries);

    /// Takes the seeds of settings that were read again.
    auto replace_seeds(std::vector<std::string> seeds, effects& out) -> void;
    /// Takes what a replica knows. What replicas told that can't be reached now
    /// stays.
    auto follow(node_id replica, process_list const& known, effects& out)
        -> void;

private:
    auto update(effects& out) -> void;

    std::vector<std::string> m_seeds;
    bool m_needs_entries = false;
    std::map<node_id, process_list> m_known;
    std::set<std::string> m_kept;
};

} // namespace hickorylatch::core

#endif
