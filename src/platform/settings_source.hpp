#ifndef HICKORYLATCH_PLATFORM_SETTINGS_SOURCE_HPP
#define HICKORYLATCH_PLATFORM_SETTINGS_SOURCE_HPP

#include "platform/settings.hpp"

#include <boost/leaf/result.hpp>

#include <optional>
#include <string>

namespace hickorylatch::platform
{

/// The settings file that the platform writes, and rewrites while the process
/// runs.
class settings_source
{
public:
    /// Processes listen on `listen_ip` unless it is empty.
    settings_source(std::string file, std::string listen_ip);

    /// Reads the file. Errors: `settings_error`.
    [[nodiscard]] auto read() -> boost::leaf::result<host_settings>;
    /// Reads the file if its text differs from the one read last; none if it
    /// does not. A text that can't be used is reported once. Errors:
    /// `settings_error`.
    [[nodiscard]] auto read_change()
        -> boost::leaf::result<std::optional<host_settings>>;

private:
    /// The text that was read last.
    [[nodiscard]] auto parse() const -> boost::leaf::result<host_settings>;

    std::string m_file;
    std::string m_listen_ip;
    std::string m_text;
};

} // namespace hickorylatch::platform

#endif
