#include "core/configuration.hpp"

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
    return std::ranges::any_of(target.m_idempotent_paths,
                               [path](std::string const& prefix)
                               {
                                   return path.starts_with(prefix);
                               });
}

} // namespace hickorylatch::core
