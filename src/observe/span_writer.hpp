#ifndef HICKORYLATCH_OBSERVE_SPAN_WRITER_HPP
#define HICKORYLATCH_OBSERVE_SPAN_WRITER_HPP

#include "core/model/effect.hpp"
#include "observe/open_error.hpp"

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <fstream>
#include <string>
#include <string_view>

namespace hickorylatch::observe
{

/// The process that records spans.
struct span_source
{
    std::string m_name;
    std::string m_failure_domain;
    /// Wall-clock time since the Unix epoch minus the process's monotonic time.
    core::duration m_clock_offset{0};
};

/// Appends finished spans to a file, one JSON object per line. docs/tracing.md
/// describes the format.
class span_writer
{
public:
    /// Opens the file for appending. Errors: `open_error`.
    [[nodiscard]] static auto open(std::string_view file, span_source source)
        -> boost::leaf::result<span_writer>;

    /// Buffers the span. A span without a valid trace context is ignored.
    auto write(core::record_span const& span) -> void;
    /// Writes the buffered spans to the file. The destructor does so too.
    auto flush() -> void;
    /// Number of spans that may be lost because of write errors.
    [[nodiscard]] auto lost() const -> std::uint64_t;

private:
    span_writer(std::ofstream file, span_source source);

    auto count_lost() -> void;

    std::ofstream m_file;
    span_source m_source;
    /// Spans written since the last flush.
    std::uint64_t m_unflushed = 0;
    std::uint64_t m_lost = 0;
};

/// The span as one line of JSON, without the trailing newline.
[[nodiscard]] auto print_span(core::record_span const& span,
                              span_source const& source) -> std::string;

} // namespace hickorylatch::observe

#endif
