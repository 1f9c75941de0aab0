#ifndef HICKORYLATCH_PLATFORM_CONFIGURATION_READS_HPP
#define HICKORYLATCH_PLATFORM_CONFIGURATION_READS_HPP

#include "core/model/event.hpp"

#include <vector>

namespace hickorylatch::platform
{

/// Combines reads of the configuration, so that only one is in progress. Its
/// result answers only requests that arrived before it was started, because a
/// read must return what was acknowledged before the request. Each read in
/// progress would hold a copy of the configuration, of up to some megabytes.
class configuration_reads
{
public:
    /// Adds a request. True if a read must be started now.
    [[nodiscard]] auto add(core::exchange_id exchange) -> bool;
    /// The read in progress has ended. Returns the requests that it answers.
    [[nodiscard]] auto take_answered() -> std::vector<core::exchange_id>;
    /// True if requests wait for the next read, which must be started now.
    [[nodiscard]] auto start_next() -> bool;

private:
    bool m_is_reading = false;
    std::vector<core::exchange_id> m_reading;
    std::vector<core::exchange_id> m_waiting;
};

} // namespace hickorylatch::platform

#endif
