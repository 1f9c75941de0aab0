#include "core/roles/control.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace hickorylatch::core
{

namespace
{

// An entry whose link was lost longer ago than this is left out of the lists
// sent to agents. Agents keep trying to reach every listed entry.
constexpr auto lost_entry_retention = duration{std::chrono::seconds{60}};

// The leader sends a configuration patch of at most this many queues to every
// entry; for a larger one it sends only a notice. A queue takes about 100
// bytes, and the leader has links to all entries.
constexpr auto max_pushed_queues = std::size_t{100};

/// The list for all processes but agents. Entries have no links to each other.
auto without_entries(process_list known) -> process_list
{
    known.m_entries.clear();
    return known;
}

} // namespace

control::control(control_settings settings, replica_settings log_settings,
                 recovered_state const& recovered, image_codec codec,
                 std::string address, group_settings const& group)
    : m_settings{std::move(settings)}, m_replica{log_settings, recovered},
      m_codec{codec}, m_address{std::move(address)},
      m_membership_planner{group}, m_has_group_settings{!group.m_seeds.empty()},
      m_is_volatile{group.m_is_volatile}, m_links{{.m_seeds = group.m_seeds,
                                                   .m_name = m_address,
                                                   .m_control_limit =
                                                       group.m_is_volatile
                                                           ? followed_replicas
                                                           : no_link_limit}}
{
    m_applied_index = m_snapshot_index = recovered.m_snapshot.m_last_index;
    if (auto image = m_codec.m_decode(recovered.m_snapshot.m_data))
        m_state = control_state{std::move(*image)};
    m_history.add(m_state.config());
}

auto control::make_context(time_point now, random_source& random, effects& out)
    -> control_context
{
    return {now, m_wall_clock, m_replica, m_state, random, out};
}

auto control::start(time_point now, random_source& random, effects& out) -> void
{
    m_pending.start(random.number());
    m_replica.start(now, random.number(), out);
}

auto control::connected(time_point now, hello const& peer,
                        random_source& random, effects& out) -> void
{
    m_peers[peer.m_node] = peer;
    m_membership_planner.connected(peer);
    m_pending.link_changed(peer.m_node);
    m_links.opened(peer);
    if (peer.m_role == role::entry && !peer.m_address.empty())
        m_entries[peer.m_address] = {peer.m_failure_domain, never};
    if (m_coordinator)
        m_coordinator->connected(peer.m_node);
    if (m_job_runner && peer.m_role == role::agent)
        m_job_runner->connected(peer.m_node, out);
    auto const context = make_context(now, random, out);
    if (peer.m_follows_any_replica || peer.m_is_volatile)
        send_initial_state(context, peer.m_node);
    else if (peer.m_needs_configuration && m_coordinator &&
             m_replica.has_quorum(now))
        out.emplace_back(send{peer.m_node, current_configuration()});
    send_evacuations(context, peer);
    advance(context);
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
    m_membership_planner.disconnected(now, peer);
    m_pending.link_changed(peer);
    auto const context = make_context(now, random, out);
    if (m_coordinator)
        m_coordinator->disconnected(context, peer);
    if (m_job_runner)
        m_job_runner->disconnected(now, peer);
    advance(context);
}

auto control::receive(time_point now, node_id from, message const& incoming,
                      random_source& random, effects& out) -> void
{
    auto const context = make_context(now, random, out);
    auto const is_handled =
        handle_process_list(context, from, incoming) ||
        handle_entry_message(context, from, incoming) ||
        handle_agent_message(context, from, incoming) ||
        handle_configuration_fetch(context, from, incoming) ||
        handle_run_message(context, from, incoming);
    if (auto const* result = std::get_if<operate_result>(&incoming))
    {
        if (auto const settled = m_pending.handle_result(*result))
            answer_operator(out, settled->m_requester, settled->m_result);
    }
    else if (!is_handled)
        m_replica.receive(now, from, incoming, out);
    advance(context);
}

auto control::handle_agent_message(control_context const& context, node_id from,
                                   message const& incoming) -> bool
{
    auto const* announcement = std::get_if<announce>(&incoming);
    auto const* outcome = std::get_if<finished>(&incoming);
    auto const* renewal = std::get_if<renew>(&incoming);
    if (announcement == nullptr && outcome == nullptr && renewal == nullptr)
        return false;
    // A leader without a quorum must not extend leases or accept results,
    // because another replica may already lead.
    if (!is_leading(context.m_now))
        return true;
    if (announcement != nullptr)
        m_coordinator->announced(context, *announcement);
    else if (outcome != nullptr)
        m_coordinator->finished(context, from, *outcome);
    else
        m_coordinator->renewed(context, from, *renewal);
    return true;
}

auto control::handle_run_message(control_context const& context, node_id from,
                                 message const& incoming) -> bool
{
    // Without a quorum another replica may already lead. Runs confirmed here
    // would then continue in parallel with the runs that it starts.
    return m_job_runner && is_leading(context.m_now) &&
           m_job_runner->receive(context.m_now, from, incoming,
                                 m_state.config().m_version, context.m_random,
                                 context.m_out);
}

auto control::handle_process_list(control_context const& context, node_id from,
                                  message const& incoming) -> bool
{
    auto const* known = std::get_if<process_list>(&incoming);
    if (known == nullptr)
        return false;
    // A list without control replicas comes from another volatile replica that
    // has not received one itself yet.
    if (m_is_volatile && !known->m_controls.empty())
    {
        m_received_processes = *known;
        m_links.set_known_processes(from, *known);
        m_links.update(context.m_now, context.m_out);
    }
    return true;
}

auto control::handle_configuration_fetch(control_context const& context,
                                         node_id from, message const& incoming)
    -> bool
{
    auto const* request = std::get_if<fetch_configuration>(&incoming);
    if (request != nullptr && request->m_version < m_state.config().m_version)
        context.m_out.emplace_back(
            send{from, m_history.patch_from(request->m_version)});
    return request != nullptr;
}

auto control::handle_entry_message(control_context const& context, node_id from,
                                   message const& incoming) -> bool
{
    auto const* request = std::get_if<submit>(&incoming);
    auto const* operation_request = std::get_if<core::operate>(&incoming);
    auto const* cancellation = std::get_if<cancel>(&incoming);
    if (request == nullptr && operation_request == nullptr &&
        cancellation == nullptr)
        return false;
    if (request != nullptr)
    {
        auto const is_accepted = is_leading(context.m_now) &&
                                 request->m_term == m_replica.term() &&
                                 m_coordinator->submit(context, from, *request);
        if (!is_accepted)
            context.m_out.emplace_back(
                send{from, not_leader{request->m_sequence, m_replica.leader(),
                                      request->m_copy}});
    }
    else if (!is_leading(context.m_now) &&
             (operation_request == nullptr ||
              !pending_operations::accepts(operation_request->m_operation)))
    {
        if (operation_request != nullptr)
            context.m_out.emplace_back(
                send{from, not_leader{operation_request->m_sequence,
                                      m_replica.leader(), 0}});
    }
    else if (cancellation != nullptr)
        m_coordinator->cancel(context, from, *cancellation);
    else
        operate(context, {from, operation_request->m_sequence},
                operation_request->m_operation);
    return true;
}

auto control::arrived(time_point now, operation_arrived const& request,
                      random_source& random, effects& out) -> void
{
    auto const context = make_context(now, random, out);
    auto const who = operation_requester{no_node, request.m_exchange};
    if (auto const* bootstrap =
            std::get_if<bootstrap_control_group>(&request.m_operation))
        bootstrap_group(context, who, *bootstrap);
    else
        operate(context, who, request.m_operation, request.m_waited);
    advance(context);
}

auto control::abandoned(exchange_id exchange) -> void
{
    m_pending.abandon({no_node, exchange});
}

auto control::checked(time_point now, exchange_checked const& answer,
                      random_source& random, effects& out) -> void
{
    m_pending.requester_waits(answer);
    advance(make_context(now, random, out));
}

auto control::operate(control_context const& context, operation_requester who,
                      operation const& requested, duration waited) -> void
{
    auto result = operate_result{};
    result.m_verdict.m_run = run_state::ran;
    result.m_version = m_state.config().m_version;
    if (auto const why = check_evacuation(who, requested))
    {
        answer_operator(context.m_out, who, {0, *why, 0, {}});
        return;
    }
    if (pending_operations::accepts(requested))
    {
        if (!m_pending.add(context.m_now, who, requested, waited))
            answer_operator(context.m_out, who,
                            {0, refused(reason::queue_full), 0, {}});
        return;
    }
    if (auto const* query = std::get_if<query_status>(&requested))
        result.m_document =
            status_document(*this, context.m_now, query->m_subject);
    else if (!is_leading(context.m_now))
        result.m_verdict = refused(reason::no_leader);
    else if (auto const* change = std::get_if<change_configuration>(&requested))
    {
        propose_change(context, who, change->m_request_id, *change);
        return;
    }
    else if (auto const* members = std::get_if<change_membership>(&requested))
    {
        propose_change(context, who, members->m_request_id, *members);
        return;
    }
    else if (auto const* cancellation = std::get_if<cancel_job>(&requested))
        result.m_verdict = m_coordinator->cancel_job(context, *cancellation);
    else
        result.m_verdict =
            refused(reason::invalid, "ask a control process directly");
    answer_operator(context.m_out, who, std::move(result));
}

auto control::propose_change(control_context const& context,
                             operation_requester who,
                             std::string const& request_id, command change)
    -> void
{
    if (auto const* earlier = m_state.outcome(request_id))
    {
        answer_operator(context.m_out, who,
                        {0, earlier->m_verdict, earlier->m_version, {}});
        return;
    }
    auto const is_pending = m_change_waiters.contains(request_id);
    auto const* members = std::get_if<change_membership>(&change);
    if (members != nullptr && !is_pending)
    {
        auto const why = m_replica.check_members(members->m_members);
        if (!why.empty())
        {
            answer_operator(context.m_out, who,
                            {0,
                             refused(reason::version_conflict, why),
                             m_state.config().m_version,
                             {}});
            return;
        }
    }
    m_change_waiters.emplace(request_id, who);
    if (!is_pending)
        m_replica.propose(std::move(change));
}

auto control::bootstrap_group(control_context const& context,
                              operation_requester who,
                              bootstrap_control_group const& request) -> void
{
    auto result = operate_result{};
    auto members = std::vector<member>{{m_replica.identity(), m_address, true}};
    for (auto const& [node, peer] : m_peers)
    {
        if (peer.m_role == role::control && peer.m_cluster == 0 &&
            members.size() < request.m_members)
            members.push_back({node, peer.m_address, true});
    }
    if (m_replica.cluster() != 0)
        result.m_verdict =
            refused(reason::invalid, "this replica already has a group");
    else if (members.size() != request.m_members || members.empty())
        result.m_verdict =
            refused(reason::no_capacity,
                    "has links to " + std::to_string(members.size() - 1) +
                        " other blank replicas, needs " +
                        std::to_string(request.m_members - 1),
                    1000);
    else
    {
        auto const cluster = context.m_random.number() | 1U;
        m_replica.bootstrap(cluster, members, context.m_out);
        for (auto const& replica : members)
        {
            if (replica.m_node != m_replica.identity())
                context.m_out.emplace_back(
                    send{replica.m_node, found_group{cluster, members}});
        }
        result.m_verdict.m_run = run_state::ran;
    }
    answer_operator(context.m_out, who, std::move(result));
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
    advance(make_context(now, random, out));
}

auto control::saved(snapshot_saved const& done) -> void
{
    m_replica.snapshot_saved(done.m_last_index);
}

auto control::clock(time_point now, clock_read const& reading, effects& out)
    -> void
{
    m_wall_clock = reading.m_now;
    out.emplace_back(observe_metric{
        "hickorylatch_is_leader", {}, is_leading(now) ? 1.0 : 0.0});
    out.emplace_back(
        observe_metric{"hickorylatch_configuration_version",
                       {},
                       static_cast<double>(m_state.config().m_version)});
    out.emplace_back(observe_metric{
        "hickorylatch_evacuated_domains",
        {},
        static_cast<double>(
            m_state.evacuated().m_current.m_failure_domains.size())});
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
    advance(make_context(now, random, out));
}

auto control::tick(time_point now, random_source& random, effects& out) -> void
{
    auto const context = make_context(now, random, out);
    if (m_replica.next_deadline() <= now)
        m_replica.tick(now, out);
    if (is_leading(now))
    {
        m_coordinator->tick(context);
        if (m_job_runner && m_job_runner->next_deadline() <= now)
            m_job_runner->tick(now, random, out);
    }
    advance(context);
}

auto control::advance(control_context const& context) -> void
{
    if (auto installed = m_replica.take_installed_snapshot())
    {
        m_applied_index = m_snapshot_index = installed->m_last_index;
        if (auto image = m_codec.m_decode(installed->m_data))
        {
            auto const revision = m_state.evacuated().m_current.m_revision;
            m_state = control_state{std::move(*image)};
            if (m_state.evacuated().m_current.m_revision != revision)
                evacuations_changed(context);
        }
        notify_subscribers(context);
    }
    for (auto const& entry : m_replica.take_committed())
        apply(context, entry);
    update_leadership(context);
    if (is_leading(context.m_now))
        m_coordinator->dispatch(context);
    maintain_membership(context);
    advance_operations(context);
    if (m_job_runner && is_leading(context.m_now))
        for (auto& proposal : m_job_runner->take_proposals())
            m_replica.propose(std::move(proposal));
    m_replica.flush(context.m_now, context.m_out);
    compact(context);
    send_process_lists(context);
}

auto control::maintain_membership(control_context const& context) -> void
{
    if (!m_has_group_settings)
        return;
    if (m_replica.cluster() == 0)
    {
        // The replica belongs to the group only once its disk holds the new
        // identity. Members that miss this message get it again from the
        // replica.
        if (m_has_begun_founding)
            return;
        auto self = hello{};
        self.m_node = m_replica.identity();
        self.m_address = m_address;
        self.m_is_volatile = m_is_volatile;
        auto const founding_members =
            m_membership_planner.founding_members(self);
        if (!founding_members)
            return;
        m_has_begun_founding = true;
        auto const cluster = context.m_random.number() | 1U;
        m_replica.bootstrap(cluster, *founding_members, context.m_out);
        for (auto const& each : *founding_members)
            if (each.m_node != m_replica.identity())
                context.m_out.emplace_back(
                    send{each.m_node, found_group{cluster, *founding_members}});
        context.m_out.emplace_back(
            log_line{log_level::info,
                     "group_founded",
                     {{"members", std::to_string(founding_members->size())}}});
        return;
    }
    if (!is_leading(context.m_now))
        return;
    auto const members = m_replica.members();
    m_membership_planner.track_unconnected_members(context.m_now, members,
                                                   m_replica.identity());
    auto const is_caught_up = [&](node_id learner)
    {
        auto promoted = std::vector<member>{members.begin(), members.end()};
        for (auto& each : promoted)
            each.m_votes = each.m_votes || each.m_node == learner;
        return m_replica.check_members(promoted).empty();
    };
    auto change = m_membership_planner.next_change(
        context.m_now, members, m_replica.identity(), is_caught_up);
    if (!change || !m_replica.check_members(*change).empty())
        return;
    auto const request_id = "repair-" + std::to_string(m_replica.term()) + "-" +
                            std::to_string(++m_membership_changes);
    context.m_out.emplace_back(log_line{
        log_level::info,
        "membership_change_proposed",
        {{"request", request_id},
         {"members", std::to_string(change->size())},
         {"voters",
          std::to_string(std::ranges::count_if(*change, &member::m_votes))}}});
    m_replica.propose(change_membership{request_id, std::move(*change)});
}

auto control::advance_operations(control_context const& context) -> void
{
    auto const* runner =
        is_leading(context.m_now) ? m_job_runner.get() : nullptr;
    for (auto& settled : m_pending.advance(context.m_now, m_replica, m_state,
                                           is_leading(context.m_now),
                                           next_hop(), runner, context.m_out))
        answer_operator(context.m_out, settled.m_requester,
                        std::move(settled.m_result));
}

auto control::known_processes(time_point now) const -> process_list
{
    auto known = process_list{};
    known.m_controls = control_addresses();
    for (auto const& [address, entry] : m_entries)
        if (entry.m_lost_at == never ||
            now - entry.m_lost_at < lost_entry_retention)
            known.m_entries.push_back({address, entry.m_failure_domain});
    known.m_leader = m_received_processes.m_leader;
    for (auto const& each : m_replica.members())
        if (each.m_node == m_replica.leader())
            known.m_leader = each.m_address;
    return known;
}

auto control::control_addresses() const -> std::vector<std::string>
{
    if (m_is_volatile)
        return m_received_processes.m_controls;
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
        if (peer.m_address == m_received_processes.m_leader)
            return node;
        next = node;
    }
    return next;
}

