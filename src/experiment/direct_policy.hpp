#ifndef HICKORYLATCH_EXPERIMENT_DIRECT_POLICY_HPP
#define HICKORYLATCH_EXPERIMENT_DIRECT_POLICY_HPP

#include "experiment/world.hpp"

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <map>
#include <random>
#include <utility>
#include <vector>

namespace hickorylatch::experiment
{

/// Chooses an endpoint at an entry, from that entry's own counts of
/// outstanding requests by endpoint.
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
        // Starts at another endpoint each time, to break ties evenly.
        auto best = m_next++ % outstanding.size();
        for (auto at = std::size_t{0}; at < outstanding.size(); ++at)
        {
            auto const tried = (m_next + at) % outstanding.size();
            if (outstanding[tried] < outstanding[best])
                best = tried;
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

/// Entries send each request to an endpoint at once; it waits there in
/// priority order.
template <endpoint_chooser Chooser>
class direct_policy
{
public:
    explicit direct_policy(world& in)
        : m_world{&in}, m_endpoints(in.setup().m_endpoints),
          m_choosers(in.setup().m_entries),
          m_outstanding(in.setup().m_entries,
                        std::vector<std::uint32_t>(in.setup().m_endpoints)),
          m_target(in.requests().size())
    {
    }

    auto submit(request& of) -> void
    {
        auto& outstanding = m_outstanding[of.m_entry];
        auto const endpoint = m_choosers[of.m_entry](outstanding);
        ++outstanding[endpoint];
        m_target[of.m_number] = endpoint;
        m_world->send(of, m_world->entry_to_endpoint(of.m_entry, endpoint),
                      [this, &of, endpoint]
                      {
                          arrive(of, endpoint);
                      });
    }

    auto cancel(request& of) -> void
    {
        if (of.m_end != request_end::open)
            return;
        m_world->answer(of, request_end::cancelled);
        auto const endpoint = m_target[of.m_number];
        --m_outstanding[of.m_entry][endpoint];
        m_world->time().after(m_world->entry_to_endpoint(of.m_entry, endpoint),
                              [this, &of, endpoint]
                              {
                                  stop(of, endpoint);
                              });
    }

private:
    using place = std::pair<int, std::uint32_t>;
    struct endpoint_state
    {
        std::uint32_t m_used = 0;
        std::map<place, request*> m_waiting;
    };

    static auto place_of(request const& of) -> place
    {
        return {-of.m_priority, of.m_number};
    }

    auto arrive(request& of, std::uint32_t endpoint) -> void
    {
        m_endpoints[endpoint].m_waiting.emplace(place_of(of), &of);
        start_waiting(endpoint);
    }

    auto start_waiting(std::uint32_t endpoint) -> void
    {
        auto& at = m_endpoints[endpoint];
        while (at.m_used < m_world->setup().m_slots && !at.m_waiting.empty())
        {
            auto& next = *at.m_waiting.begin()->second;
            at.m_waiting.erase(at.m_waiting.begin());
            if (m_world->is_past_deadline(next))
            {
                finish(next, endpoint, request_end::refused);
                continue;
            }
            ++at.m_used;
            m_world->run(next, endpoint,
                         [this, &next, endpoint](bool succeeded)
                         {
                             --m_endpoints[endpoint].m_used;
                             finish(next, endpoint,
                                    succeeded ? request_end::answered
                                              : request_end::failed);
                             start_waiting(endpoint);
                         });
        }
    }

    auto stop(request& of, std::uint32_t endpoint) -> void
    {
        auto& at = m_endpoints[endpoint];
        if (at.m_waiting.erase(place_of(of)) > 0)
            return;
        if (!m_world->stop(of))
        {
            m_world->waste("late cancel", 1);
            return;
        }
        --at.m_used;
        start_waiting(endpoint);
    }

    auto finish(request& of, std::uint32_t endpoint, request_end end) -> void
    {
        m_world->send(of, m_world->entry_to_endpoint(of.m_entry, endpoint),
                      [this, &of, endpoint, end]
                      {
                          if (of.m_end == request_end::open)
                              --m_outstanding[of.m_entry][endpoint];
                          m_world->answer(of, end);
                      });
    }

    world* m_world;
    std::vector<endpoint_state> m_endpoints;
    std::vector<Chooser> m_choosers;
    std::vector<std::vector<std::uint32_t>> m_outstanding;
    std::vector<std::uint32_t> m_target;
};

} // namespace hickorylatch::experiment

#endif
