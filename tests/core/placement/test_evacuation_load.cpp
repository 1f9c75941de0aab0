#include "core/placement/placement_world.hpp"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <cstdint>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace core = hickorylatch::core;

using hickorylatch::test::make_job;
using hickorylatch::test::placement_world;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

enum class domain_state : std::uint8_t
{
    kept,
    evacuated, ///< From the second to the fourth second of the load.
    missing    ///< Its workers never existed.
};

/// Outcomes of the jobs that arrive from the second to the fourth second of a
/// load.
struct domain_load
{
    unsigned m_offered = 0;
    unsigned m_in_time = 0;
    unsigned m_refused = 0;
    /// Jobs that arrived within 500 ms after the evacuation and were refused.
    unsigned m_refused_at_first = 0;
};

/// Submits jobs of two tasks of 100 ms for six seconds, at 0.7 times the
/// capacity of `domains` failure domains with two workers each. The state is
/// that of the first domain.
auto add_load(domain_load& total, unsigned seed, unsigned domains,
              domain_state state) -> void
{
    auto world = placement_world{seed};
    auto entries = std::vector<std::string>{};
    for (auto number = 0U; number < 4; ++number)
    {
        entries.push_back("e" + std::to_string(number));
        world.add_entry(entries.back(), "d" + std::to_string(number % domains));
    }
    for (auto number = state == domain_state::missing ? 2U : 0U;
         number < domains * 2; ++number)
        world.add_worker("w" + std::to_string(number), {}, {},
                         "d" + std::to_string(number / 2));
    world.configure(1, milliseconds{60});
    world.run_for(seconds{1});
    constexpr auto objective = milliseconds{220};
    auto engine = std::mt19937_64{seed};
    auto interval =
        std::exponential_distribution<double>{domains * 2 * 10 / 0.1 / 2 * 0.7};
    auto error = std::normal_distribution<double>{0.0, 0.4};
    auto jobs = std::vector<std::pair<core::time_point, core::exchange_id>>{};
    auto const start = world.now();
    auto stage = 0;
    while (world.now() < start + seconds{6})
    {
        world.run_for(microseconds{static_cast<int>(interval(engine) * 1e6)});
        if (state == domain_state::evacuated && stage == 0 &&
            world.now() >= start + seconds{2})
        {
            ++stage;
            world.evacuate({5, {"d0"}}, {"e0", "e1"});
        }
        if (state == domain_state::evacuated && stage == 1 &&
            world.now() >= start + seconds{4})
        {
            ++stage;
            world.evacuate({6, {}}, {"e0", "e1"});
        }
        auto const number = std::to_string(jobs.size());
        auto const declared =
            microseconds{static_cast<int>(100'000 * std::exp(error(engine)))};
        jobs.emplace_back(
            world.now(),
            world.submit(entries[jobs.size() % entries.size()], "normal",
                         make_job("j" + number, 2, declared, milliseconds{100}),
                         seconds{3}));
    }
    world.run_for(seconds{5});
    for (auto const& [sent_at, job] : jobs)
    {
        if (sent_at < start + seconds{2} || sent_at >= start + seconds{4})
            continue;
        ++total.m_offered;
        auto const* answer = world.answer(job);
        BOOST_REQUIRE(answer != nullptr);
        auto const is_refused = answer->m_verdict.m_run != core::run_state::ran;
        total.m_refused += is_refused ? 1 : 0;
        if (is_refused && sent_at < start + milliseconds{2'500})
            ++total.m_refused_at_first;
        if (!is_refused && answer->m_age <= objective)
            ++total.m_in_time;
    }
    BOOST_TEST(world.overloads() == 0U);
    BOOST_TEST(world.double_runs() == 0U);
}

auto run_domains(unsigned domains, domain_state state) -> domain_load
{
    auto result = domain_load{};
    for (auto seed = 1U; seed <= 8; ++seed)
        add_load(result, seed, domains, state);
    BOOST_TEST_MESSAGE(
        "one of " << domains << " domains "
                  << (state == domain_state::missing     ? "missing"
                      : state == domain_state::evacuated ? "evacuated"
                                                         : "kept")
                  << ": offered " << result.m_offered << ", in time "
                  << result.m_in_time << ", refused " << result.m_refused
                  << ", in the first 500 ms " << result.m_refused_at_first);
    return result;
}

} // namespace

// Guards against a burst of refusals when the load of the domain moves to the
// others. One of four domains leaves a load of 0.93, one of three a load of
// 1.05, which can't all be served: that one is compared with a deployment that
// never had the domain.
BOOST_AUTO_TEST_CASE(an_evacuation_at_a_load_of_0_7_causes_no_burst_of_refusals)
{
    auto const kept = run_domains(4, domain_state::kept);
    BOOST_TEST(kept.m_refused <= kept.m_offered / 100);
    for (auto const domains : {4U, 3U})
    {
        auto const evacuated = run_domains(domains, domain_state::evacuated);
        auto const missing = run_domains(domains, domain_state::missing);
        auto const margin = evacuated.m_offered / 100;
        BOOST_TEST(evacuated.m_refused <= missing.m_refused + margin);
        BOOST_TEST(evacuated.m_refused_at_first <=
                   missing.m_refused_at_first + margin);
        BOOST_TEST(evacuated.m_in_time + margin >= missing.m_in_time);
    }
}
