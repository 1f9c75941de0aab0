#include "storage/snapshot_file.hpp"

#include "storage/decode.hpp"
#include "storage/envelope.hpp"
#include "storage/file.hpp"
#include "storage/storage_error.hpp"

#include "wire/codec.hpp"

#include <cstdint>

namespace hickorylatch::storage
{

auto encode_snapshot_file(core::node_id identity, core::snapshot const& value)
    -> std::string
{
    auto payload = std::string{};
    put_u64(payload, static_cast<std::uint64_t>(identity));
    payload += wire::encode(value);
    return encode_envelope(snapshot_magic, payload);
}

auto decode_snapshot_file(std::filesystem::path const& file,
                          core::node_id identity, std::string_view bytes)
    -> boost::leaf::result<core::snapshot>
{
    BOOST_LEAF_AUTO(opened, decode_envelope(file, snapshot_magic, bytes));
    if (opened.m_size != bytes.size())
        return fail(file, opened.m_size, "trailing bytes after the snapshot");
    if (opened.m_payload.size() < sizeof(std::uint64_t))
        return fail(file, envelope_header_size, "file too short");
    if (core::node_id{u64_at(opened.m_payload, 0)} != identity)
        return fail(file, envelope_header_size,
                    "the snapshot belongs to another replica identity");
    auto const offset = envelope_header_size + sizeof(std::uint64_t);
    return decode<core::snapshot>(file, offset, bytes.substr(offset));
}

auto read_snapshot(std::filesystem::path const& path, core::node_id identity)
    -> boost::leaf::result<core::snapshot>
{
    BOOST_LEAF_AUTO(bytes, read_file(path));
    return decode_snapshot_file(path, identity, bytes);
}

} // namespace hickorylatch::storage
