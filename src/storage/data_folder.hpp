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
/// snapshots. All calls block and come from one thread at a time. Errors are
/// `storage_error`. A failed write or sync is fatal: every later call fails
/// too. Writes that do not continue the log are refused as a whole.
class data_folder
{
public:
    /// Locks the folder and recovers what it holds. Creates the folder and its
    /// identity on first use.
    [[nodiscard]] static auto open(std::filesystem::path path,
                                   storage_options options)
        -> boost::leaf::result<opened_folder>;

    /// Writes all of them, in order, with one sync. Durable on return.
    [[nodiscard]] auto apply(std::span<core::append_log const> writes)
        -> boost::leaf::result<void>;

    /// Writes a snapshot, then drops what is no longer needed. Entries behind
    /// the snapshot are kept if the log holds its last entry with the same
    /// term; else the log starts again behind the snapshot. Durable on return.
    [[nodiscard]] auto save(core::snapshot const& value)
        -> boost::leaf::result<void>;

    [[nodiscard]] auto identity() const -> core::node_id;
    [[nodiscard]] auto hard_state() const -> core::hard_state const&;
    /// Last entry of the log, or the end of the snapshot.
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
    [[nodiscard]] auto add_segment(log_position base, bool restarts)
        -> boost::leaf::result<void>;
    [[nodiscard]] auto preallocate() -> boost::leaf::result<void>;
    [[nodiscard]] auto drop_covered() -> boost::leaf::result<void>;
    [[nodiscard]] auto remove(std::filesystem::path const& path)
        -> boost::leaf::result<void>;
    /// Fails if the write does not continue the log.
    [[nodiscard]] auto check_order(core::append_log const& write,
                                   core::log_index last) const
        -> boost::leaf::result<core::log_index>;
    [[nodiscard]] auto check_usable() const -> boost::leaf::result<void>;
    auto note(core::append_log const& write) -> void;

    std::filesystem::path m_path;
    storage_options m_options;
    file m_lock;
    core::node_id m_identity = core::no_node;
    core::hard_state m_hard_state;
    log_terms m_terms;
    std::vector<segment_info> m_segments;
    std::vector<snapshot_info> m_snapshots;
    std::uint64_t m_snapshot_sequence = 0;
    /// The last segment.
    file m_active;
    std::uint64_t m_active_size = 0;
    bool m_has_failed = false;
};

/// A data folder, what it held and what was repaired.
struct opened_folder
{
    data_folder m_folder;
    core::recovered_state m_recovered;
    /// One line for a torn tail that was cut and one for each damaged
    /// snapshot.
    std::vector<core::log_line> m_warnings;
};

} // namespace hickorylatch::storage

#endif
