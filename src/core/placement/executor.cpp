#include "core/placement/executor.hpp"

#include "core/model/stable_hash.hpp"
#include "core/placement/contact_timeouts.hpp"
#include "core/placement/log_fields.hpp"

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>

namespace hickorylatch::core
{

namespace
{

// A start without an answer may still be carried out until its lease expires. A
// short lease shows sooner that it was not. The next poll extends the lease.
constexpr auto start_lease = duration{std::chrono::milliseconds{350}};
// Delay before a stop whose run has not ended is repeated.
constexpr auto stop_retry = duration{std::chrono::milliseconds{80}};
// Load reports are sent at most this often, to all requesters that are due, so
// that one forecast of the waits serves all of them.
constexpr auto load_interval_minimum = duration{std::chrono::milliseconds{10}};

// Fewer than other processes follow: agents do not use the configuration
// themselves, and there are more of them.
constexpr auto agent_followed_replicas = std::size_t{2};
// Each entry that an agent serves costs it some messages a second. With four
// workers per entry, an entry has links to 40 agents, and the capacity of a
// deployment is used as well as with links between all of them
// (test_links.cpp).
constexpr auto served_entries = std::size_t{10};
// The remaining links even out differences between failure domains.
constexpr auto served_same_domain_entries = std::size_t{6};
// One in this many agents serves the configuration. Of the entries with links
// to ten or more agents, all but one in sixty have a link to such an agent.
constexpr auto agents_per_configuration_source = std::uint64_t{3};
// Orders that are in flight when an entry is notified that its link is draining
// arrive within this time.
constexpr auto link_release_delay = duration{std::chrono::milliseconds{300}};

auto to_milliseconds(duration value) -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

/// True if the leader must record ends of durable jobs' runs with this outcome.
auto must_be_recorded(run_outcome outcome) -> bool
{
    return outcome == run_outcome::succeeded || outcome == run_outcome::failed;
}

} // namespace

executor::executor(executor_settings settings)
    : m_settings{std::move(settings)},
      m_links{{
          .m_seeds = m_settings.m_seeds,
          .m_name = m_settings.m_name,
          .m_failure_domain = m_settings.m_failure_domain,
          .m_control_limit = agent_followed_replicas,
          .m_entry_limit = served_entries,
          .m_same_domain_entry_limit = served_same_domain_entries,
      }},
      m_configuration{m_settings.m_name}
{
}

auto executor::connected(time_point now, hello const& peer, effects& out)
    -> void
{
    m_links.opened(peer);
    update_links(now, out);
    // The leader of the control group announces itself by a message.
    if (peer.m_role != role::entry)
        return;
    add_requester(peer.m_node).m_address = peer.m_address;
    m_claims.connected(peer.m_node);
    // Requests that were sent on an earlier link may be lost.
    for (auto& job : m_claims.contested_jobs(peer.m_node))
        out.emplace_back(send{peer.m_node, yield_job{std::move(job)}});
    process_pending(now, out);
}

auto executor::update_links(time_point now, effects& out) -> void
{
    m_links.update(now, out);
    for (auto& [node, requester] : m_requesters)
    {
        auto const is_draining = requester.m_draining_since != never;
        if (!is_draining && m_links.is_draining(requester.m_address))
            requester.m_draining_since = now;
        else if (is_draining && m_links.is_chosen(requester.m_address))
            requester.m_draining_since = never;
        else
            continue;
        requester.m_load_schedule.changed();
    }
}

auto executor::is_idle(requesters::value_type const& each) const -> bool
{
    auto const& [node, requester] = each;
    auto const is_of_node = [node = node](auto const& run)
    {
        return run.second.m_job->m_requester == node;
    };
    return requester.m_unconfirmed_ends.empty() &&
           requester.m_unsent_ends.empty() &&
           std::ranges::none_of(m_live, is_of_node) &&
           std::ranges::none_of(m_queue.all(), is_of_node);
}

auto executor::add_requester(node_id peer) -> requester&
{
    auto& requester = m_requesters[peer];
    requester.m_is_connected = true;
    requester.m_is_announced = false;
    requester.m_draining_since = never;
    requester.m_notified_version = 0;
    requester.m_load_schedule = {};
    // Orders are numbered per link, and reservations end with the link.
    requester.m_last_order = 0;
    m_queue.release_reservations(peer, std::nullopt);
    m_offers.drop(peer);
    return requester;
}

auto executor::leader() -> requesters::iterator
{
    return std::ranges::find_if(m_requesters,
                                [](auto const& each)
                                {
                                    return each.second.m_term != 0;
                                });
}

auto executor::on(node_id from, lead_jobs const& announcement, effects& out)
    -> void
{
    if (announcement.m_term < m_leader_term)
        return;
    m_leader_term = announcement.m_term;
    auto const previous = leader();
    auto old = std::optional<requesters::value_type>{};
    if (previous != m_requesters.end() && previous->first != from)
    {
        old.emplace(*previous);
        m_requesters.erase(previous);
    }
    auto& current = add_requester(from);
    current.m_term = announcement.m_term;
    if (old)
        transfer_runs(*old, from, current);
    assign_unmatched_ends();
    out.emplace_back(
        log_line{log_level::info,
                 "jobs_leader_known",
                 {{"leader", node_field(from)},
                  {"term", std::to_string(announcement.m_term)},
                  {"before", old ? node_field(old->first) : "none"}}});
}

auto executor::transfer_runs(requesters::value_type const& old, node_id to,
                             requester& current) -> void
{
    auto const& [previous, state] = old;
    current.m_contact_until = state.m_contact_until;
    current.m_is_contact_expired = state.m_is_contact_expired;
    current.m_unconfirmed_ends = state.m_unconfirmed_ends;
    current.m_unsent_ends = state.m_unsent_ends;
    current.m_unmatched_ends = state.m_unmatched_ends;
    current.m_unsent_end_numbers = state.m_unsent_end_numbers;
    m_queue.release_reservations(previous, std::nullopt);
    m_offers.drop(previous);
    for (auto& [key, run] : m_live)
        if (run.m_job->m_requester == previous)
            run.m_job->m_requester = to;
    for (auto const& [place, run] : m_queue.all())
        if (run.m_job->m_requester == previous)
            run.m_job->m_requester = to;
}

auto executor::assign_unmatched_ends() -> void
{
    auto const current = leader();
    if (current == m_requesters.end())
        return;
    for (auto& [number, end] : std::exchange(m_unmatched_ends, {}))
    {
        current->second.m_unsent_end_numbers.push_back(number);
        current->second.m_unmatched_ends.push_back(std::move(end));
    }
}

auto executor::disconnected(time_point now, node_id peer, effects& out) -> void
{
    m_links.closed(now, peer);
    update_links(now, out);
    m_configuration.disconnected(now, peer, out);
    auto const found = m_requesters.find(peer);
    if (found == m_requesters.end())
        return;
    found->second.m_is_connected = false;
    m_claims.disconnected(now, peer);
    m_queue.release_reservations(peer, std::nullopt);
    m_offers.drop(peer);
    process_pending(now, out);
}

auto executor::receive(time_point now, node_id from, message const& incoming,
                       effects& out) -> void
{
    if (auto const* order = std::get_if<order_runs>(&incoming))
        on(now, from, *order, out);
    else if (auto const* withdrawal = std::get_if<withdraw_runs>(&incoming))
        on(now, from, *withdrawal, out);
    else if (auto const* confirmation =
                 std::get_if<contact_confirmed>(&incoming))
        on(now, from, *confirmation, out);
    else if (m_configuration.receive(now, from, incoming, out))
        ;
    else if (auto const* known = std::get_if<process_list>(&incoming))
    {
        m_links.set_known_processes(from, *known);
        update_links(now, out);
    }
    else if (auto const* announcement = std::get_if<lead_jobs>(&incoming))
        on(from, *announcement, out);
    else if (auto const* received = std::get_if<evacuations>(&incoming))
        on(now, *received, out);
    else if (auto const* reservation = std::get_if<reserve_room>(&incoming))
        on(now, from, *reservation, out);
    else if (auto const* declined = std::get_if<decline_room>(&incoming))
        m_offers.take(from, declined->m_offer);
    else if (auto const* released = std::get_if<release_room>(&incoming))
        m_queue.release_reservations(from, released->m_job);
    else if (auto const* claimed = std::get_if<claim_job>(&incoming))
        return on(now, from, *claimed, out);
    else if (auto const* yielded = std::get_if<job_yielded>(&incoming))
    {
        if (auto const next = m_claims.transfer(from, yielded->m_job_id);
            next != no_node)
            out.emplace_back(
                send{next, claim_answer{yielded->m_job_id, true, 0}});
        return;
    }
    else
        return;
    process_pending(now, out);
}

auto executor::on(time_point now, evacuations const& received, effects& out)
    -> void
{
    auto const was_evacuated = is_evacuated();
    if (!m_evacuations.adopt(received, out))
        return;
    out.emplace_back(observe_metric{
        "hickorylatch_worker_evacuated", {}, is_evacuated() ? 1.0 : 0.0});
    if (is_evacuated() == was_evacuated)
        return;
    m_is_load_changed = true;
    if (!is_evacuated())
        return;
    m_offers.clear();
    refuse_all_waiting(now, reason::no_capacity, out);
}

auto executor::on(time_point now, node_id from, claim_job const& wanted,
                  effects& out) -> void
{
    auto const& id = wanted.m_job_id;
    auto const [holder, to_yield] = m_claims.claim(now, from, wanted);
    if (to_yield != no_node)
        out.emplace_back(send{to_yield, yield_job{id}});
    if (!wanted.m_awaits_grant)
        return;
    auto const ended_at =
        m_claims.last_contact(now, holder) +
        runs_ended_after(entry_contact_timeout, m_settings.m_lease);
    auto const is_granted = holder == from || ended_at <= now;
    if (holder != from)
    {
        if (is_granted)
            m_claims.transfer(holder, id);
        else
            out.emplace_back(send{holder, yield_job{id}});
    }
    out.emplace_back(
        send{from, claim_answer{id, is_granted,
                                is_granted ? 0 : whole_ms(ended_at - now)}});
}

auto executor::on(time_point now, node_id from, order_runs const& order,
                  effects& out) -> void
{
    auto const found = m_requesters.find(from);
    if (found == m_requesters.end())
        return;
    auto& requester = found->second;
    requester.m_last_order = order.m_order;
    requester.m_names_queues = order.m_queue.has_value();
    m_is_load_changed = true;
    auto job = std::make_shared<ordered_job>();
    job->m_queue = order.m_queue;
    job->m_requester = from;
    job->m_id = order.m_job_id;
    job->m_body = order.m_body;
    job->m_rank = order.m_rank;
    job->m_deadline = now + std::chrono::milliseconds{order.m_time_left_ms};
    auto const held = m_offers.take(from, order.m_offer);
    auto remaining = held ? held->m_count : 0;
    for (auto const& each : order.m_runs)
    {
        auto run = waiting_run{};
        run.m_job = job;
        run.m_ref = {order.m_job, each.m_task, each.m_run};
        run.m_needs = each.m_needs;
        run.m_expected = std::chrono::milliseconds{each.m_expected_ms};
        run.m_queued_at = now;
        m_last_needs = each.m_needs;
        auto const is_held = remaining != 0 && held->m_needs == run.m_needs;
        auto const why = refusal(now, run, requester);
        if (why != reason::none)
            refuse(now, run, why, out);
        else if (is_held && free_room().fits(run.m_needs) &&
                 !m_live.contains({job->m_id, run.m_ref.m_task}))
        {
            --remaining;
            start(now, run, out);
        }
        else if (each.m_must_start_now && !can_start(run))
            refuse(now, run, reason::queue_full, out);
        else
            m_queue.add(std::move(run));
    }
}

auto executor::refusal(time_point now, waiting_run const& wanted,
                       requester const& requester) const -> reason
{
    if (accepts(now) == acceptance::none || requester.m_draining_since != never)
        return m_is_stopping ? reason::draining : reason::no_capacity;
    if (requester.m_contact_until <= now)
        return reason::lease_expired;
    return m_worker->m_capacity.fits(wanted.m_needs) ? reason::none
                                                     : reason::no_capacity;
}

auto executor::on(time_point now, node_id from, reserve_room const& wanted,
                  effects& out) -> void
{
    auto const found = m_requesters.find(from);
    if (found == m_requesters.end() || wanted.m_count == 0)
        return;
    found->second.m_last_order = wanted.m_order;
    m_is_load_changed = true;
    auto job = std::make_shared<ordered_job>();
    job->m_requester = from;
    job->m_rank = wanted.m_rank;
    job->m_deadline = now + std::chrono::milliseconds{wanted.m_time_left_ms};
    auto reserved = waiting_run{};
    reserved.m_job = std::move(job);
    reserved.m_ref = {wanted.m_job, {wanted.m_step, 0}, 0};
    reserved.m_needs = wanted.m_needs;
    reserved.m_expected = std::chrono::milliseconds{wanted.m_expected_ms};
    reserved.m_queued_at = now;
    reserved.m_reserved_tasks = wanted.m_count;
    reserved.m_local_share = wanted.m_share_permille / 1000.0;
    m_last_needs = wanted.m_needs;
    // The requester tries another worker if this one can't serve it.
    if (auto const why = refusal(now, reserved, found->second);
        why != reason::none)
        refuse(now, reserved, why, out);
    else
        m_queue.add(std::move(reserved));
}

auto executor::on(time_point now, node_id from, withdraw_runs const& order,
                  effects& out) -> void
{
    for (auto const& wanted : order.m_runs)
    {
        if (auto const waiting = m_queue.take(from, wanted))
        {
            refuse(now, *waiting, reason::cancelled, out);
            continue;
        }
        auto const found = std::ranges::find_if(
            m_live,
            [&](auto const& each)
            {
                return each.second.m_job->m_requester == from &&
                       each.second.m_ref == wanted;
            });
        if (found == m_live.end())
            continue;
        out.emplace_back(
            log_line{log_level::info,
                     "run_withdrawn",
                     {{"run", run_field(found->first.first, found->first.second,
                                        found->second.m_number)},
                      {"entry", node_field(from)},
                      {"ran_ms", ms_field(now - found->second.m_started_at)}}});
        order_stop(now, *found, out);
    }
    m_is_load_changed = true;
}

auto executor::on(time_point now, node_id from,
                  contact_confirmed const& confirmation, effects& out) -> void
{
    auto const found = m_requesters.find(from);
    if (found == m_requesters.end())
        return;
    auto& requester = found->second;
    auto const timeout =
        requester.m_term == 0 ? entry_contact_timeout : leader_contact_timeout;
    requester.m_contact_until =
        std::max(requester.m_contact_until, confirmation.m_sent_at + timeout);
    requester.m_is_contact_expired = requester.m_contact_until <= now;
    requester.m_load_schedule.set_interval(
        std::chrono::milliseconds{confirmation.m_load_interval_ms});
    auto const version = m_configuration.config().m_version;
    if (confirmation.m_version < version &&
        requester.m_notified_version < version)
    {
        requester.m_notified_version = version;
        out.emplace_back(send{from, configuration_notice{version}});
    }
    while (!requester.m_unconfirmed_ends.empty() &&
           requester.m_unconfirmed_ends.front().m_number <=
               confirmation.m_acknowledged_ends)
        requester.m_unconfirmed_ends.pop_front();
    if (requester.m_term != 0)
        mark_ends_recorded(confirmation.m_acknowledged_ends);
}

auto executor::mark_ends_recorded(std::uint64_t confirmed) -> void
{
    std::erase_if(m_unrecorded_ends,
                  [confirmed](auto const& each)
                  {
                      return each.second != 0 && each.second <= confirmed;
                  });
}

auto executor::needs_poll() const -> bool
{
    return m_is_poll_due || last_acknowledgeable_end() > m_acknowledged_end;
}

auto executor::last_acknowledgeable_end() const -> std::uint64_t
{
    return m_unrecorded_ends.empty()
               ? m_last_handled_end
               : std::min(m_last_handled_end,
                          m_unrecorded_ends.begin()->first - 1);
}

auto executor::await_lease_expiry(time_point now, effects& out) -> void
{
    if (std::exchange(m_is_awaiting_lease_expiry, true))
        return;
    m_is_load_changed = true;
    out.emplace_back(log_line{
        log_level::warning,
        "worker_lease_left_to_lapse",
        {{"worker", m_worker ? m_worker->m_name : ""},
         {"unrecorded_ends", std::to_string(m_unrecorded_ends.size())},
         {"left_ms",
          ms_field(m_clock.certainly_reached(m_lease_until_ms) - now)}}});
}

auto executor::reported(time_point now, worker_report const& report,
                        effects& out) -> void
{
    auto const is_own = is_served(report.m_name, report.m_incarnation);
    if (!report.m_is_accepting)
        is_own ? stop_accepting(now, report, out)
               : m_reports.other_worker_drains(report);
    is_own ? update_worker(now, report, out)
           : m_unconfirmed.reported(now, report);
    process_pending(now, out);
}

auto executor::stop_accepting(time_point now, worker_report const& report,
                              effects& out) -> void
{
    m_reports.served_worker_drains(now, report, m_clock);
    if (std::exchange(m_worker->m_is_accepting, false))
        worker_changed(report, out);
}

auto executor::worker_changed(worker_report const& report, effects& out) -> void
{
    out.emplace_back(
        log_line{log_level::info,
                 "worker_changed",
                 {{"worker", report.m_name},
                  {"accepting", report.m_is_accepting ? "yes" : "no"},
                  {"sequence", std::to_string(report.m_sequence)}}});
    for (auto& [node, requester] : m_requesters)
        requester.m_is_announced = false;
}

auto executor::is_served(std::string_view name, std::int64_t incarnation) const
    -> bool
{
    return m_worker && m_worker->m_name == name &&
           m_worker->m_incarnation == incarnation;
}

auto executor::is_outdated(std::int64_t incarnation) const -> bool
{
    return !m_worker ||
           (incarnation != 0 && incarnation != m_worker->m_incarnation);
}

auto executor::answered(time_point now, worker_checked const& answer,
                        effects& out) -> void
{
    auto const confirmed = m_unconfirmed.answered(now, answer);
    if (confirmed)
    {
        if (m_worker)
            out.emplace_back(
                log_line{log_level::info,
                         "worker_replaced",
                         {{"worker", m_worker->m_name},
                          {"by", confirmed->m_report.m_name},
                          {"running", std::to_string(m_live.size())}}});
        begin_incarnation(now, *confirmed, out);
    }
    else if (answer.m_answer == worker_answer::other_lifetime ||
             answer.m_answer == worker_answer::restarted)
        out.emplace_back(
            log_line{log_level::warning,
                     "worker_report_refuted",
                     {{"worker", answer.m_name},
                      {"incarnation", std::to_string(answer.m_incarnation)}}});
    process_pending(now, out);
}

auto executor::update_worker(time_point now, worker_report const& report,
                             effects& out) -> void
{
    auto const decision = m_reports.decide(now, *m_worker, report, m_clock);
    if (decision == report_decision::implausible)
        out.emplace_back(
            log_line{log_level::warning,
                     "worker_report_ignored",
                     {{"worker", report.m_name},
                      {"sequence", std::to_string(report.m_sequence)},
                      {"service", report.m_service}}});
    if (decision != report_decision::current)
        return;
    auto const is_changed = report.m_is_accepting != m_worker->m_is_accepting ||
                            report.m_capacity != m_worker->m_capacity ||
                            report.m_labels != m_worker->m_labels ||
                            report.m_service != m_worker->m_service;
    m_clock.observe(now, report.m_clock_ms);
    m_worker = report;
    if (is_changed)
        worker_changed(report, out);
}

auto executor::begin_incarnation(time_point now,
                                 confirmed_worker const& confirmed,
                                 effects& out) -> void
{
    auto const& report = confirmed.m_report;
    auto const clock_ms =
        confirmed.m_clock_ms > 0 ? confirmed.m_clock_ms : report.m_clock_ms;
    m_worker = report;
    // A reading from the future would make all later reports look outdated.
    m_worker->m_clock_ms = std::min(report.m_clock_ms, clock_ms);
    m_worker->m_is_accepting = m_reports.begin_incarnation(now, confirmed);
    m_clock.reset();
    m_clock.observe(now, clock_ms);
    // The worker's clock never goes back during an incarnation, so a restarted
    // agent gets a higher token than its predecessor.
    m_token = static_cast<std::uint64_t>(std::max(clock_ms, std::int64_t{1}));
    m_last_handled_end = 0;
    m_acknowledged_end = 0;
    m_unrecorded_ends.clear();
    m_unmatched_ends.clear();
    m_is_awaiting_lease_expiry = false;
    m_lease_until_ms = 0;
    m_polls.reset();
    m_list_polled_at = {};
    m_has_run_list = false;
    m_strays.clear();
    m_health = {};
    m_slowness = {};
    m_concurrent_runs.worker_started(now);
    m_last_needs = {};
    // The first poll shows runs of an earlier process of this agent.
    m_is_poll_due = true;
    m_offers.clear();
    refuse_all_waiting(now, reason::no_capacity, out);
    transfer_to_incarnation(now);
    for (auto& [node, requester] : m_requesters)
        requester.m_is_announced = false;
    out.emplace_back(log_line{
        log_level::info,
        "worker_joined",
        {{"worker", report.m_name},
         {"incarnation", std::to_string(report.m_incarnation)},
         {"service", report.m_service},
         {"millicores", std::to_string(report.m_capacity.m_millicores)},
         {"token", std::to_string(m_token)}}});
}

auto executor::left(time_point now, worker_left const& departure, effects& out)
    -> void
{
    m_unconfirmed.left(departure.m_name);
    if (!m_worker || m_worker->m_name != departure.m_name)
        return;
    out.emplace_back(log_line{log_level::info,
                              "worker_left",
                              {{"worker", departure.m_name},
                               {"running", std::to_string(m_live.size())}}});
    // The message may be a delayed one of an earlier incarnation, so the
    // worker's runs end by its lists or by their lease.
    m_worker->m_is_accepting = false;
    m_reports.served_worker_drains(now, *m_worker, m_clock);
    refuse_all_waiting(now, reason::no_capacity, out);
    m_polls.request_list();
    process_pending(now, out);
}

auto executor::transfer_to_incarnation(time_point now) -> void
{
    if (m_live.empty())
        return;
    m_polls.request_list();
    m_lease_until_ms = m_clock.at(now) + to_milliseconds(m_settings.m_lease);
    for (auto& [key, run] : m_live)
    {
        run.m_lease_until_ms = m_lease_until_ms;
        run.m_confirmed_at = now;
        if (run.m_state != live_run_state::starting &&
            run.m_state != live_run_state::start_unknown)
            continue;
        run.m_state = live_run_state::start_unknown;
        run.m_start_unknown_since = now;
        run.m_revoked_at = never;
        run.m_stop_retry_at = now;
        run.m_is_of_earlier_incarnation = true;
    }
}

auto executor::end_all_runs(time_point now, effects& out) -> void
{
    while (!m_live.empty())
        finish(now, m_live.begin(), run_outcome::lapsed, reason::agent_lost,
               out);
    m_offers.clear();
    refuse_all_waiting(now, reason::no_capacity, out);
    m_is_load_changed = true;
}

auto executor::refuse_all_waiting(time_point now, reason why, effects& out)
    -> void
{
    m_is_load_changed = true;
    while (m_queue.size() != 0)
    {
        refuse(now, m_queue.all().begin()->second, why, out);
        m_queue.erase(m_queue.all().begin());
    }
}

auto executor::answered(time_point now, run_start_answered const& answer,
                        effects& out) -> void
{
    auto const is_late = is_outdated(answer.m_incarnation);
    if (!is_late && answer.m_answer != worker_answer::other_lifetime)
        m_clock.observe(now, answer.m_clock_ms);
    auto const found =
        m_live.find({answer.m_run.m_job_id, answer.m_run.m_task});
    if (found == m_live.end() || found->second.m_number != answer.m_run.m_run)
        return;
    auto& run = found->second;
    if (is_late && run.m_is_of_earlier_incarnation &&
        run.m_state == live_run_state::start_unknown &&
        is_rejection(answer.m_answer))
    {
        start_rejected(now, found, answer.m_answer, out);
        return process_pending(now, out);
    }
    if (is_late || run.m_state != live_run_state::starting)
        return;
    m_is_load_changed = true;
    switch (answer.m_answer)
    {
    case worker_answer::accepted:
        confirm_start(now, *found, out);
        break;
    case worker_answer::unknown:
        run.m_state = live_run_state::start_unknown;
        run.m_start_unknown_since = now;
        run.m_stop_retry_at = now;
        m_polls.answer_lost(now);
        m_polls.request_list();
        break;
    case worker_answer::fenced:
        raise_token(now);
        resend_start(now, found, answer.m_answer, out);
        break;
    case worker_answer::outdated:
        ++run.m_number;
        resend_start(now, found, answer.m_answer, out);
        break;
    case worker_answer::late:
        resend_start(now, found, answer.m_answer, out);
        break;
    default:
        start_rejected(now, found, answer.m_answer, out);
    }
    process_pending(now, out);
}

auto executor::resend_start(time_point now, live_runs::iterator rejected,
                            worker_answer answer, effects& out) -> void
{
    if (is_evacuated())
        start_rejected(now, rejected, answer, out);
    else
        order_start(now, *rejected, out);
}

auto executor::start_rejected(time_point now, live_runs::iterator rejected,
                              worker_answer answer, effects& out) -> void
{
    auto const& [key, run] = *rejected;
    out.emplace_back(
        log_line{log_level::warning,
                 "run_not_started",
                 {{"run", run_field(key.first, key.second, run.m_number)},
                  {"answer", std::string{to_string(answer)}}}});
    finish(now, rejected, run_outcome::refused, reason::no_capacity, out);
    m_polls.request_list();
}

auto executor::answered(time_point now, run_stop_answered const& answer,
                        effects& out) -> void
{
    if (is_outdated(answer.m_incarnation))
        return;
    if (answer.m_answer != worker_answer::other_lifetime)
        m_clock.observe(now, answer.m_clock_ms);
    if (answer.m_answer == worker_answer::fenced)
        raise_token(now);
    auto const found =
        m_live.find({answer.m_run.m_job_id, answer.m_run.m_task});
    if (found != m_live.end() && found->second.m_number == answer.m_run.m_run &&
        found->second.m_state == live_run_state::start_unknown)
    {
        if (answer.m_answer == worker_answer::accepted)
            found->second.m_revoked_at = now;
        else
            found->second.m_stop_retry_at = now;
        m_polls.request_list();
    }
    process_pending(now, out);
}

auto executor::answered(time_point now, runs_polled const& answer, effects& out)
    -> void
{
    if (answer.m_answer != worker_answer::accepted ||
        is_outdated(answer.m_incarnation))
        poll_failed(now, answer, out);
    else
    {
        auto const was_reachable = m_polls.is_reachable();
        auto const sent_at = m_polls.answered(now, answer.m_poll);
        if (!sent_at)
            return;
        m_clock.observe(now, answer.m_clock_ms);
        if (!was_reachable)
        {
            m_is_load_changed = true;
            out.emplace_back(log_line{log_level::info,
                                      "worker_regained",
                                      {{"worker", m_worker->m_name}}});
        }
        for (auto const& ended : answer.m_ended)
            handle_end(now, ended, out);
        if (*sent_at >= m_list_polled_at)
            handle_list(now, *sent_at, answer, out);
    }
    process_pending(now, out);
}

auto executor::poll_failed(time_point now, runs_polled const& answer,
                           effects& out) -> void
{
    auto const was_reachable = m_polls.is_reachable();
    if (!m_polls.failed(now, answer.m_poll))
        return;
    // The acknowledgement in the poll may be lost with it.
    m_is_poll_due = true;
    if (answer.m_answer == worker_answer::fenced)
    {
        m_clock.observe(now, answer.m_clock_ms);
        raise_token(now);
    }
    // The process that held the runs has ended. Runs that were ordered after
    // the worker restarted are shown by the lists of its next incarnation.
    if (answer.m_answer == worker_answer::other_lifetime)
        end_all_runs(now, out);
    if (answer.m_answer == worker_answer::other_lifetime ||
        answer.m_answer == worker_answer::restarted ||
        answer.m_answer == worker_answer::accepted)
        m_polls.mark_unreachable(now);
    if (!was_reachable || m_polls.is_reachable())
        return;
    m_is_load_changed = true;
    out.emplace_back(
        log_line{log_level::warning,
                 "worker_unreachable",
                 {{"worker", m_worker ? m_worker->m_name : ""},
                  {"answer", std::string{to_string(answer.m_answer)}},
                  {"running", std::to_string(m_live.size())}}});
}

auto executor::handle_end(time_point now, ended_run const& ended, effects& out)
    -> void
{
    if (ended.m_number <= m_last_handled_end)
        return;
    m_last_handled_end = ended.m_number;
    auto const found = m_live.find({ended.m_run.m_job_id, ended.m_run.m_task});
    if (found != m_live.end() && found->second.m_number == ended.m_run.m_run)
        return finish(now, found, ended.m_outcome, reason::none, out,
                      ended.m_number);
    // A run of an earlier process of this agent. It may belong to a durable
    // job.
    if ((m_has_run_list && m_strays.empty()) ||
        !must_be_recorded(ended.m_outcome))
        return;
    m_unrecorded_ends[ended.m_number] = 0;
    m_unmatched_ends.emplace_back(
        ended.m_number, unmatched_end{ended.m_run.m_job_id, ended.m_run.m_task,
                                      ended.m_outcome});
    assign_unmatched_ends();
}

auto executor::handle_list(time_point now, time_point sent_at,
                           runs_polled const& answer, effects& out) -> void
{
    m_list_polled_at = sent_at;
    auto listed = std::set<live_key>{};
    auto strays = std::vector<worker_run>{};
    for (auto const& each : answer.m_running)
    {
        auto const key = live_key{each.m_job_id, each.m_task};
        auto const found = m_live.find(key);
        listed.insert(key);
        if (found == m_live.end() || found->second.m_number != each.m_run)
            strays.push_back(each);
    }
    for (auto each = m_live.begin(); each != m_live.end();)
    {
        auto const current = each++;
        auto const& run = current->second;
        auto const is_listed = listed.contains(current->first);
        auto const has_started = run.m_state == live_run_state::running ||
                                 run.m_state == live_run_state::stopping;
        if (run.m_state == live_run_state::start_unknown)
            resolve_unknown_start(now, current, is_listed, sent_at, out);
        else if (has_started && run.m_confirmed_at <= sent_at && !is_listed)
            finish(now, current, run_outcome::lapsed, reason::agent_lost, out);
    }
    m_is_load_changed =
        m_is_load_changed || !m_has_run_list || !m_strays.empty();
    m_has_run_list = true;
    stop_strays(now, std::move(strays), out);
}

auto executor::resolve_unknown_start(time_point now, live_runs::iterator run,
                                     bool is_listed, time_point sent_at,
                                     effects& out) -> void
{
    auto& state = run->second;
    if (is_listed)
        confirm_start(now, *run, out);
    else if (sent_at >= state.m_revoked_at && state.m_is_of_earlier_incarnation)
    {
        out.emplace_back(log_line{
            log_level::warning,
            "start_unconfirmed",
            {{"run",
              run_field(run->first.first, run->first.second, state.m_number)},
             {"worker", m_worker->m_name},
             {"incarnation", std::to_string(m_worker->m_incarnation)}}});
        finish(now, run, run_outcome::lapsed, reason::agent_lost, out);
    }
    else if (sent_at >= state.m_revoked_at)
        finish(now, run, run_outcome::refused, reason::agent_lost, out);
    else if (sent_at >= state.m_start_unknown_since &&
             now >= state.m_stop_retry_at)
    {
        // It has not started: a stop prevents it from starting later.
        state.m_stop_retry_at = now + stop_retry;
        out.emplace_back(stop_run{
            target(), {run->first.first, run->first.second, state.m_number}});
    }
}

auto executor::stop_strays(time_point now, std::vector<worker_run> strays,
                           effects& out) -> void
{
    auto const is_new = m_strays != strays;
    m_strays = std::move(strays);
    if (m_strays.empty() || (!is_new && now - m_strays_stopped_at < stop_retry))
        return;
    m_strays_stopped_at = now;
    out.emplace_back(log_line{
        log_level::warning,
        "stray_runs_stopped",
        {{"runs", std::to_string(m_strays.size())},
         {"first", run_field(m_strays.front().m_job_id, m_strays.front().m_task,
                             m_strays.front().m_run)}}});
    for (auto const& stray : m_strays)
        out.emplace_back(stop_run{target(), stray});
}

auto executor::dispatch(time_point now, effects& out) -> void
{
    auto next = m_queue.all().begin();
    while (next != m_queue.all().end())
    {
        auto const& run = next->second;
        if (!free_room().fits(run.m_needs))
            return;
        if (run.m_reserved_tasks != 0)
        {
            // A worker on probation gets one run at a time.
            if (accepts(now) == acceptance::trial &&
                (!m_live.empty() || !m_offers.empty()))
                return;
            next = offer(now, next, out);
            continue;
        }
        auto const key = live_key{run.m_job->m_id, run.m_ref.m_task};
        if (auto const older = m_live.find(key); older != m_live.end())
        {
            // The client sent the job again to another entry. Only one run of a
            // task may exist at a time.
            auto& other = older->second;
            other.m_is_superseded =
                other.m_job->m_requester != run.m_job->m_requester;
            order_stop(now, *older, out);
            ++next;
            continue;
        }
        start(now, run, out);
        next = m_queue.erase(next);
    }
}

auto executor::offer(time_point now, run_queue::runs::const_iterator reserved,
                     effects& out) -> run_queue::runs::const_iterator
{
    auto const& run = reserved->second;
    auto const is_trial = accepts(now) == acceptance::trial;
    auto const count =
        std::min(run.m_reserved_tasks,
                 is_trial ? 1 : free_room().fit_count(run.m_needs));
    auto const requester = run.m_job->m_requester;
    auto const number = m_offers.add(now, requester, run.m_needs, count);
    out.emplace_back(
        send{requester, offer_room{number, run.m_ref.m_job,
                                   run.m_ref.m_task.m_step, count}});
    m_is_load_changed = true;
    return m_queue.reduce_reservation(reserved, count);
}

auto executor::start(time_point now, waiting_run const& next, effects& out)
    -> void
{
    auto run = live_run{};
    run.m_job = next.m_job;
    run.m_ref = next.m_ref;
    run.m_needs = next.m_needs;
    run.m_expected = next.m_expected;
    run.m_number = next.m_ref.m_run;
    run.m_queued_at = next.m_queued_at;
    run.m_concurrency = m_concurrent_runs.begin(now, next.m_job->m_queue);
    auto const started = m_live.emplace(
        live_key{next.m_job->m_id, next.m_ref.m_task}, std::move(run));
    m_health.record_binding();
    order_start(now, *started.first, out);
    m_is_load_changed = true;
}

auto executor::order_start(time_point now, live_runs::value_type& started,
                           effects& out) -> void
{
    auto& run = started.second;
    run.m_state = live_run_state::starting;
    run.m_started_at = now;
    run.m_lease_until_ms = m_clock.at(now) + to_milliseconds(start_lease);
    m_lease_until_ms = std::max(m_lease_until_ms, run.m_lease_until_ms);
    out.emplace_back(
        start_run{target(),
                  {started.first.first, started.first.second, run.m_number},
                  run.m_job->m_body,
                  run.m_lease_until_ms});
}

auto executor::confirm_start(time_point now, live_runs::value_type& started,
                             effects& out) -> void
{
    started.second.m_state = live_run_state::running;
    started.second.m_confirmed_at = now;
    if (started.second.m_is_stop_requested)
        order_stop(now, started, out);
}

auto executor::order_stop(time_point now, live_runs::value_type& wanted,
                          effects& out) -> void
{
    auto& run = wanted.second;
    // A start without an answer can be stopped only once it is confirmed.
    run.m_is_stop_requested = true;
    if (run.m_state != live_run_state::running)
        return;
    run.m_state = live_run_state::stopping;
    run.m_stop_retry_at = now + stop_retry;
    out.emplace_back(stop_run{
        target(), {wanted.first.first, wanted.first.second, run.m_number}});
}

auto executor::finish(time_point now, live_runs::iterator ended,
                      run_outcome outcome, reason why, effects& out,
                      std::uint64_t number) -> void
{
    auto const run = std::move(ended->second);
    auto const [job, task] = ended->first;
    m_live.erase(ended);
    m_is_load_changed = true;
    record_outcome(now, run, outcome);
    auto beside = m_concurrent_runs.end(now, run.m_concurrency);
    log_end(now, job, run, outcome, why, out);
    auto const requester = m_requesters.find(run.m_job->m_requester);
    if (requester == m_requesters.end())
        return;
    auto report = run_end{};
    report.m_run = run.m_ref;
    report.m_outcome = outcome;
    report.m_reason = run.m_is_hung         ? reason::call_failed
                      : run.m_is_superseded ? reason::superseded
                                            : why;
    report.m_run_ms = whole_ms(now - run.m_started_at);
    if (outcome == run_outcome::succeeded)
        report.m_beside = std::move(beside);
    requester->second.m_unsent_ends.push_back(report);
    if (requester->second.m_term == 0 || number == 0 ||
        !must_be_recorded(outcome))
        return;
    m_unrecorded_ends[number] = 0;
    requester->second.m_unsent_end_numbers.push_back(number);
    if (requester->second.m_is_contact_expired)
        await_lease_expiry(now, out);
}

auto executor::record_outcome(time_point now, live_run const& ended,
                              run_outcome outcome) -> void
{
    if (outcome == run_outcome::succeeded)
    {
        m_health.record_success(now);
        m_slowness.observe(now, ended.m_expected, now - ended.m_started_at);
    }
    else if (outcome == run_outcome::failed || ended.m_is_hung)
        m_health.record_failure(now);
    else
        m_health.record_release();
}

auto executor::refuse(time_point now, waiting_run const& refused, reason why,
                      effects& out) -> void
{
    if (refused.m_reserved_tasks != 0)
    {
        out.emplace_back(
            send{refused.m_job->m_requester,
                 reservation_dropped{refused.m_ref.m_job,
                                     refused.m_ref.m_task.m_step}});
        return;
    }
    log_refusal(now, refused, why, m_queue.size(), out);
    auto const requester = m_requesters.find(refused.m_job->m_requester);
    if (requester == m_requesters.end())
        return;
    requester->second.m_unsent_ends.push_back(
        {refused.m_ref, run_outcome::refused, why, 0});
}

auto executor::tick(time_point now, effects& out) -> void
{
    check_runs(now, out);
    check_requesters(now, out);
    check_links(now, out);
    m_configuration.tick(now, out);
    if (auto const expired = m_offers.expire(now); expired != 0)
        out.emplace_back(log_line{log_level::warning,
                                  "offers_expired",
                                  {{"offers", std::to_string(expired)}}});
    process_pending(now, out);
}

auto executor::resumed(duration suspended, effects& out) -> void
{
    m_clock.suspended(suspended);
    out.emplace_back(log_line{log_level::warning,
                              "resumed",
                              {{"suspended_ms", ms_field(suspended)},
                               {"running", std::to_string(m_live.size())},
                               {"waiting", std::to_string(m_queue.size())}}});
}

auto executor::check_runs(time_point now, effects& out) -> void
{
    // If no poll is answered until the lease has expired, all runs have ended.
    auto const lease_expired_at = m_clock.certainly_reached(m_lease_until_ms);
    if (!m_polls.is_reachable() && !m_live.empty() && now >= lease_expired_at)
    {
        out.emplace_back(log_line{log_level::warning,
                                  "runs_lapsed",
                                  {{"worker", m_worker ? m_worker->m_name : ""},
                                   {"runs", std::to_string(m_live.size())}}});
        end_all_runs(now, out);
        return;
    }
    if (m_is_awaiting_lease_expiry && now >= lease_expired_at)
    {
        m_is_awaiting_lease_expiry = false;
        m_is_load_changed = true;
    }
    for (auto each = m_live.begin(); each != m_live.end();)
    {
        auto const current = each++;
        auto& run = current->second;
        // It may have started before this lease expired and continued under
        // the lease of a poll, so only a list that is requested now shows
        // whether it runs.
        if (run.m_state == live_run_state::start_unknown &&
            run.m_revoked_at == never &&
            now >= m_clock.certainly_reached(run.m_lease_until_ms))
        {
            run.m_revoked_at = now;
            m_polls.request_list();
        }
        if (run.m_state == live_run_state::running && !run.m_is_hung &&
            run.m_expected > duration{0} &&
            now - run.m_started_at >= hang_limit(run, m_slowness.slowness(now)))
        {
            run.m_is_hung = true;
            out.emplace_back(log_line{
                log_level::warning,
                "run_hung",
                {{"run", run_field(current->first.first, current->first.second,
                                   run.m_number)},
                 {"expected_ms", ms_field(run.m_expected)},
                 {"ran_ms", ms_field(now - run.m_started_at)}}});
            order_stop(now, *current, out);
        }
        else if (now >= run.m_stop_retry_at &&
                 run.m_state == live_run_state::stopping)
        {
            run.m_state = live_run_state::running;
            order_stop(now, *current, out);
        }
    }
}

auto executor::check_requesters(time_point now, effects& out) -> void
{
    for (auto each = m_requesters.begin(); each != m_requesters.end();)
    {
        auto const current = each++;
        if (current->second.m_contact_until > now)
            continue;
        auto const node = current->first;
        auto const is_newly_expired =
            !std::exchange(current->second.m_is_contact_expired, true);
        auto has_runs = false;
        for (auto& live : m_live)
        {
            if (live.second.m_job->m_requester != node)
                continue;
            has_runs = true;
            if (is_newly_expired)
                order_stop(now, live, out);
        }
        if (is_newly_expired && current->second.m_term != 0 &&
            !m_unrecorded_ends.empty())
            await_lease_expiry(now, out);
        if (is_newly_expired && has_runs)
            out.emplace_back(log_line{log_level::warning,
                                      "entry_contact_lost",
                                      {{"entry", node_field(node)}}});
        for (auto run = m_queue.all().begin(); run != m_queue.all().end();)
        {
            auto const is_of_node = run->second.m_job->m_requester == node;
            if (is_of_node)
                refuse(now, run->second, reason::lease_expired, out);
            run = is_of_node ? m_queue.erase(run) : std::next(run);
        }
        // Ends that this leader did not record are reported to the next one.
        auto const is_needed = current->second.m_term != 0 &&
                               !current->second.m_unconfirmed_ends.empty();
        if (!has_runs && !current->second.m_is_connected && !is_needed)
            m_requesters.erase(current);
    }
}

auto executor::check_links(time_point now, effects& out) -> void
{
    auto is_changed = now >= m_links.next_deadline();
    for (auto& each : m_requesters)
    {
        auto& requester = each.second;
        if (requester.m_draining_since == never ||
            now < requester.m_draining_since + link_release_delay)
            continue;
        if (is_idle(each))
        {
            m_links.release(requester.m_address);
            is_changed = true;
        }
        else
            requester.m_draining_since = now;
    }
    if (is_changed)
        update_links(now, out);
}

auto executor::refuse_expired_runs(time_point now, effects& out) -> void
{
    while (m_queue.next_expiry() <= now)
    {
        auto const late = m_queue.next_to_expire();
        refuse(now, late->second, reason::deadline, out);
        m_is_load_changed = true;
        m_queue.erase(late);
    }
}

auto executor::process_pending(time_point now, effects& out) -> void
{
    refuse_expired_runs(now, out);
    if (accepts(now) != acceptance::none)
        dispatch(now, out);
    if (auto check = m_unconfirmed.next(now))
        out.emplace_back(std::move(*check));
    poll(now, out);
    send_ends(out);
    for (auto& [node, requester] : m_requesters)
        if (requester.m_is_connected && !requester.m_is_announced && m_worker)
            announce(node, requester, out);
    send_load(now, out);
}

auto executor::poll(time_point now, effects& out) -> void
{
    if (!m_worker)
        return;
    auto const has_runs = !m_live.empty() || !m_strays.empty();
    m_polls.set_ends_pending(last_acknowledgeable_end() < m_last_handled_end);
    while (auto const due = m_polls.next(now, has_runs, needs_poll()))
    {
        auto order = poll_runs{};
        order.m_poll = due->m_number;
        order.m_target = target();
        order.m_acknowledged = m_acknowledged_end = last_acknowledgeable_end();
        order.m_wait_ms = whole_ms(due->m_wait);
        // The lease of an unreachable worker is not renewed.
        if (m_polls.is_reachable() && !m_live.empty() &&
            !m_is_awaiting_lease_expiry)
        {
            order.m_lease_until_ms =
                m_clock.at(now) + to_milliseconds(m_settings.m_lease);
            m_lease_until_ms =
                std::max(m_lease_until_ms, order.m_lease_until_ms);
        }
        m_is_poll_due = false;
        out.emplace_back(std::move(order));
    }
}

auto executor::send_ends(effects& out) -> void
{
    for (auto& [node, requester] : m_requesters)
    {
        if (requester.m_unsent_ends.empty() &&
            requester.m_unmatched_ends.empty())
            continue;
        auto report = runs_ended{++m_last_runs_ended,
                                 std::exchange(requester.m_unsent_ends, {}),
                                 std::exchange(requester.m_unmatched_ends, {})};
        for (auto const number :
             std::exchange(requester.m_unsent_end_numbers, {}))
            if (auto const unrecorded = m_unrecorded_ends.find(number);
                unrecorded != m_unrecorded_ends.end())
                unrecorded->second = report.m_number;
        requester.m_unconfirmed_ends.push_back(report);
        if (requester.m_is_connected && requester.m_is_announced)
            out.emplace_back(send{node, std::move(report)});
    }
}

auto executor::announce(node_id to, requester& requester, effects& out) -> void
{
    auto announcement = worker_announcement{};
    announcement.m_worker = *m_worker;
    announcement.m_failure_domain = m_settings.m_failure_domain;
    announcement.m_last_order = requester.m_last_order;
    for (auto const& [key, run] : m_live)
        if (run.m_job->m_requester == to)
            announcement.m_runs.push_back(run.m_ref);
    for (auto const& [place, run] : m_queue.all())
        if (run.m_job->m_requester == to && run.m_reserved_tasks == 0)
            announcement.m_runs.push_back(run.m_ref);
    for (auto const& ends : requester.m_unconfirmed_ends)
        out.emplace_back(send{to, ends});
    out.emplace_back(send{to, std::move(announcement)});
    requester.m_is_announced = true;
    requester.m_load_schedule.changed();
}

auto executor::send_load(time_point now, effects& out) -> void
{
    if (!m_worker)
        return;
    if (std::exchange(m_is_load_changed, false))
        for (auto& [node, requester] : m_requesters)
            requester.m_load_schedule.changed();
    if (now < m_load_sent_at + load_interval_minimum)
        return;
    auto current = std::optional<worker_load>{};
    for (auto& [node, requester] : m_requesters)
    {
        if (!requester.m_is_connected || !requester.m_is_announced ||
            now < requester.m_load_schedule.due_at())
            continue;
        if (!current)
            current = load(now);
        current->m_last_order = requester.m_last_order;
        auto report = *current;
        if (requester.m_names_queues)
            report.m_running = m_concurrent_runs.running();
        if (requester.m_draining_since != never)
            report.m_accepts = acceptance::none;
        out.emplace_back(send{node, std::move(report)});
        requester.m_load_schedule.sent(now);
        m_load_sent_at = now;
    }
}

auto executor::load(time_point now) const -> worker_load
{
    auto report = worker_load{};
    report.m_accepts = accepts(now);
    report.m_free = free_room();
    report.m_sent_at = now;
    auto const slowness = m_slowness.slowness(now);
    report.m_slowness_permille = static_cast<std::uint32_t>(slowness * 1000);
    auto releases = std::vector<room_release>{};
    for (auto const& [key, run] : m_live)
    {
        auto const expected = scaled(run.m_expected, slowness);
        releases.push_back(
            {std::max(now, run.m_started_at + expected), run.m_needs});
    }
    report.m_waits = forecast_waits(now, m_queue, report.m_free,
                                    std::move(releases), m_last_needs);
    return report;
}

auto executor::is_evacuated() const -> bool
{
    return m_evacuations.contains(m_settings.m_failure_domain);
}

auto executor::accepts(time_point now) const -> acceptance
{
    if (m_is_stopping || is_evacuated() || m_is_awaiting_lease_expiry ||
        !m_worker || !m_worker->m_is_accepting || !m_polls.is_reachable() ||
        !m_has_run_list || !m_strays.empty())
        return acceptance::none;
    if (!m_health.is_on_probation())
        return acceptance::full;
    return now >= m_health.trial_at() ? acceptance::trial : acceptance::none;
}

auto executor::free_room() const -> resources
{
    if (!m_worker)
        return {};
    auto room = m_worker->m_capacity;
    for (auto const& [key, run] : m_live)
        room -= run.m_needs;
    room -= m_offers.held();
    return room;
}

auto executor::can_start(waiting_run const& wanted) const -> bool
{
    auto room = free_room();
    for (auto const& [place, run] : m_queue.all())
        if (place.first <= wanted.m_job->m_rank)
            room -= run.m_needs;
    return room.fits(wanted.m_needs);
}

auto executor::raise_token(time_point now) -> void
{
    m_token =
        std::max(m_token + 1, static_cast<std::uint64_t>(m_clock.at(now)));
}

auto executor::target() const -> worker_target
{
    return {m_worker->m_name, m_token, m_worker->m_incarnation};
}

auto executor::replace_seeds(time_point now,
                             std::vector<std::string> const& seeds,
                             effects& out) -> void
{
    m_links.replace_seeds(seeds);
    update_links(now, out);
}

auto executor::stop(time_point now, effects& out) -> void
{
    m_is_stopping = true;
    refuse_all_waiting(now, reason::draining, out);
    process_pending(now, out);
}

auto executor::is_idle() const -> bool
{
    return m_is_stopping && m_live.empty() && m_queue.size() == 0 &&
           !needs_poll();
}

auto executor::next_deadline() const -> time_point
{
    auto first = never;
    if (m_worker)
        first = std::min(first, m_polls.next_deadline());
    for (auto const& [node, requester] : m_requesters)
        if (m_worker && requester.m_is_connected && requester.m_is_announced)
            first = std::min(first,
                             std::max(requester.m_load_schedule.due_at(),
                                      m_load_sent_at + load_interval_minimum));
    if (m_is_awaiting_lease_expiry ||
        (!m_polls.is_reachable() && !m_live.empty()))
        first = std::min(first, m_clock.certainly_reached(m_lease_until_ms));
    for (auto const& [key, run] : m_live)
    {
        if (run.m_state == live_run_state::stopping)
            first = std::min(first, run.m_stop_retry_at);
        if (run.m_state == live_run_state::start_unknown &&
            run.m_revoked_at == never)
            first = std::min(first,
                             m_clock.certainly_reached(run.m_lease_until_ms));
        if (run.m_state == live_run_state::running && !run.m_is_hung &&
            run.m_expected > duration{0})
            first = std::min(first, run.m_started_at +
                                        hang_limit(run, m_slowness.slowness(
                                                            run.m_started_at)));
    }
    first = std::min({first, m_offers.next_deadline(), m_links.next_deadline(),
                      m_configuration.next_deadline(),
                      m_unconfirmed.next_deadline()});
    for (auto const& [node, requester] : m_requesters)
        if (requester.m_draining_since != never)
            first = std::min(first,
                             requester.m_draining_since + link_release_delay);
    for (auto const& [node, requester] : m_requesters)
        if (!requester.m_is_contact_expired)
            first = std::min(first, requester.m_contact_until);
    return std::min(first, m_queue.next_expiry());
}

auto executor::serves_configuration() const -> bool
{
    return stable_hash(m_settings.m_name, "configuration") %
               agents_per_configuration_source ==
           0;
}

auto executor::worker() const -> worker_report const*
{
    return m_worker ? &*m_worker : nullptr;
}

auto executor::running() const -> std::size_t
{
    return m_live.size();
}

auto executor::waiting() const -> std::size_t
{
    return m_queue.size();
}

} // namespace hickorylatch::core
