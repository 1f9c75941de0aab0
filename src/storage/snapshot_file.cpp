#include "storage/snapshot_file.hpp"

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
    return seal_envelope(snapshot_magic, payload);
}

auto decode_snapshot_file(core::node_id identity, std::string_view bytes)
    -> boost::leaf::result<core::snapshot>
{
    using wire::decode_error;
    BOOST_LEAF_AUTO(opened, open_envelope(snapshot_magic, bytes));
    if (opened.m_size != bytes.size())
        return boost::leaf::new_error(decode_error{"bytes behind the end"});
    if (opened.m_payload.size() < sizeof(std::uint64_t))
        return boost::leaf::new_error(decode_error{"file too short"});
    if (core::node_id{u64_at(opened.m_payload, 0)} != identity)
        return boost::leaf::new_error(
            decode_error{"the snapshot belongs to another identity"});
    return wire::decode_snapshot(
        opened.m_payload.substr(sizeof(std::uint64_t)));
}

auto read_snapshot(std::filesystem::path const& path, core::node_id identity)
    -> boost::leaf::result<core::snapshot>
{
    BOOST_LEAF_AUTO(bytes, read_file(path));
    return locate(path, 0,
                  [&]
                  {
                      return decode_snapshot_file(identity, bytes);
                  });
}

} // namespace hickorylatch::storage
