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

// A start that gets no answer may be carried out until its own lease has run
// out; a short one tells sooner that it was not. The next poll extends it.
constexpr auto start_lease = duration{std::chrono::milliseconds{350}};
// A stop that gets no answer is repeated.
constexpr auto stop_retry = duration{std::chrono::milliseconds{80}};
// Loads are sent at most this often, to all entries that are due, so that waits
// are forecast once for all of them.
constexpr auto load_turn = duration{std::chrono::milliseconds{10}};
// A run that takes this much longer than expected makes no progress. Declared
// run times are commonly wrong by a factor of 1.5.
constexpr auto hang_factor = 4.0;
constexpr auto hang_grace = duration{std::chrono::milliseconds{100}};

// Fewer than other processes follow: agents need no configuration of their own,
// and there are more of them.
constexpr auto agent_replicas = std::size_t{2};
// Each entry that an agent serves costs it some messages a second. With four
// workers to an entry an entry knows 40 workers, and the room of a fleet is
// used as if everybody knew everybody (test_links.cpp).
constexpr auto served_entries = std::size_t{10};
// The rest takes up differences between failure domains.
constexpr auto served_near_entries = std::size_t{6};
// One agent of so many holds the configuration. An entry that is served by ten
// agents or more is served by one that does, but for one entry in sixty.
constexpr auto configuration_holders = std::uint64_t{3};
// Orders that are on their way when an entry is told that nothing more is
// accepted arrive within this time.
constexpr auto retirement = duration{std::chrono::milliseconds{300}};

auto to_milliseconds(duration value) -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

/// Ends of durable jobs' runs that the leader must record.
auto is_lasting(run_outcome outcome) -> bool
{
    return outcome == run_outcome::succeeded || outcome == run_outcome::failed;
}

auto count_run(run_outcome outcome) -> observe_metric
{
    return {"hickorylatch_runs_total",
            {{"outcome", std::string{to_string(outcome)}}}};
}

} // namespace

executor::executor(executor_settings settings)
    : m_settings{std::move(settings)}, m_links{{
                                           .m_seeds = m_settings.m_seeds,
                                           .m_name = m_settings.m_name,
                                           .m_failure_domain =
                                               m_settings.m_failure_domain,
                                           .m_controls = agent_replicas,
                                           .m_entries = served_entries,
                                           .m_near_entries =
                                               served_near_entries,
                                       }},
      m_configuration{m_settings.m_name}
{
}

auto executor::connected(time_point now, hello const& peer, effects& out)
    -> void
{
    m_links.opened(peer);
    update_links(now, out);
    // The leader of the control group makes itself known by a message.
    if (peer.m_role != role::entry)
        return;
    open_contact(peer.m_node).m_address = peer.m_address;
    m_claims.connected(peer.m_node);
    // What was sent on an earlier link may be lost.
    for (auto& job : m_claims.wanted_of(peer.m_node))
        out.emplace_back(send{peer.m_node, yield_job{std::move(job)}});
    settle(now, out);
}

auto executor::update_links(time_point now, effects& out) -> void
{
    m_links.update(now, out);
    for (auto& [node, entry] : m_contacts)
    {
        auto const is_retired = entry.m_retired_at != never;
        if (!is_retired && m_links.is_retiring(entry.m_address))
            entry.m_retired_at = now;
        else if (is_retired && m_links.is_chosen(entry.m_address))
            entry.m_retired_at = never;
        else
            continue;
        entry.m_loads.changed();
    }
}

auto executor::is_idle(contacts::value_type const& each) const -> bool
{
    auto const& [node, entry] = each;
    auto const is_its = [node = node](auto const& run)
    {
        return run.second.m_job->m_entry == node;
    };
    return entry.m_unconfirmed.empty() && entry.m_new_ends.empty() &&
           std::ranges::none_of(m_live, is_its) &&
           std::ranges::none_of(m_queue.all(), is_its);
}

auto executor::open_contact(node_id peer) -> contact&
{
    auto& entry = m_contacts[peer];
    entry.m_is_connected = true;
    entry.m_is_announced = false;
    entry.m_retired_at = never;
    entry.m_told_version = 0;
    entry.m_loads = {};
    // Numbers of orders count per link, and reservations end with it.
    entry.m_last_order = 0;
    m_queue.release(peer, std::nullopt);
    m_offers.drop(peer);
    return entry;
}

auto executor::leader() -> contacts::iterator
{
    return std::ranges::find_if(m_contacts,
                                [](auto const& each)
                                {
                                    return each.second.m_term != 0;
                                });
}

