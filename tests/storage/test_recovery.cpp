#include "storage/data_folder.hpp"

#include "sample.hpp"

#include <boost/test/unit_test.hpp>

#include <cerrno>
#include <fstream>
#include <iterator>

namespace core = hickorylatch::core;
namespace storage = hickorylatch::storage;
namespace fs = std::filesystem;

using namespace hickorylatch::tests;

namespace
{

auto file_contents(fs::path const& path) -> std::string
{
    auto in = std::ifstream{path, std::ios::binary};
    return {std::istreambuf_iterator<char>{in}, {}};
}

auto overwrite_file(fs::path const& path, std::string_view bytes) -> void
{
    std::ofstream{path, std::ios::binary | std::ios::trunc} << bytes;
}

/// Appends each write as its own record and returns the size of the log after
/// each.
auto write_each(fs::path const& path, std::span<core::append_log const> writes)
    -> std::vector<std::size_t>
{
    auto opened = open_folder(path);
    auto sizes = std::vector<std::size_t>{};
    for (auto const& write : writes)
    {
        BOOST_TEST(!!opened.m_value->m_folder.append({&write, 1}));
        sizes.push_back(fs::file_size(storage::segment_path(path, 1)));
    }
    return sizes;
}

auto three_writes() -> std::vector<core::append_log>
{
    auto writes = std::vector{sample_write(1, 2, 1), sample_write(3, 4, 1),
                              sample_write(4, 5, 2)};
    writes[2].m_truncate_from = 4;
    writes[2].m_hard_state = core::hard_state{2, core::node_id{3}};
    return writes;
}

constexpr auto synced_entries = std::string_view{"1-1 2-1 3-1 4-1 "};

/// Expects that recovery restores the first two writes and truncates the rest
/// with one warning.
auto check_tail_is_truncated(fs::path const& path, std::size_t synced_size)
    -> void
{
    {
        auto const opened = open_folder(path);
        BOOST_REQUIRE_MESSAGE(opened.m_value, opened.m_error);
        auto const& state = opened.m_value->m_recovered;
        BOOST_TEST(list_entries(state.m_entries) == synced_entries);
        BOOST_TEST((state.m_hard_state == core::hard_state{}));
        BOOST_REQUIRE(opened.m_value->m_warnings.size() == 1U);
        BOOST_TEST(opened.m_value->m_warnings[0].m_event == "log_tail_cut");
    }
    BOOST_TEST(fs::file_size(storage::segment_path(path, 1)) == synced_size);
    BOOST_TEST(open_folder(path).m_value->m_warnings.empty());
}

} // namespace

// Guards against a crash during a write that loses earlier writes or leaves
// part of the interrupted one.
BOOST_AUTO_TEST_CASE(a_crash_at_each_byte_of_the_last_write_is_recovered)
{
    auto const scratch = scratch_folder{};
    auto const sizes = write_each(scratch.path(), three_writes());
    auto const log = storage::segment_path(scratch.path(), 1);
    auto const original = file_contents(log);
    for (auto size = sizes[1] + 1; size < sizes[2]; ++size)
    {
        overwrite_file(log, std::string_view{original}.substr(0, size));
        check_tail_is_truncated(scratch.path(), sizes[1]);
        // In preallocated space, a record that ends in zeros is complete before
        // its last byte is written.
        if (original.find_first_not_of('\0', size) != std::string::npos)
        {
            overwrite_file(log, original.substr(0, size) +
                                    std::string(sizes[2], '\0'));
            check_tail_is_truncated(scratch.path(), sizes[1]);
        }
        auto flipped = original;
        flipped[size - 1] = static_cast<char>(flipped[size - 1] ^ 0x10);
        overwrite_file(log, flipped);
        check_tail_is_truncated(scratch.path(), sizes[1]);
    }
    for (auto const reserved : {std::size_t{0}, sizes[2]})
    {
        overwrite_file(log, original.substr(0, sizes[1]) +
                                std::string(reserved, '\0'));
        auto const opened = open_folder(scratch.path());
        BOOST_TEST(list_entries(opened.m_value->m_recovered.m_entries) ==
                   synced_entries);
        BOOST_TEST(opened.m_value->m_warnings.empty());
    }
}

// Guards against an evacuation that is lost, or read as another command, when
// the log is recovered.
BOOST_AUTO_TEST_CASE(evacuations_are_recovered_from_the_log)
{
    auto const scratch = scratch_folder{};
    auto write = core::append_log{};
    write.m_entries = {{1, 1, core::set_evacuation{"klang", true, 5}},
                       {2, 1, core::set_evacuation{"klang", false, 6}}};
    write_each(scratch.path(), {&write, 1});
    auto const opened = open_folder(scratch.path());
    BOOST_REQUIRE_MESSAGE(opened.m_value, opened.m_error);
    auto const& entries = opened.m_value->m_recovered.m_entries;
    BOOST_REQUIRE(entries.size() == 2U);
    for (auto const& entry : entries)
    {
        auto const& change = std::get<core::set_evacuation>(entry.m_command);
        BOOST_TEST(change.m_failure_domain == "klang");
        BOOST_TEST(change.m_is_evacuated == (entry.m_index == 1));
        BOOST_TEST(change.m_number == entry.m_index + 4);
    }
}

