#ifndef HICKORYLATCH_STORAGE_DECODE_HPP
#define HICKORYLATCH_STORAGE_DECODE_HPP

#include "storage/storage_error.hpp"

#include "wire/described_codec.hpp"

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <exception>
#include <filesystem>
#include <string_view>

namespace hickorylatch::storage
{

/// Decodes one described value. Fails with a `storage_error` that holds the
/// file and offset of the bytes.
template <typename T>
[[nodiscard]] auto decode(std::filesystem::path const& file,
                          std::uint64_t offset, std::string_view bytes)
    -> boost::leaf::result<T>
{
    try
    {
        return wire::described::from_bytes<T>(bytes);
    }
    catch (std::exception const& error)
    {
        return fail(file, offset, error.what());
    }
}

} // namespace hickorylatch::storage

#endif
