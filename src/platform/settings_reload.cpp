#include "platform/settings_reload.hpp"

#include <boost/leaf/handle_errors.hpp>

#include <string>
#include <utility>

namespace hickorylatch::platform
{

namespace
{

namespace leaf = boost::leaf;

// Only processes that lost all connections need the seeds, so a change without
// a signal need not be detected immediately. A check reads one small file.
constexpr auto check_interval = core::duration{std::chrono::seconds{3}};

} // namespace

settings_reload::settings_reload(process::process& target,
                                 settings_source source, host_settings current)
    : m_process{target}, m_source{std::move(source)},
      m_current{std::move(current)}, m_timer{target.loop(), [this]
                                             {
                                                 check();
                                             }}
{
    m_process.reload_requested().connect(
        [this]
        {
            m_process.log({core::log_level::info, "reload_requested", {}});
            check();
        });
    m_timer.start(check_interval);
}

auto settings_reload::check() -> void
{
    leaf::try_handle_all(
        [&]() -> leaf::result<void>
        {
            BOOST_LEAF_AUTO(changed, m_source.read_change());
            if (changed)
                apply(*changed);
            return {};
        },
        [&](settings_error const& error)
        {
            m_process.log({core::log_level::warning,
                           "settings_not_reloaded",
                           {{"cause", error.m_text}}});
        },
        [&]
        {
            m_process.log({core::log_level::warning,
                           "settings_not_reloaded",
                           {{"cause", "not understood"}}});
        });
    m_timer.start(check_interval);
}

auto settings_reload::apply(host_settings const& changed) -> void
{
    auto const has_new_seeds = changed.m_seeds != m_current.m_seeds;
    m_current.m_seeds = changed.m_seeds;
    auto const needs_restart = changed != m_current;
    m_process.log({core::log_level::info,
                   "settings_reloaded",
                   {{"seeds", std::to_string(changed.m_seeds.size())},
                    {"new_seeds", has_new_seeds ? "yes" : "no"},
                    {"needs_restart", needs_restart ? "yes" : "no"}}});
    if (has_new_seeds)
        m_process.handle_event(
            core::seeds_changed{seed_link_addresses(changed)});
}

} // namespace hickorylatch::platform
