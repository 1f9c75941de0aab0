#ifndef HICKORYLATCH_EXPERIMENT_CREDITS_POLICY_HPP
#define HICKORYLATCH_EXPERIMENT_CREDITS_POLICY_HPP

#include "experiment/world.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <utility>
#include <vector>

namespace hickorylatch::experiment
{

/// Entries keep the queue. For each request an entry asks two endpoints for a
/// slot; an endpoint grants free slots in the order of the asks, and the entry
/// uses a grant for its most urgent request or gives it back.
class credits_policy
{
public:
    explicit credits_policy(world& in);

    auto submit(request& of) -> void;
    auto cancel(request& of) -> void;

private:
    struct endpoint_state
    {
        /// Slots in use or granted.
        std::uint32_t m_used = 0;
        /// Entries that asked.
        std::deque<std::uint32_t> m_asks;
    };
    using place = std::pair<int, std::uint32_t>;

    auto grant(std::uint32_t endpoint) -> void;
    auto use(std::uint32_t entry, std::uint32_t endpoint) -> void;
    auto start(request& of, std::uint32_t endpoint) -> void;
    auto free_slot(std::uint32_t endpoint) -> void;

    world* m_world;
    std::mt19937_64 m_random{7};
    std::vector<endpoint_state> m_endpoints;
    std::vector<std::map<place, request*>> m_waiting;
    std::vector<std::uint32_t> m_target;
};

} // namespace hickorylatch::experiment

#endif
