#include "storage/commit_benchmark.hpp"

#include "storage/commit_queue.hpp"
#include "storage/data_folder.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <numeric>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace hickorylatch::storage
{

namespace
{

namespace fs = std::filesystem;
using clock = std::chrono::steady_clock;
using microseconds = std::chrono::duration<double, std::micro>;

/// Entries per write when the log for the recovery benchmark is created.
constexpr auto recovery_group_entries = std::uint64_t{64};
constexpr auto recovery_runs = 3;

[[nodiscard]] auto quantile(std::vector<double> const& sorted, double fraction)
    -> double
{
    if (sorted.empty())
        return 0;
    auto const rank = fraction * static_cast<double>(sorted.size() - 1);
    return sorted[static_cast<std::size_t>(rank)];
}

/// Evicts the files of a folder from the page cache. They must be synced first,
/// because dirty pages are not evicted.
auto evict_page_cache(fs::path const& folder) -> void
{
    for (auto const& file : fs::directory_iterator{folder})
    {
        auto const descriptor = ::open(file.path().c_str(), O_RDONLY);
        if (descriptor < 0)
            continue;
        ::posix_fadvise(descriptor, 0, 0, POSIX_FADV_DONTNEED);
        ::close(descriptor);
    }
}

[[nodiscard]] auto timed_open(fs::path const& folder,
                              storage_options const& options)
    -> boost::leaf::result<double>
{
    auto const start = clock::now();
    BOOST_LEAF_AUTO(opened, data_folder::open(folder, options));
    auto const elapsed = microseconds{clock::now() - start};
    if (opened.m_recovered.m_entries.empty())
        return fail(folder, 0, "no log entries were recovered");
    return elapsed.count() / 1000;
}

[[nodiscard]] auto write_recovery_log(fs::path const& folder,
                                      storage_options const& options,
                                      benchmark_load const& load)
    -> boost::leaf::result<void>
{
    auto unsynced = options;
    unsynced.m_fsync = false;
    BOOST_LEAF_AUTO(opened, data_folder::open(folder, unsynced));
    auto index = core::log_index{0};
    while (index < load.m_entries)
    {
        auto write = core::append_log{};
        auto const last =
            std::min(index + recovery_group_entries, load.m_entries);
        while (index < last)
            write.m_entries.push_back(
                {++index, 1, sample_acceptance(1, load.m_body_bytes)});
        BOOST_LEAF_CHECK(opened.m_folder.append({&write, 1}));
    }
    // Saved last and at index 0, so that recovery reads every entry from the
    // log.
    return opened.m_folder.save_snapshot(
        {0, 0, {}, 1, std::string(load.m_snapshot_bytes, 's')});
}

} // namespace

auto sample_acceptance(std::size_t tasks, std::size_t body_bytes)
    -> core::command
{
    auto accepted = core::accept_submission{};
    accepted.m_submission.m_kind = core::submission_kind::job;
    accepted.m_submission.m_schema_version = 2;
    accepted.m_submission.m_customer = "Tali Seri Wholesale";
    accepted.m_submission.m_key = "stock-check-2026-08-01-000001";
    accepted.m_submission.m_submitted_at = 1'785'542'400'000;
    accepted.m_submission.m_digest = 0x9E3779B97F4A7C15ULL;
    accepted.m_submission.m_priority = core::priority{5};
    accepted.m_submission.m_account_manager = "Ipoh desk";
    accepted.m_submission.m_trace = {std::string(32, 'a'),
                                     std::string(16, 'b')};
    auto work = core::task{};
    work.m_body = std::string(body_bytes, 'x');
    work.m_run_time_ms = 400;
    work.m_memory_mb = 512;
    accepted.m_submission.m_tasks.assign(tasks, work);
    for (auto task = std::size_t{0}; task < tasks; ++task)
        accepted.m_allotted.push_back(
            core::node_id{0x9E3779B97F4A7C15ULL * (task % 10 + 1)});
    accepted.m_accepted_at = accepted.m_submission.m_submitted_at + 3;
    return accepted;
}

auto acceptance_bytes(std::size_t tasks, std::size_t body_bytes) -> std::size_t
{
    auto write = core::append_log{};
    write.m_entries.push_back(
        {100'000, 3, sample_acceptance(tasks, body_bytes)});
    auto payload = std::string{};
    append_write(payload, write);
    return record_header_size + payload.size();
}

auto measure_commit(fs::path const& folder, storage_options const& options,
                    benchmark_load const& load, std::size_t tasks,
                    std::size_t callers, std::size_t max_group_size)
    -> boost::leaf::result<commit_results>
{
    BOOST_LEAF_AUTO(opened, data_folder::open(folder, options));
    auto const sample = sample_acceptance(tasks, load.m_body_bytes);
    auto latencies = std::vector<std::vector<double>>(callers);
    auto has_failed = std::atomic{false};
    auto const start = clock::now();
    {
        auto queue = commit_queue{opened.m_folder, max_group_size};
        auto threads = std::vector<std::jthread>{};
        for (auto& own : latencies)
            threads.emplace_back(
                [&]
                {
                    while (clock::now() - start < load.m_duration)
                    {
                        auto const sent = clock::now();
                        if (!queue.append(sample))
                        {
                            has_failed = true;
                            return;
                        }
                        own.push_back(
                            microseconds{clock::now() - sent}.count());
                    }
                });
    }
    auto const elapsed = std::chrono::duration<double>{clock::now() - start};
    if (has_failed)
        return fail(folder, 0, "an append failed");
    auto all = std::vector<double>{};
    for (auto const& own : latencies)
        all.insert(all.end(), own.begin(), own.end());
    std::ranges::sort(all);
    return commit_results{static_cast<double>(all.size()) / elapsed.count(),
                          quantile(all, 0.5), quantile(all, 0.99)};
}

auto measure_recovery(fs::path const& folder, storage_options const& options,
                      benchmark_load const& load)
    -> boost::leaf::result<recovery_results>
{
    BOOST_LEAF_CHECK(write_recovery_log(folder, options, load));
    auto results = recovery_results{};
    for (auto const& file : fs::directory_iterator{folder})
    {
        if (file.path().filename().string().starts_with("log-"))
            results.m_log_bytes += file.file_size();
        BOOST_LEAF_AUTO(opened, file::open(file.path(), O_RDWR));
        BOOST_LEAF_CHECK(opened.sync_all(options));
    }
    for (auto run = 0; run < recovery_runs; ++run)
    {
        evict_page_cache(folder);
        BOOST_LEAF_AUTO(uncached, timed_open(folder, options));
        BOOST_LEAF_AUTO(cached, timed_open(folder, options));
        results.m_uncached_ms = std::max(results.m_uncached_ms, uncached);
        results.m_cached_ms = std::max(results.m_cached_ms, cached);
    }
    return results;
}

auto measure_sync(fs::path const& folder, storage_options const& options,
                  std::size_t writes) -> boost::leaf::result<sync_results>
{
    auto const bytes = std::string(512, 'x');
    auto const flags = O_RDWR | O_CREAT | O_TRUNC;
    BOOST_LEAF_AUTO(reserved, file::open(folder / "reserved", flags));
    BOOST_LEAF_CHECK(reserved.preallocate(writes * bytes.size()));
    BOOST_LEAF_AUTO(growing, file::open(folder / "growing", flags));
    auto times = std::array<std::vector<double>, 2>{};
    for (auto write = std::size_t{0}; write < writes; ++write)
    {
        for (auto* const each : {&reserved, &growing})
        {
            auto const start = clock::now();
            BOOST_LEAF_CHECK(each->write(write * bytes.size(), bytes, {}));
            BOOST_LEAF_CHECK(each->sync_data(options));
            times[each == &reserved ? 0 : 1].push_back(
                microseconds{clock::now() - start}.count());
        }
    }
    auto const mean = [](std::vector<double> const& values)
    {
        return std::accumulate(values.begin(), values.end(), 0.0) /
               static_cast<double>(values.size());
    };
    for (auto& each : times)
        std::ranges::sort(each);
    return sync_results{quantile(times[0], 0.5), mean(times[0]),
                        quantile(times[1], 0.5), mean(times[1])};
}

} // namespace hickorylatch::storage
