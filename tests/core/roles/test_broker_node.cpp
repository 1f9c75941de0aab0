#include "core/roles/node.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace core = hickorylatch::core;

using std::chrono::seconds;

namespace
{

auto answers(core::effects const& out) -> std::ptrdiff_t
{
    return std::ranges::count_if(
        out,
        [](core::effect const& each)
        {
            return std::holds_alternative<core::answer_job>(each);
        });
}

auto has_exit(core::effects const& out) -> bool
{
    return std::ranges::any_of(
        out,
        [](core::effect const& each)
        {
            return std::holds_alternative<core::exit_process>(each);
        });
}

auto closes_idle_callers(core::effects const& out) -> bool
{
    return std::ranges::any_of(
        out,
        [](core::effect const& each)
        {
            return std::holds_alternative<core::close_idle_callers>(each);
        });
}

} // namespace

// Guards against a request that arrives on an open connection while the process
// exits, and is not answered.
BOOST_AUTO_TEST_CASE(a_job_after_the_exit_is_refused)
{
    auto node = core::node{};
    node.m_id = core::node_id{1};
    node.m_broker.emplace(core::broker_settings{});
    auto out = core::effects{};
    core::reduce(node, seconds{1}, core::started{7}, out);
    core::reduce(node, seconds{1}, core::stop_requested{}, out);
    BOOST_TEST(!has_exit(out));
    // Before the exit, idle connections are closed, so that callers connect to
    // another process.
    core::reduce(node, std::chrono::milliseconds{3'300}, core::timer_fired{},
                 out);
    BOOST_TEST(closes_idle_callers(out));
    BOOST_TEST(!has_exit(out));
    core::reduce(node, seconds{10}, core::timer_fired{}, out);
    BOOST_TEST(has_exit(out));
    out.clear();
    auto request = core::job_arrived{};
    request.m_exchange = 5;
    core::reduce(node, seconds{11}, request, out);
    BOOST_TEST(answers(out) == 1);
    BOOST_TEST(!has_exit(out));
}

// Guards against a process that keeps connecting to its old seeds after they
// were replaced while none of them could be reached.
BOOST_AUTO_TEST_CASE(changed_seeds_are_connected)
{
    auto node = core::node{};
    node.m_id = core::node_id{1};
    node.m_broker.emplace(core::broker_settings{"edge-1", {"10.0.0.1:1"}});
    auto out = core::effects{};
    core::reduce(node, seconds{1}, core::started{7}, out);
    core::reduce(node, seconds{2}, core::seeds_changed{{"10.0.0.2:1"}}, out);
    auto const links = std::ranges::find_if(
        out,
        [](core::effect const& each)
        {
            return std::holds_alternative<core::keep_links>(each);
        });
    BOOST_REQUIRE(links != out.end());
    BOOST_TEST(std::get<core::keep_links>(*links).m_addresses ==
                   std::vector<std::string>{"10.0.0.2:1"},
               boost::test_tools::per_element());
}
