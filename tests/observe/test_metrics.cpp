#include "observe/metrics.hpp"

#include "observe/metric_definition.hpp"

#include <boost/test/unit_test.hpp>

#include <limits>
#include <sstream>

using namespace hickorylatch::observe;

namespace
{

auto has_line(metrics const& from, std::string const& line) -> bool
{
    return ("\n" + from.print()).find("\n" + line + "\n") != std::string::npos;
}

/// Number of sample lines, without help and type.
auto count_series(metrics const& from, std::string_view name) -> std::size_t
{
    auto lines = std::istringstream{from.print()};
    auto count = std::size_t{0};
    for (auto line = std::string{}; std::getline(lines, line);)
        count += line.starts_with(name) ? 1 : 0;
    return count;
}

} // namespace

BOOST_AUTO_TEST_CASE(counters_add_up_and_gauges_keep_the_last_value)
{
    auto all = metrics{};
    BOOST_TEST(has_line(all, "hickorylatch_syncs_total 0"));
    for (auto const value : {2.0, 3.0})
    {
        BOOST_TEST(all.observe({"hickorylatch_syncs_total", {}, value}));
        BOOST_TEST(all.observe(
            {"hickorylatch_queued", {{"service", "a\"\\\n\xff"}}, value}));
    }
    BOOST_TEST(has_line(all, "# TYPE hickorylatch_syncs_total counter"));
    BOOST_TEST(has_line(all, "hickorylatch_syncs_total 5"));
    BOOST_TEST(has_line(all, R"(hickorylatch_queued{service="a\"\\\n"} 3)"));
}

BOOST_AUTO_TEST_CASE(samples_without_a_matching_definition_are_rejected)
{
    auto all = metrics{};
    auto const before = all.print();
    BOOST_TEST(!all.observe({"hickorylatch_unknown", {}, 1}));
    BOOST_TEST(!all.observe({"hickorylatch_syncs_total", {{"x", "y"}}, 1}));
    BOOST_TEST(!all.observe({"hickorylatch_syncs_total", {}, -1}));
    BOOST_TEST(!all.observe({"hickorylatch_sync_seconds",
                             {},
                             std::numeric_limits<double>::quiet_NaN()}));
    BOOST_TEST(all.print() == before);
}

// Guards against buckets that are not cumulative or lose values at the ends.
BOOST_AUTO_TEST_CASE(histograms_count_every_value_once)
{
    auto all = metrics{};
    for (auto const value : {-1.0, 0.0, 0.00005, 0.05, 0.5, 500.0})
        BOOST_TEST(all.observe({"hickorylatch_queue_seconds",
                                {{"priority", "9"}, {"service", "s"}},
                                value}));
    auto const bucket = [&](std::string const& bound, int count)
    {
        BOOST_TEST(has_line(all, "hickorylatch_queue_seconds_bucket{service="
                                 "\"s\",priority=\"9\",le=\"" +
                                     bound + "\"} " + std::to_string(count)),
                   bound);
    };
    bucket("0.0001", 3);
    bucket("0.01", 3);
    bucket("0.1", 4);
    bucket("1", 5);
    bucket("100", 5);
    bucket("+Inf", 6);
    BOOST_TEST(has_line(all, "hickorylatch_queue_seconds_count{service=\"s\","
                             "priority=\"9\"} 6"));
    BOOST_TEST(has_line(all, "hickorylatch_queue_seconds_sum{service=\"s\","
                             "priority=\"9\"} 500.55005"));
}

// Guards against memory that grows with the label values that callers send.
BOOST_AUTO_TEST_CASE(label_values_and_series_are_bounded)
{
    auto all = metrics{};
    constexpr auto name = "hickorylatch_refusals_total";
    for (auto index = 0; index < 300; ++index)
        all.observe({name, {{"reason", std::to_string(index)}}, 1});
    BOOST_TEST(count_series(all, name) == max_label_values + 1);
    BOOST_TEST(has_line(all, std::string{name} +
                                 R"({verdict="",reason="other"} 200)"));
    for (auto index = 0; index < 100; ++index)
        for (auto other = 0; other < 100; ++other)
            all.observe({name,
                         {{"verdict", std::to_string(index)},
                          {"reason", std::to_string(other)}},
                         1});
    BOOST_TEST(count_series(all, name) == max_series + 1);
    BOOST_TEST(has_line(all, std::string{name} +
                                 R"({verdict="other",reason="other"} 9851)"));
}

BOOST_AUTO_TEST_CASE(every_definition_has_a_help_text_and_a_known_kind)
{
    for (auto const& definition : metric_definitions())
    {
        BOOST_TEST(definition.m_help.ends_with('.'), definition.m_name);
        BOOST_TEST(definition.m_name.ends_with("_total") ==
                       (definition.m_kind == metric_kind::counter),
                   definition.m_name);
    }
}
