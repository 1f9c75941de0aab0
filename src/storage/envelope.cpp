#include "storage/envelope.hpp"

#include "storage/storage_error.hpp"

#include <boost/endian/conversion.hpp>

#include <zlib.h>

namespace hickorylatch::storage
{

namespace
{

template <typename Number>
auto put(std::string& out, Number value) -> void
{
    auto buffer = std::string(sizeof(Number), '\0');
    boost::endian::endian_store<Number, sizeof(Number),
                                boost::endian::order::little>(
        reinterpret_cast<unsigned char*>(buffer.data()), value);
    out += buffer;
}

template <typename Number>
auto number_at(std::string_view bytes, std::size_t offset) -> Number
{
    return boost::endian::endian_load<Number, sizeof(Number),
                                      boost::endian::order::little>(
        reinterpret_cast<unsigned char const*>(bytes.data() + offset));
}

auto checksum_of(std::string_view payload) -> std::uint32_t
{
    return checksum{}.add(payload.size()).add(payload).value();
}

} // namespace

auto checksum::add(std::string_view bytes) -> checksum&
{
    m_value = static_cast<std::uint32_t>(
        crc32_z(m_value, reinterpret_cast<unsigned char const*>(bytes.data()),
                bytes.size()));
    return *this;
}

auto checksum::add(std::uint64_t number) -> checksum&
{
    auto bytes = std::string{};
    put_u64(bytes, number);
    return add(bytes);
}

auto checksum::value() const -> std::uint32_t
{
    return m_value;
}

auto put_u32(std::string& out, std::uint32_t value) -> void
{
    put(out, value);
}

auto put_u64(std::string& out, std::uint64_t value) -> void
{
    put(out, value);
}

auto u32_at(std::string_view bytes, std::size_t offset) -> std::uint32_t
{
    return number_at<std::uint32_t>(bytes, offset);
}

auto u64_at(std::string_view bytes, std::size_t offset) -> std::uint64_t
{
    return number_at<std::uint64_t>(bytes, offset);
}

auto encode_envelope(std::string_view magic, std::string_view payload)
    -> std::string
{
    auto encoded = std::string{magic};
    put_u32(encoded, format_version);
    put_u64(encoded, payload.size());
    put_u32(encoded, checksum_of(payload));
    encoded += payload;
    return encoded;
}

auto decode_envelope(std::filesystem::path const& file, std::string_view magic,
                     std::string_view bytes) -> boost::leaf::result<envelope>
{
    if (bytes.size() < envelope_header_size)
        return fail(file, 0, "file too short");
    if (!bytes.starts_with(magic))
        return fail(file, 0, "not a file of this kind");
    auto const version = u32_at(bytes, 8);
    if (version != format_version)
        return fail(file, 8,
                    "unknown format version " + std::to_string(version));
    auto const length = u64_at(bytes, 12);
    if (length > bytes.size() - envelope_header_size)
        return fail(file, 12, "declared length is beyond the end of the file");
    auto const payload = bytes.substr(envelope_header_size, length);
    if (checksum_of(payload) != u32_at(bytes, 20))
        return fail(file, envelope_header_size, "checksum mismatch");
    return envelope{payload, envelope_header_size + payload.size()};
}

} // namespace hickorylatch::storage
