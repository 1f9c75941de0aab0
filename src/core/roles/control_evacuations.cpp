#include "core/roles/control.hpp"

#include <algorithm>

namespace hickorylatch::core
{

namespace
{

constexpr auto max_domain_length = std::size_t{128};

} // namespace

auto control::check(operation_requester who, set_evacuation const& change) const
    -> std::optional<verdict>
{
    auto const& name = change.m_failure_domain;
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
