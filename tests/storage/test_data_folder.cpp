#include "storage/data_folder.hpp"

#include "storage/inspect.hpp"

#include "sample.hpp"

#include <boost/test/unit_test.hpp>

#include <cerrno>
#include <fstream>
#include <sstream>

namespace core = hickorylatch::core;
namespace storage = hickorylatch::storage;
namespace fs = std::filesystem;

using namespace hickorylatch::tests;

// Guards against entries, hard state or identity that are lost on restart.
BOOST_AUTO_TEST_CASE(written_state_is_recovered)
{
    auto const scratch = scratch_folder{};
    auto identity = core::no_node;
    {
        auto opened = open_folder(scratch.path(), {});
        BOOST_REQUIRE(opened.m_value);
        identity = opened.m_value->m_recovered.m_identity;
        BOOST_TEST((identity != core::no_node));
        auto writes = std::vector{sample_write(1, 3, 1), sample_write(4, 5, 2)};
        writes[1].m_hard_state = core::hard_state{2, core::node_id{8}};
        BOOST_TEST(!!opened.m_value->m_folder.append(writes));
        BOOST_TEST(opened.m_value->m_folder.last_index() == 5U);
    }
    auto const again = open_folder(scratch.path(), {});
    BOOST_REQUIRE_MESSAGE(again.m_value, again.m_error);
    auto const& state = again.m_value->m_recovered;
    BOOST_TEST((state.m_identity == identity));
    BOOST_TEST((state.m_hard_state == core::hard_state{2, core::node_id{8}}));
    BOOST_TEST(list_entries(state.m_entries) == "1-1 2-1 3-1 4-2 5-2 ");
    BOOST_TEST(state.m_snapshot.m_last_index == 0U);
    BOOST_TEST(again.m_value->m_warnings.empty());
}

// Guards against a replica that loses its votes but keeps its identity: it
// could vote twice in one term.
BOOST_AUTO_TEST_CASE(a_recreated_folder_gets_a_new_identity)
{
    auto const scratch = scratch_folder{};
    auto const path = scratch.path() / "data";
    auto const first = open_folder(path).m_value->m_recovered.m_identity;
    fs::remove_all(path);
    auto const second = open_folder(path).m_value->m_recovered.m_identity;
    BOOST_TEST((first != second));
}

// Guards against a new identity for a folder whose log has votes.
BOOST_AUTO_TEST_CASE(a_log_without_identity_is_refused)
{
    auto const scratch = scratch_folder{};
    {
        auto opened = open_folder(scratch.path());
        auto const writes = std::vector{sample_write(1, 3, 1)};
        BOOST_TEST(!!opened.m_value->m_folder.append(writes));
    }
    fs::remove(storage::identity_path(scratch.path()));
    auto const again = open_folder(scratch.path());
    BOOST_TEST(!again.m_value);
    BOOST_TEST(again.m_error.find("identity is missing") != std::string::npos);
}

// Guards against two processes that write to the same log.
BOOST_AUTO_TEST_CASE(a_second_process_cannot_open_the_folder)
{
    auto const scratch = scratch_folder{};
    auto first = open_folder(scratch.path());
    BOOST_REQUIRE(first.m_value);
    auto const second = open_folder(scratch.path());
    BOOST_TEST(!second.m_value);
    BOOST_TEST(second.m_error.find("in use by another process") !=
               std::string::npos);
    first.m_value.reset();
    BOOST_TEST(open_folder(scratch.path()).m_value.has_value());
}

// Guards against truncated entries of an old leader that reappear after a
// restart.
BOOST_AUTO_TEST_CASE(a_truncation_survives_a_restart)
{
    auto const scratch = scratch_folder{};
    auto options = unsynced_options();
    options.m_segment_bytes = 1;
    {
        auto opened = open_folder(scratch.path(), options);
        auto first = std::vector{sample_write(1, 6, 1)};
        BOOST_TEST(!!opened.m_value->m_folder.append(first));
        auto second = std::vector{sample_write(4, 5, 2)};
        second[0].m_truncate_from = 4;
        BOOST_TEST(!!opened.m_value->m_folder.append(second));
        auto third = std::vector{sample_write(3, 3, 3)};
        third[0].m_truncate_from = 3;
        BOOST_TEST(!!opened.m_value->m_folder.append(third));
        BOOST_TEST(opened.m_value->m_folder.last_index() == 3U);
    }
    auto const again = open_folder(scratch.path(), options);
    BOOST_REQUIRE_MESSAGE(again.m_value, again.m_error);
    BOOST_TEST(list_entries(again.m_value->m_recovered.m_entries) ==
               "1-1 2-1 3-3 ");
}

// Guards against a log with a gap that is accepted silently.
BOOST_AUTO_TEST_CASE(a_write_that_leaves_a_gap_is_refused)
{
    auto const scratch = scratch_folder{};
    auto opened = open_folder(scratch.path());
    auto const gap = std::vector{sample_write(1, 2, 1), sample_write(4, 4, 1)};
    BOOST_TEST(!opened.m_value->m_folder.append(gap));
    auto const good = std::vector{sample_write(1, 2, 1)};
    BOOST_TEST(!!opened.m_value->m_folder.append(good));
}

