#ifndef HICKORYLATCH_PLATFORM_SETTINGS_RELOAD_HPP
#define HICKORYLATCH_PLATFORM_SETTINGS_RELOAD_HPP

#include "net/timer.hpp"
#include "platform/settings.hpp"
#include "platform/settings_source.hpp"
#include "process/process.hpp"

namespace hickorylatch::platform
{

/// Reloads the settings file while a process runs: on SIGHUP, and periodically
/// because the file may change without a signal. Applies changed seeds; other
/// changes take effect at the next start.
class settings_reload
{
public:
    settings_reload(process::process& target, settings_source source,
                    host_settings current);
    settings_reload(settings_reload const&) = delete;
    auto operator=(settings_reload const&) -> settings_reload& = delete;

private:
    auto check() -> void;
    auto apply(host_settings const& changed) -> void;

    process::process& m_process;
    settings_source m_source;
    host_settings m_current;
    net::timer m_timer;
};

} // namespace hickorylatch::platform

#endif
