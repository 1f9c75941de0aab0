#include "observe/span_writer.hpp"

#include <boost/test/unit_test.hpp>

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <iterator>

namespace core = hickorylatch::core;
using namespace hickorylatch::observe;
using namespace std::chrono_literals;

namespace
{

auto example() -> core::record_span
{
    return {{"0af7651916cd43dd8448eb211c80319c", "b7ad6b7169203331"},
            "00f067aa0ba902b7",
            "entry.request",
            5us,
            7us,
            {{"service", "a\"\n\xff"}}};
}

auto source() -> span_source
{
    return {"entry-1", "Ipoh", 1'700'000'000s};
}

constexpr auto expected = std::string_view{
    R"({"traceId":"0af7651916cd43dd8448eb211c80319c",)"
    R"("spanId":"b7ad6b7169203331","parentSpanId":"00f067aa0ba902b7",)"
    R"("name":"entry.request","startTimeUnixNano":"1700000000000005000",)"
    R"("endTimeUnixNano":"1700000000000007000","attributes":[)"
    R"({"key":"service","value":{"stringValue":"a\"\n"}}],"resource":)"
    R"({"attributes":[{"key":"service.name","value":{"stringValue":)"
    R"("hickorylatch"}},{"key":"service.instance.id","value":)"
    R"({"stringValue":"entry-1"}},{"key":"cloud.availability_zone",)"
    R"("value":{"stringValue":"Ipoh"}}]}})"};

} // namespace

// Guards against a format that differs from docs/tracing.md.
BOOST_AUTO_TEST_CASE(a_span_is_one_documented_json_object)
{
    BOOST_TEST(print_span(example(), source()) == expected);
    auto file = std::ifstream{HICKORYLATCH_SOURCE_DIR "/docs/tracing.md"};
    auto const page = std::string{std::istreambuf_iterator<char>{file}, {}};
    for (auto const* const field :
         {"traceId", "spanId", "parentSpanId", "name", "startTimeUnixNano",
          "endTimeUnixNano", "attributes", "resource"})
        BOOST_TEST(page.find("`" + std::string{field} + "`") !=
                       std::string::npos,
                   field);
}

BOOST_AUTO_TEST_CASE(spans_with_a_trace_context_are_appended)
{
    auto const path =
        std::filesystem::temp_directory_path() /
        ("hickorylatch-test-" + std::to_string(getpid()) + ".spans");
    {
        auto writer = span_writer::open(path.string(), source());
        BOOST_REQUIRE(writer);
        auto without_trace = example();
        without_trace.m_context = {};
        writer->write(example());
        writer->write(without_trace);
        writer->write(example());
        writer->flush();
        BOOST_TEST(writer->lost() == 0U);
    }
    auto file = std::ifstream{path};
    auto const text = std::string{std::istreambuf_iterator<char>{file}, {}};
    auto const line = std::string{expected} + "\n";
    BOOST_TEST(text == line + line);
    std::filesystem::remove(path);
}

// Guards against spans lost unnoticed on a full disk.
BOOST_AUTO_TEST_CASE(spans_that_cannot_be_written_are_counted)
{
    auto writer = span_writer::open("/dev/full", source());
    BOOST_REQUIRE(writer);
    writer->write(example());
    writer->flush();
    BOOST_TEST(writer->lost() == 1U);
}
