#include "core/roles/control.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace hickorylatch::core
{

namespace
{

// An entry that was away for this long is not told of any more. Agents keep
// trying to reach those that they were told of.
constexpr auto forget_entry_after = duration{std::chrono::seconds{60}};

// Changes of up to so many queues are sent to all entries. A queue takes about
// 100 bytes, and the leader has links to all entries.
constexpr auto most_pushed_queues = std::size_t{100};

/// The list as entries get it, which have no links to each other.
auto without_entries(process_list known) -> process_list
{
    known.m_entries.clear();
    return known;
}

} // namespace

control::control(control_settings settings, replica_settings log_settings,
                 recovered_state const& recovered, image_codec codec,
                 std::string address, group_settings const& group)
    : m_settings{settings}, m_replica{log_settings, recovered}, m_codec{codec},
      m_address{std::move(address)}, m_keeper{group},
      m_has_group_settings{!group.m_seeds.empty()},
      m_is_volatile{group.m_is_volatile}, m_links{{.m_seeds = group.m_seeds,
                                                   .m_name = m_address,
                                                   .m_control_limit =
                                                       group.m_is_volatile
                                                           ? followed_replicas
                                                           : no_link_limit}}
{
    m_applied = m_snapshot = recovered.m_snapshot.m_last_index;
    if (auto image = m_codec.m_decode(recovered.m_snapshot.m_data))
        m_state = control_state{std::move(*image)};
    m_history.add(m_state.config());
}

auto control::context(time_point now, random_source& random, effects& out)
    -> control_context
{
    return {now, m_wall, m_replica, m_state, random, out};
}

auto control::start(time_point now, std::uint64_t seed, effects& out) -> void
{
    m_replica.start(now, seed, out);
}

auto control::connected(time_point now, hello const& peer,
                        random_source& random, effects& out) -> void
{
    m_peers[peer.m_node] = peer;
    m_keeper.connected(peer);
    m_pending.link_changed(peer.m_node);
    m_links.opened(peer);
    if (peer.m_role == role::entry && !peer.m_address.empty())
        m_entries[peer.m_address] = {peer.m_failure_domain, never};
    if (m_coordinator)
        m_coordinator->connected(peer.m_node);
    if (m_job_runner && peer.m_role == role::agent)
        m_job_runner->connected(peer.m_node, out);
    auto const with = context(now, random, out);
    if (peer.m_follows_any_replica || peer.m_is_volatile)
        greet_follower(with, peer.m_node);
    else if (peer.m_needs_configuration && m_coordinator &&
             m_replica.has_quorum(now))
        out.emplace_back(send{peer.m_node, current_configuration()});
    settle(with);
}

auto control::disconnected(time_point now, node_id peer, random_source& random,
                           effects& out) -> void
{
    if (auto const found = m_peers.find(peer); found != m_peers.end())
    {
        auto const entry = m_entries.find(found->second.m_address);
        if (entry != m_entries.end())
            entry->second.m_lost_at = now;
        m_peers.erase(found);
    }
    m_links.closed(now, peer);
    m_keeper.disconnected(now, peer);
    m_pending.link_changed(peer);
    auto const with = context(now, random, out);
    if (m_coordinator)
        m_coordinator->disconnected(with, peer);
    if (m_job_runner)
        m_job_runner->disconnected(now, peer);
    settle(with);
}

auto control::receive(time_point now, node_id from, message const& incoming,
                      random_source& random, effects& out) -> void
{
    auto const with = context(now, random, out);
    auto const is_taken = from_replica(with, from, incoming) ||
                          from_entry(with, from, incoming) ||
                          from_agent(with, from, incoming) ||
                          from_follower(with, from, incoming) ||
                          from_placement(with, from, incoming);
    if (auto const* done = std::get_if<operate_result>(&incoming))
    {
        if (auto const settled = m_pending.handle_result(*done))
            answer_operator(out, settled->m_requester, settled->m_result);
    }
    else if (!is_taken)
        m_replica.receive(now, from, incoming, out);
    settle(with);
}

auto control::from_agent(control_context const& with, node_id from,
                         message const& incoming) -> bool
{
    auto const* news = std::get_if<announce>(&incoming);
    auto const* outcome = std::get_if<finished>(&incoming);
    auto const* ask = std::get_if<renew>(&incoming);
    if (news == nullptr && outcome == nullptr && ask == nullptr)
        return false;
    // A leader without a quorum must not extend leases or take results:
    // another one may lead already.
    if (!is_leading(with.m_now))
        return true;
    if (news != nullptr)
        m_coordinator->announced(with, *news);
    else if (outcome != nullptr)
        m_coordinator->finished(with, from, *outcome);
    else
        m_coordinator->renewed(with, from, *ask);
    return true;
}

auto control::from_placement(control_context const& with, node_id from,
                             message const& incoming) -> bool
{
    // Without a quorum another replica may lead already, and runs that are
    // confirmed here would run on beside its own.
    return m_job_runner && is_leading(with.m_now) &&
           m_job_runner->receive(with.m_now, from, incoming,
                                 m_state.config().m_version, with.m_random,
                                 with.m_out);
}

auto control::from_replica(control_context const& with, node_id from,
                           message const& incoming) -> bool
{
    auto const* known = std::get_if<process_list>(&incoming);
    if (known == nullptr)
        return false;
    // Another volatile replica may not have been told of anything yet.
    if (m_is_volatile && !known->m_controls.empty())
    {
        m_told = *known;
        m_links.set_known_processes(from, *known);
        m_links.update(with.m_now, with.m_out);
    }
    return true;
}

auto control::from_follower(control_context const& with, node_id from,
                            message const& incoming) -> bool
{
    auto const* asked = std::get_if<fetch_configuration>(&incoming);
    if (asked != nullptr && asked->m_version < m_state.config().m_version)
        with.m_out.emplace_back(
            send{from, m_history.patch_from(asked->m_version)});
    return asked != nullptr;
}

auto control::from_entry(control_context const& with, node_id from,
                         message const& incoming) -> bool
{
    auto const* request = std::get_if<submit>(&incoming);
    auto const* asked = std::get_if<core::operate>(&incoming);
    auto const* dropped = std::get_if<cancel>(&incoming);
    if (request == nullptr && asked == nullptr && dropped == nullptr)
        return false;
    if (request != nullptr)
    {
        auto const is_taken = is_leading(with.m_now) &&
                              request->m_term == m_replica.term() &&
                              m_coordinator->submit(with, from, *request);
        if (!is_taken)
            with.m_out.emplace_back(
                send{from, not_leader{request->m_sequence, m_replica.leader(),
                                      request->m_copy}});
    }
    else if (!is_leading(with.m_now) &&
             (asked == nullptr ||
              !pending_operations::accepts(asked->m_operation)))
    {
        if (asked != nullptr)
            with.m_out.emplace_back(send{
                from, not_leader{asked->m_sequence, m_replica.leader(), 0}});
    }
    else if (dropped != nullptr)
        m_coordinator->cancel(with, from, *dropped);
    else
        operate(with, {from, asked->m_sequence}, asked->m_operation);
    return true;
}

auto control::arrived(time_point now, operation_arrived const& request,
                      random_source& random, effects& out) -> void
{
    auto const with = context(now, random, out);
    auto const who = operation_requester{no_node, request.m_exchange};
    if (auto const* order =
            std::get_if<bootstrap_control_group>(&request.m_operation))
        found(with, who, *order);
    else
        operate(with, who, request.m_operation);
    settle(with);
}

auto control::operate(control_context const& with, operation_requester who,
                      operation const& asked) -> void
{
    auto result = operate_result{};
    result.m_verdict.m_run = run_state::ran;
    result.m_version = m_state.config().m_version;
    if (pending_operations::accepts(asked))
    {
        if (!m_pending.add(with.m_now, who, asked))
            answer_operator(with.m_out, who,
                            {0, refused(reason::queue_full), 0, {}});
        return;
    }
    if (auto const* question = std::get_if<query_status>(&asked))
        result.m_document =
            status_document(*this, with.m_now, question->m_subject);
    else if (!is_leading(with.m_now))
        result.m_verdict = refused(reason::no_leader);
    else if (auto const* change = std::get_if<change_configuration>(&asked))
    {
        propose_change(with, who, change->m_request_id, *change);
        return;
    }
    else if (auto const* members = std::get_if<change_membership>(&asked))
    {
        propose_change(with, who, members->m_request_id, *members);
        return;
    }
    else if (auto const* order = std::get_if<cancel_job>(&asked))
        result.m_verdict = m_coordinator->cancel_job(with, *order);
    else
        result.m_verdict =
            refused(reason::invalid, "ask a control process directly");
    answer_operator(with.m_out, who, std::move(result));
}

auto control::propose_change(control_context const& with,
                             operation_requester who,
                             std::string const& request_id, command change)
    -> void
{
    if (auto const* known = m_state.outcome(request_id))
    {
        answer_operator(with.m_out, who,
                        {0, known->m_verdict, known->m_version, {}});
        return;
    }
    auto const is_pending = m_operators.contains(request_id);
    auto const* members = std::get_if<change_membership>(&change);
    if (members != nullptr && !is_pending)
    {
        auto const why = m_replica.check_members(members->m_members);
        if (!why.empty())
        {
            answer_operator(with.m_out, who,
                            {0,
                             refused(reason::version_conflict, why),
                             m_state.config().m_version,
                             {}});
            return;
        }
    }
    m_operators.emplace(request_id, who);
    if (!is_pending)
        m_replica.propose(std::move(change));
}

auto control::found(control_context const& with, operation_requester who,
                    bootstrap_control_group const& order) -> void
{
    auto result = operate_result{};
    auto members = std::vector<member>{{m_replica.identity(), m_address, true}};
    for (auto const& [node, peer] : m_peers)
    {
        if (peer.m_role == role::control && peer.m_cluster == 0 &&
            members.size() < order.m_members)
            members.push_back({node, peer.m_address, true});
    }
    if (m_replica.cluster() != 0)
        result.m_verdict =
            refused(reason::invalid, "this replica already has a group");
    else if (members.size() != order.m_members || members.empty())
        result.m_verdict =
            refused(reason::no_capacity,
                    "has links to " + std::to_string(members.size() - 1) +
                        " other blank replicas, needs " +
                        std::to_string(order.m_members - 1),
                    1000);
    else
    {
        auto const cluster = with.m_random.number() | 1U;
        m_replica.bootstrap(cluster, members, with.m_out);
        for (auto const& replica : members)
        {
            if (replica.m_node != m_replica.identity())
                with.m_out.emplace_back(
                    send{replica.m_node, found_group{cluster, members}});
        }
        result.m_verdict.m_run = run_state::ran;
    }
    answer_operator(with.m_out, who, std::move(result));
}

auto control::answer_operator(effects& out, operation_requester who,
                              operate_result result) -> void
{
    result.m_sequence = who.m_sequence;
    result.m_leader = m_replica.leader();
    if (who.m_entry == no_node)
        out.emplace_back(reply_operator{who.m_sequence, std::move(result)});
    else
        out.emplace_back(send{who.m_entry, std::move(result)});
}

auto control::synced(time_point now, log_synced const& done,
                     random_source& random, effects& out) -> void
{
    m_replica.synced(now, done.m_write, out);
    settle(context(now, random, out));
}

auto control::saved(snapshot_saved const& done) -> void
{
    m_replica.snapshot_saved(done.m_last_index);
}

auto control::clock(time_point now, clock_read const& reading, effects& out)
    -> void
{
    m_wall = reading.m_now;
    out.emplace_back(observe_metric{
        "hickorylatch_is_leader", {}, is_leading(now) ? 1.0 : 0.0});
    out.emplace_back(
        observe_metric{"hickorylatch_configuration_version",
                       {},
                       static_cast<double>(m_state.config().m_version)});
}

auto control::replace_seeds(time_point now,
                            std::vector<std::string> const& seeds, effects& out)
    -> void
{
    m_links.replace_seeds(seeds);
    m_links.update(now, out);
}

auto control::stop(time_point now, random_source& random, effects& out) -> void
{
    m_replica.transfer_leadership(now, out);
    settle(context(now, random, out));
}

auto control::tick(time_point now, random_source& random, effects& out) -> void
{
    auto const with = context(now, random, out);
    if (m_replica.next_deadline() <= now)
        m_replica.tick(now, out);
    if (is_leading(now))
    {
        m_coordinator->tick(with);
        if (m_job_runner && m_job_runner->next_deadline() <= now)
            m_job_runner->tick(now, random, out);
    }
    settle(with);
}

auto control::settle(control_context const& with) -> void
{
    if (auto installed = m_replica.take_installed_snapshot())
    {
        m_applied = m_snapshot = installed->m_last_index;
        if (auto image = m_codec.m_decode(installed->m_data))
            m_state = control_state{std::move(*image)};
        tell_followers(with);
    }
    for (auto const& entry : m_replica.take_committed())
        apply(with, entry);
    follow_leadership(with);
    if (is_leading(with.m_now))
        m_coordinator->dispatch(with);
    keep_members(with);
    settle_operations(with);
    if (m_job_runner && is_leading(with.m_now))
        for (auto& wanted : m_job_runner->take_proposals())
            m_replica.propose(std::move(wanted));
    m_replica.flush(with.m_now, with.m_out);
    compact(with);
    spread_processes(with);
}

auto control::keep_members(control_context const& with) -> void
{
    if (!m_has_group_settings)
        return;
    if (m_replica.cluster() == 0)
    {
        // The replica has an identity only once its disk holds it. Members that
        // miss this founding get it again from the replica.
        if (m_is_founding)
            return;
        auto self = hello{};
        self.m_node = m_replica.identity();
        self.m_address = m_address;
        self.m_is_volatile = m_is_volatile;
        auto const founders = m_keeper.founders(self);
        if (!founders)
            return;
        m_is_founding = true;
        auto const cluster = with.m_random.number() | 1U;
        m_replica.bootstrap(cluster, *founders, with.m_out);
        for (auto const& each : *founders)
            if (each.m_node != m_replica.identity())
                with.m_out.emplace_back(
                    send{each.m_node, found_group{cluster, *founders}});
        with.m_out.emplace_back(
            log_line{log_level::info,
                     "group_founded",
                     {{"members", std::to_string(founders->size())}}});
        return;
    }
    if (!is_leading(with.m_now))
        return;
    auto const members = m_replica.members();
    m_keeper.note_members(with.m_now, members, m_replica.identity());
    auto const holds_state = [&](node_id learner)
    {
        auto wanted = std::vector<member>{members.begin(), members.end()};
        for (auto& each : wanted)
            each.m_votes = each.m_votes || each.m_node == learner;
        return m_replica.check_members(wanted).empty();
    };
    auto change = m_keeper.next_change(with.m_now, members,
                                       m_replica.identity(), holds_state);
    if (!change || !m_replica.check_members(*change).empty())
        return;
    auto const request_id = "repair-" + std::to_string(m_replica.term()) + "-" +
                            std::to_string(++m_membership_changes);
    with.m_out.emplace_back(log_line{
        log_level::info,
        "membership_change_proposed",
        {{"request", request_id},
         {"members", std::to_string(change->size())},
         {"voters",
          std::to_string(std::ranges::count_if(*change, &member::m_votes))}}});
    m_replica.propose(change_membership{request_id, std::move(*change)});
}

auto control::settle_operations(control_context const& with) -> void
{
    auto const* runner = is_leading(with.m_now) ? m_job_runner.get() : nullptr;
    for (auto& settled : m_pending.advance(with.m_now, m_replica, m_state,
                                           is_leading(with.m_now), next_hop(),
                                           runner, with.m_out))
        answer_operator(with.m_out, settled.m_requester,
                        std::move(settled.m_result));
}

auto control::known_processes(time_point now) const -> process_list
{
    auto known = process_list{};
    known.m_controls = listed_replicas();
    for (auto const& [address, entry] : m_entries)
        if (entry.m_lost_at == never ||
            now - entry.m_lost_at < forget_entry_after)
            known.m_entries.push_back({address, entry.m_failure_domain});
    known.m_leader = m_told.m_leader;
    for (auto const& each : m_replica.members())
        if (each.m_node == m_replica.leader())
            known.m_leader = each.m_address;
    return known;
}

auto control::listed_replicas() const -> std::vector<std::string>
{
    if (m_is_volatile)
        return m_told.m_controls;
    auto members = std::vector<std::string>{};
    for (auto const& each : m_replica.members())
        members.push_back(each.m_address);
    return members;
}

auto control::next_hop() const -> node_id
{
    if (!m_is_volatile)
        return m_replica.leader();
    auto next = no_node;
    for (auto const& [node, peer] : m_peers)
    {
        if (peer.m_role != role::control || peer.m_is_volatile)
            continue;
        if (peer.m_address == m_told.m_leader)
            return node;
        next = node;
    }
    return next;
}

auto control::follow_members(control_context const& with) -> void
{
    auto members = process_list{};
    for (auto const& each : m_replica.members())
        members.m_controls.push_back(each.m_address);
    if (members != m_followed)
    {
        m_followed = members;
        m_links.set_known_processes(m_replica.identity(), members);
        m_links.update(with.m_now, with.m_out);
    }
}

auto control::spread_processes(control_context const& with) -> void
{
    if (!m_has_group_settings)
        return;
    follow_members(with);
    auto const known = known_processes(with.m_now);
    if (known == m_spread)
        return;
    auto const before = without_entries(std::exchange(m_spread, known));
    auto const for_entries = without_entries(known);
    for (auto const& [node, peer] : m_peers)
    {
        if (!peer.m_follows_any_replica && !peer.m_is_volatile)
            continue;
        if (peer.m_role == role::agent)
            with.m_out.emplace_back(send{node, known});
        else if (for_entries != before)
            with.m_out.emplace_back(send{node, for_entries});
    }
}

auto control::greet_follower(control_context const& with, node_id peer) -> void
{
    auto const known = known_processes(with.m_now);
    with.m_out.emplace_back(send{peer, m_peers.at(peer).m_role == role::agent
                                           ? known
                                           : without_entries(known)});
    if (m_peers.at(peer).m_needs_configuration &&
        m_state.config().m_version != 0)
        with.m_out.emplace_back(
            send{peer, configuration_notice{m_state.config().m_version}});
}

auto control::apply(control_context const& with, log_entry const& entry) -> void
{
    m_state.apply(entry);
    m_applied = entry.m_index;
    m_bytes_since_snapshot += content_size(entry.m_command);
    if (std::holds_alternative<begin_term>(entry.m_command))
        m_applied_term = entry.m_term;
    if (m_coordinator)
        m_coordinator->committed(with, entry);
    if (m_job_runner)
        m_job_runner->applied(with.m_now, entry, with.m_random, with.m_out);
    auto const* change = std::get_if<change_configuration>(&entry.m_command);
    auto const* members = std::get_if<change_membership>(&entry.m_command);
    auto const is_installation =
        std::holds_alternative<install_configuration>(entry.m_command);
    if ((change != nullptr || members != nullptr || is_installation) &&
        m_coordinator)
        broadcast(with);
    if (change != nullptr || is_installation)
        tell_followers(with);
    if (change == nullptr && members == nullptr)
        return;
    auto const& request_id =
        change != nullptr ? change->m_request_id : members->m_request_id;
    auto const* outcome = m_state.outcome(request_id);
    auto const waiting = m_operators.equal_range(request_id);
    for (auto each = waiting.first; each != waiting.second; ++each)
        answer_operator(with.m_out, each->second,
                        {0, outcome->m_verdict, outcome->m_version, {}});
    m_operators.erase(waiting.first, waiting.second);
}

auto control::current_configuration() const -> configuration_changed
{
    auto const members = m_replica.members();
    auto current = configuration_changed{
        m_replica.term(), m_state.config(), {members.begin(), members.end()}};
    // Only operators read it, from replicas.
    current.m_configuration.m_document.clear();
    return current;
}

auto control::broadcast(control_context const& with) -> void
{
    for (auto const& [node, peer] : m_peers)
    {
        if (peer.m_needs_configuration && !peer.m_follows_any_replica)
            with.m_out.emplace_back(send{node, current_configuration()});
    }
}

auto control::tell_followers(control_context const& with) -> void
{
    m_history.add(m_state.config());
    auto entries = std::vector<node_id>{};
    auto others = std::vector<node_id>{};
    for (auto const& [node, peer] : m_peers)
        if (peer.m_needs_configuration && peer.m_follows_any_replica)
            (peer.m_role == role::entry ? entries : others).push_back(node);
    if (m_coordinator)
    {
        // The other replicas tell agents, which all have links to the leader.
        if (m_replica.members().size() > 1)
            others.clear();
        auto patch = m_history.patch_from(m_history.previous());
        // Entries serve by it, so they need not ask for a small change.
        if (patch.m_changed.size() <= most_pushed_queues)
            with.m_out.emplace_back(
                send_copies{std::exchange(entries, {}), std::move(patch)});
    }
    others.insert(others.end(), entries.begin(), entries.end());
    if (!others.empty())
        with.m_out.emplace_back(
            send_copies{std::move(others),
                        configuration_notice{m_state.config().m_version}});
}

auto control::follow_leadership(control_context const& with) -> void
{
    if (!m_replica.is_leader())
    {
        if (m_coordinator)
            with.m_out.emplace_back(
                log_line{log_level::warning, "leadership_lost", {}});
        m_coordinator.reset();
        m_job_runner.reset();
        // Their entries ask the next leader; the outcome of a change that was
        // not committed is not known here.
        m_operators.clear();
        return;
    }
    if (m_coordinator || m_applied_term != m_replica.term() ||
        !m_replica.has_quorum(with.m_now))
        return;
    m_coordinator.emplace(m_settings, with);
    with.m_out.emplace_back(
        log_line{log_level::info,
                 "leadership_taken",
                 {{"term", std::to_string(m_replica.term())}}});
    broadcast(with);
    if (!m_has_group_settings)
        return;
    m_job_runner = std::make_unique<job_runner>(
        m_settings.m_jobs, m_state.jobs(), with.m_now, m_replica.term());
    for (auto const& [node, peer] : m_peers)
        if (peer.m_role == role::agent)
            m_job_runner->connected(node, with.m_out);
}

auto control::compact(control_context const& with) -> void
{
    if (m_applied < m_snapshot + m_settings.m_snapshot_interval &&
        m_bytes_since_snapshot < m_settings.m_snapshot_bytes)
        return;
    m_bytes_since_snapshot = 0;
    m_snapshot = m_applied;
    m_replica.compact(m_applied, m_codec.m_encode(m_state.image()), with.m_out);
}

auto control::identity() const -> node_id
{
    return m_replica.identity();
}

auto control::address() const -> std::string const&
{
    return m_address;
}

auto control::cluster() const -> std::uint64_t
{
    return m_replica.cluster();
}

auto control::is_volatile() const -> bool
{
    return m_is_volatile;
}

auto control::is_leading(time_point now) const -> bool
{
    return m_coordinator.has_value() && m_replica.has_quorum(now);
}

auto control::next_deadline(time_point now) const -> time_point
{
    auto const log =
        std::min({m_replica.next_deadline(), m_pending.next_deadline(),
                  m_keeper.next_deadline(now)});
    if (!m_coordinator)
        return log;
    auto const jobs =
        m_job_runner ? m_job_runner->next_deadline() : time_point{never};
    return std::min({log, jobs, m_coordinator->next_deadline(now)});
}

auto control::state() const -> control_state const&
{
    return m_state;
}

auto control::log() const -> replica const&
{
    return m_replica;
}

auto control::leader_work() const -> coordinator const*
{
    return m_coordinator ? &*m_coordinator : nullptr;
}

} // namespace hickorylatch::core