auto executor::on(node_id from, lead_jobs const& news, effects& out) -> void
{
    if (news.m_term < m_leader_term)
        return;
    m_leader_term = news.m_term;
    auto const before = leader();
    auto old = std::optional<contacts::value_type>{};
    if (before != m_contacts.end() && before->first != from)
    {
        old.emplace(*before);
        m_contacts.erase(before);
    }
    auto& present = open_contact(from);
    present.m_term = news.m_term;
    if (old)
        hand_over(*old, from, present);
    tell_found_ends();
    out.emplace_back(
        log_line{log_level::info,
                 "jobs_leader_known",
                 {{"leader", node_field(from)},
                  {"term", std::to_string(news.m_term)},
                  {"before", old ? node_field(old->first) : "none"}}});
}

auto executor::hand_over(contacts::value_type const& old, node_id to,
                         contact& present) -> void
{
    auto const& [before, state] = old;
    present.m_until = state.m_until;
    present.m_is_expired = state.m_is_expired;
    present.m_unconfirmed = state.m_unconfirmed;
    present.m_new_ends = state.m_new_ends;
    present.m_unmatched_ends = state.m_unmatched_ends;
    present.m_new_numbers = state.m_new_numbers;
    m_queue.release(before, std::nullopt);
    m_offers.drop(before);
    for (auto& [key, run] : m_live)
        if (run.m_job->m_entry == before)
            run.m_job->m_entry = to;
    for (auto const& [place, run] : m_queue.all())
        if (run.m_job->m_entry == before)
            run.m_job->m_entry = to;
}

auto executor::tell_found_ends() -> void
{
    auto const present = leader();
    if (present == m_contacts.end())
        return;
    for (auto& [number, end] : std::exchange(m_unmatched_ends, {}))
    {
        present->second.m_new_numbers.push_back(number);
        present->second.m_unmatched_ends.push_back(std::move(end));
    }
}

auto executor::disconnected(time_point now, node_id peer, effects& out) -> void
{
    m_links.closed(now, peer);
    update_links(now, out);
    m_configuration.disconnected(now, peer, out);
    auto const found = m_contacts.find(peer);
    if (found == m_contacts.end())
        return;
    found->second.m_is_connected = false;
    m_claims.disconnected(now, peer);
    m_queue.release(peer, std::nullopt);
    m_offers.drop(peer);
    settle(now, out);
}

auto executor::receive(time_point now, node_id from, message const& incoming,
                       effects& out) -> void
{
    if (auto const* order = std::get_if<order_runs>(&incoming))
        on(now, from, *order, out);
    else if (auto const* back = std::get_if<withdraw_runs>(&incoming))
        on(now, from, *back, out);
    else if (auto const* news = std::get_if<contact_confirmed>(&incoming))
        on(now, from, *news, out);
    else if (m_configuration.receive(now, from, incoming, out))
        ;
    else if (auto const* known = std::get_if<process_list>(&incoming))
    {
        m_links.follow(from, *known);
        update_links(now, out);
    }
    else if (auto const* leading = std::get_if<lead_jobs>(&incoming))
        on(from, *leading, out);
    else if (auto const* wanted = std::get_if<reserve_room>(&incoming))
        on(now, from, *wanted, out);
    else if (auto const* declined = std::get_if<decline_room>(&incoming))
        m_offers.take(from, declined->m_offer);
    else if (auto const* released = std::get_if<release_room>(&incoming))
        m_queue.release(from, released->m_job);
    else if (auto const* claimed = std::get_if<claim_job>(&incoming))
        return on(now, from, *claimed, out);
    else if (auto const* yielded = std::get_if<job_yielded>(&incoming))
    {
        if (auto const next = m_claims.pass_on(from, yielded->m_job_id);
            next != no_node)
            out.emplace_back(
                send{next, claim_answer{yielded->m_job_id, true, 0}});
        return;
    }
    else
        return;
    settle(now, out);
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
            m_claims.pass_on(holder, id);
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
    auto const found = m_contacts.find(from);
    if (found == m_contacts.end())
        return;
    auto& entry = found->second;
    entry.m_last_order = order.m_order;
    m_is_load_changed = true;
    auto job = std::make_shared<ordered_job>();
    job->m_entry = from;
    job->m_id = order.m_job_id;
    job->m_body = order.m_body;
    job->m_rank = order.m_rank;
    job->m_deadline = now + std::chrono::milliseconds{order.m_time_left_ms};
    auto const held = m_offers.take(from, order.m_offer);
    auto left = held ? held->m_count : 0;
    for (auto const& each : order.m_runs)
    {
        auto run = waiting_run{};
        run.m_job = job;
        run.m_ref = {order.m_job, each.m_task, each.m_run};
        run.m_needs = each.m_needs;
        run.m_expected = std::chrono::milliseconds{each.m_expected_ms};
        run.m_queued_at = now;
        m_probe = each.m_needs;
        auto const is_held = left != 0 && held->m_needs == run.m_needs;
        auto const why = refusal(now, run, entry);
        if (why != reason::none)
            refuse(now, run, why, out);
        else if (is_held && free_room().fits(run.m_needs) &&
                 !m_live.contains({job->m_id, run.m_ref.m_task}))
        {
            --left;
            start(now, run, out);
        }
        else if (each.m_must_start_now && !can_start(run))
            refuse(now, run, reason::queue_full, out);
        else
            m_queue.add(std::move(run));
    }
}

