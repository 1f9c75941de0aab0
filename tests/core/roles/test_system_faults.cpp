#include "core/roles/fake_system.hpp"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <map>
#include <memory>
#include <string>

namespace core = hickorylatch::core;
using hickorylatch::test::fake_system;
using hickorylatch::test::fault_plan;
using hickorylatch::test::make_job;
using hickorylatch::test::make_request;
using namespace std::chrono_literals;

namespace
{

constexpr auto controls = 3U;
constexpr auto entries = 2U;
constexpr auto endpoints = 3U;
constexpr auto workers = 3U;
constexpr auto rounds = 40U;
// Never answered: the client's connection was refused.
constexpr auto lost_exchange = ~core::exchange_id{0};

auto numbered(std::string const& kind, std::uint64_t number) -> std::string
{
    return kind + "-" + std::to_string(number);
}

/// One client's view of a submission that it repeats until it is answered.
struct client
{
    core::submission m_work;
    core::exchange_id m_exchange = 0;
    std::string m_entry;
    unsigned m_sends = 0;

    /// Without a key, each send is a request of its own, and "not run" speaks
    /// of the last one only.
    [[nodiscard]] auto is_one_request() const -> bool
    {
        return m_sends == 1 || !m_work.m_key.empty();
    }

    core::time_point m_sent_at{0};
    bool m_is_final = false;
    core::verdict m_verdict;
};

/// One seeded run: a load, faults of every kind, then a repaired system.
class fault_run
{
public:
    explicit fault_run(std::uint64_t seed)
        : m_seed{seed}, m_system{seed, plan(seed)}
    {
        m_system.m_run_time = [](std::string const& body)
        {
            return core::duration{20'000 + 997 * (body.size() % 7) * 50};
        };
        for (auto number = 0U; number < controls; ++number)
            m_system.add_control(numbered("control", number));
        for (auto number = 0U; number < entries; ++number)
            m_system.add_entry(numbered("entry", number));
        for (auto number = 0U; number < endpoints; ++number)
            m_system.add_agent(numbered("endpoint", number),
                               core::agent_kind::endpoint, "desk", 2);
        for (auto number = 0U; number < workers; ++number)
            m_system.add_agent(numbered("worker", number),
                               core::agent_kind::worker, "workers", 3);
        m_system.run_for(50ms);
        m_system.found();
    }

    auto run() -> void
    {
        for (auto round = 0U; round < rounds; ++round)
        {
            submit_some(round);
            cause_fault();
            m_system.run_for(core::duration{50'000 + pick(300'000)});
            look_at_answers();
        }
        repair();
        for (auto round = 0; round < 40 && !is_done(); ++round)
        {
            m_system.run_for(1s);
            look_at_answers();
            resend_all();
        }
        check_end();
    }

private:
    static auto plan(std::uint64_t seed) -> fault_plan
    {
        auto chosen = fault_plan{};
        chosen.m_break_per_mille = seed % 3 == 0 ? 2 : 0;
        chosen.m_delay_maximum =
            seed % 5 == 0 ? core::duration{20'000} : core::duration{1'000};
        return chosen;
    }

    auto pick(std::uint64_t below) -> std::uint64_t
    {
        return m_system.random()() % below;
    }

    auto submit_some(unsigned round) -> void
    {
        for (auto number = 0U; number < 3; ++number)
        {
            auto const name = numbered("r", round * 10 + number);
            auto const path = pick(4) == 0 ? "/stock" : "/reserve";
            add(name, make_request(path, name));
        }
        if (round % 3 == 0)
        {
            auto const name = numbered("j", round);
            add(name, make_job(name, 1 + pick(12)));
        }
    }

    auto add(std::string const& name, core::submission work) -> void
    {
        auto& added = m_clients[name];
        added.m_work = std::move(work);
        if (added.m_work.m_kind == core::submission_kind::request)
            added.m_work.m_deadline_ms = 5'000;
        send(added);
    }

    auto send(client& each) -> void
    {
        each.m_work.m_is_first_submission = ++each.m_sends == 1;
        each.m_entry = numbered("entry", pick(entries));
        each.m_sent_at = m_system.now();
        if (m_system.is_alive(each.m_entry))
            each.m_exchange = m_system.submit(each.m_entry, each.m_work);
        else
            each.m_exchange = lost_exchange;
    }

    auto cause_fault() -> void
    {
        auto const control = numbered("control", pick(controls));
        auto const victim = any_process();
        switch (pick(8))
        {
        case 0:
            toggle(victim);
            break;
        case 1:
            toggle(control);
            break;
        case 2:
            if (auto const leader = m_system.leader(); !leader.empty())
                toggle(leader);
            break;
        case 3:
            cut(control, any_process());
            break;
        case 4:
            freeze(victim);
            break;
        case 5:
            for (auto const& [one, other] : std::exchange(m_cuts, {}))
                m_system.cut(one, other, false);
            break;
        default:
            break;
        }
    }

    auto any_process() -> std::string
    {
        auto const number = pick(controls + entries + endpoints + workers);
        if (number < controls)
            return numbered("control", number);
        if (number < controls + entries)
            return numbered("entry", number - controls);
        if (number < controls + entries + endpoints)
            return numbered("endpoint", number - controls - entries);
        return numbered("worker", number - controls - entries - endpoints);
    }

    auto toggle(std::string const& name) -> void
    {
        if (m_system.is_alive(name))
            m_system.kill(name);
        else
            m_system.restart(name);
        m_frozen.erase(name);
    }

    auto cut(std::string const& one, std::string const& other) -> void
    {
        if (one == other)
            return;
        m_system.cut(one, other, true);
        m_cuts.emplace(one, other);
    }

