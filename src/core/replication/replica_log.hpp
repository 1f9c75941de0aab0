#ifndef HICKORYLATCH_CORE_REPLICATION_REPLICA_LOG_HPP
#define HICKORYLATCH_CORE_REPLICATION_REPLICA_LOG_HPP

#include "core/model/command.hpp"
#include "core/model/effect.hpp"

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <span>
#include <utility>
#include <vector>

namespace hickorylatch::core
{

/// Contents of the data folder at start.
struct recovered_state
{
    node_id m_identity = no_node;
    hard_state m_hard_state;
    /// Last snapshot; index 0 if there is none.
    snapshot m_snapshot;
    std::vector<log_entry> m_entries;
};

/// True if the indexes of the request's entries are contiguous from the
/// previous index and their terms don't decrease, as in the requests of every
/// leader.
[[nodiscard]] auto is_consistent(append_request const& request) -> bool;

/// Persistent state of one replica: term, vote, snapshot and entries, with the
/// membership that follows from them. Tracks which part of it is synced.
class replica_log
{
public:
    explicit replica_log(recovered_state recovered);

    [[nodiscard]] auto current_hard_state() const -> hard_state const&;
    auto set_hard_state(hard_state wanted) -> void;

    /// Index of the first entry after the snapshot, whether it exists or not.
    [[nodiscard]] auto first_index() const -> log_index;
    [[nodiscard]] auto last_index() const -> log_index;
    [[nodiscard]] auto last_term() const -> term_number;
    /// Empty for an index below the snapshot's or above the last.
    [[nodiscard]] auto term_at(log_index index) const
        -> std::optional<term_number>;
    /// The index must be between the first and the last.
    [[nodiscard]] auto at(log_index index) const -> log_entry const&;
    auto append(log_entry entry) -> void;
    /// Removes the entries from this index on.
    auto truncate(log_index from) -> void;

    /// Empty if the log holds the entry. Otherwise the index after which the
    /// leader should retry, not below the commit index.
    [[nodiscard]] auto conflict_hint(log_index index, term_number term,
                                     log_index commit) const
        -> std::optional<log_index>;
    /// Appends entries that follow an entry of the log, and removes entries
    /// that conflict with them. True if the log changed.
    auto merge(std::span<log_entry const> entries) -> bool;

    /// The latest membership in the log, committed or not.
    [[nodiscard]] auto members() const -> std::span<member const>;
    /// Index of the entry or snapshot that the latest membership comes from.
    [[nodiscard]] auto membership_index() const -> log_index;

    [[nodiscard]] auto latest_snapshot() const
        -> std::shared_ptr<snapshot const> const&;
    /// Makes a snapshot of the state up to an index in this log.
    [[nodiscard]] auto make_snapshot(log_index up_to, std::string data) const
        -> snapshot;
    /// Replaces the snapshot by a synced one. Entries after it are kept only if
    /// the log holds the last entry that it covers.
    auto adopt_snapshot(std::shared_ptr<snapshot const> saved) -> void;

    /// Takes the changes since the last call, to be written and synced.
    [[nodiscard]] auto take_write() -> std::optional<append_log>;
    auto synced(std::uint64_t write) -> void;
    [[nodiscard]] auto is_synced(std::uint64_t write) const -> bool;
    /// Last index that is synced and has not been removed since.
    [[nodiscard]] auto synced_index() const -> log_index;
    /// Number of the write that contains all changes so far.
    [[nodiscard]] auto last_write() const -> std::uint64_t;
    /// Number of the write that contains the current term and vote.
    [[nodiscard]] auto hard_state_write() const -> std::uint64_t;

private:
    using membership = std::pair<log_index, std::vector<member>>;

    [[nodiscard]] auto is_changed() const -> bool;
    auto record_membership(log_entry const& entry) -> void;

    hard_state m_hard_state;
    std::shared_ptr<snapshot const> m_snapshot;
    std::deque<log_entry> m_entries;
    /// Membership of the snapshot and the later ones, in log order.
    std::vector<membership> m_memberships;

    std::uint64_t m_writes = 0;
    std::uint64_t m_synced_writes = 0;
    std::uint64_t m_hard_state_write = 0;
    bool m_is_hard_state_changed = false;
    log_index m_truncate_from = 0;
    log_index m_written_index = 0;
    log_index m_synced_index = 0;
    /// Writes in progress and the last index each makes durable.
    std::deque<std::pair<std::uint64_t, log_index>> m_outstanding_writes;
};

} // namespace hickorylatch::core

#endif
