#include "core/replication/replica.hpp"

#include "core/replication/membership.hpp"

#include <algorithm>
#include <utility>

namespace hickorylatch::core
{

replica::replica(replica_settings settings, recovered_state recovered)
    : m_settings{settings}, m_identity{recovered.m_identity}, m_log{std::move(
                                                                  recovered)},
      m_election{settings.m_election_minimum, settings.m_election_maximum},
      m_replication{{settings.m_heartbeat_interval, settings.m_quorum_timeout,
                     settings.m_snapshot_part_bytes}},
      m_commit_index{m_log.first_index() - 1}, m_delivered_index{m_commit_index}
{
}

auto replica::start(time_point now, std::uint64_t seed, effects& out) -> void
{
    m_election.set_first_timeout(m_settings.m_first_election_minimum,
                                 m_settings.m_first_election_maximum);
    m_election.start(now, seed);
    if (is_sole_voter(members(), m_identity))
        m_election.expire_timer(now);
    tick(now, out);
}

auto replica::tick(time_point now, effects& out) -> void
{
    check_quorum(now);
    if (may_campaign() && now >= m_election.deadline())
        begin_pre_vote(now, out);
    flush(now, out);
}

auto replica::receive(time_point now, node_id from, message const& incoming,
                      effects& out) -> void
{
    check_quorum(now);
    std::visit(
        [&](auto const& each)
        {
            if constexpr (requires { handle(now, from, each, out); })
                handle(now, from, each, out);
        },
        incoming);
    flush(now, out);
}

auto replica::synced(time_point now, std::uint64_t write, effects& out) -> void
{
    m_log.synced(write);
    for (auto& deferred : std::exchange(m_deferred_messages, {}))
        send_after(deferred.m_write, deferred.m_to,
                   std::move(deferred.m_message), out);
    if (m_election.phase() == election_phase::voting &&
        m_log.is_synced(m_log.hard_state_write()))
        count_vote(now, m_identity, out);
    m_snapshots.save_received(m_log, out);
    check_quorum(now);
    advance_commit(now);
    flush(now, out);
}

auto replica::propose(command proposed) -> std::optional<log_index>
{
    if (!m_is_leader)
        return std::nullopt;
    auto const* change = std::get_if<change_membership>(&proposed);
    auto const is_change = change != nullptr;
    if (is_change && !check_members(change->m_members).empty())
        return std::nullopt;
    auto const index = m_log.last_index() + 1;
    m_log.append({index, term(), std::move(proposed)});
    if (is_change)
        m_replication.update_members(members(), m_identity, index - 1);
    return index;
}

auto replica::check_members(std::span<member const> proposed) const
    -> std::string_view
{
    if (!m_is_leader)
        return "this replica does not lead";
    // Before its first commit a leader can't know whether an earlier change
    // is committed; the majorities of two changes at once need not overlap.
    if (m_commit_index < m_term_start_index)
        return "the leader has not committed anything in its term yet";
    if (m_log.membership_index() > m_commit_index)
        return "the last change of the membership is not committed yet";
    for (auto const& each : proposed)
    {
        if (!each.m_votes || is_voter(members(), each.m_node))
            continue;
        if (!is_member(members(), each.m_node))
            return "a new voter has to be a learner first";
        // It has to hold the entry that makes it a member, or it would not
        // vote.
        auto const match = m_replication.match_index(each.m_node);
        if (match < std::max(m_log.membership_index(), log_index{1}) ||
            match + m_settings.m_promotion_lag_limit < m_commit_index)
            return "the learner does not hold the state yet";
    }
    return check_membership_change(members(), proposed);
}

auto replica::flush(time_point now, effects& out) -> void
{
    if (std::exchange(m_has_installed_snapshot, false))
        finish_installation(now, out);
    if (m_is_leader)
        m_replication.send_due(now, m_log, m_commit_index, out);
    if (auto write = m_log.take_write())
        out.emplace_back(std::move(*write));
}

auto replica::take_committed() -> std::vector<log_entry>
{
    auto taken = std::vector<log_entry>{};
    while (m_delivered_index < m_commit_index)
        taken.push_back(m_log.at(++m_delivered_index));
    return taken;
}

auto replica::take_installed_snapshot() -> std::optional<snapshot>
{
    return std::exchange(m_installed_snapshot, std::nullopt);
}

auto replica::transfer_leadership(time_point now, effects& out) -> void
{
    auto target = no_node;
    for (auto const& each : members())
    {
        auto const is_better =
            target == no_node || m_replication.match_index(each.m_node) >
                                     m_replication.match_index(target);
        if (each.m_votes && each.m_node != m_identity && is_better)
            target = each.m_node;
    }
    if (!m_is_leader || target == no_node)
        return;
    flush(now, out);
    step_down(now);
    out.emplace_back(send{target, core::hand_over{term()}});
}

auto replica::compact(log_index up_to, std::string data, effects& out) -> void
{
    auto const latest =
        std::max(m_snapshots.compacting_index(), m_log.first_index() - 1);
    if (up_to > latest && up_to <= m_delivered_index &&
        !m_snapshots.is_installing())
        m_snapshots.compact(m_log.make_snapshot(up_to, std::move(data)), out);
}

auto replica::snapshot_saved(log_index last) -> void
{
    auto const saved = m_snapshots.take_saved(last);
    if (!saved || saved->m_last_index < m_log.first_index() - 1)
        return;
    if (cluster() == 0 || last > m_delivered_index)
        m_has_installed_snapshot = true;
    m_log.adopt_snapshot(saved);
    m_commit_index = std::max(m_commit_index, last);
    if (m_delivered_index >= last)
        return;
    m_delivered_index = last;
    m_installed_snapshot = *saved;
}

auto replica::bootstrap(std::uint64_t cluster, std::vector<member> members,
                        effects& out) -> void
{
    auto const is_blank = this->cluster() == 0 && !m_snapshots.is_installing();
    if (!is_blank || cluster == 0 || !is_member(members, m_identity))
        return;
    auto initial = snapshot{};
    initial.m_members = std::move(members);
    initial.m_cluster = cluster;
    install(std::move(initial), out);
}

auto replica::handle(time_point now, node_id from, vote_request const& request,
                     effects& out) -> void
{
    if (!is_member(members(), m_identity))
        return;
    auto const is_vote_withheld =
        m_is_leader ||
        (m_election.withholds_votes(now) && !request.m_is_hand_over);
    if (request.m_is_pre_vote)
    {
        auto const is_granted = request.m_term > term() && !is_vote_withheld &&
                                is_up_to_date(request);
        respond(from,
                vote_reply{is_granted ? request.m_term : term(), is_granted,
                           true, request.m_sent_at},
                out);
        return;
    }
    // A healthy leader must not be replaced, so the newer term is not adopted
    // either.
    if (is_vote_withheld)
        return;
    adopt_term(now, request.m_term);
    auto const voted_for = m_log.current_hard_state().m_voted_for;
    auto const is_granted = request.m_term == term() &&
                            (voted_for == no_node || voted_for == from) &&
                            is_up_to_date(request);
    if (is_granted)
    {
        m_log.set_hard_state({term(), from});
        m_election.restart_timer(now);
    }
    respond(from, vote_reply{term(), is_granted, false, request.m_sent_at},
            out);
}

auto replica::handle(time_point now, node_id from, vote_reply const& reply,
                     effects& out) -> void
{
    if (!reply.m_granted)
        return adopt_term(now, reply.m_term);
    if (m_is_leader && !reply.m_is_pre_vote && reply.m_term == term())
        return m_replication.record_contact(from, reply.m_sent_at);
    auto const phase = reply.m_is_pre_vote ? election_phase::pre_voting
                                           : election_phase::voting;
    auto const wanted = reply.m_is_pre_vote ? term() + 1 : term();
    if (m_election.phase() == phase && reply.m_term == wanted &&
        reply.m_sent_at == m_election.round_start())
        count_vote(now, from, out);
}

auto replica::handle(time_point now, node_id from,
                     append_request const& request, effects& out) -> void
{
    auto const sent_at = request.m_sent_at;
    if (request.m_term < term())
        return respond(
            from, append_reply{term(), false, m_commit_index, sent_at}, out);
    if (!is_consistent(request))
    {
        out.emplace_back(log_line{
            log_level::error,
            "append_request_malformed",
            {{"from", std::to_string(static_cast<std::uint64_t>(from))},
             {"term", std::to_string(request.m_term)},
             {"previous_index", std::to_string(request.m_previous_index)},
             {"entries", std::to_string(request.m_entries.size())}}});
        return;
    }
    follow(now, from, request.m_term);
    if (m_snapshots.is_installing())
        return respond(from,
                       install_reply{term(), m_snapshots.installing_index(),
                                     m_snapshots.next_offset(), sent_at},
                       out);
    auto reply =
        append_reply{term(), false, m_commit_index, sent_at, cluster() == 0};
    if (reply.m_is_blank)
        return respond(from, reply, out);
    if (auto const hint = m_log.conflict_hint(
            request.m_previous_index, request.m_previous_term, m_commit_index))
    {
        reply.m_index = *hint;
        return respond(from, reply, out);
    }
    reply.m_matched = true;
    reply.m_index = request.m_previous_index + request.m_entries.size();
    auto const is_changed = m_log.merge(request.m_entries);
    m_commit_index =
        std::max(m_commit_index, std::min(request.m_commit, reply.m_index));
    if (is_changed)
        return send_after(m_log.last_write(), from, reply, out);
    reply.m_index = std::min(reply.m_index, m_log.synced_index());
    respond(from, reply, out);
}

auto replica::handle(time_point now, node_id from, append_reply const& reply,
                     effects&) -> void
{
    adopt_term(now, reply.m_term);
    if (!m_is_leader || reply.m_term != term())
        return;
    m_replication.handle(now, from, reply, m_log);
    advance_commit(now);
}

auto replica::handle(time_point now, node_id from, install_snapshot const& part,
                     effects& out) -> void
{
    auto reply = install_reply{term(), part.m_last_index, 0, part.m_sent_at};
    if (part.m_term < term())
        return respond(from, reply, out);
    if (cluster() != 0 && part.m_cluster != cluster())
        return;
    follow(now, from, part.m_term);
    reply.m_term = term();
    if (cluster() != 0 && part.m_last_index <= m_commit_index)
        return respond(
            from,
            append_reply{term(), true,
                         std::min(m_commit_index, m_log.synced_index()),
                         part.m_sent_at},
            out);
    if (!m_snapshots.is_installing())
        if (auto received = m_snapshots.add_part(part))
            install(std::move(*received), out);
    if (!m_snapshots.is_installing() ||
        m_snapshots.installing_index() == part.m_last_index)
        reply.m_next_offset = m_snapshots.next_offset();
    respond(from, reply, out);
}

auto replica::handle(time_point now, node_id from, install_reply const& reply,
                     effects&) -> void
{
    adopt_term(now, reply.m_term);
    if (m_is_leader && reply.m_term == term())
        m_replication.handle(now, from, reply);
}

auto replica::handle(time_point, node_id, found_group const& founding,
                     effects& out) -> void
{
    bootstrap(founding.m_cluster, founding.m_members, out);
}

auto replica::handle(time_point now, node_id from, core::hand_over const& order,
                     effects& out) -> void
{
    if (order.m_term != term() || from != m_leader || !may_campaign())
        return;
    m_leader = no_node;
    begin_vote(now, true, out);
}

auto replica::send_after(std::uint64_t write, node_id to, message content,
                         effects& out) -> void
{
    if (m_log.is_synced(write))
        out.emplace_back(send{to, std::move(content)});
    else
        m_deferred_messages.push_back({write, to, std::move(content)});
}

auto replica::respond(node_id to, message content, effects& out) -> void
{
    send_after(m_log.hard_state_write(), to, std::move(content), out);
}

auto replica::send_to_voters(message const& content, effects& out) -> void
{
    for (auto const& each : members())
        if (each.m_votes && each.m_node != m_identity)
            respond(each.m_node, content, out);
}

auto replica::begin_pre_vote(time_point now, effects& out) -> void
{
    m_leader = no_node;
    m_election.begin_round(now, election_phase::pre_voting);
    // Sent again for members that missed the bootstrap and can't vote without
    // it. Uses the members of the snapshot, since those of uncommitted entries
    // might be rolled back.
    auto const& base = *m_log.latest_snapshot();
    send_to_voters(found_group{base.m_cluster, base.m_members}, out);
    send_to_voters(vote_request{term() + 1, m_log.last_index(),
                                m_log.last_term(), true, now},
                   out);
    count_vote(now, m_identity, out);
}

auto replica::begin_vote(time_point now, bool is_transfer, effects& out) -> void
{
    m_log.set_hard_state({term() + 1, m_identity});
    m_election.begin_round(now, election_phase::voting);
    send_to_voters(vote_request{term(), m_log.last_index(), m_log.last_term(),
                                false, now, is_transfer},
                   out);
}

auto replica::count_vote(time_point now, node_id voter, effects& out) -> void
{
    m_election.record_vote(voter);
    if (!m_election.is_won(members()))
        return;
    if (m_election.phase() == election_phase::pre_voting)
        begin_vote(now, false, out);
    else if (m_election.phase() == election_phase::voting)
        become_leader(now);
}

auto replica::become_leader(time_point now) -> void
{
    m_replication.start(members(), m_identity, m_log.last_index());
    for (auto const& each : members())
        if (m_election.has_vote_from(each.m_node))
            m_replication.record_contact(each.m_node, m_election.round_start());
    m_election.end_round();
    m_is_leader = true;
    m_leader = m_identity;
    m_term_start_index = m_log.last_index() + 1;
    propose(begin_term{});
    check_quorum(now);
}

auto replica::step_down(time_point now) -> void
{
    m_is_leader = false;
    m_leader = no_node;
    m_replication.stop();
    m_election.restart_timer(now);
}

auto replica::check_quorum(time_point now) -> void
{
    if (m_is_leader && !has_recent_quorum_contact(now))
        step_down(now);
}

auto replica::adopt_term(time_point now, term_number term) -> void
{
    if (term <= this->term())
        return;
    if (m_is_leader)
        step_down(now);
    m_election.end_round();
    m_leader = no_node;
    m_log.set_hard_state({term, no_node});
}

auto replica::follow(time_point now, node_id leader, term_number term) -> void
{
    adopt_term(now, term);
    m_leader = leader;
    m_election.record_leader_contact(now);
}

auto replica::advance_commit(time_point now) -> void
{
    if (!m_is_leader)
        return;
    auto const quorum_index = m_replication.quorum_match_index(
        members(), m_identity, m_log.synced_index());
    // Entries of earlier terms are committed only together with an entry of
    // this term.
    if (quorum_index > m_commit_index && m_log.term_at(quorum_index) == term())
        m_commit_index = quorum_index;
    if (!is_voter(members(), m_identity) &&
        m_log.membership_index() <= m_commit_index)
        step_down(now);
}

auto replica::install(snapshot received, effects& out) -> void
{
    auto const last = received.m_last_index;
    auto const known_term = m_log.term_at(last);
    // Conflicting entries are removed before the snapshot is saved, or a crash
    // could leave them behind it.
    if (known_term && known_term != received.m_last_term)
        m_log.truncate(last);
    m_snapshots.install(std::move(received), m_log.last_write());
    m_snapshots.save_received(m_log, out);
}

auto replica::finish_installation(time_point now, effects& out) -> void
{
    if (m_is_leader)
        return;
    if (m_leader != no_node)
        return respond(m_leader,
                       append_reply{term(), true, m_log.first_index() - 1,
                                    time_point::min()},
                       out);
    m_election.restart_timer(now);
    if (!is_sole_voter(members(), m_identity))
        return;
    m_election.expire_timer(now);
    begin_pre_vote(now, out);
}

auto replica::is_leader() const -> bool
{
    return m_is_leader;
}

auto replica::has_quorum(time_point now) const -> bool
{
    return m_is_leader && m_commit_index >= m_term_start_index &&
           has_recent_quorum_contact(now);
}

auto replica::quorum_contact_at() const -> time_point
{
    return m_replication.quorum_contact_at(members(), m_identity);
}

auto replica::leader() const -> node_id
{
    return m_leader;
}

auto replica::term() const -> term_number
{
    return m_log.current_hard_state().m_term;
}

auto replica::identity() const -> node_id
{
    return m_identity;
}

auto replica::cluster() const -> std::uint64_t
{
    return m_log.latest_snapshot()->m_cluster;
}

auto replica::commit_index() const -> log_index
{
    return m_commit_index;
}

auto replica::last_index() const -> log_index
{
    return m_log.last_index();
}

auto replica::members() const -> std::span<member const>
{
    return m_log.members();
}

auto replica::next_deadline() const -> time_point
{
    if (!m_is_leader)
        return may_campaign() ? m_election.deadline() : never;
    auto const contact = m_replication.quorum_contact_at(members(), m_identity);
    auto const limit =
        contact == never ? never : contact + m_settings.m_quorum_timeout;
    return std::min(limit, m_replication.deadline());
}

auto replica::may_campaign() const -> bool
{
    return !m_is_leader && cluster() != 0 && is_voter(members(), m_identity);
}

auto replica::is_up_to_date(vote_request const& request) const -> bool
{
    return std::pair{request.m_last_term, request.m_last_index} >=
           std::pair{m_log.last_term(), m_log.last_index()};
}

auto replica::has_recent_quorum_contact(time_point now) const -> bool
{
    return now - m_replication.quorum_contact_at(members(), m_identity) <
           m_settings.m_quorum_timeout;
}

} // namespace hickorylatch::core