// Guards against a sync that is retried after the kernel dropped the pages.
BOOST_AUTO_TEST_CASE(a_failed_sync_is_fatal)
{
    auto const scratch = scratch_folder{};
    auto fails = false;
    auto options = storage::storage_options{};
    options.m_sync_override = [&](int) -> int
    {
        errno = EIO;
        return std::exchange(fails, false) ? -1 : 0;
    };
    auto opened = open_folder(scratch.path(), options);
    BOOST_REQUIRE_MESSAGE(opened.m_value, opened.m_error);
    fails = true;
    auto const writes = std::vector{sample_write(1, 1, 1)};
    BOOST_TEST(!opened.m_value->m_folder.append(writes));
    BOOST_TEST(!opened.m_value->m_folder.append(writes));
    BOOST_TEST(!opened.m_value->m_folder.save_snapshot(sample_snapshot(0, 0)));
}

// Guards against a replica that exits when its disk is full, or whose log has a
// gap once there is space again.
BOOST_AUTO_TEST_CASE(a_write_waits_for_space_on_a_full_disk)
{
    auto const scratch = scratch_folder{};
    auto full_disk_errors = 0;
    auto options = storage::storage_options{};
    options.m_space_waiter = std::make_shared<storage::space_waiter>();
    options.m_injected_write_error = [&]
    {
        return full_disk_errors > 0 && full_disk_errors-- > 0 ? ENOSPC : 0;
    };
    {
        auto opened = open_folder(scratch.path(), options);
        BOOST_REQUIRE_MESSAGE(opened.m_value, opened.m_error);
        full_disk_errors = 2;
        auto const first = std::vector{sample_write(1, 2, 1)};
        BOOST_TEST(!!opened.m_value->m_folder.append(first));
        BOOST_TEST(options.m_space_waiter->wait_count() == 2U);
        full_disk_errors = 1;
        BOOST_TEST(
            !!opened.m_value->m_folder.save_snapshot(sample_snapshot(1, 1)));
        BOOST_TEST(!!opened.m_value->m_folder.append(
            std::vector{sample_write(3, 3, 1)}));
        // A process that shuts down does not wait for space.
        options.m_space_waiter->stop();
        full_disk_errors = 1;
        BOOST_TEST(!opened.m_value->m_folder.append(
            std::vector{sample_write(4, 4, 1)}));
    }
    auto const again = open_folder(scratch.path());
    BOOST_REQUIRE_MESSAGE(again.m_value, again.m_error);
    BOOST_TEST(again.m_value->m_folder.last_index() == 3U);
}

// Guards against a replica that exits when its disk is full: file systems also
// report that by a sync, and the pages that were to be written may be dropped.
BOOST_AUTO_TEST_CASE(a_sync_waits_for_space_and_writes_again)
{
    auto const scratch = scratch_folder{};
    auto full_disk_errors = 0;
    auto writes = 0;
    auto options = storage::storage_options{};
    options.m_space_waiter = std::make_shared<storage::space_waiter>();
    options.m_sync_override = [&](int) -> int
    {
        errno = full_disk_errors % 2 == 0 ? ENOSPC : EDQUOT;
        return full_disk_errors > 0 && full_disk_errors-- > 0 ? -1 : 0;
    };
    options.m_injected_write_error = [&]
    {
        ++writes;
        return 0;
    };
    auto opened = open_folder(scratch.path(), options);
    BOOST_REQUIRE_MESSAGE(opened.m_value, opened.m_error);
    full_disk_errors = 2;
    writes = 0;
    BOOST_TEST(
        !!opened.m_value->m_folder.append(std::vector{sample_write(1, 2, 1)}));
    BOOST_TEST(writes == 3);
    BOOST_TEST(options.m_space_waiter->wait_count() == 2U);
    full_disk_errors = 1;
    BOOST_TEST(!!opened.m_value->m_folder.save_snapshot(sample_snapshot(1, 1)));
    BOOST_TEST(
        !!opened.m_value->m_folder.append(std::vector{sample_write(3, 3, 1)}));
}

// Guards against more than one sync for a group of writes.
BOOST_AUTO_TEST_CASE(a_group_of_writes_is_synced_once)
{
    auto const scratch = scratch_folder{};
    auto syncs = 0;
    auto options = storage::storage_options{};
    options.m_sync_override = [&](int) -> int
    {
        ++syncs;
        return 0;
    };
    auto opened = open_folder(scratch.path(), options);
    syncs = 0;
    auto writes = std::vector<core::append_log>{};
    for (auto index = 1U; index <= 64; ++index)
        writes.push_back(sample_write(index, index, 1));
    BOOST_TEST(!!opened.m_value->m_folder.append(writes));
    BOOST_TEST(syncs == 1);
}

// Guards against an inspection that repairs the folder or omits state.
BOOST_AUTO_TEST_CASE(inspect_prints_all_state_and_changes_nothing)
{
    auto const scratch = scratch_folder{};
    {
        auto opened = open_folder(scratch.path());
        auto writes = std::vector{sample_write(1, 4, 3)};
        writes[0].m_hard_state = core::hard_state{3, core::node_id{8}};
        BOOST_TEST(!!opened.m_value->m_folder.append(writes));
        BOOST_TEST(
            !!opened.m_value->m_folder.save_snapshot(sample_snapshot(2, 3)));
    }
    auto const log = storage::segment_path(scratch.path(), 1);
    auto const size = fs::file_size(log);
    std::ofstream{log, std::ios::app} << "partial";
    auto out = std::ostringstream{};
    BOOST_TEST(!!storage::inspect(scratch.path(), out));
    for (auto const* line :
         {"hard_state term=3 voted_for=8\n", "snapshot last_index=2 last_term",
          "member node=5 address=10.0.0.1:7000 votes=yes\n",
          "entry index=4 term=3 command=accept_submission", "bytes=7\n"})
        BOOST_TEST(out.str().find(line) != std::string::npos);
    BOOST_TEST(out.str().find("entry index=2 ") == std::string::npos);
    BOOST_TEST(fs::file_size(log) == size + 7);
}
