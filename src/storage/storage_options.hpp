#ifndef HICKORYLATCH_STORAGE_STORAGE_OPTIONS_HPP
#define HICKORYLATCH_STORAGE_STORAGE_OPTIONS_HPP

#include "storage/space_waiter.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

namespace hickorylatch::storage
{

/// How a data folder writes.
struct storage_options
{
    /// Off only in tests: nothing is durable then.
    bool m_fsync = true;
    /// Added to each sync, to simulate a slower disk in measurements.
    std::chrono::microseconds m_sync_delay{0};
    /// A log segment is closed once it holds at least this many bytes.
    std::uint64_t m_segment_bytes = 16U << 20U;
    /// Reserves the space of a segment when it is created, so that a sync
    /// seldom has to write the file's metadata.
    bool m_preallocate = true;
    /// Writes are split into several synced records beyond this many bytes.
    std::uint64_t m_record_bytes = 64U << 20U;
    /// Replaces the system call that syncs a file descriptor; returns 0 or -1
    /// with `errno`. For tests of failing disks.
    std::function<auto(int)->int> m_sync;
    /// Asked before each write; returns 0 or an error number that the write
    /// fails with. For tests of failing disks.
    std::function<auto()->int> m_write_error;
    /// Holds up writes to a full disk; without it they fail.
    std::shared_ptr<space_waiter> m_space;
};

} // namespace hickorylatch::storage

#endif
