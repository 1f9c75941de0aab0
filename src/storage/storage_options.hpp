#ifndef HICKORYLATCH_STORAGE_STORAGE_OPTIONS_HPP
#define HICKORYLATCH_STORAGE_STORAGE_OPTIONS_HPP

#include "storage/space_waiter.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

namespace hickorylatch::storage
{

/// Options for the writes of a data folder.
struct storage_options
{
    /// Syncs writes. False only in tests, because nothing is durable then.
    bool m_fsync = true;
    /// Added to each sync, to simulate a slower disk in benchmarks.
    std::chrono::microseconds m_sync_delay{0};
    /// A new log segment is started once the last one has at least this many
    /// bytes.
    std::uint64_t m_segment_bytes = 16U << 20U;
    /// Reserves the space of a segment when it is created, so that most syncs
    /// need not write the file's metadata.
    bool m_preallocate = true;
    /// A group of writes is split into several records, each with its own sync,
    /// of about this many bytes.
    std::uint64_t m_record_bytes = 64U << 20U;
    /// Replaces the system call that syncs a file descriptor; returns 0 or -1
    /// with `errno`. For tests of failing disks.
    std::function<auto(int)->int> m_sync_override;
    /// Called before each write; returns 0 or the `errno` value that the write
    /// fails with. For tests of failing disks.
    std::function<auto()->int> m_injected_write_error;
    /// Delays and retries operations on a full disk; if null, they fail.
    std::shared_ptr<space_waiter> m_space_waiter;
};

} // namespace hickorylatch::storage

#endif
