#ifndef HICKORYLATCH_STORAGE_SPACE_WAITER_HPP
#define HICKORYLATCH_STORAGE_SPACE_WAITER_HPP

#include "storage/storage_error.hpp"

#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>

namespace hickorylatch::storage
{

/// Delays operations on a full disk until there is space again, so that a
/// replica continues without a restart. Thread-safe: used by the writer thread
/// and the thread that monitors it.
class space_waiter
{
public:
    /// Sleeps before an operation on a full disk is retried. False if it should
    /// fail instead.
    auto wait() -> bool;
    /// Makes operations on a full disk fail from now on.
    auto stop() -> void;
    /// Number of waits so far.
    [[nodiscard]] auto wait_count() const -> std::uint64_t;

    /// Short, because an operation on a full disk fails at once and costs
    /// little.
    static constexpr auto interval = std::chrono::milliseconds{100};

private:
    std::atomic<bool> m_is_stopped{false};
    std::atomic<std::uint64_t> m_wait_count{0};
};

/// Repeats an idempotent operation while it fails because the disk is full.
/// With a null waiter it fails at once. A failed sync may have dropped the
/// written pages, so the operation has to write again what it syncs.
template <typename Operation>
auto retry_while_full(space_waiter* waiter, Operation operation)
    -> boost::leaf::result<void>
{
    while (true)
    {
        auto is_disk_full = false;
        auto result = boost::leaf::try_handle_some(
            [&]() -> boost::leaf::result<void>
            {
                return operation();
            },
            [&](boost::leaf::error_info const& info,
                storage_error const& error) -> boost::leaf::result<void>
            {
                is_disk_full = error.m_is_disk_full;
                return info.error();
            });
        if (result || !is_disk_full || waiter == nullptr || !waiter->wait())
            return result;
    }
}

} // namespace hickorylatch::storage

#endif
