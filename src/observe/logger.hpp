#ifndef HICKORYLATCH_OBSERVE_LOGGER_HPP
#define HICKORYLATCH_OBSERVE_LOGGER_HPP

#include "core/model/effect.hpp"
#include "observe/open_error.hpp"

#include <boost/leaf/result.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace hickorylatch::observe
{

/// Writes log lines to standard output or a file, each as one line of
/// key=value pairs: time (UTC), level, event, then the fields. Bounds their
/// volume, and drops lines for standard output while its reader is behind; the
/// next line that is written tells how many were left out.
class logger
{
public:
    /// Appends to the file, or to standard output if its name is empty. Lines
    /// below the level are left out. Errors: `open_error`.
    [[nodiscard]] static auto open(core::log_level lowest,
                                   std::string_view file)
        -> boost::leaf::result<logger>;

    logger(logger&&) noexcept;
    auto operator=(logger&&) noexcept -> logger&;
    ~logger();

    /// Writes the line and flushes it. Does not wait for a reader.
    auto write(core::log_line const& line) -> void;

private:
    struct state;
    explicit logger(std::unique_ptr<state> opened);

    std::unique_ptr<state> m_state;
};

/// The line without its time: "level=info event=lease_lost peer=7". Values are
/// quoted and escaped where needed, so that the text is one line of valid
/// UTF-8 whatever they hold. Characters of keys other than letters, digits,
/// '_', '.' and '-' become '_'.
[[nodiscard]] auto print_log_line(core::log_line const& line) -> std::string;

[[nodiscard]] auto to_string(core::log_level level) -> std::string_view;

} // namespace hickorylatch::observe

#endif
