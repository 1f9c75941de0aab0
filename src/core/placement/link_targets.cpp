#include "core/placement/link_targets.hpp"

#include <utility>

namespace hickorylatch::core
{

link_targets::link_targets(std::vector<std::string> seeds, bool needs_entries)
    : m_seeds{std::move(seeds)},
      m_needs_entries{needs_entries}, m_kept{m_seeds.begin(), m_seeds.end()}
{
}

auto link_targets::replace_seeds(std::vector<std::string> seeds, effects& out)
    -> void
{
    m_seeds = std::move(seeds);
    update(out);
}

auto link_targets::follow(node_id replica, process_list const& known,
                          effects& out) -> void
{
    m_known[replica] = known;
    update(out);
}

auto link_targets::update(effects& out) -> void
{
    auto wanted = std::set<std::string>{m_seeds.begin(), m_seeds.end()};
    for (auto const& [replica, known] : m_known)
    {
        wanted.insert(known.m_controls.begin(), known.m_controls.end());
        if (m_needs_entries)
            wanted.insert(known.m_entries.begin(), known.m_entries.end());
    }
    if (wanted == m_kept)
        return;
    m_kept = wanted;
    out.emplace_back(keep_links{{wanted.begin(), wanted.end()}});
}

} // namespace hickorylatch::core
