#include "storage/recovery.hpp"

#include "storage/envelope.hpp"
#include "storage/file.hpp"
#include "storage/log_replay.hpp"
#include "storage/snapshot_file.hpp"
#include "storage/storage_error.hpp"

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <string_view>
#include <system_error>
#include <utility>

namespace hickorylatch::storage
{

namespace
{

namespace fs = std::filesystem;

constexpr auto segment_prefix = std::string_view{"log-"};
constexpr auto snapshot_prefix = std::string_view{"snapshot-"};

/// Well above the size of a segment header, which is about 60 bytes.
constexpr auto max_segment_header_bytes = std::uint64_t{4096};

/// Pads the number with zeros, so that file names sort by number.
[[nodiscard]] auto numbered_name(std::string_view prefix, std::uint64_t number)
    -> std::string
{
    auto const digits = std::to_string(number);
    return std::string{prefix} + std::string(20 - digits.size(), '0') + digits;
}

/// Sequence numbers of the files with this prefix, in ascending order.
[[nodiscard]] auto list_sequence_numbers(fs::path const& folder,
                                         std::string_view prefix)
    -> boost::leaf::result<std::vector<std::uint64_t>>
{
    auto numbers = std::vector<std::uint64_t>{};
    auto code = std::error_code{};
    for (auto file = fs::directory_iterator{folder, code};
         !code && file != fs::directory_iterator{}; file.increment(code))
    {
        auto const name = file->path().filename().string();
        if (!name.starts_with(prefix))
            continue;
        auto number = std::uint64_t{0};
        auto const* const first = name.data() + prefix.size();
        auto const* const last = name.data() + name.size();
        if (std::from_chars(first, last, number).ptr == last)
            numbers.push_back(number);
    }
    if (code)
        return fail(folder, 0, "cannot list the folder: " + code.message());
    std::ranges::sort(numbers);
    return numbers;
}

[[nodiscard]] auto read_identity(fs::path const& folder)
    -> boost::leaf::result<core::node_id>
{
    auto const path = identity_path(folder);
    BOOST_LEAF_AUTO(bytes, read_file(path));
    BOOST_LEAF_AUTO(opened, decode_envelope(path, identity_magic, bytes));
    if (opened.m_payload.size() != sizeof(std::uint64_t))
        return fail(path, 0, "the identity has the wrong size");
    return core::node_id{u64_at(opened.m_payload, 0)};
}

/// Loads the newest readable snapshot into the state and collects the positions
/// of all readable ones.
[[nodiscard]] auto read_snapshots(fs::path const& folder,
                                  folder_contents& contents)
    -> boost::leaf::result<void>
{
    BOOST_LEAF_AUTO(numbers, list_sequence_numbers(folder, snapshot_prefix));
    if (numbers.empty())
        return {};
    contents.m_snapshot_sequence = numbers.back();
    auto newest_error = std::optional<storage_error>{};
    for (auto number = numbers.rbegin(); number != numbers.rend(); ++number)
    {
        auto const identity = contents.m_state.m_identity;
        BOOST_LEAF_CHECK(boost::leaf::try_handle_some(
            [&]() -> boost::leaf::result<void>
            {
                BOOST_LEAF_AUTO(
                    read,
                    read_snapshot(snapshot_path(folder, *number), identity));
                contents.m_snapshots.push_back(
                    {*number, {read.m_last_index, read.m_last_term}});
                if (contents.m_snapshots.size() == 1)
                    contents.m_state.m_snapshot = std::move(read);
                return {};
            },
            [&](storage_error const& error) -> boost::leaf::result<void>
            {
                contents.m_damaged_snapshots.push_back(to_string(error));
                if (!newest_error)
                    newest_error = error;
                return {};
            }));
    }
    std::ranges::reverse(contents.m_snapshots);
    if (contents.m_snapshots.empty())
        return boost::leaf::new_error(*newest_error);
    return {};
}

[[nodiscard]] auto
read_segment_headers(fs::path const& folder,
                     std::vector<std::uint64_t> const& numbers)
    -> boost::leaf::result<std::vector<segment_info>>
{
    auto segments = std::vector<segment_info>{};
    for (auto const number : numbers)
    {
        auto const path = segment_path(folder, number);
        if (!segments.empty() && segments.back().m_sequence + 1 != number)
            return fail(path, 0,
                        "the segment before it, number " +
                            std::to_string(number - 1) + ", is missing");
        BOOST_LEAF_AUTO(bytes, read_file(path, max_segment_header_bytes));
        BOOST_LEAF_AUTO(decoded, decode_segment_header(path, bytes));
        if (decoded.m_header.m_sequence != number)
            return fail(path, 0,
                        "the segment is number " +
                            std::to_string(decoded.m_header.m_sequence));
        segments.push_back({number, decoded.m_header.m_base_index});
    }
    return segments;
}

/// For a folder without an identity: true if a crash interrupted its creation,
/// which writes an empty first segment and then the identity.
[[nodiscard]] auto
is_creation_incomplete(fs::path const& folder,
                       std::vector<std::uint64_t> const& numbers)
    -> boost::leaf::result<bool>
{
    if (numbers.empty())
        return true;
    if (numbers.size() > 1)
        return false;
    auto const path = segment_path(folder, numbers.front());
    BOOST_LEAF_AUTO(bytes, read_file(path, max_segment_header_bytes));
    BOOST_LEAF_AUTO(decoded, decode_segment_header(path, bytes));
    return decoded.m_size == bytes.size() && decoded.m_header.m_sequence == 1;
}

/// Adds the log entries after the snapshot to the contents, or requests a reset
/// of the log if it does not continue the snapshot. That happens after a crash
/// or after a snapshot was received from the leader.
[[nodiscard]] auto combine_snapshot_and_log(fs::path const& first_segment,
                                            log_replay& replay,
                                            folder_contents& contents)
    -> boost::leaf::result<void>
{
    auto const& snapshot = contents.m_state.m_snapshot;
    auto const index = snapshot.m_last_index;
    if (replay.base().m_index > index)
        return fail(first_segment, 0,
                    "the log starts after index " +
                        std::to_string(replay.base().m_index) +
                        ", but the snapshot ends at index " +
                        std::to_string(index));
    contents.m_terms = replay.terms();
    contents.m_needs_log_reset =
        replay.terms().term_at(index) != snapshot.m_last_term;
    if (!contents.m_needs_log_reset)
        contents.m_state.m_entries = replay.take_entries(index);
    return {};
}

} // namespace

auto identity_path(fs::path const& folder) -> fs::path
{
    return folder / "identity";
}

auto segment_path(fs::path const& folder, std::uint64_t sequence) -> fs::path
{
    return folder / numbered_name(segment_prefix, sequence);
}

auto snapshot_path(fs::path const& folder, std::uint64_t sequence) -> fs::path
{
    return folder / numbered_name(snapshot_prefix, sequence);
}

auto read_folder(fs::path const& folder) -> boost::leaf::result<folder_contents>
{
    auto contents = folder_contents{};
    BOOST_LEAF_AUTO(numbers, list_sequence_numbers(folder, segment_prefix));
    BOOST_LEAF_AUTO(snapshots, list_sequence_numbers(folder, snapshot_prefix));
    if (!fs::exists(identity_path(folder)))
    {
        BOOST_LEAF_AUTO(is_incomplete, is_creation_incomplete(folder, numbers));
        if (!is_incomplete || !snapshots.empty())
            return fail(identity_path(folder), 0,
                        "the identity is missing, but log or snapshots exist");
        return contents;
    }
    BOOST_LEAF_ASSIGN(contents.m_state.m_identity, read_identity(folder));
    BOOST_LEAF_CHECK(read_snapshots(folder, contents));
    if (numbers.empty())
        return fail(segment_path(folder, 1), 0, "the log is missing");
    BOOST_LEAF_ASSIGN(contents.m_segments,
                      read_segment_headers(folder, numbers));

    // The snapshot covers every segment before the last one that starts within
    // it.
    auto const covered = contents.m_state.m_snapshot.m_last_index;
    auto const& segments = contents.m_segments;
    auto first = segments.size() - 1;
    while (first > 0 && segments[first].m_base_index > covered)
        --first;
    auto replay = log_replay{contents.m_state.m_identity};
    for (auto at = first; at < segments.size(); ++at)
    {
        auto const path = segment_path(folder, segments[at].m_sequence);
        BOOST_LEAF_AUTO(bytes, read_file(path));
        BOOST_LEAF_CHECK(
            replay.add_segment(path, bytes, at + 1 == segments.size()));
    }
    contents.m_state.m_hard_state = replay.hard_state();
    contents.m_torn_tail = replay.torn();
    contents.m_last_segment_size = replay.last_segment_size();
    BOOST_LEAF_CHECK(combine_snapshot_and_log(
        segment_path(folder, segments[first].m_sequence), replay, contents));
    return contents;
}

} // namespace hickorylatch::storage
