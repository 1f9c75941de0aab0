#ifndef HICKORYLATCH_PLATFORM_SETTINGS_SOURCE_HPP
#define HICKORYLATCH_PLATFORM_SETTINGS_SOURCE_HPP

#include "platform/settings.hpp"

#include <boost/leaf/result.hpp>

#include <optional>
#include <string>

namespace hickorylatch::platform
{

/// The settings file, which the platform writes and may rewrite while the
/// process runs.
class settings_source
{
public:
    /// `listen_ip` replaces the listen address of the file unless it is empty.
    settings_source(std::string file, std::string listen_ip);

    /// Reads the file. Errors: `settings_error`.
    [[nodiscard]] auto read() -> boost::leaf::result<host_settings>;
    /// Settings from the file if its text has changed since it was last read,
    /// else none. An invalid text is reported once. Errors: `settings_error`.
    [[nodiscard]] auto read_change()
        -> boost::leaf::result<std::optional<host_settings>>;

private:
    /// Parses `m_text`.
    [[nodiscard]] auto parse() const -> boost::leaf::result<host_settings>;

    std::string m_file;
    std::string m_listen_ip;
    /// The text that was read last.
    std::string m_text;
};

} // namespace hickorylatch::platform

#endif
