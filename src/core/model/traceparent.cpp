#include "core/model/traceparent.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace hickorylatch::core
{

namespace
{

constexpr auto trace_digits = std::size_t{32};
constexpr auto span_digits = std::size_t{16};
// "00-" trace "-" span "-" flags
constexpr auto version_00_length = std::size_t{55};

auto is_lower_hex(std::string_view text) -> bool
{
    return text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

auto is_id(std::string_view text, std::size_t digits) -> bool
{
    return text.size() == digits && is_lower_hex(text) &&
           text.find_first_not_of('0') != std::string_view::npos;
}

auto print_hex(std::uint64_t number) -> std::string
{
    auto digits = std::array<char, span_digits>{};
    auto* const end =
        std::to_chars(digits.data(), digits.data() + digits.size(), number, 16)
            .ptr;
    auto const count = static_cast<std::size_t>(end - digits.data());
    return std::string(span_digits - count, '0').append(digits.data(), count);
}

/// Zero is not a valid id.
auto not_zero(std::uint64_t random) -> std::uint64_t
{
    return std::max(random, std::uint64_t{1});
}

} // namespace

auto parse_traceparent(std::string_view header) -> std::optional<trace_context>
{
    if (header.size() < version_00_length || header[2] != '-' ||
        header[35] != '-' || header[52] != '-')
        return std::nullopt;
    auto const version = header.substr(0, 2);
    if (!is_lower_hex(version) || version == "ff" ||
        !is_lower_hex(header.substr(53, 2)))
        return std::nullopt;
    // Later versions may append fields but keep the format of the first four.
    if (header.size() > version_00_length &&
        (version == "00" || header[version_00_length] != '-'))
        return std::nullopt;
    auto context = trace_context{std::string{header.substr(3, trace_digits)},
                                 std::string{header.substr(36, span_digits)}};
    if (!is_valid(context))
        return std::nullopt;
    return context;
}

auto print_traceparent(trace_context const& context) -> std::string
{
    if (!is_valid(context))
        return {};
    return "00-" + context.m_trace + "-" + context.m_span + "-01";
}

auto is_valid(trace_context const& context) -> bool
{
    return is_id(context.m_trace, trace_digits) &&
           is_id(context.m_span, span_digits);
}

auto child_span(trace_context const& parent, std::uint64_t random)
    -> trace_context
{
    if (!is_valid(parent))
        return {};
    return {parent.m_trace, print_hex(not_zero(random))};
}

auto new_trace(std::uint64_t random_high, std::uint64_t random_low,
               std::uint64_t random_span) -> trace_context
{
    return {print_hex(random_high) + print_hex(not_zero(random_low)),
            print_hex(not_zero(random_span))};
}

} // namespace hickorylatch::core
