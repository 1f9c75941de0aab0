#include "observe/span_writer.hpp"

#include "core/model/traceparent.hpp"
#include "core/model/utf8.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <cerrno>
#include <chrono>
#include <system_error>
#include <utility>

namespace hickorylatch::observe
{

namespace
{

/// Nanoseconds as a string, because the JSON encoding of the OpenTelemetry
/// protocol represents 64-bit integers as strings.
auto print_time(core::time_point at, core::duration offset) -> std::string
{
    auto const wall = std::chrono::nanoseconds{at + offset};
    return std::to_string(wall.count());
}

auto attribute(std::string_view key, std::string_view value)
    -> boost::json::object
{
    return {{"key", core::skip_invalid_utf8(key)},
            {"value", {{"stringValue", core::skip_invalid_utf8(value)}}}};
}

} // namespace

span_writer::span_writer(std::ofstream file, span_source source)
    : m_file(std::move(file)), m_source(std::move(source))
{
}

auto span_writer::open(std::string_view file, span_source source)
    -> boost::leaf::result<span_writer>
{
    auto const name = std::string{file};
    auto opened = std::ofstream{name, std::ios_base::app};
    if (!opened)
        return boost::leaf::new_error(
            open_error{name, std::generic_category().message(errno)});
    return span_writer{std::move(opened), std::move(source)};
}

auto span_writer::write(core::record_span const& span) -> void
{
    if (!core::is_valid(span.m_context))
        return;
    m_file << print_span(span, m_source) << '\n';
    ++m_unflushed;
    if (!m_file)
        count_lost();
}

auto span_writer::flush() -> void
{
    if (m_file.flush())
        m_unflushed = 0;
    else
        count_lost();
}

auto span_writer::count_lost() -> void
{
    m_lost += std::exchange(m_unflushed, 0);
    m_file.clear();
}

auto span_writer::lost() const -> std::uint64_t
{
    return m_lost;
}

auto print_span(core::record_span const& span, span_source const& source)
    -> std::string
{
    auto attributes = boost::json::array{};
    for (auto const& [key, value] : span.m_attributes)
        attributes.emplace_back(attribute(key, value));
    auto const offset = source.m_clock_offset;
    return boost::json::serialize(boost::json::object{
        {"traceId", span.m_context.m_trace},
        {"spanId", span.m_context.m_span},
        {"parentSpanId", span.m_parent_span},
        {"name", core::skip_invalid_utf8(span.m_name)},
        {"startTimeUnixNano", print_time(span.m_start, offset)},
        {"endTimeUnixNano", print_time(span.m_end, offset)},
        {"attributes", std::move(attributes)},
        {"resource",
         {{"attributes",
           boost::json::array{attribute("service.name", "hickorylatch"),
                              attribute("service.instance.id", source.m_name),
                              attribute("cloud.availability_zone",
                                        source.m_failure_domain)}}}}});
}

} // namespace hickorylatch::observe
