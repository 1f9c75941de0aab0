#include "core/roles/pending_operations.hpp"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <optional>
#include <variant>

namespace core = hickorylatch::core;

using std::chrono::milliseconds;

namespace
{

constexpr auto now = core::time_point{milliseconds{1'000}};
constexpr auto first_leader = core::node_id{71};
constexpr auto second_leader = core::node_id{72};

/// A replica that does not lead and has one operation to forward.
struct follower
{
    explicit follower(core::operation const& requested = core::post_job{{}, {}})
    {
        BOOST_REQUIRE(m_pending.add(now, {core::node_id{5}, 1}, requested));
    }

    /// Number of the operation if it was sent to this leader.
    auto forward_to(core::node_id leader) -> std::optional<std::uint64_t>
    {
        auto out = core::effects{};
        auto const done =
            m_pending.advance(now, m_log, m_state, false, leader, nullptr, out);
        BOOST_TEST(done.empty());
        for (auto const& each : out)
            if (auto const* sent = std::get_if<core::send>(&each);
                sent != nullptr && sent->m_to == leader)
                return std::get<core::operate>(sent->m_message).m_sequence;
        return std::nullopt;
    }

    core::pending_operations m_pending;
    core::replica m_log{core::replica_settings{}, core::recovered_state{}};
    core::control_state m_state;
};

} // namespace

// Guards against "not run" for a durable job that an earlier leader accepted:
// the refusal by the next one does not speak for the first.
BOOST_AUTO_TEST_CASE(a_refusal_speaks_only_for_the_leader_that_was_asked)
{
    for (auto const is_sent_twice : {false, true})
    {
        auto replica = follower{};
        auto number = replica.forward_to(first_leader);
        if (is_sent_twice)
        {
            replica.m_pending.link_changed(first_leader);
            number = replica.forward_to(second_leader);
        }
        BOOST_REQUIRE(number.has_value());
        auto result = core::operate_result{};
        result.m_sequence = *number;
        result.m_verdict = core::refused(core::reason::queue_full);
        auto const done = replica.m_pending.handle_result(result);
        BOOST_REQUIRE(done.has_value());
        BOOST_TEST((done->m_result.m_verdict.m_run ==
                    (is_sent_twice ? core::run_state::may_have_run
                                   : core::run_state::not_run)));
    }
}

// Guards against a committed evacuation that a replica, which has lost the
// leader's answer, forwards to the next leader: it would be applied again after
// the operator has restored the domain.
BOOST_AUTO_TEST_CASE(a_committed_evacuation_is_not_forwarded_again)
{
    auto replica = follower{core::set_evacuation{"klang", true, 9}};
    BOOST_TEST(replica.forward_to(first_leader).has_value());
    replica.m_pending.link_changed(first_leader);
    replica.m_state.apply({1, 1, core::set_evacuation{"klang", true, 9}});
    replica.m_state.apply({2, 1, core::set_evacuation{"klang", false, 10}});
    auto out = core::effects{};
    auto const done =
        replica.m_pending.advance(now, replica.m_log, replica.m_state, false,
                                  second_leader, nullptr, out);
    BOOST_TEST(out.empty());
    BOOST_REQUIRE(done.size() == 1U);
    BOOST_TEST((done[0].m_result.m_verdict.m_run == core::run_state::ran));
}
