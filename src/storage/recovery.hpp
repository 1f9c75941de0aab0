#ifndef HICKORYLATCH_STORAGE_RECOVERY_HPP
#define HICKORYLATCH_STORAGE_RECOVERY_HPP

#include "storage/log_position.hpp"

#include "core/replication/replica.hpp"

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace hickorylatch::storage
{

/// One log segment in a data folder.
struct segment_info
{
    std::uint64_t m_sequence = 0;
    core::log_index m_base_index = 0;
};

/// One readable snapshot in a data folder.
struct snapshot_info
{
    std::uint64_t m_sequence = 0;
    log_position m_last;
};

/// An incomplete record at the end of the log, left by a crash.
struct torn_tail
{
    std::filesystem::path m_file;
    std::uint64_t m_offset = 0;
    std::uint64_t m_bytes = 0;
};

/// Contents of a data folder.
struct folder_contents
{
    core::recovered_state m_state;
    /// Oldest first. Empty for a folder that was never used.
    std::vector<segment_info> m_segments;
    /// Oldest first.
    std::vector<snapshot_info> m_snapshots;
    /// Largest sequence number of a snapshot, readable or not.
    std::uint64_t m_snapshot_sequence = 0;
    /// Terms of the entries in the log.
    log_terms m_terms;
    /// Size of the last segment without a torn tail.
    std::uint64_t m_last_segment_size = 0;
    std::optional<torn_tail> m_torn_tail;
    /// Errors of snapshots that could not be read; an older one is used
    /// instead.
    std::vector<std::string> m_damaged_snapshots;
    /// Set if the log does not continue the snapshot and must be reset to start
    /// after it.
    bool m_needs_log_reset = false;
};

[[nodiscard]] auto identity_path(std::filesystem::path const& folder)
    -> std::filesystem::path;
[[nodiscard]] auto segment_path(std::filesystem::path const& folder,
                                std::uint64_t sequence)
    -> std::filesystem::path;
[[nodiscard]] auto snapshot_path(std::filesystem::path const& folder,
                                 std::uint64_t sequence)
    -> std::filesystem::path;

/// Reads a data folder without changing it. Fails with `storage_error`.
[[nodiscard]] auto read_folder(std::filesystem::path const& folder)
    -> boost::leaf::result<folder_contents>;

} // namespace hickorylatch::storage

#endif
