#include "storage/space_waiter.hpp"

#include <thread>

namespace hickorylatch::storage
{

auto space_waiter::wait() -> bool
{
    if (m_is_stopped)
        return false;
    ++m_wait_count;
    std::this_thread::sleep_for(interval);
    return !m_is_stopped;
}

auto space_waiter::stop() -> void
{
    m_is_stopped = true;
}

auto space_waiter::wait_count() const -> std::uint64_t
{
    return m_wait_count;
}

} // namespace hickorylatch::storage
