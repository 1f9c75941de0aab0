#ifndef HICKORYLATCH_STORAGE_SPACE_WAITER_HPP
#define HICKORYLATCH_STORAGE_SPACE_WAITER_HPP

#include <atomic>
#include <chrono>
#include <cstdint>

namespace hickorylatch::storage
{

/// Holds up writes to a full disk until there is space again, so that a
/// replica goes on from where it was. Used by the thread that writes and by
/// the one that watches it.
class space_waiter
{
public:
    /// Pauses before a write that found the disk full is tried again. False if
    /// it should fail instead.
    auto wait() -> bool;
    /// Lets writes to a full disk fail from now on.
    auto stop() -> void;
    /// Pauses so far.
    [[nodiscard]] auto pauses() const -> std::uint64_t;

    /// A full disk refuses at once, so trying often costs little.
    static constexpr auto interval = std::chrono::milliseconds{100};

private:
    std::atomic<bool> m_is_stopped{false};
    std::atomic<std::uint64_t> m_pauses{0};
};

} // namespace hickorylatch::storage

#endif
