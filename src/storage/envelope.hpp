#ifndef HICKORYLATCH_STORAGE_ENVELOPE_HPP
#define HICKORYLATCH_STORAGE_ENVELOPE_HPP

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <filesystem>
#include <string>
#include <string_view>

namespace hickorylatch::storage
{

/// Version of all file formats in a data folder. Another one is refused.
inline constexpr auto format_version = std::uint32_t{1};

/// Kinds of files, as the first 8 bytes of each.
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
/// The bytes must be long enough.
[[nodiscard]] auto u32_at(std::string_view bytes, std::size_t offset)
    -> std::uint32_t;
[[nodiscard]] auto u64_at(std::string_view bytes, std::size_t offset)
    -> std::uint64_t;

/// What `open_envelope` found.
struct envelope
{
    std::string_view m_payload;
    /// Bytes of header and payload.
    std::size_t m_size = 0;
};

/// Payload after a header with magic, version, length and checksum.
[[nodiscard]] auto seal_envelope(std::string_view magic,
                                 std::string_view payload) -> std::string;

/// Reads the envelope at the start of a file's bytes; more may follow it.
/// Fails with `storage_error`.
[[nodiscard]] auto open_envelope(std::filesystem::path const& file,
                                 std::string_view magic, std::string_view bytes)
    -> boost::leaf::result<envelope>;

} // namespace hickorylatch::storage

#endif