auto control::update_member_links(control_context const& context) -> void
{
    auto members = process_list{};
    for (auto const& each : m_replica.members())
        members.m_controls.push_back(each.m_address);
    if (members != m_linked_members)
    {
        m_linked_members = members;
        m_links.set_known_processes(m_replica.identity(), members);
        m_links.update(context.m_now, context.m_out);
    }
}

auto control::send_process_lists(control_context const& context) -> void
{
    if (!m_has_group_settings)
        return;
    update_member_links(context);
    auto const known = known_processes(context.m_now);
    if (known == m_sent_processes)
        return;
    auto const before = without_entries(std::exchange(m_sent_processes, known));
    auto const for_entries = without_entries(known);
    for (auto const& [node, peer] : m_peers)
    {
        if (!peer.m_follows_any_replica && !peer.m_is_volatile)
            continue;
        if (peer.m_role == role::agent)
            context.m_out.emplace_back(send{node, known});
        else if (for_entries != before)
            context.m_out.emplace_back(send{node, for_entries});
    }
}

auto control::send_initial_state(control_context const& context, node_id peer)
    -> void
{
    auto const known = known_processes(context.m_now);
    context.m_out.emplace_back(send{peer, m_peers.at(peer).m_role == role::agent
                                              ? known
                                              : without_entries(known)});
    if (m_peers.at(peer).m_needs_configuration &&
        m_state.config().m_version != 0)
        context.m_out.emplace_back(
            send{peer, configuration_notice{m_state.config().m_version}});
}

