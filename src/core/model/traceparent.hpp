#ifndef HICKORYLATCH_CORE_MODEL_TRACEPARENT_HPP
#define HICKORYLATCH_CORE_MODEL_TRACEPARENT_HPP

#include "core/model/submission.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hickorylatch::core
{

/// Parses the value of a W3C `traceparent` header. Empty if it is invalid; the
/// standard then requires the caller to start a new trace. Ignores the flags.
[[nodiscard]] auto parse_traceparent(std::string_view header)
    -> std::optional<trace_context>;

/// Formats a header value of version 00. The flag "sampled" is set because
/// every span is recorded. Empty if the context is not valid.
[[nodiscard]] auto print_traceparent(trace_context const& context)
    -> std::string;

/// True if both ids have the right length, consist of lower-case hexadecimal
/// digits and are not zero.
[[nodiscard]] auto is_valid(trace_context const& context) -> bool;

/// A new span of the same trace, whose parent is the given span. Returns an
/// empty context if the parent is not valid.
[[nodiscard]] auto child_span(trace_context const& parent, std::uint64_t random)
    -> trace_context;

/// First span of a new trace. The random numbers must be independent.
[[nodiscard]] auto new_trace(std::uint64_t random_high,
                             std::uint64_t random_low,
                             std::uint64_t random_span) -> trace_context;

} // namespace hickorylatch::core

#endif
