#ifndef HICKORYLATCH_STORAGE_STORAGE_ERROR_HPP
#define HICKORYLATCH_STORAGE_STORAGE_ERROR_HPP

#include <boost/leaf/error.hpp>

#include <cstdint>
#include <filesystem>
#include <string>

namespace hickorylatch::storage
{

/// Why a data folder cannot be used. Carried as a LEAF error object.
struct storage_error
{
    std::filesystem::path m_file;
    /// Byte in the file; 0 if the whole file is meant.
    std::uint64_t m_offset = 0;
    std::string m_reason;
};

/// One line that names file, offset and reason.
[[nodiscard]] auto to_string(storage_error const& error) -> std::string;

[[nodiscard]] auto fail(std::filesystem::path const& file, std::uint64_t offset,
                        std::string reason) -> boost::leaf::error_id;

/// Fails with the text of `errno` after the name of the operation.
[[nodiscard]] auto fail_with_errno(std::filesystem::path const& file,
                                   std::string const& operation)
    -> boost::leaf::error_id;

} // namespace hickorylatch::storage

#endif