auto control::apply(control_context const& context, log_entry const& entry)
    -> void
{
    auto const evacuation_revision = m_state.evacuated().m_current.m_revision;
    m_state.apply(entry);
    m_applied_index = entry.m_index;
    m_bytes_since_snapshot += content_size(entry.m_command);
    if (std::holds_alternative<begin_term>(entry.m_command))
        m_applied_term = entry.m_term;
    if (m_coordinator)
        m_coordinator->committed(context, entry);
    if (m_job_runner)
        m_job_runner->applied(context.m_now, entry, context.m_random,
                              context.m_out);
    if (m_state.evacuated().m_current.m_revision != evacuation_revision)
        evacuations_changed(context);
    auto const* change = std::get_if<change_configuration>(&entry.m_command);
    auto const* members = std::get_if<change_membership>(&entry.m_command);
    auto const is_installation =
        std::holds_alternative<install_configuration>(entry.m_command);
    if ((change != nullptr || members != nullptr || is_installation) &&
        m_coordinator)
        broadcast_configuration(context);
    if (change != nullptr || is_installation)
        notify_subscribers(context);
    if (change == nullptr && members == nullptr)
        return;
    auto const& request_id =
        change != nullptr ? change->m_request_id : members->m_request_id;
    auto const* outcome = m_state.outcome(request_id);
    auto const waiting = m_change_waiters.equal_range(request_id);
    for (auto each = waiting.first; each != waiting.second; ++each)
        answer_operator(context.m_out, each->second,
                        {0, outcome->m_verdict, outcome->m_version, {}});
    m_change_waiters.erase(waiting.first, waiting.second);
}

