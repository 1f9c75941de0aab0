#include "observe/logger.hpp"

#include "observe/log_rate_limiter.hpp"
#include "observe/nonblocking_appender.hpp"

#include <boost/leaf/handle_errors.hpp>
#include <boost/test/unit_test.hpp>

#include <log4cplus/hierarchy.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>

namespace core = hickorylatch::core;
using namespace hickorylatch::observe;

namespace
{

auto printed(std::string const& value) -> std::string
{
    auto const line =
        print_log_line({core::log_level::info, "e", {{"k", value}}});
    BOOST_TEST(line.starts_with("level=info event=e k="));
    return line.substr(21);
}

} // namespace

// Guards against log injection: a value that adds a field or a second line.
BOOST_AUTO_TEST_CASE(values_are_escaped_so_that_a_record_is_one_line)
{
    BOOST_TEST(printed("plain/1.2:[3]") == "plain/1.2:[3]");
    BOOST_TEST(printed("") == R"("")");
    BOOST_TEST(printed("a b") == R"("a b")");
    BOOST_TEST(printed("a=b") == R"("a=b")");
    BOOST_TEST(printed("a\n\r\t\"\\") == R"("a\n\r\t\"\\")");
    BOOST_TEST(printed(std::string{"\0\x1b\x7f", 3}) == R"("\x00\x1b\x7f")");
    BOOST_TEST(printed("Šah") == "\"Šah\"");
    BOOST_TEST(printed("\xff\xc3") == R"("\xff\xc3")");
    BOOST_TEST(printed("\u0085\u2028") == R"("\xc2\x85\xe2\x80\xa8")");
    BOOST_TEST(
        print_log_line({core::log_level::error, "a b", {{"x y\n", "1"}}}) ==
        R"(level=error event="a b" x_y_=1)");
}

BOOST_AUTO_TEST_CASE(lines_below_the_level_are_not_written)
{
    auto const path =
        std::filesystem::temp_directory_path() /
        ("hickorylatch-test-" + std::to_string(getpid()) + ".log");
    for (auto run = 0; run < 2; ++run)
    {
        auto opened = logger::open(core::log_level::warning, path.string());
        BOOST_REQUIRE(opened);
        opened->write({core::log_level::info, "hidden", {}});
        opened->write({core::log_level::warning, "100%d", {{"n", "%m"}}});
    }
    auto file = std::ifstream{path};
    auto const text = std::string{std::istreambuf_iterator<char>{file}, {}};
    auto const line = std::string{
        R"(time=\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z level=warning event=100%d n=%m\n)"};
    BOOST_TEST(std::regex_match(text, std::regex{line + line}), text);
    std::filesystem::remove(path);
}

BOOST_AUTO_TEST_CASE(a_file_that_cannot_be_written_is_an_error)
{
    auto const failed = boost::leaf::try_handle_all(
        []() -> boost::leaf::result<std::string>
        {
            BOOST_LEAF_CHECK(logger::open(core::log_level::info, "/no/such/x"));
            return std::string{};
        },
        [](open_error const& error)
        {
            return error.m_file;
        },
        []()
        {
            return std::string{};
        });
    BOOST_TEST(failed == "/no/such/x");
}

// Guards against a log whose volume grows with the load until writing it takes
// most of the time, and against warnings lost in favour of info lines.
BOOST_AUTO_TEST_CASE(info_lines_are_suppressed_before_warnings)
{
    using std::chrono::seconds;
    auto rate_limiter = log_rate_limiter{{.m_lines_per_second = 10.0,
                                          .m_burst = 30.0,
                                          .m_urgent_reserve = 10.0}};
    auto const count_accepted = [&](core::time_point now, core::log_level level)
    {
        auto accepted = 0;
        for (auto line = 0; line < 100; ++line)
            accepted += rate_limiter.try_acquire(now, level) ? 1 : 0;
        return accepted;
    };
    BOOST_TEST(count_accepted(seconds{1}, core::log_level::info) == 20);
    BOOST_TEST(count_accepted(seconds{1}, core::log_level::warning) == 10);
    BOOST_TEST(rate_limiter.take_suppressed() == 170U);
    BOOST_TEST(rate_limiter.take_suppressed() == 0U);
    BOOST_TEST(count_accepted(seconds{2}, core::log_level::info) == 0);
    BOOST_TEST(count_accepted(seconds{3}, core::log_level::info) == 10);
    // Tokens are capped at one burst after a long pause.
    BOOST_TEST(count_accepted(seconds{1'000}, core::log_level::error) == 30);
}

// Guards against a burst in which reports of suppressed lines outnumber the
// lines.
BOOST_AUTO_TEST_CASE(suppressed_lines_are_reported_once_per_second)
{
    using std::chrono::milliseconds;
    auto rate_limiter = log_rate_limiter{};
    BOOST_TEST(rate_limiter.try_acquire_report(milliseconds{1'000}));
    BOOST_TEST(!rate_limiter.try_acquire_report(milliseconds{1'001}));
    BOOST_TEST(!rate_limiter.try_acquire_report(milliseconds{1'999}));
    BOOST_TEST(rate_limiter.try_acquire_report(milliseconds{2'000}));
}

// Guards against a process that blocks because nobody reads its log.
BOOST_AUTO_TEST_CASE(a_full_pipe_drops_lines_without_blocking)
{
    auto ends = std::array<int, 2>{};
    BOOST_REQUIRE(::pipe(ends.data()) == 0);
    auto const appender =
        log4cplus::helpers::SharedObjectPtr<nonblocking_appender>{
            new nonblocking_appender{ends[1]}};
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
    auto hierarchy = log4cplus::Hierarchy{};
    auto target = hierarchy.getInstance("pipe");
    target.addAppender(log4cplus::SharedAppenderPtr{appender.get()});
    auto const line = std::string(999, 'x');
    for (auto count = 0; count < 200; ++count)
        target.forcedLog(log4cplus::INFO_LOG_LEVEL, line);
    auto const dropped = appender->take_dropped();
    BOOST_TEST(dropped > 0U);
    auto read = std::size_t{0};
    auto bytes = std::array<char, 4'096>{};
    ::close(ends[1]);
    for (auto size = ssize_t{1}; size > 0; read += std::size_t(size))
        size =
            std::max(::read(ends[0], bytes.data(), bytes.size()), ssize_t{0});
    ::close(ends[0]);
    BOOST_TEST(read == (200 - dropped) * 1'000);
    hierarchy.shutdown();
}
