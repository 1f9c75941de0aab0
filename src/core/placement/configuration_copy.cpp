#include "core/placement/configuration_copy.hpp"

#include "core/model/stable_hash.hpp"

#include <algorithm>
#include <string>
#include <utility>
#include <variant>

namespace hickorylatch::core
{

namespace
{

// A patch of some thousand queues takes 70 ms on a link of 25 Mbit/s. A
// configuration must be in force 2 s after its acceptance.
constexpr auto answer_timeout = duration{std::chrono::milliseconds{400}};
// The leader sends its notice first. If all processes fetched from the leader,
// the patches would delay its heartbeats to the other replicas.
constexpr auto fetch_delay = duration{std::chrono::milliseconds{60}};

} // namespace

configuration_copy::configuration_copy(std::string name)
    : m_name{std::move(name)}
{
}

auto configuration_copy::receive(time_point now, node_id from,
                                 message const& incoming, effects& out) -> bool
{
    if (auto const* notice = std::get_if<configuration_notice>(&incoming))
    {
        if (notice->m_version <= m_configuration.m_version)
            return true;
        m_newer_versions[from] = notice->m_version;
        // A process without any configuration can't serve, so it fetches at
        // once.
        if (m_fetch_at == never)
            m_fetch_at =
                m_configuration.m_version == 0 ? now : now + fetch_delay;
        fetch(now, out);
    }
    else if (auto const* patch = std::get_if<configuration_patch>(&incoming))
        adopt(now, from, *patch, out);
    else if (auto const* request = std::get_if<fetch_configuration>(&incoming))
    {
        if (request->m_version < m_configuration.m_version)
            out.emplace_back(send{from, make_patch({}, m_configuration)});
    }
    else
        return false;
    return true;
}

auto configuration_copy::adopt(time_point now, node_id from,
                               configuration_patch const& patch, effects& out)
    -> void
{
    if (from == m_source)
        m_source = no_node;
    auto const before = m_configuration.m_version;
    // Replicas may lag; an older version must never replace a newer one.
    if (patch.m_version <= before)
        return fetch(now, out);
    auto updated = patch.m_base == 0 ? configuration{} : m_configuration;
    if (!apply_patch(updated, patch))
    {
        m_newer_versions[from] = patch.m_version;
        m_fetch_at = now;
        return fetch(now, out);
    }
    m_configuration = std::move(updated);
    m_queues = queue_index{m_configuration};
    std::erase_if(m_newer_versions,
                  [version = patch.m_version](auto const& each)
                  {
                      return each.second <= version;
                  });
    out.emplace_back(
        log_line{log_level::info,
                 "configuration_adopted",
                 {{"version", std::to_string(patch.m_version)},
                  {"before", std::to_string(before)},
                  {"base", std::to_string(patch.m_base)},
                  {"queues", std::to_string(m_configuration.m_queues.size())},
                  {"changed", std::to_string(patch.m_changed.size())}}});
    fetch(now, out);
}

auto configuration_copy::disconnected(time_point now, node_id peer,
                                      effects& out) -> void
{
    m_newer_versions.erase(peer);
    if (m_source == peer)
        m_source = no_node;
    fetch(now, out);
}

auto configuration_copy::tick(time_point now, effects& out) -> void
{
    // The source may still answer; meanwhile another one is asked.
    if (m_source != no_node && now >= m_answer_due_at)
        m_newer_versions.erase(std::exchange(m_source, no_node));
    fetch(now, out);
}

auto configuration_copy::fetch(time_point now, effects& out) -> void
{
    if (m_newer_versions.empty())
        m_fetch_at = never;
    if (m_source != no_node || now < m_fetch_at || m_newer_versions.empty())
        return;
    m_source = choose_source();
    m_answer_due_at = now + answer_timeout;
    out.emplace_back(
        send{m_source, fetch_configuration{m_configuration.m_version}});
}

auto configuration_copy::choose_source() const -> node_id
{
    auto const preference = [this](auto const& each)
    {
        auto const node =
            std::to_string(static_cast<std::uint64_t>(each.first));
        return std::pair{each.second, stable_hash(m_name, node)};
    };
    return std::ranges::max_element(m_newer_versions, {}, preference)->first;
}

auto configuration_copy::config() const -> configuration const&
{
    return m_configuration;
}

auto configuration_copy::find_queue(std::string_view host,
                                    std::string_view path) const
    -> job_queue const*
{
    return m_queues.find(m_configuration, host, path);
}

auto configuration_copy::next_deadline() const -> time_point
{
    if (m_source != no_node)
        return m_answer_due_at;
    return m_newer_versions.empty() ? never : m_fetch_at;
}

} // namespace hickorylatch::core
