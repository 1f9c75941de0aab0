#include "core/model/configuration.hpp"

#include <algorithm>

namespace hickorylatch::core
{

auto find_customer(configuration const& config, std::string_view name)
    -> customer const*
{
    auto const found =
        std::ranges::find(config.m_customers, name, &customer::m_name);
    return found == config.m_customers.end() ? nullptr : &*found;
}

auto find_service(configuration const& config, std::string_view name)
    -> service const*
{
    auto const found =
        std::ranges::find(config.m_services, name, &service::m_name);
    return found == config.m_services.end() ? nullptr : &*found;
}

auto is_idempotent(service const& target, std::string_view path) -> bool
{
    // "/stock" matches "/stock/reels" and "/stock?reel=7", not "/stocktaking".
    auto const covers = [path](std::string_view prefix)
    {
        if (!path.starts_with(prefix))
            return false;
        auto const rest = path.substr(prefix.size());
        return rest.empty() || prefix.ends_with('/') || rest.front() == '/' ||
               rest.front() == '?';
    };
    return std::ranges::any_of(target.m_idempotent_paths, covers);
}

} // namespace hickorylatch::core
