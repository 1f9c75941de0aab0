#ifndef HICKORYLATCH_STORAGE_LOG_RECORD_HPP
#define HICKORYLATCH_STORAGE_LOG_RECORD_HPP

#include "core/model/effect.hpp"
#include "core/model/ids.hpp"

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hickorylatch::storage
{

/// Where a record belongs. It is part of the checksum, so that a record copied
/// into a caller's payload or left over from another file is not taken for a
/// valid one.
struct record_place
{
    core::node_id m_identity = core::no_node;
    /// Sequence number of the segment.
    std::uint64_t m_segment = 0;
    std::uint64_t m_offset = 0;
};

/// Marker, length and checksum, little-endian, before each record's payload.
inline constexpr auto record_header_size = std::size_t{4 + 4 + 4};

/// First bytes of a segment.
struct segment_header
{
    core::node_id m_identity = core::no_node;
    std::uint64_t m_sequence = 0;
    /// Set if the entries of earlier segments are void: the log starts again
    /// behind a snapshot.
    bool m_restarts = false;
    /// Last entry before this segment.
    core::log_index m_base_index = 0;
    core::term_number m_base_term = 0;
    /// Hard state when the segment was created.
    core::hard_state m_hard_state;
};
BOOST_DESCRIBE_STRUCT(segment_header, (),
                      (m_identity, m_sequence, m_restarts, m_base_index,
                       m_base_term, m_hard_state))

/// A decoded segment header and its size in bytes.
struct sized_segment_header
{
    segment_header m_header;
    std::size_t m_size = 0;
};

[[nodiscard]] auto encode_segment_header(segment_header const& header)
    -> std::string;
/// Reads the header at the start of a file's bytes. Fails with
/// `storage_error`.
[[nodiscard]] auto decode_segment_header(std::filesystem::path const& file,
                                         std::string_view bytes)
    -> boost::leaf::result<sized_segment_header>;

/// Largest payload of a record in bytes.
inline constexpr auto maximum_record_size = std::size_t{1} << 30U;

/// Adds one write to the payload of a record.
auto append_write(std::string& payload, core::append_log const& write) -> void;

/// One group commit. All its writes share one checksum, so that after a crash
/// during the sync either all of them are there or none.
[[nodiscard]] auto encode_record(record_place place, std::string_view payload)
    -> std::string;

/// Payload of the record at the start of the bytes; nothing if it is
/// incomplete or its checksum is wrong.
[[nodiscard]] auto record_payload(record_place place, std::string_view bytes)
    -> std::optional<std::string_view>;

/// Payload of the record at this offset of a file. Fails with
/// `storage_error`.
[[nodiscard]] auto decode_record_payload(std::filesystem::path const& file,
                                         std::uint64_t offset,
                                         std::string_view payload)
    -> boost::leaf::result<std::vector<core::append_log>>;

/// Offset of the first valid record at or behind the given offset of a
/// segment, if there is one.
[[nodiscard]] auto find_record(core::node_id identity, std::uint64_t segment,
                               std::string_view bytes, std::size_t offset)
    -> std::optional<std::size_t>;

} // namespace hickorylatch::storage

#endif
