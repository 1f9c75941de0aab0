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

/// Snapshots that are being saved: those that compact the log, and one that is
/// received from the leader in parts or creates the group.
class snapshot_store
{
public:
    /// Accepts parts in the order of their offsets and drops others. A part of
    /// another snapshot or leader discards the earlier parts. Returns the
    /// complete snapshot once its last part has arrived.
    [[nodiscard]] auto add_part(install_snapshot const& part)
        -> std::optional<snapshot>;
    /// Starts to install a complete snapshot. It is saved after the write that
    /// removes the entries conflicting with it.
    auto install(snapshot complete, std::uint64_t after_write) -> void;
    /// Saves the snapshot that is being installed if that write is synced.
    auto save_received(replica_log const& log, effects& out) -> void;
    /// Saves a snapshot of this replica's state. Must not be called during an
    /// installation, since it would replace a newer snapshot.
    auto compact(snapshot compacted, effects& out) -> void;
    /// Takes the snapshot whose save has finished; null if it is not known.
    [[nodiscard]] auto take_saved(log_index last)
        -> std::shared_ptr<snapshot const>;

    /// True from `install` until that snapshot is saved.
    [[nodiscard]] auto is_installing() const -> bool;
    /// Last index of the snapshot that is being installed.
    [[nodiscard]] auto installing_index() const -> log_index;
    /// Last index of the newest compaction in progress; 0 if there is none.
    [[nodiscard]] auto compacting_index() const -> log_index;
    /// Offset of the next expected part; the size of the data if all parts have
    /// arrived.
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
