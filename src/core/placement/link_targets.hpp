#ifndef HICKORYLATCH_CORE_PLACEMENT_LINK_TARGETS_HPP
#define HICKORYLATCH_CORE_PLACEMENT_LINK_TARGETS_HPP

#include "core/model/effect.hpp"
#include "core/model/message.hpp"
#include "core/placement/link_choice.hpp"

#include <cstddef>
#include <functional>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace hickorylatch::core
{

/// As a limit: larger than any number of links.
inline constexpr auto no_link_limit =
    std::numeric_limits<std::size_t>::max() / 2;

/// Replicas that a process without a copy of the log follows in addition to the
/// leader. Two may be lost together with the leader, and the third announces
/// the next leader.
inline constexpr auto followed_replicas = std::size_t{3};

struct link_targets_settings
{
    /// Addresses of the control replicas to connect to first.
    std::vector<std::string> m_seeds;
    /// Name of this process. Determines its order of preference, so that the
    /// links of many processes are spread evenly.
    std::string m_name;
    /// Entries in this failure domain are preferred.
    std::string m_failure_domain;
    /// Maximum number of control replicas in addition to the leader.
    std::size_t m_control_limit = no_link_limit;
    /// Maximum number of entries; 0 if none are wanted.
    std::size_t m_entry_limit = 0;
    /// Maximum number of entries from the own failure domain while there are
    /// enough others.
    std::size_t m_same_domain_entry_limit = 0;
};

/// The processes that this process keeps links to: the leader, some other
/// replicas and some entries, chosen from the lists that control replicas send.
/// Their number does not grow with the deployment.
class link_targets
{
public:
    explicit link_targets(link_targets_settings settings);

    /// Sets the seeds of reloaded settings.
    auto replace_seeds(std::vector<std::string> seeds) -> void;
    /// Sets the processes that a replica knows of. The lists of replicas that
    /// are unreachable now are kept.
    auto set_known_processes(node_id replica, process_list const& known)
        -> void;
    auto opened(hello const& peer) -> void;
    auto closed(time_point now, node_id peer) -> void;
    /// Releases an entry that is no longer chosen. Its link is kept until it is
    /// released or lost, because the entry may have runs here.
    auto release(std::string_view entry) -> void;
    /// Updates the choice and adds an effect if the links to keep have changed.
    auto update(time_point now, effects& out) -> void;

    /// True if the entry is no longer chosen and not released yet.
    [[nodiscard]] auto is_draining(std::string_view entry) const -> bool;
    [[nodiscard]] auto is_chosen(std::string_view entry) const -> bool;
    [[nodiscard]] auto next_deadline() const -> time_point;

private:
    auto update_control_candidates() -> void;
    auto update_entry_candidates() -> void;

    link_targets_settings m_settings;
    std::map<node_id, process_list> m_known;
    /// Last reported address of the leader; empty if there was none.
    std::string m_leader;
    link_choice m_controls;
    link_choice m_entries;
    /// Addresses of the open links.
    std::map<node_id, std::string> m_open;
    std::set<std::string, std::less<>> m_draining;
    std::set<std::string, std::less<>> m_kept_links;
};

} // namespace hickorylatch::core

#endif