// Guards against a torn tail in preallocated space that damages later writes.
BOOST_AUTO_TEST_CASE(
    writes_continue_after_a_truncated_tail_in_preallocated_space)
{
    auto const scratch = scratch_folder{};
    auto options = unsynced_options();
    options.m_preallocate = true;
    options.m_segment_bytes = 8192;
    auto const log = storage::segment_path(scratch.path(), 1);
    for (auto index = core::log_index{1}; index < 5; ++index)
    {
        auto opened = open_folder(scratch.path(), options);
        BOOST_REQUIRE_MESSAGE(opened.m_value, opened.m_error);
        BOOST_TEST(opened.m_value->m_recovered.m_entries.size() == index - 1);
        BOOST_TEST(opened.m_value->m_warnings.size() == (index > 1 ? 1U : 0U));
        auto const write = sample_write(index, index, 1);
        BOOST_TEST(!!opened.m_value->m_folder.append({&write, 1}));
        opened.m_value.reset();
        auto bytes = file_contents(log);
        BOOST_TEST(bytes.size() == 8192U);
        bytes.replace(bytes.find_last_not_of('\0') + 32, 4, "torn");
        overwrite_file(log, bytes);
    }
}

// Guards against damage before synced writes that is mistaken for a torn tail.
BOOST_AUTO_TEST_CASE(each_flipped_bit_before_a_valid_record_is_refused)
{
    auto const scratch = scratch_folder{};
    auto const sizes = write_each(scratch.path(), three_writes());
    auto const log = storage::segment_path(scratch.path(), 1);
    auto const original = file_contents(log);
    for (auto at = std::size_t{0}; at < sizes[1]; ++at)
    {
        auto flipped = original;
        flipped[at] = static_cast<char>(flipped[at] ^ (1 << (at % 8)));
        overwrite_file(log, flipped);
        auto const opened = open_folder(scratch.path());
        BOOST_TEST(!opened.m_value);
        BOOST_TEST(opened.m_error.find(log.string() + " at offset ") == 0U);
    }
}

// Guards against a payload that contains the bytes of a record: a torn tail
// with such a payload must not count as damage before a valid record.
BOOST_AUTO_TEST_CASE(a_record_copied_into_a_torn_tail_is_not_valid)
{
    auto const scratch = scratch_folder{};
    auto const sizes = write_each(scratch.path(), three_writes());
    auto const log = storage::segment_path(scratch.path(), 1);
    auto const original = file_contents(log);
    auto const copied = original.substr(sizes[0], sizes[1] - sizes[0]);
    overwrite_file(log, original.substr(0, sizes[1]) + "torn" + copied);
    check_tail_is_truncated(scratch.path(), sizes[1]);
}

// Guards against a log that is accepted although part of it is missing.
BOOST_AUTO_TEST_CASE(missing_and_torn_segments_before_the_last_are_refused)
{
    auto const scratch = scratch_folder{};
    auto options = unsynced_options();
    options.m_segment_bytes = 1;
    {
        auto opened = open_folder(scratch.path(), options);
        for (auto const& write : three_writes())
            BOOST_TEST(!!opened.m_value->m_folder.append({&write, 1}));
    }
    auto const second = storage::segment_path(scratch.path(), 2);
    auto const original = file_contents(second);
    overwrite_file(second,
                   std::string_view{original}.substr(0, original.size() - 1));
    auto opened = open_folder(scratch.path(), options);
    BOOST_TEST(opened.m_error.find(second.string() + " at offset ") == 0U);
    fs::remove(second);
    opened = open_folder(scratch.path(), options);
    BOOST_TEST(opened.m_error.find("is missing") != std::string::npos);
    // The first segment has no records: with this segment size, each write
    // starts a new one.
    fs::remove(storage::segment_path(scratch.path(), 1));
    opened = open_folder(scratch.path(), options);
    BOOST_TEST(opened.m_error.find("the log starts after index 2") !=
                   std::string::npos,
               opened.m_error);
}

