#include "observe/logger.hpp"

#include <boost/leaf/handle_errors.hpp>
#include <boost/test/unit_test.hpp>

#include <unistd.h>

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

// Guards against a value that forges a field or a second line.
BOOST_AUTO_TEST_CASE(a_line_is_one_line_whatever_its_values)
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

BOOST_AUTO_TEST_CASE(lines_are_appended_from_the_level_on)
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
