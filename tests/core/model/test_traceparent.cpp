#include "core/model/traceparent.hpp"

#include <boost/test/unit_test.hpp>

namespace core = hickorylatch::core;

namespace
{

constexpr auto trace = std::string_view{"0af7651916cd43dd8448eb211c80319c"};
constexpr auto span = std::string_view{"b7ad6b7169203331"};

auto header(std::string_view version, std::string_view trace_id,
            std::string_view span_id, std::string_view rest) -> std::string
{
    return std::string{version}
        .append("-")
        .append(trace_id)
        .append("-")
        .append(span_id)
        .append("-")
        .append(rest);
}

} // namespace

BOOST_AUTO_TEST_CASE(a_traceparent_is_read_and_printed)
{
    auto const text = header("00", trace, span, "01");
    auto const read = core::parse_traceparent(text);
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(read->m_trace == trace);
    BOOST_TEST(read->m_span == span);
    BOOST_TEST(core::print_traceparent(*read) == text);
    BOOST_TEST(core::parse_traceparent(header("01", trace, span, "00-more"))
                   .has_value());
    BOOST_TEST(core::print_traceparent({}) == "");
}

// Guards against accepting ids that other systems reject, or the zero id, which
// would merge unrelated requests into one trace.
BOOST_AUTO_TEST_CASE(invalid_traceparents_are_refused)
{
    auto const zeros = std::string(32, '0');
    auto upper = std::string{trace};
    upper[1] = 'A';
    for (auto const& wrong :
         {std::string{}, header("ff", trace, span, "01"),
          header("0G", trace, span, "01"), header("00", zeros, span, "01"),
          header("00", trace, zeros.substr(16), "01"),
          header("00", upper, span, "01"), header("00", trace, span, "0x"),
          header("00", trace, span, "01-more"),
          header("01", trace, span, "01more"),
          header("00", trace.substr(1), span, "01"),
          header("00", trace, span, "1")})
        BOOST_TEST(!core::parse_traceparent(wrong).has_value(), wrong);
}

BOOST_AUTO_TEST_CASE(child_spans_stay_in_the_trace)
{
    auto const parent =
        core::trace_context{std::string{trace}, std::string{span}};
    BOOST_TEST(core::child_span(parent, 0xab).m_trace == trace);
    BOOST_TEST(core::child_span(parent, 0xab).m_span == "00000000000000ab");
    BOOST_TEST(core::is_valid(core::child_span(parent, 0)));
    BOOST_TEST((core::child_span({}, 1) == core::trace_context{}));
    BOOST_TEST(core::is_valid(core::new_trace(0, 0, 0)));
    BOOST_TEST(core::new_trace(1, 2, 3).m_trace ==
               "00000000000000010000000000000002");
}