auto control::current_configuration() const -> configuration_changed
{
    auto const members = m_replica.members();
    auto current = configuration_changed{
        m_replica.term(), m_state.config(), {members.begin(), members.end()}};
    // Only operators read the document, and they read it from a replica.
    current.m_configuration.m_document.clear();
    return current;
}

auto control::broadcast_configuration(control_context const& context) -> void
{
    for (auto const& [node, peer] : m_peers)
    {
        if (peer.m_needs_configuration && !peer.m_follows_any_replica)
            context.m_out.emplace_back(send{node, current_configuration()});
    }
}

auto control::notify_subscribers(control_context const& context) -> void
{
    m_history.add(m_state.config());
    auto entries = std::vector<node_id>{};
    auto others = std::vector<node_id>{};
    for (auto const& [node, peer] : m_peers)
        if (peer.m_needs_configuration && peer.m_follows_any_replica)
            (peer.m_role == role::entry ? entries : others).push_back(node);
    if (m_coordinator)
    {
        // All agents have links to the leader. The other replicas, if there
        // are any, notify them.
        if (m_replica.members().size() > 1)
            others.clear();
        auto patch = m_history.patch_from(m_history.previous());
        // Entries need the configuration to serve requests. A small change is
        // sent at once, which saves them a fetch.
        if (patch.m_changed.size() <= max_pushed_queues)
            context.m_out.emplace_back(
                send_copies{std::exchange(entries, {}), std::move(patch)});
    }
    others.insert(others.end(), entries.begin(), entries.end());
    if (!others.empty())
        context.m_out.emplace_back(
            send_copies{std::move(others),
                        configuration_notice{m_state.config().m_version}});
}

