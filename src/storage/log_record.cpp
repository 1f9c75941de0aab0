#include "storage/log_record.hpp"

#include "storage/decode.hpp"
#include "storage/envelope.hpp"
#include "storage/storage_error.hpp"

#include "wire/described_codec.hpp"

#include <utility>

namespace hickorylatch::storage
{

namespace
{

constexpr auto record_marker = std::string_view{"HLR\x01"};

[[nodiscard]] auto checksum_of(record_location location,
                               std::string_view payload) -> std::uint32_t
{
    return checksum{}
        .add(static_cast<std::uint64_t>(location.m_identity))
        .add(location.m_segment)
        .add(location.m_offset)
        .add(payload.size())
        .add(payload)
        .value();
}

} // namespace

auto encode_segment_header(segment_header const& header) -> std::string
{
    return encode_envelope(segment_magic, wire::described::to_bytes(header));
}

auto decode_segment_header(std::filesystem::path const& file,
                           std::string_view bytes)
    -> boost::leaf::result<sized_segment_header>
{
    BOOST_LEAF_AUTO(opened, decode_envelope(file, segment_magic, bytes));
    BOOST_LEAF_AUTO(header, decode<segment_header>(file, envelope_header_size,
                                                   opened.m_payload));
    return sized_segment_header{header, opened.m_size};
}

auto append_write(std::string& payload, core::append_log const& write) -> void
{
    auto const bytes = wire::described::to_bytes(write);
    put_u32(payload, static_cast<std::uint32_t>(bytes.size()));
    payload += bytes;
}

auto encode_record(record_location location, std::string_view payload)
    -> std::string
{
    auto record = std::string{record_marker};
    put_u32(record, static_cast<std::uint32_t>(payload.size()));
    put_u32(record, checksum_of(location, payload));
    record += payload;
    return record;
}

auto record_payload(record_location location, std::string_view bytes)
    -> std::optional<std::string_view>
{
    if (bytes.size() < record_header_size || !bytes.starts_with(record_marker))
        return std::nullopt;
    auto const length = std::size_t{u32_at(bytes, 4)};
    if (length > bytes.size() - record_header_size)
        return std::nullopt;
    auto const payload = bytes.substr(record_header_size, length);
    if (checksum_of(location, payload) != u32_at(bytes, 8))
        return std::nullopt;
    return payload;
}

auto decode_record_payload(std::filesystem::path const& file,
                           std::uint64_t offset, std::string_view payload)
    -> boost::leaf::result<std::vector<core::append_log>>
{
    auto writes = std::vector<core::append_log>{};
    while (!payload.empty())
    {
        if (payload.size() < 4)
            return fail(file, offset,
                        "record ends within the length of a write");
        auto const length = std::size_t{u32_at(payload, 0)};
        payload.remove_prefix(4);
        if (length > payload.size())
            return fail(file, offset, "record ends within a write");
        BOOST_LEAF_AUTO(write, decode<core::append_log>(
                                   file, offset, payload.substr(0, length)));
        writes.push_back(std::move(write));
        payload.remove_prefix(length);
    }
    return writes;
}

auto find_record(core::node_id identity, std::uint64_t segment,
                 std::string_view bytes, std::size_t offset)
    -> std::optional<std::size_t>
{
    for (auto at = bytes.find(record_marker, offset);
         at != std::string_view::npos; at = bytes.find(record_marker, at + 1))
    {
        if (record_payload({identity, segment, at}, bytes.substr(at)))
            return at;
    }
    return std::nullopt;
}

} // namespace hickorylatch::storage
