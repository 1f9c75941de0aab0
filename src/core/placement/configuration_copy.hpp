#ifndef HICKORYLATCH_CORE_PLACEMENT_CONFIGURATION_COPY_HPP
#define HICKORYLATCH_CORE_PLACEMENT_CONFIGURATION_COPY_HPP

#include "core/model/configuration_patch.hpp"
#include "core/model/effect.hpp"
#include "core/model/queue_index.hpp"

#include <map>
#include <string>
#include <string_view>

namespace hickorylatch::core
{

/// The configuration of a process that follows any replica. It receives notices
/// of newer versions and fetches the changes from one process at a time. Many
/// such processes spread their requests over the sources.
class configuration_copy
{
public:
    /// `name` is that of this process.
    explicit configuration_copy(std::string name);

    /// Handles a notice, a patch or a fetch request of another process. False
    /// if the message is of another kind.
    auto receive(time_point now, node_id from, message const& incoming,
                 effects& out) -> bool;
    auto disconnected(time_point now, node_id peer, effects& out) -> void;
    /// Fetches from another process if the source does not answer in time.
    auto tick(time_point now, effects& out) -> void;

    [[nodiscard]] auto config() const -> configuration const&;
    /// The queue that jobs for this host and path are posted to; null if there
    /// is none.
    [[nodiscard]] auto find_queue(std::string_view host,
                                  std::string_view path) const
        -> job_queue const*;
    [[nodiscard]] auto next_deadline() const -> time_point;

private:
    auto adopt(time_point now, node_id from, configuration_patch const& patch,
               effects& out) -> void;
    /// Requests the newest known version, unless a request is outstanding.
    auto fetch(time_point now, effects& out) -> void;
    /// Process to request the newest known version from.
    [[nodiscard]] auto choose_source() const -> node_id;

    std::string m_name;
    configuration m_configuration;
    queue_index m_queues;
    /// Newer versions by the process that has them.
    std::map<node_id, configuration_version> m_newer_versions;
    /// Process that the outstanding request was sent to; `no_node` if none is.
    node_id m_source = no_node;
    time_point m_answer_due_at = never;
    /// When to send a request. Notices of further sources may arrive before.
    time_point m_fetch_at = never;
};

} // namespace hickorylatch::core

#endif
