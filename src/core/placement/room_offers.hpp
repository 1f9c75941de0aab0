#ifndef HICKORYLATCH_CORE_PLACEMENT_ROOM_OFFERS_HPP
#define HICKORYLATCH_CORE_PLACEMENT_ROOM_OFFERS_HPP

#include "core/model/ids.hpp"
#include "core/model/job.hpp"
#include "core/model/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace hickorylatch::core
{

/// Room for tasks of a step that an agent keeps free for a requester until the
/// requester answers.
struct room_offer
{
    node_id m_requester = no_node;
    /// Resources of one task.
    resources m_needs;
    std::uint32_t m_count = 0;
    time_point m_expires_at{0};
};

/// Offers of an agent that have not been answered yet.
class room_offers
{
public:
    /// Keeps the room free and returns the number of the offer, from 1.
    auto add(time_point now, node_id requester, resources const& needs,
             std::uint32_t count) -> std::uint64_t;
    /// Removes the offer and returns it; none if the requester has no open
    /// offer of this number.
    auto take(node_id requester, std::uint64_t number)
        -> std::optional<room_offer>;
    /// Removes offers that were not answered in time. Returns how many.
    auto expire(time_point now) -> std::size_t;
    /// Removes all offers to a requester.
    auto drop(node_id requester) -> void;
    auto clear() -> void;

    /// Total room of all open offers.
    [[nodiscard]] auto held() const -> resources;
    [[nodiscard]] auto empty() const -> bool;
    [[nodiscard]] auto next_deadline() const -> time_point;

private:
    std::map<std::uint64_t, room_offer> m_offers;
    std::uint64_t m_last_number = 0;
};

} // namespace hickorylatch::core

#endif
