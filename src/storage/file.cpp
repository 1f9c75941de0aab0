#include "storage/file.hpp"

#include "storage/storage_error.hpp"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <system_error>
#include <thread>
#include <utility>

namespace hickorylatch::storage
{

file::file(file&& other) noexcept
    : m_path{std::move(other.m_path)}, m_descriptor{std::exchange(
                                           other.m_descriptor, -1)}
{
}

auto file::operator=(file&& other) noexcept -> file&
{
    std::swap(m_path, other.m_path);
    std::swap(m_descriptor, other.m_descriptor);
    return *this;
}

file::~file()
{
    if (m_descriptor >= 0)
        ::close(m_descriptor);
}

auto file::open(std::filesystem::path path, int flags)
    -> boost::leaf::result<file>
{
    auto opened = file{};
    opened.m_descriptor = ::open(path.c_str(), flags | O_CLOEXEC, 0600);
    if (opened.m_descriptor < 0)
        return fail_with_errno(path, "open");
    opened.m_path = std::move(path);
    return opened;
}

auto file::write(std::uint64_t offset, std::string_view bytes,
                 storage_options const& options) -> boost::leaf::result<void>
{
    while (!bytes.empty())
    {
        auto const fault = options.m_injected_write_error
                               ? options.m_injected_write_error()
                               : 0;
        auto const written =
            fault != 0 ? -1
                       : ::pwrite(m_descriptor, bytes.data(), bytes.size(),
                                  static_cast<off_t>(offset));
        if (fault != 0)
            errno = fault;
        if (written < 0 && errno == EINTR)
            continue;
        if (written < 0)
            return fail_with_errno(m_path, "write");
        offset += static_cast<std::uint64_t>(written);
        bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return {};
}

auto file::truncate(std::uint64_t size) -> boost::leaf::result<void>
{
    if (::ftruncate(m_descriptor, static_cast<off_t>(size)) != 0)
        return fail_with_errno(m_path, "truncate");
    return {};
}

auto file::preallocate(std::uint64_t size) -> boost::leaf::result<void>
{
    if (::fallocate(m_descriptor, 0, 0, static_cast<off_t>(size)) != 0 &&
        errno != EOPNOTSUPP)
        return fail_with_errno(m_path, "preallocate");
    return {};
}

auto file::sync_data(storage_options const& options)
    -> boost::leaf::result<void>
{
    return sync_with(options, ::fdatasync);
}

auto file::sync_all(storage_options const& options) -> boost::leaf::result<void>
{
    return sync_with(options, ::fsync);
}

auto file::sync_with(storage_options const& options, auto(*operation)(int)->int)
    -> boost::leaf::result<void>
{
    if (!options.m_fsync)
        return {};
    if (options.m_sync_delay.count() > 0)
        std::this_thread::sleep_for(options.m_sync_delay);
    auto const code = options.m_sync_override
                          ? options.m_sync_override(m_descriptor)
                          : operation(m_descriptor);
    if (code != 0)
        return fail_with_errno(m_path, "sync");
    return {};
}

auto file::lock() -> boost::leaf::result<void>
{
    if (::flock(m_descriptor, LOCK_EX | LOCK_NB) == 0)
        return {};
    if (errno == EWOULDBLOCK)
        return fail(m_path, 0, "the data folder is in use by another process");
    return fail_with_errno(m_path, "lock");
}

auto read_file(std::filesystem::path const& path, std::uint64_t limit)
    -> boost::leaf::result<std::string>
{
    auto const descriptor = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
    if (descriptor < 0)
        return fail_with_errno(path, "open");
    struct stat status = {};
    if (::fstat(descriptor, &status) != 0)
    {
        auto const error = fail_with_errno(path, "stat");
        ::close(descriptor);
        return error;
    }
    auto const size =
        std::min(limit, static_cast<std::uint64_t>(status.st_size));
    auto bytes = std::string(size, '\0');
    auto done = std::size_t{0};
    while (done < bytes.size())
    {
        auto const count =
            ::read(descriptor, bytes.data() + done, bytes.size() - done);
        if (count < 0 && errno == EINTR)
            continue;
        if (count < 0)
        {
            auto const error = fail_with_errno(path, "read");
            ::close(descriptor);
            return error;
        }
        if (count == 0)
            break;
        done += static_cast<std::size_t>(count);
    }
    ::close(descriptor);
    bytes.resize(done);
    return bytes;
}

auto sync_folder(std::filesystem::path const& folder,
                 storage_options const& options) -> boost::leaf::result<void>
{
    BOOST_LEAF_AUTO(opened, file::open(folder, O_RDONLY | O_DIRECTORY));
    return opened.sync_all(options);
}

auto create_file(std::filesystem::path const& path, std::string_view bytes,
                 storage_options const& options) -> boost::leaf::result<void>
{
    auto temporary = path;
    temporary += temporary_suffix;
    auto const create = [&]() -> boost::leaf::result<void>
    {
        BOOST_LEAF_AUTO(created,
                        file::open(temporary, O_WRONLY | O_CREAT | O_TRUNC));
        BOOST_LEAF_CHECK(created.write(0, bytes, options));
        BOOST_LEAF_CHECK(created.sync_all(options));
        auto code = std::error_code{};
        std::filesystem::rename(temporary, path, code);
        if (code)
            return fail_with_code(path, "rename", code);
        return sync_folder(path.parent_path(), options);
    };
    return retry_while_full(options.m_space_waiter.get(), create);
}

} // namespace hickorylatch::storage
