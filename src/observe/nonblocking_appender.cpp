#include "observe/nonblocking_appender.hpp"

#include <log4cplus/spi/loggingevent.h>

#include <poll.h>
#include <unistd.h>

#include <climits>
#include <sstream>
#include <string>
#include <utility>

namespace hickorylatch::observe
{

namespace
{

// A pipe that is ready for writing accepts this many bytes without blocking.
// Longer lines are truncated.
constexpr auto max_line_bytes = std::size_t{PIPE_BUF};

auto is_writable(int descriptor) -> bool
{
    auto wanted = pollfd{descriptor, POLLOUT, 0};
    return ::poll(&wanted, 1, 0) == 1 && (wanted.revents & POLLOUT) != 0;
}

} // namespace

nonblocking_appender::nonblocking_appender(int descriptor)
    : m_descriptor{descriptor}
{
}

nonblocking_appender::~nonblocking_appender()
{
    destructorImpl();
}

auto nonblocking_appender::close() -> void
{
    closed = true;
}

auto nonblocking_appender::take_dropped() -> std::uint64_t
{
    return std::exchange(m_dropped, 0);
}

auto nonblocking_appender::append(
    log4cplus::spi::InternalLoggingEvent const& event) -> void
{
    if (!is_writable(m_descriptor))
    {
        ++m_dropped;
        return;
    }
    auto out = std::ostringstream{};
    layout->formatAndAppend(out, event);
    auto text = std::move(out).str();
    if (text.size() > max_line_bytes)
    {
        text.resize(max_line_bytes);
        text.back() = '\n';
    }
    auto const written = ::write(m_descriptor, text.data(), text.size());
    if (written != static_cast<ssize_t>(text.size()))
        ++m_dropped;
}

} // namespace hickorylatch::observe
