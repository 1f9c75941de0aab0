#ifndef HICKORYLATCH_STORAGE_SPACE_WAITER_HPP
#define HICKORYLATCH_STORAGE_SPACE_WAITER_HPP

#include <atomic>
#include <chrono>
#include <cstdint>

namespace hickorylatch::storage
{

/// Delays writes to a full disk until there is space again, so that a replica
/// continues without a restart. Thread-safe: used by the writer thread and the
/// thread that monitors it.
class space_waiter
{
public:
    /// Sleeps before a write to a full disk is retried. False if the write
    /// should fail instead.
    auto wait() -> bool;
    /// Makes writes to a full disk fail from now on.
    auto stop() -> void;
    /// Number of waits so far.
    [[nodiscard]] auto wait_count() const -> std::uint64_t;

    /// Short, because a write to a full disk fails at once and costs little.
    static constexpr auto interval = std::chrono::milliseconds{100};

private:
    std::atomic<bool> m_is_stopped{false};
    std::atomic<std::uint64_t> m_wait_count{0};
};

} // namespace hickorylatch::storage

#endif