    auto freeze(std::string const& name) -> void
    {
        if (!m_system.is_alive(name))
            return;
        auto const is_frozen = m_frozen.contains(name);
        m_system.freeze(name, !is_frozen);
        if (is_frozen)
            m_frozen.erase(name);
        else
            m_frozen.insert(name);
    }

    auto look_at_answers() -> void
    {
        for (auto& [name, each] : m_clients)
        {
            auto const* told = m_system.answer(each.m_exchange);
            if (each.m_is_final || told == nullptr)
                continue;
            each.m_is_final = true;
            each.m_verdict = told->m_verdict;
            check_answer(name, each, *told);
        }
    }

    auto check_answer(std::string const& name, client const& each,
                      hickorylatch::test::told const& told) -> void
    {
        auto const& tasks = each.m_work.m_tasks;
        auto const run = told.m_verdict.m_run;
        BOOST_TEST_CONTEXT("seed " << m_seed << " submission " << name
                                   << " verdict " << to_string(run) << " "
                                   << to_string(told.m_verdict.m_reason))
        {
            if (run == core::run_state::ran)
            {
                BOOST_REQUIRE_EQUAL(told.m_answers.size(), tasks.size());
                for (auto task = std::size_t{0}; task < tasks.size(); ++task)
                    BOOST_TEST(told.m_answers[task].m_body ==
                               "answer to " + tasks[task].m_body);
            }
            else
                BOOST_TEST(told.m_answers.empty());
            if (run == core::run_state::not_run && each.is_one_request())
            {
                for (auto const& task : tasks)
                    BOOST_TEST(m_system.starts(task.m_body) == 0U);
            }
        }
    }

    auto repair() -> void
    {
        for (auto const& [one, other] : std::exchange(m_cuts, {}))
            m_system.cut(one, other, false);
        for (auto const& name : std::exchange(m_frozen, {}))
        {
            if (m_system.is_alive(name))
                m_system.freeze(name, false);
        }
        for (auto number = 0U;
             number < std::max({controls, entries, endpoints, workers});
             ++number)
        {
            for (auto const* kind : {"control", "entry", "endpoint", "worker"})
            {
                auto const name = numbered(kind, number);
                if (number < count_of(kind) && !m_system.is_alive(name))
                    m_system.restart(name);
            }
        }
        m_system.run_for(8s);
        look_at_answers();
        resend_all();
    }

    static auto count_of(std::string const& kind) -> unsigned
    {
        return kind == "control"    ? controls
               : kind == "entry"    ? entries
               : kind == "endpoint" ? endpoints
                                    : workers;
    }

    /// A client that lost its answer asks again with the same key. It gives up
    /// after an outcome that may have run or is complete.
    auto resend_all() -> void
    {
        for (auto& [name, each] : m_clients)
        {
            // An entry that lives answers a request after 5.5 s at the latest.
            if (!each.m_is_final && m_system.now() > each.m_sent_at + 6s)
                send(each);
        }
    }

    [[nodiscard]] auto is_done() const -> bool
    {
        return std::ranges::all_of(m_clients,
                                   [](auto const& entry)
                                   {
                                       return entry.second.m_is_final;
                                   });
    }

    auto check_end() -> void
    {
        m_system.run_for(15s);
        auto const leader = m_system.leader();
        BOOST_REQUIRE_MESSAGE(!leader.empty(), "no leader, seed " << m_seed);
        auto const* work = m_system.node(leader).m_control->leader_work();
        BOOST_TEST_CONTEXT("seed " << m_seed)
        {
            BOOST_TEST(work->live().size() == 0U);
            BOOST_TEST(work->work().running("desk") == 0U);
            BOOST_TEST(work->work().running("workers") == 0U);
            BOOST_TEST(work->work().queued("desk") == 0U);
            BOOST_TEST(work->work().queued("workers") == 0U);
        }
        for (auto const& [name, each] : m_clients)
        {
            auto const is_idempotent = each.m_work.m_path == "/stock";
            BOOST_TEST_CONTEXT("seed " << m_seed << " submission " << name
                                       << " reason "
                                       << to_string(each.m_verdict.m_reason)
                                       << " sends " << each.m_sends)
            {
                BOOST_TEST(each.m_is_final);
                for (auto const& task : each.m_work.m_tasks)
                {
                    auto const starts = m_system.starts(task.m_body);
                    if (!is_idempotent)
                        BOOST_TEST(starts <= 1U);
                    if (each.m_verdict.m_run == core::run_state::not_run &&
                        each.is_one_request())
                        BOOST_TEST(starts == 0U);
                    if (each.m_verdict.m_run == core::run_state::ran)
                        BOOST_TEST(starts >= 1U);
                }
            }
        }
    }

    std::uint64_t m_seed;
    fake_system m_system;
    std::map<std::string, client> m_clients;
    std::set<std::pair<std::string, std::string>> m_cuts;
    std::set<std::string> m_frozen;
};

auto seeds() -> std::uint64_t
{
    auto const* wanted = std::getenv("HICKORYLATCH_FAULT_SEEDS");
    return wanted == nullptr ? 100 : std::strtoull(wanted, nullptr, 10);
}

auto first_seed() -> std::uint64_t
{
    auto const* wanted = std::getenv("HICKORYLATCH_FIRST_SEED");
    return wanted == nullptr ? 1 : std::strtoull(wanted, nullptr, 10);
}

} // namespace

// Guards against a double start, a lost acceptance, a partial or foreign
// answer and an untrue "not run" under kills, cuts, freezes and lost messages.
BOOST_AUTO_TEST_CASE(submissions_survive_faults)
{
    for (auto seed = first_seed(); seed < first_seed() + seeds(); ++seed)
        fault_run{seed}.run();
}
