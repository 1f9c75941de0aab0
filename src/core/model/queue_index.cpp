#include "core/model/queue_index.hpp"

#include <algorithm>
#include <iterator>

namespace hickorylatch::core
{

namespace
{

auto common_prefix(std::string_view left, std::string_view right)
    -> std::string_view
{
    auto const end = std::ranges::mismatch(left, right).in1;
    return left.substr(0, static_cast<std::size_t>(end - left.begin()));
}

} // namespace

queue_index::queue_index(configuration const& config)
{
    for (auto position = std::size_t{0}; position < config.m_queues.size();
         ++position)
    {
        auto const& queue = config.m_queues[position];
        m_hosts[queue.m_host][queue.m_path_prefix] = position;
    }
}

auto queue_index::find(configuration const& config, std::string_view host,
                       std::string_view path) const -> job_queue const*
{
    auto const known = m_hosts.find(host);
    if (known == m_hosts.end())
        return nullptr;
    auto const& prefixes = known->second;
    // A prefix of the path sorts at or before the path. If the greatest key at
    // or before it is no prefix, any prefix of the path among the keys is also
    // a prefix of the part that both have in common.
    auto rest = path;
    while (true)
    {
        auto const after = prefixes.upper_bound(rest);
        if (after == prefixes.begin())
            return nullptr;
        auto const& [candidate, position] = *std::prev(after);
        if (rest.starts_with(candidate))
            return &config.m_queues[position];
        rest = common_prefix(rest, candidate);
    }
}

} // namespace hickorylatch::core
