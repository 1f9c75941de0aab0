#ifndef HICKORYLATCH_STORAGE_FILE_HPP
#define HICKORYLATCH_STORAGE_FILE_HPP

#include "storage/storage_options.hpp"

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <filesystem>
#include <limits>
#include <string>
#include <string_view>

namespace hickorylatch::storage
{

/// Owns an open file descriptor. Errors are `storage_error`.
class file
{
public:
    file() = default;
    file(file&& other) noexcept;
    auto operator=(file&& other) noexcept -> file&;
    file(file const&) = delete;
    auto operator=(file const&) -> file& = delete;
    ~file();

    /// Opens with the flags of open(2); creates with mode 0600.
    [[nodiscard]] static auto open(std::filesystem::path path, int flags)
        -> boost::leaf::result<file>;

    /// Writes all bytes at the offset.
    [[nodiscard]] auto write(std::uint64_t offset, std::string_view bytes,
                             storage_options const& options)
        -> boost::leaf::result<void>;
    [[nodiscard]] auto truncate(std::uint64_t size)
        -> boost::leaf::result<void>;
    /// Extends the file with zeros to at least this size. Does nothing if the
    /// file system cannot reserve space.
    [[nodiscard]] auto preallocate(std::uint64_t size)
        -> boost::leaf::result<void>;
    /// Makes the contents and the size durable. After a failure the state of
    /// the file is unknown: the kernel may have dropped the dirty pages, so a
    /// retry can succeed without writing them.
    [[nodiscard]] auto sync_data(storage_options const& options)
        -> boost::leaf::result<void>;
    /// Like `sync_data`, but for all metadata too.
    [[nodiscard]] auto sync_all(storage_options const& options)
        -> boost::leaf::result<void>;
    /// Acquires an exclusive lock; fails if another process holds it.
    [[nodiscard]] auto lock() -> boost::leaf::result<void>;

private:
    [[nodiscard]] auto sync_with(storage_options const& options,
                                 auto(*operation)(int)->int)
        -> boost::leaf::result<void>;

    std::filesystem::path m_path;
    int m_descriptor = -1;
};

/// Reads a file, or at most its first `limit` bytes.
[[nodiscard]] auto
read_file(std::filesystem::path const& path,
          std::uint64_t limit = std::numeric_limits<std::uint64_t>::max())
    -> boost::leaf::result<std::string>;

/// Makes the creation, renaming and removal of files in a folder durable.
[[nodiscard]] auto sync_folder(std::filesystem::path const& folder,
                               storage_options const& options)
    -> boost::leaf::result<void>;

/// File name suffix of incomplete files.
inline constexpr auto temporary_suffix = std::string_view{".tmp"};

/// Creates a file atomically and durably: writes a temporary file, syncs it,
/// renames it and syncs the folder. Waits while the disk is full if the options
/// have a space waiter.
[[nodiscard]] auto create_file(std::filesystem::path const& path,
                               std::string_view bytes,
                               storage_options const& options)
    -> boost::leaf::result<void>;

} // namespace hickorylatch::storage

#endif
