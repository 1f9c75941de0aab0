#ifndef HICKORYLATCH_OBSERVE_NONBLOCKING_APPENDER_HPP
#define HICKORYLATCH_OBSERVE_NONBLOCKING_APPENDER_HPP

#include <log4cplus/appender.h>

#include <cstdint>

namespace hickorylatch::observe
{

/// Writes each line to a file descriptor, or drops it if the write would block:
/// a full pipe must not stall the process. `O_NONBLOCK` is not set on the
/// descriptor, because other processes may share it.
class nonblocking_appender : public log4cplus::Appender
{
public:
    /// Does not take ownership of the descriptor.
    explicit nonblocking_appender(int descriptor);
    ~nonblocking_appender() override;

    auto close() -> void override;
    /// Number of lines dropped since the last call.
    auto take_dropped() -> std::uint64_t;

protected:
    auto append(log4cplus::spi::InternalLoggingEvent const& event)
        -> void override;

private:
    int m_descriptor;
    std::uint64_t m_dropped = 0;
};

} // namespace hickorylatch::observe

#endif