// Guards against a crash during the save of a snapshot that loses the log, or
// one after the save that loses the snapshot.
BOOST_AUTO_TEST_CASE(a_crash_at_each_sync_of_a_snapshot_is_recovered)
{
    // A snapshot of the replica's own log and one received from a leader.
    for (auto const& snapshot : {sample_snapshot(4, 1), sample_snapshot(9, 2)})
    {
        auto is_done = false;
        for (auto crash_at = 1; !is_done; ++crash_at)
        {
            auto const scratch = scratch_folder{};
            auto syncs = 0;
            auto options = storage::storage_options{};
            options.m_segment_bytes = 1;
            options.m_sync_override = [&](int) -> int
            {
                errno = EIO;
                return --syncs == 0 ? -1 : 0;
            };
            {
                auto opened = open_folder(scratch.path(), options);
                auto& folder = opened.m_value->m_folder;
                auto const writes =
                    std::vector{sample_write(1, 3, 1), sample_write(4, 6, 1)};
                for (auto const& write : writes)
                    BOOST_TEST(!!folder.append({&write, 1}));
                BOOST_TEST(!!folder.save_snapshot(sample_snapshot(2, 1)));
                syncs = crash_at;
                is_done = !!folder.save_snapshot(snapshot);
            }
            auto const again = open_folder(scratch.path());
            BOOST_REQUIRE_MESSAGE(again.m_value, again.m_error);
            auto const& state = again.m_value->m_recovered;
            auto const index = state.m_snapshot.m_last_index;
            if (index == 2)
                BOOST_TEST(list_entries(state.m_entries) == "3-1 4-1 5-1 6-1 ");
            else
                BOOST_TEST(list_entries(state.m_entries) ==
                           (index == 4 ? "5-1 6-1 " : ""));
            BOOST_TEST((index == snapshot.m_last_index || !is_done));
            BOOST_TEST(again.m_value->m_folder.last_index() ==
                       std::max<core::log_index>(6, index));
        }
    }
}

// Guards against a damaged snapshot that stops a replica although an older
// snapshot and the log are complete, and against recovery with a gap between an
// older snapshot and the log.
BOOST_AUTO_TEST_CASE(an_older_snapshot_is_used_only_if_the_log_continues_it)
{
    auto const scratch = scratch_folder{};
    auto const damage = [&](std::uint64_t sequence)
    {
        auto const path = storage::snapshot_path(scratch.path(), sequence);
        auto bytes = file_contents(path);
        bytes.back() = static_cast<char>(bytes.back() ^ 1);
        overwrite_file(path, bytes);
    };
    {
        auto opened = open_folder(scratch.path());
        auto const write = sample_write(1, 6, 1);
        BOOST_TEST(!!opened.m_value->m_folder.append({&write, 1}));
        BOOST_TEST(
            !!opened.m_value->m_folder.save_snapshot(sample_snapshot(2, 1)));
        BOOST_TEST(
            !!opened.m_value->m_folder.save_snapshot(sample_snapshot(4, 1)));
    }
    damage(2);
    {
        auto opened = open_folder(scratch.path());
        BOOST_REQUIRE_MESSAGE(opened.m_value, opened.m_error);
        BOOST_TEST(list_entries(opened.m_value->m_recovered.m_entries) ==
                   "3-1 4-1 5-1 6-1 ");
        BOOST_REQUIRE(opened.m_value->m_warnings.size() == 1U);
        BOOST_TEST(opened.m_value->m_warnings[0].m_event == "snapshot_damaged");
        // The log is reset to start after this snapshot.
        BOOST_TEST(
            !!opened.m_value->m_folder.save_snapshot(sample_snapshot(20, 2)));
    }
    damage(3);
    auto const opened = open_folder(scratch.path());
    BOOST_TEST(!opened.m_value);
    BOOST_TEST(opened.m_error.find("the log starts after index 20") !=
               std::string::npos);
    damage(1);
    auto const neither = open_folder(scratch.path());
    BOOST_TEST(neither.m_error.find(
                   storage::snapshot_path(scratch.path(), 3).string()) == 0U);
}

// Guards against a folder that grows without bound.
BOOST_AUTO_TEST_CASE(covered_segments_and_old_snapshots_are_removed)
{
    auto const scratch = scratch_folder{};
    auto options = unsynced_options();
    options.m_segment_bytes = 1;
    auto opened = open_folder(scratch.path(), options);
    for (auto index = core::log_index{1}; index <= 50; ++index)
    {
        auto const write = sample_write(index, index, 1);
        BOOST_TEST(!!opened.m_value->m_folder.append({&write, 1}));
        if (index % 5 == 0)
            BOOST_TEST(!!opened.m_value->m_folder.save_snapshot(
                sample_snapshot(index, 1)));
    }
    // Lock, identity, two snapshots and the segments after the older one.
    auto const files = std::distance(fs::directory_iterator{scratch.path()},
                                     fs::directory_iterator{});
    BOOST_TEST(files <= 10);
    opened.m_value.reset();
    BOOST_TEST(open_folder(scratch.path()).m_value->m_folder.last_index() ==
               50U);
}
