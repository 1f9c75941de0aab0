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

/// What the benchmarks write.
struct benchmark_load
{
    /// Measured time of each round.
    std::chrono::milliseconds m_duration{1000};
    /// Bytes in the body of each task.
    std::size_t m_body_bytes = 64;
    /// Entries behind the snapshot when recovery is measured.
    std::uint64_t m_entries = 100'000;
    /// Bytes of the snapshot when recovery is measured.
    std::size_t m_snapshot_bytes = 10'000'000;
};

/// Rate and latency of one round.
struct commit_figures
{
    double m_records_per_second = 0;
    double m_p50_us = 0;
    double m_p99_us = 0;
};

/// Time to open a data folder, with its files in the page cache and without.
struct recovery_figures
{
    double m_cached_ms = 0;
    double m_uncached_ms = 0;
    std::uint64_t m_log_bytes = 0;
};

/// A job's acceptance as the control leader commits it.
[[nodiscard]] auto sample_acceptance(std::size_t tasks, std::size_t body_bytes)
    -> core::command;

/// Bytes that one acceptance takes in the log, alone in its record.
[[nodiscard]] auto acceptance_bytes(std::size_t tasks, std::size_t body_bytes)
    -> std::size_t;

/// Lets callers append acceptances as fast as they are answered. Errors are
/// `storage_error`.
[[nodiscard]] auto measure_commit(std::filesystem::path const& folder,
                                  storage_options const& options,
                                  benchmark_load const& load, std::size_t tasks,
                                  std::size_t callers,
                                  std::size_t largest_group)
    -> boost::leaf::result<commit_figures>;

[[nodiscard]] auto measure_recovery(std::filesystem::path const& folder,
                                    storage_options const& options,
                                    benchmark_load const& load)
    -> boost::leaf::result<recovery_figures>;

/// Time of a sync after a write of 512 bytes at the end of a file, in
/// microseconds.
struct sync_figures
{
    /// Median and mean in a file whose space was reserved.
    double m_reserved_p50_us = 0;
    double m_reserved_mean_us = 0;
    /// Median and mean in a file that grows with each write.
    double m_growing_p50_us = 0;
    double m_growing_mean_us = 0;
};

/// Both files take turns, so that a change of the machine's load meets both.
[[nodiscard]] auto measure_sync(std::filesystem::path const& folder,
                                storage_options const& options,
                                std::size_t writes)
    -> boost::leaf::result<sync_figures>;

} // namespace hickorylatch::storage

#endif
