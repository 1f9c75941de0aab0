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

/// Room for tasks of a step that an agent holds for an entry until it answers.
struct room_offer
{
    node_id m_entry = no_node;
    /// Room for one task.
    resources m_needs;
    std::uint32_t m_count = 0;
    time_point m_expires_at{0};
};

/// Offers of an agent that were not answered yet.
class room_offers
{
public:
    /// Holds the room and returns the number of the offer, from 1.
    auto add(time_point now, node_id entry, resources const& needs,
             std::uint32_t count) -> std::uint64_t;
    /// Gives the room back; none if the offer is not held for this entry.
    auto take(node_id entry, std::uint64_t number) -> std::optional<room_offer>;
    /// Gives up offers that were not answered in time. Returns their number.
    auto expire(time_point now) -> std::size_t;
    /// Gives up all offers to an entry.
    auto drop(node_id entry) -> void;
    auto clear() -> void;

    /// Room that is held.
    [[nodiscard]] auto held() const -> resources;
    [[nodiscard]] auto empty() const -> bool;
    [[nodiscard]] auto next_deadline() const -> time_point;

private:
    std::map<std::uint64_t, room_offer> m_offers;
    std::uint64_t m_last = 0;
};

} // namespace hickorylatch::core

#endif
