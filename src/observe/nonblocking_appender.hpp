#ifndef HICKORYLATCH_OBSERVE_NONBLOCKING_APPENDER_HPP
#define HICKORYLATCH_OBSERVE_NONBLOCKING_APPENDER_HPP

#include <log4cplus/appender.h>

#include <cstdint>

namespace hickorylatch::observe
{

/// Writes each line to a file descriptor, or drops it if its reader is behind:
/// a full pipe must not hold up the process. The descriptor itself stays
/// blocking, because other processes may share it.
class nonblocking_appender : public log4cplus::Appender
{
public:
    /// The descriptor stays open and is not owned.
    explicit nonblocking_appender(int descriptor);
    ~nonblocking_appender() override;

    auto close() -> void override;
    /// Lines dropped since the last call.
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
