#include "platform/configuration_reads.hpp"

#include <utility>

namespace hickorylatch::platform
{

auto configuration_reads::add(core::exchange_id exchange) -> bool
{
    m_waiting.push_back(exchange);
    return start_next();
}

auto configuration_reads::take_answered() -> std::vector<core::exchange_id>
{
    m_is_reading = false;
    return std::exchange(m_reading, {});
}

auto configuration_reads::start_next() -> bool
{
    if (m_is_reading || m_waiting.empty())
        return false;
    m_is_reading = true;
    m_reading = std::exchange(m_waiting, {});
    return true;
}

} // namespace hickorylatch::platform
