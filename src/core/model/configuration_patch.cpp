#include "core/model/configuration_patch.hpp"

#include <map>
#include <utility>

namespace hickorylatch::core
{

namespace
{

using queue_map = std::map<queue_route, job_queue const*>;

auto by_route(configuration const& config) -> queue_map
{
    auto queues = queue_map{};
    for (auto const& each : config.m_queues)
        queues[{each.m_host, each.m_path_prefix}] = &each;
    return queues;
}

} // namespace

auto make_patch(configuration const& from, configuration const& to)
    -> configuration_patch
{
    auto patch = configuration_patch{};
    patch.m_base = from.m_version;
    patch.m_version = to.m_version;
    patch.m_customers = to.m_customers;
    patch.m_services = to.m_services;
    patch.m_drained = to.m_drained;
    auto const before = by_route(from);
    auto const after = by_route(to);
    for (auto const& [route, queue] : before)
        if (!after.contains(route))
            patch.m_removed.push_back(route);
    for (auto const& [route, queue] : after)
    {
        auto const old = before.find(route);
        if (old == before.end() || *old->second != *queue)
            patch.m_changed.push_back(*queue);
    }
    return patch;
}

auto apply_patch(configuration& target, configuration_patch const& patch)
    -> bool
{
    if (patch.m_base != target.m_version)
        return false;
    auto queues = by_route(target);
    for (auto const& route : patch.m_removed)
        queues.erase(route);
    for (auto const& each : patch.m_changed)
        queues[{each.m_host, each.m_path_prefix}] = &each;
    auto made = std::vector<job_queue>{};
    made.reserve(queues.size());
    for (auto const& [route, queue] : queues)
        made.push_back(*queue);
    target.m_version = patch.m_version;
    target.m_customers = patch.m_customers;
    target.m_services = patch.m_services;
    target.m_drained = patch.m_drained;
    target.m_queues = std::move(made);
    return true;
}

} // namespace hickorylatch::core
