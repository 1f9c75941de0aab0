#include "core/roles/control.hpp"

#include <algorithm>
#include <variant>

namespace hickorylatch::core
{

namespace
{

constexpr auto max_domain_length = std::size_t{128};

} // namespace

auto control::check_evacuation(operation_requester who,
                               operation const& requested) const
    -> std::optional<verdict>
{
    auto const* fenced = std::get_if<fenced_evacuation>(&requested);
    auto const* change = fenced != nullptr
                             ? &fenced->m_change
                             : std::get_if<set_evacuation>(&requested);
    if (change == nullptr)
        return std::nullopt;
    // Another process sends the command with a token: only the process that got
    // it from the operator knows whether the operator still waits.
    if (fenced == nullptr && who.m_entry != no_node)
        return refused(reason::version_conflict,
                       "the command has no fencing token");
    auto const& name = change->m_failure_domain;
    if (name.empty() || name.size() > max_domain_length)
        return refused(reason::invalid,
                       "the name of a failure domain has 1 to 128 bytes");
    // The replica that got the command from the operator has checked it against
    // its settings. If they differ here, the command must not be refused,
    // because an earlier leader may have committed it.
    auto const sender = m_peers.find(who.m_entry);
    if (sender != m_peers.end() && sender->second.m_role == role::control)
        return std::nullopt;
    auto const& known = m_settings.m_failure_domains;
    // A domain that was removed from the settings can be restored.
    if (known.empty() || std::ranges::find(known, name) != known.end() ||
        m_state.evacuated().m_current.contains(name))
        return std::nullopt;
    return refused(reason::invalid, "no such failure domain: " + name);
}

auto control::evacuations_changed(control_context const& context) -> void
{
    auto const& current = m_state.evacuated().m_current;
    context.m_out.emplace_back(
        log_line{log_level::info,
                 "evacuation_changed",
                 {{"revision", std::to_string(current.m_revision)},
                  {"domains", domains_field(current)}}});
    for (auto const& [node, peer] : m_peers)
        send_evacuations(context, peer);
    if (m_job_runner)
        m_job_runner->set_evacuations(context.m_now, current, context.m_random,
                                      context.m_out);
}

auto control::send_evacuations(control_context const& context,
                               hello const& peer) -> void
{
    auto const& current = m_state.evacuated().m_current;
    // A control process of `serve` can run an entry or an agent as well.
    auto const is_receiver =
        peer.m_role != role::control || peer.m_needs_configuration;
    if (is_receiver && current.m_revision != 0)
        context.m_out.emplace_back(send{peer.m_node, current});
}

} // namespace hickorylatch::core
