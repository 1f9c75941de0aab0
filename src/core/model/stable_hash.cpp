#include "core/model/stable_hash.hpp"

namespace hickorylatch::core
{

namespace
{

// Parameters of the 64-bit FNV-1a hash.
constexpr auto fnv_offset = std::uint64_t{0xcbf29ce484222325};
constexpr auto fnv_prime = std::uint64_t{0x100000001b3};

auto add(std::uint64_t hash, std::string_view text) -> std::uint64_t
{
    for (auto const character : text)
        hash = (hash ^ static_cast<unsigned char>(character)) * fnv_prime;
    return hash;
}

/// The finalizer of MurmurHash3. FNV-1a alone gives nearby hashes to texts that
/// differ only in their last characters.
auto mix(std::uint64_t hash) -> std::uint64_t
{
    hash = (hash ^ (hash >> 33U)) * 0xff51afd7ed558ccd;
    hash = (hash ^ (hash >> 33U)) * 0xc4ceb9fe1a85ec53;
    return hash ^ (hash >> 33U);
}

} // namespace

auto stable_hash(std::string_view first, std::string_view second)
    -> std::uint64_t
{
    // The separator byte does not occur in UTF-8 text, so different pairs with
    // the same concatenation get different hashes.
    return mix(add((add(fnv_offset, first) ^ 0xffU) * fnv_prime, second));
}

} // namespace hickorylatch::core
