#include "core/dispatch/dispatcher_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <random>

using namespace hickorylatch::core;

namespace
{

/// Reference implementation with linear search. Covers one customer, no aging
/// because the run is short, and no learned run times.
struct model
{
    std::vector<work_item> m_queue;
    std::map<attempt_id, node_id> m_running;
    std::map<node_id, std::uint32_t> m_slots;

    auto free_slots(node_id node) const -> std::int64_t
    {
        auto const slots = m_slots.find(node);
        if (slots == m_slots.end())
            return 0;
        return std::int64_t{slots->second} -
               std::ranges::count_if(m_running,
                                     [node](auto const& entry)
                                     {
                                         return entry.second == node;
                                     });
    }

    auto has_free_slot() const -> bool
    {
        return std::ranges::any_of(m_slots,
                                   [this](auto const& entry)
                                   {
                                       return free_slots(entry.first) > 0;
                                   });
    }

    auto take_first() -> attempt_id
    {
        auto const first =
            std::ranges::max_element(m_queue, {}, &work_item::m_priority);
        auto const attempt = first->m_attempt;
        m_queue.erase(first);
        return attempt;
    }
};

struct model_fixture : dispatcher_fixture
{
    auto enqueue() -> void
    {
        auto item = request(++m_last, static_cast<priority>(m_random() % 10));
        if (m_random() % 4 == 0)
            item.m_deadline = m_now + duration{1 + m_random() % 300'000};
        auto const refusal = add(item);
        BOOST_REQUIRE(!refusal || refusal->m_reason == reason::deadline);
        if (!refusal)
            m_model.m_queue.push_back(item);
    }

    auto expire() -> void
    {
        auto expected = std::vector<attempt_id>{};
        std::erase_if(m_model.m_queue,
                      [&](work_item const& item)
                      {
                          if (item.m_deadline > m_now)
                              return false;
                          expected.push_back(item.m_attempt);
                          return true;
                      });
        auto expired = m_dispatcher.expire(m_now);
        std::ranges::sort(expired);
        std::ranges::sort(expected);
        BOOST_REQUIRE(expired == expected);
    }

    auto bind_all() -> void
    {
        while (auto const bound = m_dispatcher.bind_next(m_now))
        {
            BOOST_REQUIRE(!m_model.m_queue.empty());
            BOOST_REQUIRE(m_model.free_slots(bound->m_agent) > 0);
            BOOST_REQUIRE((m_model.take_first() == bound->m_attempt));
            m_model.m_running.emplace(bound->m_attempt, bound->m_agent);
        }
        BOOST_REQUIRE((m_model.m_queue.empty() || !m_model.has_free_slot()));
    }

    auto finish_one() -> void
    {
        if (m_model.m_running.empty())
            return;
        auto at = m_model.m_running.begin();
        std::advance(at, m_random() % m_model.m_running.size());
        m_dispatcher.finish(m_now, at->first, attempt_outcome::stopped);
        m_model.m_running.erase(at);
    }

    auto withdraw_one() -> void
    {
        auto const attempt = attempt_id{
            volatile_submission_bit,
            static_cast<std::uint32_t>(1 + m_random() % (m_last + 1))};
        auto const count = std::erase_if(m_model.m_queue,
                                         [&](work_item const& item)
                                         {
                                             return item.m_attempt == attempt;
                                         });
        BOOST_REQUIRE(m_dispatcher.withdraw(attempt) == (count == 1));
    }

    auto change_agent() -> void
    {
        auto const node = 1 + m_random() % 4;
        if (m_model.m_slots.erase(node_id{node}) == 0)
        {
            auto const slots = static_cast<std::uint32_t>(1 + m_random() % 5);
            add_endpoint(node, slots);
            m_model.m_slots[node_id{node}] = slots;
            return;
        }
        auto const lost = m_dispatcher.remove_agent(node_id{node});
        auto const count =
            std::erase_if(m_model.m_running,
                          [node](auto const& entry)
                          {
                              return entry.second == node_id{node};
                          });
        BOOST_REQUIRE(lost.size() == count);
    }

    std::mt19937_64 m_random;
    std::uint32_t m_last = 0;
    model m_model;
};

} // namespace

// Guards against differences from the reference model: lost or duplicated
// items, wrong order, wrong counts, a free slot left idle.
BOOST_AUTO_TEST_CASE(dispatcher_agrees_with_reference_model)
{
    for (auto seed = 1U; seed <= 200; ++seed)
    {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            auto run = model_fixture{};
            run.m_random.seed(seed);
            for (auto step = 0; step < 400; ++step)
            {
                run.m_now += duration{run.m_random() % 5'000};
                auto const kind = run.m_random() % 20;
                if (kind < 9)
                    run.enqueue();
                else if (kind < 16)
                    run.finish_one();
                else if (kind < 19)
                    run.withdraw_one();
                else
                    run.change_agent();
                run.expire();
                run.bind_all();
                BOOST_REQUIRE(run.m_dispatcher.queued("desk") ==
                              run.m_model.m_queue.size());
                BOOST_REQUIRE(run.m_dispatcher.running("desk") ==
                              run.m_model.m_running.size());
            }
        }
    }
}
