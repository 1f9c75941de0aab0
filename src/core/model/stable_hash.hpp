#ifndef HICKORYLATCH_CORE_MODEL_STABLE_HASH_HPP
#define HICKORYLATCH_CORE_MODEL_STABLE_HASH_HPP

#include <cstdint>
#include <string_view>

namespace hickorylatch::core
{

/// Non-cryptographic hash of two texts, evenly distributed and identical in
/// every process and build.
[[nodiscard]] auto stable_hash(std::string_view first, std::string_view second)
    -> std::uint64_t;

} // namespace hickorylatch::core

#endif
