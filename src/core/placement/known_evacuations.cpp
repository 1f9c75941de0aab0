#include "core/placement/known_evacuations.hpp"

#include <algorithm>
#include <span>
#include <string>
#include <utility>

namespace hickorylatch::core
{

namespace
{

auto joined(std::span<std::string const> names) -> std::string
{
    auto list = std::string{};
    for (auto const& name : names)
    {
        if (!list.empty())
            list += ',';
        list += name;
    }
    return list;
}

} // namespace

auto known_evacuations::adopt(evacuations const& received, effects& out) -> bool
{
    if (received.m_revision <= m_current.m_revision)
        return false;
    auto const before = std::exchange(m_current, received);
    auto& domains = m_current.m_failure_domains;
    std::ranges::sort(domains);
    // clang's analysis can't compile `std::ranges::unique` of this library.
    domains.erase(std::unique(domains.begin(), domains.end()), domains.end());
    out.emplace_back(
        log_line{log_level::info,
                 "evacuations_adopted",
                 {{"revision", std::to_string(m_current.m_revision)},
                  {"domains", joined(domains)},
                  {"before", joined(before.m_failure_domains)}}});
    return true;
}

auto known_evacuations::current() const -> evacuations const&
{
    return m_current;
}

auto known_evacuations::contains(std::string_view failure_domain) const -> bool
{
    return m_current.contains(failure_domain);
}

} // namespace hickorylatch::core
