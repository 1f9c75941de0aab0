#include "core/replication/election.hpp"

namespace hickorylatch::core
{

election::election(duration minimum, duration maximum)
    : m_minimum{minimum}, m_maximum{maximum}
{
}

auto election::start(time_point now, std::uint64_t seed) -> void
{
    auto mixed = std::seed_seq{static_cast<std::uint32_t>(seed),
                               static_cast<std::uint32_t>(seed >> 32U)};
    m_random.seed(mixed);
    if (m_first_maximum > duration{0})
        return restart_timer(now);
    // A restarted replica does not know when it last had contact with a
    // leader, so it grants no vote until a healthy leader would have sent it a
    // message.
    record_leader_contact(now);
}

auto election::set_first_timeout(duration minimum, duration maximum) -> void
{
    m_first_minimum = minimum;
    m_first_maximum = maximum;
}

auto election::record_leader_contact(time_point now) -> void
{
    m_has_had_leader_contact = true;
    m_withhold_votes_until = now + m_minimum;
    end_round();
    restart_timer(now);
}

auto election::restart_timer(time_point now) -> void
{
    m_deadline = now + draw_timeout();
}

auto election::expire_timer(time_point now) -> void
{
    m_deadline = now;
}

auto election::begin_round(time_point now, election_phase phase) -> void
{
    m_phase = phase;
    m_round_start = now;
    m_granted_by.clear();
    // A split vote is retried after a shorter time than the loss of a leader is
    // assumed, or two rounds would not fit into the 2 s that a replacement of
    // the leader may take.
    m_deadline = now + (phase == election_phase::voting ? draw_timeout() / 4
                                                        : draw_timeout());
}

auto election::end_round() -> void
{
    m_phase = election_phase::idle;
    m_granted_by.clear();
}

auto election::record_vote(node_id voter) -> void
{
    m_granted_by.insert(voter);
}

auto election::has_vote_from(node_id voter) const -> bool
{
    return m_granted_by.contains(voter);
}

auto election::is_won(std::span<member const> members) const -> bool
{
    return quorum_value(members,
                        [this](node_id node)
                        {
                            return static_cast<int>(has_vote_from(node));
                        }) == 1;
}

auto election::phase() const -> election_phase
{
    return m_phase;
}

auto election::round_start() const -> time_point
{
    return m_round_start;
}

auto election::deadline() const -> time_point
{
    return m_deadline;
}

auto election::withholds_votes(time_point now) const -> bool
{
    return now < m_withhold_votes_until;
}

auto election::draw_timeout() -> duration
{
    auto const is_first =
        !m_has_had_leader_contact && m_first_maximum > duration{0};
    return duration{std::uniform_int_distribution<duration::rep>{
        (is_first ? m_first_minimum : m_minimum).count(),
        (is_first ? m_first_maximum : m_maximum).count()}(m_random)};
}

} // namespace hickorylatch::core
