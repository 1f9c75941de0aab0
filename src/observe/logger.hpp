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
/// key=value pairs: time (UTC), level, event, then the fields. Limits their
/// rate, and drops lines to standard output while it would block. The number of
/// lines left out is logged before a later line, at most once per second.
class logger
{
public:
    /// Opens the file for appending, or standard output if its name is empty.
    /// Lines below the lowest level are not written. Errors: `open_error`.
    [[nodiscard]] static auto open(core::log_level lowest,
                                   std::string_view file)
        -> boost::leaf::result<logger>;

    logger(logger&&) noexcept;
    auto operator=(logger&&) noexcept -> logger&;
    ~logger();

    /// Writes the line and flushes it. Does not block on a slow reader of
    /// standard output.
    auto write(core::log_line const& line) -> void;

private:
    struct state;
    explicit logger(std::unique_ptr<state> opened);

    std::unique_ptr<state> m_state;
};

/// The line without its time: "level=info event=lease_lost peer=7". Values are
/// quoted and escaped where needed, so that the text is always one line of
/// valid UTF-8. Characters of keys other than letters, digits, '_', '.' and '-'
/// are replaced by '_'.
[[nodiscard]] auto print_log_line(core::log_line const& line) -> std::string;

[[nodiscard]] auto to_string(core::log_level level) -> std::string_view;

} // namespace hickorylatch::observe

#endif
