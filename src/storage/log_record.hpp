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

/// Location of a record. It is covered by the checksum, so that bytes of a
/// record in a caller's payload or left over from another file are not taken
/// for a valid record.
struct record_location
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
    /// Set if the entries of earlier segments are invalid: the log restarts
    /// after a snapshot.
    bool m_resets_log = false;
    /// Index and term of the last entry before this segment.
    core::log_index m_base_index = 0;
    core::term_number m_base_term = 0;
    /// Hard state when the segment was created.
    core::hard_state m_hard_state;
};
BOOST_DESCRIBE_STRUCT(segment_header, (),
                      (m_identity, m_sequence, m_resets_log, m_base_index,
                       m_base_term, m_hard_state))

/// A decoded segment header and its size in bytes.
struct sized_segment_header
{
    segment_header m_header;
    std::size_t m_size = 0;
};

[[nodiscard]] auto encode_segment_header(segment_header const& header)
    -> std::string;
/// Decodes the header at the start of a file's bytes. Fails with
/// `storage_error`.
[[nodiscard]] auto decode_segment_header(std::filesystem::path const& file,
                                         std::string_view bytes)
    -> boost::leaf::result<sized_segment_header>;

/// Largest payload of a record in bytes.
inline constexpr auto maximum_record_size = std::size_t{1} << 30U;

/// Appends one write to the payload of a record.
auto append_write(std::string& payload, core::append_log const& write) -> void;

/// Encodes the record of one group commit. All its writes share one checksum,
/// so that a crash during the sync preserves either all of them or none.
[[nodiscard]] auto encode_record(record_location location,
                                 std::string_view payload) -> std::string;

/// Payload of the record at the start of the bytes; empty if the record is
/// incomplete or its checksum is wrong.
[[nodiscard]] auto record_payload(record_location location,
                                  std::string_view bytes)
    -> std::optional<std::string_view>;

/// Decodes the writes in the payload of a record. File and offset of the record
/// are only used in errors. Fails with `storage_error`.
[[nodiscard]] auto decode_record_payload(std::filesystem::path const& file,
                                         std::uint64_t offset,
                                         std::string_view payload)
    -> boost::leaf::result<std::vector<core::append_log>>;

/// Offset of the first valid record at or after the given offset of a segment,
/// if there is one.
[[nodiscard]] auto find_record(core::node_id identity, std::uint64_t segment,
                               std::string_view bytes, std::size_t offset)
    -> std::optional<std::size_t>;

} // namespace hickorylatch::storage

#endif
