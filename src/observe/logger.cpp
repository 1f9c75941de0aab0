#include "observe/logger.hpp"

#include "core/model/utf8.hpp"
#include "observe/log_rate_limiter.hpp"
#include "observe/nonblocking_appender.hpp"

#include <boost/locale/utf.hpp>

#include <log4cplus/fileappender.h>
#include <log4cplus/hierarchy.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <fstream>
#include <system_error>
#include <utility>

namespace hickorylatch::observe
{

namespace
{

auto to_log4cplus(core::log_level level) -> log4cplus::LogLevel
{
    switch (level)
    {
    case core::log_level::debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case core::log_level::info:
        return log4cplus::INFO_LOG_LEVEL;
    case core::log_level::warning:
        return log4cplus::WARN_LOG_LEVEL;
    case core::log_level::error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::INFO_LOG_LEVEL;
}

auto is_key_character(char c) -> bool
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || c == '_' || c == '.' || c == '-';
}

auto print_key(std::string_view key) -> std::string
{
    auto printed = std::string{key.empty() ? "_" : key};
    std::ranges::replace_if(
        printed,
        [](char c)
        {
            return !is_key_character(c);
        },
        '_');
    return printed;
}

/// True for control characters and for the Unicode line and paragraph
/// separators, which some readers treat as the end of a line.
auto must_escape(boost::locale::utf::code_point point) -> bool
{
    return point < 0x20 || (point >= 0x7f && point < 0xa0) || point == 0x2028 ||
           point == 0x2029;
}

auto append_escaped_byte(std::string& out, char c) -> void
{
    constexpr auto digits = std::string_view{"0123456789abcdef"};
    auto const byte = static_cast<unsigned char>(c);
    out.append("\\x").append(1, digits[byte >> 4]).append(1, digits[byte & 15]);
}

auto append_character(std::string& out, std::string_view bytes,
                      boost::locale::utf::code_point point) -> void
{
    namespace utf = boost::locale::utf;
    if (bytes == "\"" || bytes == "\\")
        out.append("\\").append(bytes);
    else if (bytes == "\n")
        out.append("\\n");
    else if (bytes == "\r")
        out.append("\\r");
    else if (bytes == "\t")
        out.append("\\t");
    else if (point != utf::illegal && point != utf::incomplete &&
             !must_escape(point))
        out.append(bytes);
    else
        for (auto const c : bytes)
            append_escaped_byte(out, c);
}

auto print_value(std::string_view value) -> std::string
{
    auto const is_plain = [](char c)
    {
        return c > ' ' && c < '\x7f' && c != '"' && c != '\\' && c != '=';
    };
    if (!value.empty() && std::ranges::all_of(value, is_plain))
        return std::string{value};
    auto printed = std::string{"\""};
    for (auto const* at = value.begin(); at != value.end();)
    {
        auto const* const first = at;
        auto const point =
            boost::locale::utf::utf_traits<char>::decode(at, value.end());
        append_character(printed, {first, at}, point);
    }
    return printed += '"';
}

auto make_layout() -> std::unique_ptr<log4cplus::Layout>
{
    return std::make_unique<log4cplus::PatternLayout>(
        "time=%d{%Y-%m-%dT%H:%M:%S.%q}Z %m%n");
}

auto steady_now() -> core::time_point
{
    return std::chrono::duration_cast<core::duration>(
        std::chrono::steady_clock::now().time_since_epoch());
}

} // namespace

struct logger::state
{
    log4cplus::Hierarchy m_hierarchy;
    log4cplus::Logger m_logger = m_hierarchy.getInstance("hickorylatch");
    log_rate_limiter m_rate_limiter;
    /// Null if lines are written to a file.
    nonblocking_appender* m_output = nullptr;
};

logger::logger(std::unique_ptr<state> opened) : m_state(std::move(opened))
{
}

logger::logger(logger&&) noexcept = default;
auto logger::operator=(logger&&) noexcept -> logger& = default;

logger::~logger()
{
    if (m_state != nullptr)
        m_state->m_hierarchy.shutdown();
}

auto logger::open(core::log_level lowest, std::string_view file)
    -> boost::leaf::result<logger>
{
    auto const name = std::string{file};
    // log4cplus does not report a file that it can't open.
    if (!name.empty() && !std::ofstream{name, std::ios_base::app})
        return boost::leaf::new_error(
            open_error{name, std::generic_category().message(errno)});
    // log4cplus can be initialized only once per process: a second initializer
    // throws if the first one was destroyed.
    static auto const initializer = log4cplus::Initializer{};
    auto opened = std::make_unique<state>();
    auto appender = log4cplus::SharedAppenderPtr{};
    if (name.empty())
        appender = opened->m_output = new nonblocking_appender{STDOUT_FILENO};
    else
        appender = new log4cplus::FileAppender{name, std::ios_base::app, true};
    appender->setLayout(make_layout());
    opened->m_logger.addAppender(appender);
    opened->m_logger.setLogLevel(to_log4cplus(lowest));
    return logger{std::move(opened)};
}

auto logger::write(core::log_line const& line) -> void
{
    auto const level = to_log4cplus(line.m_level);
    auto& [hierarchy, target, rate_limiter, output] = *m_state;
    auto const now = steady_now();
    if (!target.isEnabledFor(level) ||
        !rate_limiter.try_acquire(now, line.m_level))
        return;
    if (rate_limiter.try_acquire_report(now))
    {
        auto const suppressed = rate_limiter.take_suppressed();
        auto const dropped = output == nullptr ? 0 : output->take_dropped();
        if (suppressed != 0 || dropped != 0)
            target.forcedLog(
                log4cplus::WARN_LOG_LEVEL,
                print_log_line({core::log_level::warning,
                                "log_lines_left_out",
                                {{"over_budget", std::to_string(suppressed)},
                                 {"output_full", std::to_string(dropped)}}}));
    }
    target.forcedLog(level, print_log_line(line));
}

auto print_log_line(core::log_line const& line) -> std::string
{
    auto text = std::string{"level="};
    text.append(to_string(line.m_level))
        .append(" event=")
        .append(print_value(line.m_event));
    for (auto const& [key, value] : line.m_fields)
        text.append(" ")
            .append(print_key(key))
            .append("=")
            .append(print_value(value));
    return text;
}

auto to_string(core::log_level level) -> std::string_view
{
    switch (level)
    {
    case core::log_level::debug:
        return "debug";
    case core::log_level::info:
        return "info";
    case core::log_level::warning:
        return "warning";
    case core::log_level::error:
        return "error";
    }
    return "unknown";
}

} // namespace hickorylatch::observe
