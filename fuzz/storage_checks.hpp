#ifndef HICKORYLATCH_FUZZ_STORAGE_CHECKS_HPP
#define HICKORYLATCH_FUZZ_STORAGE_CHECKS_HPP

#include "fuzz/require.hpp"

#include "storage/envelope.hpp"
#include "storage/log_record.hpp"
#include "storage/log_replay.hpp"
#include "storage/snapshot_file.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace hickorylatch::fuzz
{

inline constexpr auto identity = core::node_id{7};

/// Replays the bytes as a log segment and as the payload of a valid record.
inline auto check_log(std::string_view bytes) -> void
{
    auto raw = storage::log_replay{identity};
    static_cast<void>(raw.add_segment("raw", bytes, true));

    auto segment =
        storage::encode_segment_header({identity, 1, false, 0, 0, {}});
    segment += storage::encode_record({identity, 1, segment.size()}, bytes);
    auto replay = storage::log_replay{identity};
    auto const added = replay.add_segment("sealed", segment, true);
    require(!added || storage::decode_record_payload("sealed", 0, bytes),
            "a record that cannot be decoded was replayed");
    if (!added)
        return;
    require(!replay.torn(), "a valid record was taken for a torn tail");
    auto expected = replay.base().m_index;
    for (auto const& entry : replay.take_entries(expected))
        require(entry.m_index == ++expected, "entries with a gap");
    require(replay.terms().last().m_index == expected,
            "entries and terms differ");
}

/// Decodes the bytes as a snapshot file and as the payload of a valid one.
inline auto check_snapshot(std::string_view bytes) -> void
{
    static_cast<void>(storage::decode_snapshot_file("raw", identity, bytes));

    auto payload = std::string{};
    storage::put_u64(payload, static_cast<std::uint64_t>(identity));
    payload += bytes;
    auto const sealed =
        storage::encode_envelope(storage::snapshot_magic, payload);
    auto const first =
        storage::decode_snapshot_file("sealed", identity, sealed);
    if (!first)
        return;
    auto const encoded = storage::encode_snapshot_file(identity, first.value());
    auto const second =
        storage::decode_snapshot_file("again", identity, encoded);
    require(second && storage::encode_snapshot_file(identity, second.value()) ==
                          encoded,
            "a snapshot changes when it is encoded again");
}

} // namespace hickorylatch::fuzz

#endif
