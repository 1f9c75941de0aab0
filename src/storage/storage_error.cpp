#include "storage/storage_error.hpp"

#include <cerrno>
#include <system_error>
#include <utility>

namespace hickorylatch::storage
{

auto to_string(storage_error const& error) -> std::string
{
    return error.m_file.string() + " at offset " +
           std::to_string(error.m_offset) + ": " + error.m_reason;
}

auto fail(std::filesystem::path const& file, std::uint64_t offset,
          std::string reason) -> boost::leaf::error_id
{
    return boost::leaf::new_error(
        storage_error{file, offset, std::move(reason)});
}

auto fail_with_code(std::filesystem::path const& file,
                    std::string const& operation, std::error_code code)
    -> boost::leaf::error_id
{
    auto const is_disk_full =
        code == std::errc::no_space_on_device ||
        code == std::error_code{EDQUOT, std::generic_category()};
    return boost::leaf::new_error(storage_error{
        file, 0, operation + " failed: " + code.message(), is_disk_full});
}

auto fail_with_errno(std::filesystem::path const& file,
                     std::string const& operation) -> boost::leaf::error_id
{
    return fail_with_code(file, operation, {errno, std::generic_category()});
}

} // namespace hickorylatch::storage
