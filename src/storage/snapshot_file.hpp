#ifndef HICKORYLATCH_STORAGE_SNAPSHOT_FILE_HPP
#define HICKORYLATCH_STORAGE_SNAPSHOT_FILE_HPP

#include "core/model/effect.hpp"
#include "core/model/ids.hpp"

#include <boost/leaf/result.hpp>

#include <filesystem>
#include <string>
#include <string_view>

namespace hickorylatch::storage
{

/// Encodes the contents of a snapshot file.
[[nodiscard]] auto encode_snapshot_file(core::node_id identity,
                                        core::snapshot const& value)
    -> std::string;

/// Fails with `storage_error`.
[[nodiscard]] auto decode_snapshot_file(std::filesystem::path const& file,
                                        core::node_id identity,
                                        std::string_view bytes)
    -> boost::leaf::result<core::snapshot>;

/// Fails with `storage_error`.
[[nodiscard]] auto read_snapshot(std::filesystem::path const& path,
                                 core::node_id identity)
    -> boost::leaf::result<core::snapshot>;

} // namespace hickorylatch::storage

#endif
