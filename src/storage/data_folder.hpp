#ifndef HICKORYLATCH_STORAGE_DATA_FOLDER_HPP
#define HICKORYLATCH_STORAGE_DATA_FOLDER_HPP

#include "storage/file.hpp"
#include "storage/log_position.hpp"
#include "storage/log_record.hpp"
#include "storage/recovery.hpp"
#include "storage/storage_error.hpp"
#include "storage/storage_options.hpp"

#include "core/model/effect.hpp"
#include "core/replication/replica.hpp"

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <filesystem>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hickorylatch::storage
{

struct opened_folder;

/// The durable state of one control replica: identity, hard state, log and
/// snapshots. All calls block; they must not be concurrent. Errors are
/// `storage_error`. After a failed write or sync every later call fails too.
/// `append` rejects all of its writes if one of them does not continue the log.
class data_folder
{
public:
    /// Locks the folder and recovers its state. Creates the folder and its
    /// identity on first use.
    [[nodiscard]] static auto open(std::filesystem::path path,
                                   storage_options options)
        -> boost::leaf::result<opened_folder>;

    /// Appends the writes to the log in order, as one group commit. Durable on
    /// return.
    [[nodiscard]] auto append(std::span<core::append_log const> writes)
        -> boost::leaf::result<void>;

    /// Writes a snapshot, then removes obsolete files. Entries after the
    /// snapshot are kept if the log contains the snapshot's last entry with the
    /// same term; otherwise the log is reset to start after the snapshot.
    /// Durable on return.
    [[nodiscard]] auto save_snapshot(core::snapshot const& value)
        -> boost::leaf::result<void>;

    [[nodiscard]] auto identity() const -> core::node_id;
    [[nodiscard]] auto hard_state() const -> core::hard_state const&;
    /// Index of the last entry of the log, or of the snapshot if the log is
    /// empty.
    [[nodiscard]] auto last_index() const -> core::log_index;

private:
    data_folder(std::filesystem::path path, storage_options options);

    [[nodiscard]] auto create() -> boost::leaf::result<void>;
    [[nodiscard]] auto resume(folder_contents& contents)
        -> boost::leaf::result<void>;
    [[nodiscard]] auto write_group(std::span<core::append_log const> writes)
        -> boost::leaf::result<void>;
    [[nodiscard]] auto write_record(std::string_view payload)
        -> boost::leaf::result<void>;
    [[nodiscard]] auto write_snapshot(core::snapshot const& value)
        -> boost::leaf::result<void>;
    [[nodiscard]] auto add_segment(log_position base, bool resets_log)
        -> boost::leaf::result<void>;
    [[nodiscard]] auto preallocate() -> boost::leaf::result<void>;
    [[nodiscard]] auto remove_obsolete_files() -> boost::leaf::result<void>;
    [[nodiscard]] auto remove(std::filesystem::path const& path)
        -> boost::leaf::result<void>;
    /// Returns the last index after the write. Fails if the write does not
    /// continue the log.
    [[nodiscard]] auto check_continuity(core::append_log const& write,
                                        core::log_index last) const
        -> boost::leaf::result<core::log_index>;
    [[nodiscard]] auto check_usable() const -> boost::leaf::result<void>;
    auto update_state(core::append_log const& write) -> void;

    std::filesystem::path m_path;
    storage_options m_options;
    file m_lock;
    core::node_id m_identity = core::no_node;
    core::hard_state m_hard_state;
    log_terms m_terms;
    std::vector<segment_info> m_segments;
    std::vector<snapshot_info> m_snapshots;
    std::uint64_t m_snapshot_sequence = 0;
    /// The last segment, which records are appended to.
    file m_active_segment;
    std::uint64_t m_active_segment_size = 0;
    bool m_has_failed = false;
};

/// A data folder, its recovered state and warnings about repairs.
struct opened_folder
{
    data_folder m_folder;
    core::recovered_state m_recovered;
    /// One line for a torn tail that was truncated and one for each damaged
    /// snapshot.
    std::vector<core::log_line> m_warnings;
};

} // namespace hickorylatch::storage

#endif