auto control::update_leadership(control_context const& context) -> void
{
    if (!m_replica.is_leader())
    {
        if (m_coordinator)
            context.m_out.emplace_back(
                log_line{log_level::warning, "leadership_lost", {}});
        m_coordinator.reset();
        m_job_runner.reset();
        // The entries repeat these requests at the next leader. The outcome of
        // a change that is not committed is not known here.
        m_change_waiters.clear();
        return;
    }
    if (m_coordinator || m_applied_term != m_replica.term() ||
        !m_replica.has_quorum(context.m_now))
        return;
    m_coordinator.emplace(m_settings, context);
    context.m_out.emplace_back(
        log_line{log_level::info,
                 "leadership_taken",
                 {{"term", std::to_string(m_replica.term())}}});
    broadcast_configuration(context);
    if (!m_has_group_settings)
        return;
    m_job_runner = std::make_unique<job_runner>(
        m_settings.m_jobs, m_state.jobs(), context.m_now, m_replica.term());
    m_job_runner->set_evacuations(context.m_now, m_state.evacuated().m_current,
                                  context.m_random, context.m_out);
    for (auto const& [node, peer] : m_peers)
        if (peer.m_role == role::agent)
            m_job_runner->connected(node, context.m_out);
}

auto control::compact(control_context const& context) -> void
{
    if (m_applied_index < m_snapshot_index + m_settings.m_snapshot_interval &&
        m_bytes_since_snapshot < m_settings.m_snapshot_bytes)
        return;
    m_bytes_since_snapshot = 0;
    m_snapshot_index = m_applied_index;
    m_replica.compact(m_applied_index, m_codec.m_encode(m_state.image()),
                      context.m_out);
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
                  m_membership_planner.next_deadline(now)});
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

auto control::active_coordinator() const -> coordinator const*
{
    return m_coordinator ? &*m_coordinator : nullptr;
}

} // namespace hickorylatch::core
