#ifndef HICKORYLATCH_STORAGE_INSPECT_HPP
#define HICKORYLATCH_STORAGE_INSPECT_HPP

#include <boost/leaf/result.hpp>

#include <filesystem>
#include <iosfwd>

namespace hickorylatch::storage
{

/// Prints identity, hard state, snapshot and entries of a data folder as lines
/// of key=value pairs. Read-only and without a lock, so the output can show an
/// incomplete write if a process is using the folder. Fails with
/// `storage_error`.
[[nodiscard]] auto inspect(std::filesystem::path const& folder,
                           std::ostream& out) -> boost::leaf::result<void>;

} // namespace hickorylatch::storage

#endif
