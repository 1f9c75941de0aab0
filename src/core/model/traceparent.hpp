#ifndef HICKORYLATCH_CORE_MODEL_TRACEPARENT_HPP
#define HICKORYLATCH_CORE_MODEL_TRACEPARENT_HPP

#include "core/model/submission.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hickorylatch::core
{

/// Reads the value of a W3C `traceparent` header. Empty if it is invalid; by
/// the standard the caller then starts a new trace. The flags are not kept.
[[nodiscard]] auto parse_traceparent(std::string_view header)
    -> std::optional<trace_context>;

/// Header value of version 00 with the flag "sampled", because every span is
/// recorded. Empty if the context is not valid.
[[nodiscard]] auto print_traceparent(trace_context const& context)
    -> std::string;

/// True if both ids have their length, lower-case digits and are not zero.
[[nodiscard]] auto is_valid(trace_context const& context) -> bool;

/// A span of the same trace, to be recorded with the parent's span as its
/// parent. Without a valid parent the result is an empty context.
[[nodiscard]] auto child_span(trace_context const& parent, std::uint64_t random)
    -> trace_context;

/// First span of a new trace. The random numbers must be independent.
[[nodiscard]] auto new_trace(std::uint64_t random_high,
                             std::uint64_t random_low,
                             std::uint64_t random_span) -> trace_context;

} // namespace hickorylatch::core

#endif
