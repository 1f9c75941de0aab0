#ifndef HICKORYLATCH_CORE_MODEL_QUEUE_INDEX_HPP
#define HICKORYLATCH_CORE_MODEL_QUEUE_INDEX_HPP

#include "core/model/configuration.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace hickorylatch::core
{

/// Finds queues by host and path in a configuration with many queues.
class queue_index
{
public:
    queue_index() = default;
    explicit queue_index(configuration const& config);

    /// The queue with this host and the longest matching prefix of the path;
    /// null if there is none. `config` must be the one that the index was built
    /// from.
    [[nodiscard]] auto find(configuration const& config, std::string_view host,
                            std::string_view path) const -> job_queue const*;

private:
    /// Positions in `configuration::m_queues` by path prefix.
    using prefixes = std::map<std::string, std::size_t, std::less<>>;

    std::map<std::string, prefixes, std::less<>> m_hosts;
};

} // namespace hickorylatch::core

#endif
