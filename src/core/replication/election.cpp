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
        return postpone(now);
    // A restarted replica does not know whom it heard last, so it gives no
    // vote before it would have heard a healthy leader.
    heard_leader(now);
}

auto election::hasten_first(duration minimum, duration maximum) -> void
{
    m_first_minimum = minimum;
    m_first_maximum = maximum;
}

auto election::heard_leader(time_point now) -> void
{
    m_has_heard_leader = true;
    m_quiet_until = now + m_minimum;
    stop();
    postpone(now);
}

auto election::postpone(time_point now) -> void
{
    m_deadline = now + draw();
}

auto election::expire(time_point now) -> void
{
    m_deadline = now;
}

auto election::begin(time_point now, election_phase phase) -> void
{
    m_phase = phase;
    m_round = now;
    m_granted.clear();
    // A split vote is retried sooner than silence is taken for a lost leader,
    // or two rounds would not fit into the 2 s a replacement may take.
    m_deadline = now + (phase == election_phase::voting ? draw() / 4 : draw());
}

auto election::stop() -> void
{
    m_phase = election_phase::idle;
    m_granted.clear();
}

auto election::grant(node_id voter) -> void
{
    m_granted.insert(voter);
}

auto election::has_granted(node_id voter) const -> bool
{
    return m_granted.contains(voter);
}

auto election::is_won(std::span<member const> members) const -> bool
{
    return quorum_value(members,
                        [this](node_id node)
                        {
                            return static_cast<int>(has_granted(node));
                        }) == 1;
}

auto election::phase() const -> election_phase
{
    return m_phase;
}

auto election::round() const -> time_point
{
    return m_round;
}

auto election::deadline() const -> time_point
{
    return m_deadline;
}

auto election::is_quiet(time_point now) const -> bool
{
    return now < m_quiet_until;
}

auto election::draw() -> duration
{
    auto const is_first = !m_has_heard_leader && m_first_maximum > duration{0};
    return duration{std::uniform_int_distribution<duration::rep>{
        (is_first ? m_first_minimum : m_minimum).count(),
        (is_first ? m_first_maximum : m_maximum).count()}(m_random)};
}

} // namespace hickorylatch::core
