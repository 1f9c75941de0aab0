#ifndef HICKORYLATCH_STORAGE_STORAGE_ERROR_HPP
#define HICKORYLATCH_STORAGE_STORAGE_ERROR_HPP

#include <boost/leaf/error.hpp>

#include <cstdint>
#include <filesystem>
#include <string>
#include <system_error>

namespace hickorylatch::storage
{

/// Why a data folder cannot be used. Carried as a LEAF error object.
struct storage_error
{
    std::filesystem::path m_file;
    /// Byte offset in the file; 0 if the error concerns the whole file.
    std::uint64_t m_offset = 0;
    std::string m_reason;
    /// There was no space; the operation can be repeated once there is.
    bool m_is_disk_full = false;
};

/// One line with file, offset and reason.
[[nodiscard]] auto to_string(storage_error const& error) -> std::string;

[[nodiscard]] auto fail(std::filesystem::path const& file, std::uint64_t offset,
                        std::string reason) -> boost::leaf::error_id;

/// Reason is the name of the operation, followed by the message of the code.
[[nodiscard]] auto fail_with_code(std::filesystem::path const& file,
                                  std::string const& operation,
                                  std::error_code code)
    -> boost::leaf::error_id;

/// The same with the value of `errno`.
[[nodiscard]] auto fail_with_errno(std::filesystem::path const& file,
                                   std::string const& operation)
    -> boost::leaf::error_id;

} // namespace hickorylatch::storage

#endif
