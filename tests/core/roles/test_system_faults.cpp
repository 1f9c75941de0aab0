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
// Exchange of a client whose connection was refused. It is never answered.
constexpr auto refused_exchange = ~core::exchange_id{0};

auto numbered_name(std::string const& kind, std::uint64_t number) -> std::string
{
    return kind + "-" + std::to_string(number);
}

/// A client that resends its submission until it gets an answer.
struct client
{
    core::submission m_work;
    core::exchange_id m_exchange = 0;
    std::string m_entry;
    unsigned m_sends = 0;

    /// False if "not run" says nothing about earlier sends: without a key, each
    /// send is a separate request.
    [[nodiscard]] auto is_single_request() const -> bool
    {
        return m_sends == 1 || !m_work.m_key.empty();
    }

    core::time_point m_sent_at{0};
    bool m_is_answered = false;
    core::verdict m_verdict;
};

/// One run with a seed: load under faults of every kind, then a repair and a
/// check of the final state.
class fault_run
{
public:
    explicit fault_run(std::uint64_t seed)
        : m_seed{seed}, m_system{seed, make_plan(seed)}
    {
        m_system.m_run_time = [](std::string const& body)
        {
            return core::duration{20'000 + 997 * (body.size() % 7) * 50};
        };
        for (auto number = 0U; number < controls; ++number)
            m_system.add_control(numbered_name("control", number));
        for (auto number = 0U; number < entries; ++number)
            m_system.add_entry(numbered_name("entry", number));
        for (auto number = 0U; number < endpoints; ++number)
            m_system.add_agent(numbered_name("endpoint", number),
                               core::agent_kind::endpoint, "desk", 2);
        for (auto number = 0U; number < workers; ++number)
            m_system.add_agent(numbered_name("worker", number),
                               core::agent_kind::worker, "workers", 3);
        m_system.run_for(50ms);
        m_system.bootstrap();
    }

    auto run() -> void
    {
        for (auto round = 0U; round < rounds; ++round)
        {
            submit_load(round);
            cause_fault();
            m_system.run_for(core::duration{50'000 + random_below(300'000)});
            collect_answers();
        }
        repair();
        for (auto round = 0; round < 40 && !has_all_answers(); ++round)
        {
            m_system.run_for(1s);
            collect_answers();
            resend_unanswered();
        }
        check_final_state();
    }

private:
    static auto make_plan(std::uint64_t seed) -> fault_plan
    {
        auto chosen = fault_plan{};
        chosen.m_link_break_per_mille = seed % 3 == 0 ? 2 : 0;
        chosen.m_delay_maximum =
            seed % 5 == 0 ? core::duration{20'000} : core::duration{1'000};
        return chosen;
    }

    auto random_below(std::uint64_t below) -> std::uint64_t
    {
        return m_system.random()() % below;
    }

