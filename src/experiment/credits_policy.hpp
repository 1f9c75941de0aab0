#ifndef HICKORYLATCH_EXPERIMENT_CREDITS_POLICY_HPP
#define HICKORYLATCH_EXPERIMENT_CREDITS_POLICY_HPP

#include "experiment/simulated_system.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <utility>
#include <vector>

namespace hickorylatch::experiment
{

/// Entries keep the queues. For each request an entry requests a credit from
/// two endpoints; an endpoint grants its free slots as credits in the order of
/// these requests, and the entry uses a credit for its waiting request of the
/// highest priority or returns it.
class credits_policy
{
public:
    explicit credits_policy(simulated_system& system);

    auto submit(simulated_request& request) -> void;
    auto cancel(simulated_request& request) -> void;

private:
    struct endpoint_state
    {
        /// Slots in use or granted as credits.
        std::uint32_t m_used_slots = 0;
        /// Entries with an open credit request, in order of arrival.
        std::deque<std::uint32_t> m_waiting_entries;
    };
    using queue_key = std::pair<int, std::uint32_t>;

    auto grant_credits(std::uint32_t endpoint) -> void;
    auto use_credit(std::uint32_t entry, std::uint32_t endpoint) -> void;
    auto start(simulated_request& request, std::uint32_t endpoint) -> void;
    auto free_slot(std::uint32_t endpoint) -> void;

    simulated_system* m_system;
    std::mt19937_64 m_random{7};
    std::vector<endpoint_state> m_endpoints;
    std::vector<std::map<queue_key, simulated_request*>> m_waiting;
    std::vector<std::uint32_t> m_chosen_endpoint;
};

} // namespace hickorylatch::experiment

#endif