auto executor::refusal(time_point now, waiting_run const& wanted,
                       contact const& entry) const -> reason
{
    if (accepts(now) == acceptance::none || entry.m_retired_at != never)
        return m_is_stopping ? reason::draining : reason::no_capacity;
    if (entry.m_until <= now)
        return reason::lease_expired;
    return m_worker->m_capacity.fits(wanted.m_needs) ? reason::none
                                                     : reason::no_capacity;
}

auto executor::on(time_point now, node_id from, reserve_room const& wanted,
                  effects& out) -> void
{
    auto const found = m_contacts.find(from);
    if (found == m_contacts.end() || wanted.m_count == 0)
        return;
    found->second.m_last_order = wanted.m_order;
    m_is_load_changed = true;
    auto job = std::make_shared<ordered_job>();
    job->m_entry = from;
    job->m_rank = wanted.m_rank;
    job->m_deadline = now + std::chrono::milliseconds{wanted.m_time_left_ms};
    auto reserved = waiting_run{};
    reserved.m_job = std::move(job);
    reserved.m_ref = {wanted.m_job, {wanted.m_step, 0}, 0};
    reserved.m_needs = wanted.m_needs;
    reserved.m_expected = std::chrono::milliseconds{wanted.m_expected_ms};
    reserved.m_queued_at = now;
    reserved.m_reserved = wanted.m_count;
    reserved.m_share = wanted.m_share_permille / 1000.0;
    m_probe = wanted.m_needs;
    // The entry looks for another worker when this one can't serve it.
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
                return each.second.m_job->m_entry == from &&
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

auto executor::on(time_point now, node_id from, contact_confirmed const& news,
                  effects& out) -> void
{
    auto const found = m_contacts.find(from);
    if (found == m_contacts.end())
        return;
    auto& entry = found->second;
    auto const timeout =
        entry.m_term == 0 ? entry_contact_timeout : leader_contact_timeout;
    entry.m_until = std::max(entry.m_until, news.m_sent_at + timeout);
    entry.m_is_expired = entry.m_until <= now;
    entry.m_loads.set_interval(
        std::chrono::milliseconds{news.m_load_interval_ms});
    auto const version = m_configuration.config().m_version;
    if (news.m_version < version && entry.m_told_version < version)
    {
        entry.m_told_version = version;
        out.emplace_back(send{from, configuration_notice{version}});
    }
    while (!entry.m_unconfirmed.empty() &&
           entry.m_unconfirmed.front().m_number <= news.m_acknowledged_ends)
        entry.m_unconfirmed.pop_front();
    if (entry.m_term != 0)
        release_ends(news.m_acknowledged_ends);
}

auto executor::release_ends(std::uint64_t confirmed) -> void
{
    std::erase_if(m_unrecorded,
                  [confirmed](auto const& each)
                  {
                      return each.second != 0 && each.second <= confirmed;
                  });
}

auto executor::has_unacknowledged() const -> bool
{
    return m_is_poll_due || acknowledgeable() > m_acknowledged;
}

auto executor::acknowledgeable() const -> std::uint64_t
{
    return m_unrecorded.empty()
               ? m_listed
               : std::min(m_listed, m_unrecorded.begin()->first - 1);
}

auto executor::begin_lapse(time_point now, effects& out) -> void
{
    if (std::exchange(m_is_lapsing, true))
        return;
    m_is_load_changed = true;
    out.emplace_back(log_line{
        log_level::warning,
        "worker_lease_left_to_lapse",
        {{"worker", m_worker ? m_worker->m_name : ""},
         {"unrecorded_ends", std::to_string(m_unrecorded.size())},
         {"left_ms",
          ms_field(m_clock.certainly_reached(m_lease_until_ms) - now)}}});
}

auto executor::reported(time_point now, worker_report const& report,
                        effects& out) -> void
{
    auto const is_same = m_worker && m_worker->m_name == report.m_name &&
                         m_worker->m_incarnation == report.m_incarnation;
    if (m_worker && !is_same)
    {
        // A delayed report of an earlier lifetime.
        if (report.m_incarnation < m_worker->m_incarnation &&
            m_polls.is_reachable())
            return;
        out.emplace_back(
            log_line{log_level::info,
                     "worker_replaced",
                     {{"worker", m_worker->m_name},
                      {"by", report.m_name},
                      {"runs_lost", std::to_string(m_live.size())}}});
        lose_worker(now, out);
        m_worker.reset();
    }
    if (is_same && report.m_sequence <= m_worker->m_sequence)
        return;
    if (!m_worker)
        begin_lifetime(now, report, out);
    auto const is_changed = report.m_is_accepting != m_worker->m_is_accepting ||
                            report.m_capacity != m_worker->m_capacity ||
                            report.m_labels != m_worker->m_labels ||
                            report.m_service != m_worker->m_service;
    m_clock.observe(now, report.m_clock_ms);
    m_worker = report;
    if (is_changed)
    {
        out.emplace_back(
            log_line{log_level::info,
                     "worker_changed",
                     {{"worker", report.m_name},
                      {"accepting", report.m_is_accepting ? "yes" : "no"},
                      {"sequence", std::to_string(report.m_sequence)}}});
        for (auto& [node, entry] : m_contacts)
            entry.m_is_announced = false;
    }
    settle(now, out);
}

auto executor::begin_lifetime(time_point now, worker_report const& report,
                              effects& out) -> void
{
    m_worker = report;
    m_clock.reset();
    m_clock.observe(now, report.m_clock_ms);
    // The worker's clock only rises in its lifetime, so a restarted agent gets
    // a higher token than the one before it.
    m_token = static_cast<std::uint64_t>(
        std::max(report.m_clock_ms, std::int64_t{1}));
    m_listed = 0;
    m_acknowledged = 0;
    m_unrecorded.clear();
    m_unmatched_ends.clear();
    m_is_lapsing = false;
    m_lease_until_ms = 0;
    m_polls.reset();
    m_listed_at = {};
    m_is_surveyed = false;
    m_strays.clear();
    m_health = {};
    m_pace = {};
    m_probe = {};
    // Runs of an earlier process of this agent are found by the first poll.
    m_is_poll_due = true;
    for (auto& [node, entry] : m_contacts)
        entry.m_is_announced = false;
    out.emplace_back(log_line{
        log_level::info,
        "worker_joined",
        {{"worker", report.m_name},
         {"incarnation", std::to_string(report.m_incarnation)},
         {"service", report.m_service},
         {"millicores", std::to_string(report.m_capacity.m_millicores)},
         {"token", std::to_string(m_token)}}});
}

auto executor::left(time_point now, worker_left const& news, effects& out)
    -> void
{
    if (!m_worker || m_worker->m_name != news.m_name)
        return;
    out.emplace_back(log_line{log_level::info,
                              "worker_left",
                              {{"worker", news.m_name},
                               {"runs_lost", std::to_string(m_live.size())}}});
    lose_worker(now, out);
    m_worker->m_is_accepting = false;
    m_polls.lose(now);
    settle(now, out);
}

auto executor::lose_worker(time_point now, effects& out) -> void
{
    while (!m_live.empty())
        finish(now, m_live.begin(), run_outcome::lapsed, reason::agent_lost,
               out);
    m_offers.clear();
    while (m_queue.size() != 0)
    {
        refuse(now, m_queue.all().begin()->second, reason::no_capacity, out);
        m_queue.erase(m_queue.all().begin());
    }
    m_is_load_changed = true;
}

auto executor::answered(time_point now, run_start_answered const& answer,
                        effects& out) -> void
{
    m_clock.observe(now, answer.m_clock_ms);
    auto const found =
        m_live.find({answer.m_run.m_job_id, answer.m_run.m_task});
    if (found == m_live.end() || found->second.m_number != answer.m_run.m_run ||
        found->second.m_state != run_state::starting)
        return;
    auto& run = found->second;
    m_is_load_changed = true;
    switch (answer.m_answer)
    {
    case worker_answer::accepted:
        confirm_start(now, *found, out);
        break;
    case worker_answer::unknown:
        run.m_state = run_state::unsure;
        run.m_unsure_at = now;
        run.m_stop_again_at = now;
        m_polls.suspect(now);
        m_polls.want_list();
        break;
    case worker_answer::fenced:
        raise_token(now);
        order_start(now, *found, out);
        break;
    case worker_answer::outdated:
        ++run.m_number;
        order_start(now, *found, out);
        break;
    case worker_answer::late:
        order_start(now, *found, out);
        break;
    default:
        out.emplace_back(
            log_line{log_level::warning,
                     "run_not_started",
                     {{"run", run_field(answer.m_run.m_job_id,
                                        answer.m_run.m_task, run.m_number)},
                      {"answer", std::string{to_string(answer.m_answer)}}}});
        finish(now, found, run_outcome::refused, reason::no_capacity, out);
    }
    settle(now, out);
}

auto executor::answered(time_point now, run_stop_answered const& answer,
                        effects& out) -> void
{
    m_clock.observe(now, answer.m_clock_ms);
    if (answer.m_answer == worker_answer::fenced)
        raise_token(now);
    auto const found =
        m_live.find({answer.m_run.m_job_id, answer.m_run.m_task});
    if (found != m_live.end() && found->second.m_number == answer.m_run.m_run &&
        found->second.m_state == run_state::unsure)
    {
        if (answer.m_answer == worker_answer::accepted)
            found->second.m_revoked_at = now;
        else
            found->second.m_stop_again_at = now;
        m_polls.want_list();
    }
    settle(now, out);
}

auto executor::answered(time_point now, runs_polled const& answer, effects& out)
    -> void
{
    auto const is_usable = answer.m_answer == worker_answer::accepted &&
                           m_worker &&
                           (answer.m_incarnation == 0 ||
                            answer.m_incarnation == m_worker->m_incarnation);
    m_clock.observe(now, answer.m_clock_ms);
    if (!is_usable)
        poll_failed(now, answer, out);
    else
    {
        auto const was_reachable = m_polls.is_reachable();
        auto const sent_at = m_polls.answered(now, answer.m_poll);
        if (!sent_at)
            return;
        if (!was_reachable)
        {
            m_is_load_changed = true;
            out.emplace_back(log_line{log_level::info,
                                      "worker_regained",
                                      {{"worker", m_worker->m_name}}});
        }
        for (auto const& ended : answer.m_ended)
            take_end(now, ended, out);
        if (*sent_at >= m_listed_at)
            take_list(now, *sent_at, answer, out);
    }
    settle(now, out);
}

auto executor::poll_failed(time_point now, runs_polled const& answer,
                           effects& out) -> void
{
    auto const was_reachable = m_polls.is_reachable();
    if (!m_polls.failed(now, answer.m_poll))
        return;
    // The acknowledgement may be lost with it.
    m_is_poll_due = true;
    if (answer.m_answer == worker_answer::fenced)
        raise_token(now);
    // Another lifetime answers: nothing of the old one runs any more.
    if (answer.m_answer == worker_answer::other_lifetime ||
        answer.m_answer == worker_answer::accepted)
    {
        m_polls.lose(now);
        lose_worker(now, out);
    }
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

auto executor::take_end(time_point now, ended_run const& ended, effects& out)
    -> void
{
    if (ended.m_number <= m_listed)
        return;
    m_listed = ended.m_number;
    auto const found = m_live.find({ended.m_run.m_job_id, ended.m_run.m_task});
    if (found != m_live.end() && found->second.m_number == ended.m_run.m_run)
        return finish(now, found, ended.m_outcome, reason::none, out,
                      ended.m_number);
    // A run of an earlier process of this agent. It may belong to a job that
    // must survive.
    if ((m_is_surveyed && m_strays.empty()) || !is_lasting(ended.m_outcome))
        return;
    m_unrecorded[ended.m_number] = 0;
    m_unmatched_ends.emplace_back(
        ended.m_number, unmatched_end{ended.m_run.m_job_id, ended.m_run.m_task,
                                      ended.m_outcome});
    tell_found_ends();
}

auto executor::take_list(time_point now, time_point sent_at,
                         runs_polled const& answer, effects& out) -> void
{
    m_listed_at = sent_at;
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
        auto const has_started = run.m_state == run_state::running ||
                                 run.m_state == run_state::stopping;
        if (run.m_state == run_state::unsure)
            settle_unsure(now, current, is_listed, sent_at, out);
        else if (has_started && run.m_confirmed_at <= sent_at && !is_listed)
            finish(now, current, run_outcome::lapsed, reason::agent_lost, out);
    }
    m_is_load_changed =
        m_is_load_changed || !m_is_surveyed || !m_strays.empty();
    m_is_surveyed = true;
    stop_strays(now, std::move(strays), out);
}

auto executor::settle_unsure(time_point now, live_runs::iterator run,
                             bool is_listed, time_point sent_at, effects& out)
    -> void
{
    auto& state = run->second;
    if (is_listed)
        confirm_start(now, *run, out);
    else if (sent_at >= state.m_revoked_at)
        finish(now, run, run_outcome::refused, reason::agent_lost, out);
    else if (sent_at >= state.m_unsure_at && now >= state.m_stop_again_at)
    {
        // Not there: a stop keeps the order from being carried out later.
        state.m_stop_again_at = now + stop_retry;
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
        if (run.m_reserved != 0)
        {
            // A worker on trial gets one run at a time.
            if (accepts(now) == acceptance::trial &&
                (!m_live.empty() || !m_offers.empty()))
                return;
            next = offer(now, next, out);
            continue;
        }
        auto const key = live_key{run.m_job->m_id, run.m_ref.m_task};
        if (auto const older = m_live.find(key); older != m_live.end())
        {
            // The job was sent again to another entry; one run at a time.
            auto& first = older->second;
            first.m_is_superseded = first.m_job->m_entry != run.m_job->m_entry;
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
    auto const count = std::min(
        run.m_reserved, is_trial ? 1 : free_room().fit_count(run.m_needs));
    auto const entry = run.m_job->m_entry;
    auto const number = m_offers.add(now, entry, run.m_needs, count);
    out.emplace_back(send{entry, offer_room{number, run.m_ref.m_job,
                                            run.m_ref.m_task.m_step, count}});
    m_is_load_changed = true;
    return m_queue.offered(reserved, count);
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
    run.m_state = run_state::starting;
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
    started.second.m_state = run_state::running;
    started.second.m_confirmed_at = now;
    if (started.second.m_is_unwanted)
        order_stop(now, started, out);
}

auto executor::order_stop(time_point now, live_runs::value_type& wanted,
                          effects& out) -> void
{
    auto& run = wanted.second;
    // A start without an answer can't be stopped before it shows up.
    run.m_is_unwanted = true;
    if (run.m_state != run_state::running)
        return;
    run.m_state = run_state::stopping;
    run.m_stop_again_at = now + stop_retry;
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
    learn(now, run, outcome);
    log_end(now, job, run, outcome, why, out);
    auto const contact = m_contacts.find(run.m_job->m_entry);
    if (contact == m_contacts.end())
        return;
    auto report = run_end{};
    report.m_run = run.m_ref;
    report.m_outcome = outcome;
    report.m_reason = run.m_is_hung         ? reason::call_failed
                      : run.m_is_superseded ? reason::superseded
                                            : why;
    report.m_run_ms = whole_ms(now - run.m_started_at);
    contact->second.m_new_ends.push_back(report);
    if (contact->second.m_term == 0 || number == 0 || !is_lasting(outcome))
        return;
    m_unrecorded[number] = 0;
    contact->second.m_new_numbers.push_back(number);
    if (contact->second.m_is_expired)
        begin_lapse(now, out);
}

auto executor::log_end(time_point now, std::string const& job,
                       live_run const& run, run_outcome outcome, reason why,
                       effects& out) const -> void
{
    out.emplace_back(
        log_line{log_level::info,
                 "run_ended",
                 {{"run", run_field(job, run.m_ref.m_task, run.m_number)},
                  {"entry", node_field(run.m_job->m_entry)},
                  {"outcome", std::string{to_string(outcome)}},
                  {"reason", std::string{to_string(why)}},
                  {"hung", run.m_is_hung ? "yes" : "no"},
                  {"queued_ms", ms_field(run.m_started_at - run.m_queued_at)},
                  {"ran_ms", ms_field(now - run.m_started_at)},
                  {"expected_ms", ms_field(run.m_expected)}}});
    out.emplace_back(count_run(outcome));
    if (outcome != run_outcome::succeeded)
        return;
    out.emplace_back(
        observe_metric{"hickorylatch_run_wait_seconds",
                       {},
                       to_seconds(run.m_started_at - run.m_queued_at)});
    out.emplace_back(observe_metric{
        "hickorylatch_run_seconds", {}, to_seconds(now - run.m_started_at)});
}

auto executor::learn(time_point now, live_run const& ended, run_outcome outcome)
    -> void
{
    if (outcome == run_outcome::succeeded)
    {
        m_health.record_success(now);
        m_pace.observe(now, ended.m_expected, now - ended.m_started_at);
    }
    else if (outcome == run_outcome::failed || ended.m_is_hung)
        m_health.record_failure(now);
    else
        m_health.record_release();
}

auto executor::refuse(time_point now, waiting_run const& refused, reason why,
                      effects& out) -> void
{
    if (refused.m_reserved != 0)
    {
        out.emplace_back(
            send{refused.m_job->m_entry,
                 reservation_dropped{refused.m_ref.m_job,
                                     refused.m_ref.m_task.m_step}});
        return;
    }
    out.emplace_back(
        log_line{log_level::info,
                 "run_refused",
                 {{"run", run_field(refused.m_job->m_id, refused.m_ref.m_task,
                                    refused.m_ref.m_run)},
                  {"entry", node_field(refused.m_job->m_entry)},
                  {"reason", std::string{to_string(why)}},
                  {"queued_ms", ms_field(now - refused.m_queued_at)},
                  {"waiting", std::to_string(m_queue.size())}}});
    out.emplace_back(count_run(run_outcome::refused));
    auto const contact = m_contacts.find(refused.m_job->m_entry);
    if (contact == m_contacts.end())
        return;
    contact->second.m_new_ends.push_back(
        {refused.m_ref, run_outcome::refused, why, 0});
}

auto executor::tick(time_point now, effects& out) -> void
{
    check_runs(now, out);
    check_contacts(now, out);
    check_links(now, out);
    m_configuration.tick(now, out);
    if (auto const expired = m_offers.expire(now); expired != 0)
        out.emplace_back(log_line{log_level::warning,
                                  "offers_expired",
                                  {{"offers", std::to_string(expired)}}});
    settle(now, out);
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
    // Without a poll that is answered, the lease runs out and everything ends.
    auto const lapse_at = m_clock.certainly_reached(m_lease_until_ms);
    if (!m_polls.is_reachable() && !m_live.empty() && now >= lapse_at)
    {
        out.emplace_back(log_line{log_level::warning,
                                  "runs_lapsed",
                                  {{"worker", m_worker ? m_worker->m_name : ""},
                                   {"runs", std::to_string(m_live.size())}}});
        lose_worker(now, out);
        return;
    }
    if (m_is_lapsing && now >= lapse_at)
    {
        m_is_lapsing = false;
        m_is_load_changed = true;
    }
    for (auto each = m_live.begin(); each != m_live.end();)
    {
        auto const current = each++;
        auto& run = current->second;
        // It may have started before its lease ran out and run on under that
        // of a poll, so only a list that is asked for now tells.
        if (run.m_state == run_state::unsure && run.m_revoked_at == never &&
            now >= m_clock.certainly_reached(run.m_lease_until_ms))
        {
            run.m_revoked_at = now;
            m_polls.want_list();
        }
        if (run.m_state == run_state::running && !run.m_is_hung &&
            run.m_expected > duration{0} &&
            now - run.m_started_at >= hang_limit(now, run))
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
        else if (now >= run.m_stop_again_at &&
                 run.m_state == run_state::stopping)
        {
            run.m_state = run_state::running;
            order_stop(now, *current, out);
        }
    }
}

auto executor::hang_limit(time_point now, live_run const& run) const -> duration
{
    auto const expected =
        std::chrono::duration<double, duration::period>(run.m_expected) *
        hang_factor * std::max(m_pace.slowness(now), 1.0);
    return std::chrono::duration_cast<duration>(expected) + hang_grace;
}

auto executor::check_contacts(time_point now, effects& out) -> void
{
    for (auto each = m_contacts.begin(); each != m_contacts.end();)
    {
        auto const current = each++;
        if (current->second.m_until > now)
            continue;
        auto const node = current->first;
        auto const is_new = !std::exchange(current->second.m_is_expired, true);
        auto has_runs = false;
        for (auto& live : m_live)
        {
            if (live.second.m_job->m_entry != node)
                continue;
            has_runs = true;
            if (is_new)
                order_stop(now, live, out);
        }
        if (is_new && current->second.m_term != 0 && !m_unrecorded.empty())
            begin_lapse(now, out);
        if (is_new && has_runs)
            out.emplace_back(log_line{log_level::warning,
                                      "entry_contact_lost",
                                      {{"entry", node_field(node)}}});
        for (auto run = m_queue.all().begin(); run != m_queue.all().end();)
        {
            auto const is_its = run->second.m_job->m_entry == node;
            if (is_its)
                refuse(now, run->second, reason::lease_expired, out);
            run = is_its ? m_queue.erase(run) : std::next(run);
        }
        // The next leader is told of ends that this one did not record.
        auto const is_needed = current->second.m_term != 0 &&
                               !current->second.m_unconfirmed.empty();
        if (!has_runs && !current->second.m_is_connected && !is_needed)
            m_contacts.erase(current);
    }
}

auto executor::check_links(time_point now, effects& out) -> void
{
    auto is_changed = now >= m_links.next_deadline();
    for (auto& each : m_contacts)
    {
        auto& entry = each.second;
        if (entry.m_retired_at == never ||
            now < entry.m_retired_at + retirement)
            continue;
        if (is_idle(each))
        {
            m_links.release(entry.m_address);
            is_changed = true;
        }
        else
            entry.m_retired_at = now;
    }
    if (is_changed)
        update_links(now, out);
}

auto executor::drop_late(time_point now, effects& out) -> void
{
    while (m_queue.first_late_at() <= now)
    {
        auto const late = m_queue.first_late();
        refuse(now, late->second, reason::deadline, out);
        m_is_load_changed = true;
        m_queue.erase(late);
    }
}

auto executor::settle(time_point now, effects& out) -> void
{
    drop_late(now, out);
    if (accepts(now) != acceptance::none)
        dispatch(now, out);
    poll(now, out);
    send_ends(out);
    for (auto& [node, entry] : m_contacts)
        if (entry.m_is_connected && !entry.m_is_announced && m_worker)
            announce(node, entry, out);
    send_load(now, out);
}

auto executor::poll(time_point now, effects& out) -> void
{
    if (!m_worker)
        return;
    auto const has_runs = !m_live.empty() || !m_strays.empty();
    m_polls.hold_ends(acknowledgeable() < m_listed);
    while (auto const due = m_polls.next(now, has_runs, has_unacknowledged()))
    {
        auto order = poll_runs{};
        order.m_poll = due->m_number;
        order.m_target = target();
        order.m_acknowledged = m_acknowledged = acknowledgeable();
        order.m_wait_ms = whole_ms(due->m_wait);
        // A worker that does not answer is left to let its runs lapse.
        if (m_polls.is_reachable() && !m_live.empty() && !m_is_lapsing)
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
    for (auto& [node, entry] : m_contacts)
    {
        if (entry.m_new_ends.empty() && entry.m_unmatched_ends.empty())
            continue;
        auto news =
            runs_ended{++m_last_ends, std::exchange(entry.m_new_ends, {}),
                       std::exchange(entry.m_unmatched_ends, {})};
        for (auto const number : std::exchange(entry.m_new_numbers, {}))
            if (auto const held = m_unrecorded.find(number);
                held != m_unrecorded.end())
                held->second = news.m_number;
        entry.m_unconfirmed.push_back(news);
        if (entry.m_is_connected && entry.m_is_announced)
            out.emplace_back(send{node, std::move(news)});
    }
}

auto executor::announce(node_id to, contact& entry, effects& out) -> void
{
    auto news = worker_announcement{};
    news.m_worker = *m_worker;
    news.m_failure_domain = m_settings.m_failure_domain;
    news.m_last_order = entry.m_last_order;
    for (auto const& [key, run] : m_live)
        if (run.m_job->m_entry == to)
            news.m_runs.push_back(run.m_ref);
    for (auto const& [place, run] : m_queue.all())
        if (run.m_job->m_entry == to && run.m_reserved == 0)
            news.m_runs.push_back(run.m_ref);
    for (auto const& ends : entry.m_unconfirmed)
        out.emplace_back(send{to, ends});
    out.emplace_back(send{to, std::move(news)});
    entry.m_is_announced = true;
    entry.m_loads.changed();
}

auto executor::send_load(time_point now, effects& out) -> void
{
    if (!m_worker)
        return;
    if (std::exchange(m_is_load_changed, false))
        for (auto& [node, entry] : m_contacts)
            entry.m_loads.changed();
    if (now < m_load_sent_at + load_turn)
        return;
    auto news = std::optional<worker_load>{};
    for (auto& [node, entry] : m_contacts)
    {
        if (!entry.m_is_connected || !entry.m_is_announced ||
            now < entry.m_loads.due_at())
            continue;
        if (!news)
            news = load(now);
        news->m_last_order = entry.m_last_order;
        auto told = *news;
        if (entry.m_retired_at != never)
            told.m_accepts = acceptance::none;
        out.emplace_back(send{node, std::move(told)});
        entry.m_loads.sent(now);
        m_load_sent_at = now;
    }
}

auto executor::load(time_point now) const -> worker_load
{
    auto news = worker_load{};
    news.m_accepts = accepts(now);
    news.m_free = free_room();
    news.m_sent_at = now;
    auto const slowness = m_pace.slowness(now);
    news.m_slowness_permille = static_cast<std::uint32_t>(slowness * 1000);
    auto releases = std::vector<room_release>{};
    for (auto const& [key, run] : m_live)
    {
        auto const expected = scaled(run.m_expected, slowness);
        releases.push_back(
            {std::max(now, run.m_started_at + expected), run.m_needs});
    }
    news.m_waits =
        forecast_waits(now, m_queue, news.m_free, std::move(releases), m_probe);
    return news;
}

auto executor::accepts(time_point now) const -> acceptance
{
    if (m_is_stopping || m_is_lapsing || !m_worker ||
        !m_worker->m_is_accepting || !m_polls.is_reachable() ||
        !m_is_surveyed || !m_strays.empty())
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
    return {m_worker->m_name, m_token};
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
    m_is_load_changed = true;
    while (m_queue.size() != 0)
    {
        refuse(now, m_queue.all().begin()->second, reason::draining, out);
        m_queue.erase(m_queue.all().begin());
    }
    settle(now, out);
}

auto executor::is_idle() const -> bool
{
    return m_is_stopping && m_live.empty() && m_queue.size() == 0 &&
           !has_unacknowledged();
}

auto executor::next_deadline() const -> time_point
{
    auto first = never;
    if (m_worker)
        first = std::min(first, m_polls.next_deadline());
    for (auto const& [node, entry] : m_contacts)
        if (m_worker && entry.m_is_connected && entry.m_is_announced)
            first = std::min(first, std::max(entry.m_loads.due_at(),
                                             m_load_sent_at + load_turn));
    if (m_is_lapsing || (!m_polls.is_reachable() && !m_live.empty()))
        first = std::min(first, m_clock.certainly_reached(m_lease_until_ms));
    for (auto const& [key, run] : m_live)
    {
        if (run.m_state == run_state::stopping)
            first = std::min(first, run.m_stop_again_at);
        if (run.m_state == run_state::unsure && run.m_revoked_at == never)
            first = std::min(first,
                             m_clock.certainly_reached(run.m_lease_until_ms));
        if (run.m_state == run_state::running && !run.m_is_hung &&
            run.m_expected > duration{0})
            first = std::min(first, run.m_started_at +
                                        hang_limit(run.m_started_at, run));
    }
    first = std::min({first, m_offers.next_deadline(), m_links.next_deadline(),
                      m_configuration.next_deadline()});
    for (auto const& [node, entry] : m_contacts)
        if (entry.m_retired_at != never)
            first = std::min(first, entry.m_retired_at + retirement);
    for (auto const& [node, entry] : m_contacts)
        if (!entry.m_is_expired)
            first = std::min(first, entry.m_until);
    return std::min(first, m_queue.first_late_at());
}

auto executor::holds_configuration() const -> bool
{
    return stable_hash(m_settings.m_name, "configuration") %
               configuration_holders ==
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
