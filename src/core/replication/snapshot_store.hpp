#ifndef HICKORYLATCH_CORE_REPLICATION_SNAPSHOT_STORE_HPP
#define HICKORYLATCH_CORE_REPLICATION_SNAPSHOT_STORE_HPP

#include "core/model/effect.hpp"
#include "core/model/message.hpp"
#include "core/replication/replica_log.hpp"

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>

namespace hickorylatch::core
{

/// Snapshots on their way to the disk: those that compact the log, and one
/// that is received from the leader in parts or founds the group.
class snapshot_store
{
public:
    /// Takes the parts in the order of their offsets and drops others; a part
    /// of another snapshot or leader starts anew. Returns the whole snapshot
    /// once its last part has arrived.
    [[nodiscard]] auto add(install_snapshot const& part)
        -> std::optional<snapshot>;
    /// Starts to install a whole snapshot. It is saved after a write that
    /// removes the entries conflicting with it.
    auto install(snapshot whole, std::uint64_t after_write) -> void;
    /// Saves the snapshot to install if that write is synced.
    auto save_installed(replica_log const& log, effects& out) -> void;
    /// Saves a snapshot of the own state. Not while installing, since it would
    /// replace a newer one.
    auto compact(snapshot described, effects& out) -> void;
    /// Takes the snapshot that is now saved; null if it is not one of these.
    [[nodiscard]] auto saved(log_index last) -> std::shared_ptr<snapshot const>;

    /// True from `install` until that snapshot is saved.
    [[nodiscard]] auto is_installing() const -> bool;
    /// Last index of the snapshot that is being installed.
    [[nodiscard]] auto installing_index() const -> log_index;
    /// Last index of the newest compaction in progress; 0 if there is none.
    [[nodiscard]] auto compacting_index() const -> log_index;
    /// Offset of the part that is expected next: the size if none is.
    [[nodiscard]] auto next_offset() const -> std::uint64_t;

private:
    snapshot m_partial;
    /// Term of the leader that sends the parts. Two leaders may encode the
    /// same state differently.
    term_number m_partial_term = 0;
    std::shared_ptr<snapshot const> m_installing;
    std::uint64_t m_after_write = 0;
    bool m_is_saving = false;
    std::deque<std::shared_ptr<snapshot const>> m_compactions;
};

} // namespace hickorylatch::core

#endif
