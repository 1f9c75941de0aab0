#ifndef HICKORYLATCH_STORAGE_COMMIT_BENCHMARK_HPP
#define HICKORYLATCH_STORAGE_COMMIT_BENCHMARK_HPP

#include "storage/storage_options.hpp"

#include "core/model/command.hpp"

#include <boost/leaf/result.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <filesystem>

namespace hickorylatch::storage
{

/// Size and duration of the benchmark workload.
struct benchmark_load
{
    /// Duration of each round.
    std::chrono::milliseconds m_duration{1000};
    /// Bytes in the body of each task.
    std::size_t m_body_bytes = 64;
    /// Log entries after the snapshot in the recovery benchmark.
    std::uint64_t m_entries = 100'000;
    /// Snapshot size in the recovery benchmark.
    std::size_t m_snapshot_bytes = 10'000'000;
};

/// Throughput and latency of one round.
struct commit_results
{
    double m_records_per_second = 0;
    double m_p50_us = 0;
    double m_p99_us = 0;
};

/// Slowest time to open a data folder, with its files in the page cache and
/// without.
struct recovery_results
{
    double m_cached_ms = 0;
    double m_uncached_ms = 0;
    std::uint64_t m_log_bytes = 0;
};

/// Command that the control leader commits when it accepts a job.
[[nodiscard]] auto sample_acceptance(std::size_t tasks, std::size_t body_bytes)
    -> core::command;

/// Log bytes of one acceptance that is written as a record of its own.
[[nodiscard]] auto acceptance_bytes(std::size_t tasks, std::size_t body_bytes)
    -> std::size_t;

/// Runs concurrent callers that each append the next acceptance as soon as the
/// previous one is durable. Errors are `storage_error`.
[[nodiscard]] auto measure_commit(std::filesystem::path const& folder,
                                  storage_options const& options,
                                  benchmark_load const& load, std::size_t tasks,
                                  std::size_t callers,
                                  std::size_t max_group_size)
    -> boost::leaf::result<commit_results>;

[[nodiscard]] auto measure_recovery(std::filesystem::path const& folder,
                                    storage_options const& options,
                                    benchmark_load const& load)
    -> boost::leaf::result<recovery_results>;

/// Time of a 512-byte append and its sync, in microseconds.
struct sync_results
{
    /// Median and mean in a preallocated file.
    double m_reserved_p50_us = 0;
    double m_reserved_mean_us = 0;
    /// Median and mean in a file that grows with each write.
    double m_growing_p50_us = 0;
    double m_growing_mean_us = 0;
};

/// Alternates between the two files, so that changes in machine load affect
/// both equally.
[[nodiscard]] auto measure_sync(std::filesystem::path const& folder,
                                storage_options const& options,
                                std::size_t writes)
    -> boost::leaf::result<sync_results>;

} // namespace hickorylatch::storage

#endif
