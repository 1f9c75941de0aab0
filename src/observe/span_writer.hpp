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
    /// Wall clock since the Unix epoch less the process's monotonic clock.
    core::duration m_clock_offset{0};
};

/// Appends finished spans to a file, one JSON object a line. docs/tracing.md
/// describes the form.
class span_writer
{
public:
    /// Opens the file for appending. Errors: `open_error`.
    [[nodiscard]] static auto open(std::string_view file, span_source source)
        -> boost::leaf::result<span_writer>;

    /// Writes the span into the buffer. A span without a valid trace context
    /// is left out.
    auto write(core::record_span const& span) -> void;
    /// Hands the buffered spans to the system. The destructor does so too.
    auto flush() -> void;
    /// Spans that may be lost because the file could not be written.
    [[nodiscard]] auto lost() const -> std::uint64_t;

private:
    span_writer(std::ofstream file, span_source source);

    auto count_lost() -> void;

    std::ofstream m_file;
    span_source m_source;
    /// Written since the last flush.
    std::uint64_t m_pending = 0;
    std::uint64_t m_lost = 0;
};

/// The span as one line of JSON, without the end of line.
[[nodiscard]] auto print_span(core::record_span const& span,
                              span_source const& source) -> std::string;

} // namespace hickorylatch::observe

#endif