    auto submit_load(unsigned round) -> void
    {
        for (auto number = 0U; number < 3; ++number)
        {
            auto const name = numbered_name("r", round * 10 + number);
            auto const path = random_below(4) == 0 ? "/stock" : "/reserve";
            add(name, make_request(path, name));
        }
        if (round % 3 == 0)
        {
            auto const name = numbered_name("j", round);
            add(name, make_job(name, 1 + random_below(12)));
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
        each.m_entry = numbered_name("entry", random_below(entries));
        each.m_sent_at = m_system.now();
        if (m_system.is_alive(each.m_entry))
            each.m_exchange = m_system.submit(each.m_entry, each.m_work);
        else
            each.m_exchange = refused_exchange;
    }

    auto cause_fault() -> void
    {
        auto const control = numbered_name("control", random_below(controls));
        auto const target = random_process();
        switch (random_below(8))
        {
        case 0:
            kill_or_restart(target);
            break;
        case 1:
            kill_or_restart(control);
            break;
        case 2:
            if (auto const leader = m_system.leader(); !leader.empty())
                kill_or_restart(leader);
            break;
        case 3:
            partition(control, random_process());
            break;
        case 4:
            toggle_freeze(target);
            break;
        case 5:
            for (auto const& [one, other] : std::exchange(m_partitions, {}))
                m_system.set_partition(one, other, false);
            break;
        default:
            break;
        }
    }

    auto random_process() -> std::string
    {
        auto const number =
            random_below(controls + entries + endpoints + workers);
        if (number < controls)
            return numbered_name("control", number);
        if (number < controls + entries)
            return numbered_name("entry", number - controls);
        if (number < controls + entries + endpoints)
            return numbered_name("endpoint", number - controls - entries);
        return numbered_name("worker", number - controls - entries - endpoints);
    }

    auto kill_or_restart(std::string const& name) -> void
    {
        if (m_system.is_alive(name))
            m_system.kill(name);
        else
            m_system.restart(name);
        m_frozen.erase(name);
    }

    auto partition(std::string const& one, std::string const& other) -> void
    {
        if (one == other)
            return;
        m_system.set_partition(one, other, true);
        m_partitions.emplace(one, other);
    }

    auto toggle_freeze(std::string const& name) -> void
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

    auto collect_answers() -> void
    {
        for (auto& [name, each] : m_clients)
        {
            auto const* answer = m_system.answer(each.m_exchange);
            if (each.m_is_answered || answer == nullptr)
                continue;
            each.m_is_answered = true;
            each.m_verdict = answer->m_verdict;
            check_answer(name, each, *answer);
        }
    }

    auto check_answer(std::string const& name, client const& each,
                      hickorylatch::test::client_answer const& answer) -> void
    {
        auto const& tasks = each.m_work.m_tasks;
        auto const run = answer.m_verdict.m_run;
        BOOST_TEST_CONTEXT("seed " << m_seed << " submission " << name
                                   << " verdict " << to_string(run) << " "
                                   << to_string(answer.m_verdict.m_reason))
        {
            if (run == core::run_state::ran)
            {
                BOOST_REQUIRE_EQUAL(answer.m_answers.size(), tasks.size());
                for (auto task = std::size_t{0}; task < tasks.size(); ++task)
                    BOOST_TEST(answer.m_answers[task].m_body ==
                               "answer to " + tasks[task].m_body);
            }
            else
                BOOST_TEST(answer.m_answers.empty());
            if (run == core::run_state::not_run && each.is_single_request())
            {
                for (auto const& task : tasks)
                    BOOST_TEST(m_system.start_count(task.m_body) == 0U);
            }
        }
    }

    auto repair() -> void
    {
        for (auto const& [one, other] : std::exchange(m_partitions, {}))
            m_system.set_partition(one, other, false);
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
                auto const name = numbered_name(kind, number);
                if (number < count_of(kind) && !m_system.is_alive(name))
                    m_system.restart(name);
            }
        }
        m_system.run_for(8s);
        collect_answers();
        resend_unanswered();
    }

    static auto count_of(std::string const& kind) -> unsigned
    {
        return kind == "control"    ? controls
               : kind == "entry"    ? entries
               : kind == "endpoint" ? endpoints
                                    : workers;
    }

    /// A client without an answer resends its submission with the same key. Any
    /// answer is final.
    auto resend_unanswered() -> void
    {
        for (auto& [name, each] : m_clients)
        {
            // A running entry answers a request within 5.5 s.
            if (!each.m_is_answered && m_system.now() > each.m_sent_at + 6s)
                send(each);
        }
    }

    [[nodiscard]] auto has_all_answers() const -> bool
    {
        return std::ranges::all_of(m_clients,
                                   [](auto const& entry)
                                   {
                                       return entry.second.m_is_answered;
                                   });
    }

    auto check_final_state() -> void
    {
        m_system.run_for(15s);
        auto const leader = m_system.leader();
        BOOST_REQUIRE_MESSAGE(!leader.empty(), "no leader, seed " << m_seed);
        auto const* coordinator =
            m_system.node(leader).m_control->active_coordinator();
        BOOST_TEST_CONTEXT("seed " << m_seed)
        {
            BOOST_TEST(coordinator->live_submissions().size() == 0U);
            BOOST_TEST(coordinator->task_dispatcher().running("desk") == 0U);
            BOOST_TEST(coordinator->task_dispatcher().running("workers") == 0U);
            BOOST_TEST(coordinator->task_dispatcher().queued("desk") == 0U);
            BOOST_TEST(coordinator->task_dispatcher().queued("workers") == 0U);
        }
        for (auto const& [name, each] : m_clients)
        {
            auto const is_idempotent = each.m_work.m_path == "/stock";
            BOOST_TEST_CONTEXT("seed " << m_seed << " submission " << name
                                       << " reason "
                                       << to_string(each.m_verdict.m_reason)
                                       << " sends " << each.m_sends)
            {
                BOOST_TEST(each.m_is_answered);
                for (auto const& task : each.m_work.m_tasks)
                {
                    auto const starts = m_system.start_count(task.m_body);
                    if (!is_idempotent)
                        BOOST_TEST(starts <= 1U);
                    if (each.m_verdict.m_run == core::run_state::not_run &&
                        each.is_single_request())
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
    std::set<std::pair<std::string, std::string>> m_partitions;
    std::set<std::string> m_frozen;
};

auto seed_count() -> std::uint64_t
{
    auto const* value = std::getenv("HICKORYLATCH_FAULT_SEEDS");
    return value == nullptr ? 100 : std::strtoull(value, nullptr, 10);
}

auto first_seed() -> std::uint64_t
{
    auto const* value = std::getenv("HICKORYLATCH_FIRST_SEED");
    return value == nullptr ? 1 : std::strtoull(value, nullptr, 10);
}

} // namespace

// Guards against tasks that start twice, lost acceptances, partial or wrong
// answers and a false "not run" when processes are killed or frozen, the
// network is partitioned and messages are lost.
BOOST_AUTO_TEST_CASE(submissions_survive_faults)
{
    for (auto seed = first_seed(); seed < first_seed() + seed_count(); ++seed)
        fault_run{seed}.run();
}
