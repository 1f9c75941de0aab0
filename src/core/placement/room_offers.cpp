#include "core/placement/room_offers.hpp"

#include <algorithm>

namespace hickorylatch::core
{

namespace
{

// A requester answers within a round trip of a few milliseconds. The offered
// room is idle until then, so a lost requester must not block it for long.
constexpr auto answer_timeout = duration{std::chrono::milliseconds{100}};

} // namespace

auto room_offers::add(time_point now, node_id requester, resources const& needs,
                      std::uint32_t count) -> std::uint64_t
{
    m_offers[++m_last_number] = {requester, needs, count, now + answer_timeout};
    return m_last_number;
}

auto room_offers::take(node_id requester, std::uint64_t number)
    -> std::optional<room_offer>
{
    auto const found = m_offers.find(number);
    if (found == m_offers.end() || found->second.m_requester != requester)
        return std::nullopt;
    auto const taken = found->second;
    m_offers.erase(found);
    return taken;
}

auto room_offers::expire(time_point now) -> std::size_t
{
    return std::erase_if(m_offers,
                         [now](auto const& each)
                         {
                             return each.second.m_expires_at <= now;
                         });
}

auto room_offers::drop(node_id requester) -> void
{
    std::erase_if(m_offers,
                  [requester](auto const& each)
                  {
                      return each.second.m_requester == requester;
                  });
}

auto room_offers::clear() -> void
{
    m_offers.clear();
}

auto room_offers::held() const -> resources
{
    auto total = resources{};
    for (auto const& [number, offer] : m_offers)
        for (auto count = std::uint32_t{0}; count < offer.m_count; ++count)
            total += offer.m_needs;
    return total;
}

auto room_offers::empty() const -> bool
{
    return m_offers.empty();
}

auto room_offers::next_deadline() const -> time_point
{
    auto first = never;
    for (auto const& [number, offer] : m_offers)
        first = std::min(first, offer.m_expires_at);
    return first;
}

} // namespace hickorylatch::core
