#ifndef HICKORYLATCH_EXPERIMENT_DIRECT_POLICY_HPP
#define HICKORYLATCH_EXPERIMENT_DIRECT_POLICY_HPP

#include "experiment/simulated_system.hpp"

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <map>
#include <random>
#include <utility>
#include <vector>

namespace hickorylatch::experiment
{

/// Chooses an endpoint by the number of requests that the entry itself has
/// outstanding at each endpoint.
template <typename Chooser>
concept endpoint_chooser = std::default_initializable<Chooser> &&
    requires(Chooser chooser, std::vector<std::uint32_t> const& outstanding)
{
    {
        chooser(outstanding)
        } -> std::convertible_to<std::uint32_t>;
};

struct choose_random
{
    auto operator()(std::vector<std::uint32_t> const& outstanding)
        -> std::uint32_t
    {
        return static_cast<std::uint32_t>(m_random() % outstanding.size());
    }
    std::mt19937_64 m_random{7};
};

struct choose_round_robin
{
    auto operator()(std::vector<std::uint32_t> const& outstanding)
        -> std::uint32_t
    {
        return static_cast<std::uint32_t>(m_next++ % outstanding.size());
    }
    std::uint64_t m_next = 0;
};

struct choose_least_outstanding
{
    auto operator()(std::vector<std::uint32_t> const& outstanding)
        -> std::uint32_t
    {
        // Starts at the next endpoint each time, to break ties evenly.
        auto best = m_next++ % outstanding.size();
        for (auto offset = std::size_t{0}; offset < outstanding.size();
             ++offset)
        {
            auto const candidate = (m_next + offset) % outstanding.size();
            if (outstanding[candidate] < outstanding[best])
                best = candidate;
        }
        return static_cast<std::uint32_t>(best);
    }
    std::uint64_t m_next = 0;
};

struct choose_of_two
{
    auto operator()(std::vector<std::uint32_t> const& outstanding)
        -> std::uint32_t
    {
        auto const first = m_random() % outstanding.size();
        auto const second = m_random() % outstanding.size();
        return static_cast<std::uint32_t>(
            outstanding[second] < outstanding[first] ? second : first);
    }
    std::mt19937_64 m_random{7};
};

/// Entries send each request to an endpoint immediately; it waits there in a
/// queue ordered by priority.
template <endpoint_chooser Chooser>
class direct_policy
{
public:
    explicit direct_policy(simulated_system& system)
        : m_system{&system}, m_endpoints(system.setup().m_endpoints),
          m_choosers(system.setup().m_entries),
          m_outstanding(system.setup().m_entries,
                        std::vector<std::uint32_t>(system.setup().m_endpoints)),
          m_chosen_endpoint(system.requests().size())
    {
    }

    auto submit(simulated_request& request) -> void
    {
        auto& outstanding = m_outstanding[request.m_entry];
        auto const endpoint = m_choosers[request.m_entry](outstanding);
        ++outstanding[endpoint];
        m_chosen_endpoint[request.m_number] = endpoint;
        m_system->send(request,
                       m_system->entry_to_endpoint(request.m_entry, endpoint),
                       [this, &request, endpoint]
                       {
                           enqueue(request, endpoint);
                       });
    }

    auto cancel(simulated_request& request) -> void
    {
        if (request.m_end != request_end::open)
            return;
        m_system->answer(request, request_end::cancelled);
        auto const endpoint = m_chosen_endpoint[request.m_number];
        --m_outstanding[request.m_entry][endpoint];
        m_system->scheduler().after(
            m_system->entry_to_endpoint(request.m_entry, endpoint),
            [this, &request, endpoint]
            {
                stop(request, endpoint);
            });
    }

private:
    using queue_key = std::pair<int, std::uint32_t>;
    struct endpoint_state
    {
        std::uint32_t m_used_slots = 0;
        std::map<queue_key, simulated_request*> m_waiting;
    };

    static auto queue_key_of(simulated_request const& request) -> queue_key
    {
        return {-request.m_priority, request.m_number};
    }

    auto enqueue(simulated_request& request, std::uint32_t endpoint) -> void
    {
        m_endpoints[endpoint].m_waiting.emplace(queue_key_of(request),
                                                &request);
        start_waiting(endpoint);
    }

    auto start_waiting(std::uint32_t endpoint) -> void
    {
        auto& state = m_endpoints[endpoint];
        while (state.m_used_slots < m_system->setup().m_slots &&
               !state.m_waiting.empty())
        {
            auto& next = *state.m_waiting.begin()->second;
            state.m_waiting.erase(state.m_waiting.begin());
            if (m_system->is_past_deadline(next))
            {
                finish(next, endpoint, request_end::refused);
                continue;
            }
            ++state.m_used_slots;
            m_system->run(next, endpoint,
                          [this, &next, endpoint](bool succeeded)
                          {
                              --m_endpoints[endpoint].m_used_slots;
                              finish(next, endpoint,
                                     succeeded ? request_end::answered
                                               : request_end::failed);
                              start_waiting(endpoint);
                          });
        }
    }

    auto stop(simulated_request& request, std::uint32_t endpoint) -> void
    {
        auto& state = m_endpoints[endpoint];
        if (state.m_waiting.erase(queue_key_of(request)) > 0)
            return;
        if (!m_system->stop(request))
        {
            m_system->count_wasted("late cancel", 1);
            return;
        }
        --state.m_used_slots;
        start_waiting(endpoint);
    }

    auto finish(simulated_request& request, std::uint32_t endpoint,
                request_end end) -> void
    {
        m_system->send(request,
                       m_system->entry_to_endpoint(request.m_entry, endpoint),
                       [this, &request, endpoint, end]
                       {
                           if (request.m_end == request_end::open)
                               --m_outstanding[request.m_entry][endpoint];
                           m_system->answer(request, end);
                       });
    }

    simulated_system* m_system;
    std::vector<endpoint_state> m_endpoints;
    std::vector<Chooser> m_choosers;
    std::vector<std::vector<std::uint32_t>> m_outstanding;
    std::vector<std::uint32_t> m_chosen_endpoint;
};

} // namespace hickorylatch::experiment

#endif
