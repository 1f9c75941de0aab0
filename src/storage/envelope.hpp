#ifndef HICKORYLATCH_STORAGE_ENVELOPE_HPP
#define HICKORYLATCH_STORAGE_ENVELOPE_HPP

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <filesystem>
#include <string>
#include <string_view>

namespace hickorylatch::storage
{

/// Version of all file formats in a data folder. Files of other versions are
/// rejected.
inline constexpr auto format_version = std::uint32_t{1};

/// The first 8 bytes of each file, which identify its type.
inline constexpr auto identity_magic = std::string_view{"HLIDENT\n"};
inline constexpr auto segment_magic = std::string_view{"HLLOGSG\n"};
inline constexpr auto snapshot_magic = std::string_view{"HLSNAPS\n"};

/// Magic, version, length and checksum, little-endian.
inline constexpr auto envelope_header_size = std::size_t{8 + 4 + 8 + 4};

/// CRC-32 of a sequence of numbers and byte strings.
class checksum
{
public:
    auto add(std::string_view bytes) -> checksum&;
    auto add(std::uint64_t number) -> checksum&;
    [[nodiscard]] auto value() const -> std::uint32_t;

private:
    std::uint32_t m_value = 0;
};

auto put_u32(std::string& out, std::uint32_t value) -> void;
auto put_u64(std::string& out, std::uint64_t value) -> void;
/// Decodes the number at an offset, which must be within the bytes.
[[nodiscard]] auto u32_at(std::string_view bytes, std::size_t offset)
    -> std::uint32_t;
[[nodiscard]] auto u64_at(std::string_view bytes, std::size_t offset)
    -> std::uint64_t;

/// A decoded envelope.
struct envelope
{
    std::string_view m_payload;
    /// Size of header and payload in bytes.
    std::size_t m_size = 0;
};

/// Prepends a header with magic, version, length and checksum to a payload.
[[nodiscard]] auto encode_envelope(std::string_view magic,
                                   std::string_view payload) -> std::string;

/// Decodes the envelope at the start of a file's bytes and verifies its
/// checksum. Other data may follow it. Fails with `storage_error`.
[[nodiscard]] auto decode_envelope(std::filesystem::path const& file,
                                   std::string_view magic,
                                   std::string_view bytes)
    -> boost::leaf::result<envelope>;

} // namespace hickorylatch::storage

#endif
