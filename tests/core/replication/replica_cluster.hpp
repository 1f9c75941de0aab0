#ifndef HICKORYLATCH_TESTS_CORE_REPLICA_CLUSTER_HPP
#define HICKORYLATCH_TESTS_CORE_REPLICA_CLUSTER_HPP

#include "core/model/event.hpp"
#include "core/replication/replica.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace hickorylatch::core::testing
{

/// Probabilities of faults per message and per write.
struct fault_rates
{
    double m_drop = 0;
    double m_duplicate = 0;
    double m_long_delay = 0;
    /// Crash just before or just after a write reaches the disk.
    double m_crash_at_sync = 0;
};

using payload = unix_milliseconds;

/// One simulated process and its disk.
struct host
{
    std::unique_ptr<replica> m_replica;
    recovered_state m_disk;
    std::deque<append_log> m_writes;
    std::deque<snapshot> m_saves;
    /// Payloads applied so far, each followed by a comma; also the state that
    /// snapshots hold.
    std::string m_applied;
    /// Monotonic clock of the process minus virtual time; changes at each
    /// start.
    duration m_clock_offset{0};
    time_point m_paused_until{0};
    time_point m_timer = never;
    unsigned m_epoch = 0;
};

/// Several replicas in one process under virtual time, with simulated links
/// and disks, a client, and a checker that stores the last violation.
class replica_cluster
{
public:
    replica_cluster(std::uint64_t seed, std::size_t size)
        : m_hosts(size), m_random{seed}
    {
        for (auto at = std::size_t{0}; at < size; ++at)
        {
            m_hosts[at].m_disk.m_identity = node_id{++m_last_identity};
            start(at);
        }
    }

    auto bootstrap() -> void
    {
        auto members = std::vector<member>{};
        for (auto const& each : m_hosts)
            members.push_back({each.m_disk.m_identity, "", true});
        handle(0, message_received{no_node, found_group{7, members}});
    }

    auto run_for(duration length) -> void
    {
        auto const end = m_now + length;
        while (m_violation.empty() && !m_events.empty() &&
               m_events.begin()->first <= end)
        {
            auto next = m_events.extract(m_events.begin());
            m_now = next.key();
            next.mapped()();
        }
        m_now = end;
    }

    /// Runs until the condition holds; false if the time limit is reached.
    template <std::predicate Condition>
    auto run_until(Condition condition, duration limit) -> bool
    {
        for (auto const end = m_now + limit; !condition();)
        {
            if (m_now >= end || !m_violation.empty())
                return false;
            run_for(std::chrono::milliseconds{1});
        }
        return true;
    }

    auto start(std::size_t at) -> void
    {
        auto& target = m_hosts[at];
        if (target.m_replica)
            return;
        target.m_clock_offset = duration{random(1'000'000'000)};
        target.m_applied = target.m_disk.m_snapshot.m_data;
        target.m_replica = std::make_unique<replica>(m_settings, target.m_disk);
        handle(at, started{m_random()});
    }

    /// Unsynced writes are lost, except for some that may have reached the disk
    /// without being reported.
    auto crash(std::size_t at, bool may_keep_writes = true) -> void
    {
        auto& target = m_hosts[at];
        while (may_keep_writes && !target.m_writes.empty() && random(2) == 0)
            write_next(target);
        while (may_keep_writes && !target.m_saves.empty() && random(2) == 0)
            save_next(target);
        target.m_writes.clear();
        target.m_saves.clear();
        target.m_replica.reset();
        target.m_paused_until = time_point{0};
        target.m_timer = never;
        ++target.m_epoch;
    }

    auto wipe_disk(std::size_t at) -> void
    {
        crash(at);
        m_hosts[at].m_disk = {};
        m_hosts[at].m_disk.m_identity = node_id{++m_last_identity};
    }

    /// The host that leads with a quorum, or the number of hosts.
    [[nodiscard]] auto leader() const -> std::size_t
    {
        return std::ranges::find_if(m_hosts, is_serving()) - m_hosts.begin();
    }

    /// Proposes payloads at every host that considers itself the leader.
    auto propose(std::uint64_t count = 1) -> void
    {
        for (auto at = std::size_t{0}; at < m_hosts.size(); ++at)
        {
            auto& target = m_hosts[at];
            if (!target.m_replica || m_now < target.m_paused_until)
                continue;
            for (auto left = count; left > 0; --left)
                if (target.m_replica->propose(expire_keys{m_last_payload + 1}))
                    m_proposed[++m_last_payload] = {at, target.m_epoch};
            apply_effects(at, {});
        }
    }

    auto schedule(duration delay, std::function<void()> action) -> void
    {
        m_events.emplace(m_now + delay, std::move(action));
    }

    auto random(std::uint64_t limit) -> std::uint64_t
    {
        return m_random() % limit;
    }

    [[nodiscard]] auto chance(double probability) -> bool
    {
        return std::bernoulli_distribution{probability}(m_random);
    }

    fault_rates m_rates;
    std::vector<host> m_hosts;
    /// Links that drop all messages: from, to.
    std::set<std::pair<std::size_t, std::size_t>> m_blocked_links;
    std::string m_violation;
    time_point m_now{0};
    std::set<payload> m_acknowledged;
    /// Longest applied sequence seen so far.
    std::string m_longest_applied;
    std::uint64_t m_syncs = 0;
    std::uint64_t m_installed_snapshots = 0;
    std::map<term_number, node_id> m_leaders;
    /// Number of the write, over all hosts, at which to crash; 0 for none.
    std::uint64_t m_crash_at_write = 0;
    bool m_is_crash_before_write = false;

private:
    auto handle(std::size_t at, event const& incoming) -> void
    {
        auto out = effects{};
        auto& target = *m_hosts[at].m_replica;
        auto const now = m_now + m_hosts[at].m_clock_offset;
        if (auto const* begun = std::get_if<started>(&incoming))
            target.start(now, begun->m_seed, out);
        if (auto const* got = std::get_if<message_received>(&incoming))
            target.receive(now, got->m_from, got->m_message, out);
        if (auto const* done = std::get_if<log_synced>(&incoming))
            target.synced(now, done->m_write, out);
        if (auto const* saved = std::get_if<snapshot_saved>(&incoming))
            target.snapshot_saved(saved->m_last_index);
        if (std::holds_alternative<timer_fired>(incoming))
            target.tick(now, out);
        apply_effects(at, std::move(out));
    }

    /// Performs the steps of a process after each event.
    auto apply_effects(std::size_t at, effects out) -> void
    {
        auto& target = m_hosts[at];
        apply_committed(target, at, out);
        target.m_replica->flush(m_now + target.m_clock_offset, out);
        for (auto& each : out)
        {
            if (auto* sent = std::get_if<send>(&each))
                perform(at, *sent);
            else if (auto* write = std::get_if<append_log>(&each))
                perform(at, std::move(*write));
            else
                perform(at, std::move(std::get<save_snapshot>(each)));
        }
        set_timer(at);
        check_leaders();
    }

    auto deliver(std::size_t at, unsigned epoch, event const& incoming) -> void
    {
        auto& target = m_hosts[at];
        if (!target.m_replica || target.m_epoch != epoch)
            return;
        if (m_now >= target.m_paused_until)
            return handle(at, incoming);
        schedule(target.m_paused_until - m_now,
                 std::bind_front(&replica_cluster::deliver, this, at, epoch,
                                 incoming));
    }

    auto perform(std::size_t at, send const& sent) -> void
    {
        auto const from = m_hosts[at].m_disk.m_identity;
        auto const arrival =
            std::bind_front(&replica_cluster::arrive, this, at, sent.m_to,
                            message_received{from, sent.m_message});
        for (auto copies = chance(m_rates.m_duplicate) ? 2 : 1; copies > 0;
             --copies)
            if (!chance(m_rates.m_drop))
                schedule(duration{chance(m_rates.m_long_delay)
                                      ? random(2'000'000)
                                      : 500 + random(2'000)},
                         arrival);
    }

    auto arrive(std::size_t from, node_id to, event const& incoming) -> void
    {
        for (auto at = std::size_t{0}; at < m_hosts.size(); ++at)
            if (m_hosts[at].m_disk.m_identity == to &&
                !m_blocked_links.contains({from, at}))
                deliver(at, m_hosts[at].m_epoch, incoming);
    }

    auto perform(std::size_t at, append_log write) -> void
    {
        m_hosts[at].m_writes.push_back(std::move(write));
        schedule(duration{500 + random(5'000)},
                 std::bind_front(&replica_cluster::sync, this, at,
                                 m_hosts[at].m_epoch));
    }

    auto sync(std::size_t at, unsigned epoch) -> void
    {
        auto& target = m_hosts[at];
        if (target.m_epoch != epoch)
            return;
        auto const done = log_synced{target.m_writes.front().m_write};
        auto const is_crash =
            ++m_syncs == m_crash_at_write || chance(m_rates.m_crash_at_sync);
        if (!is_crash || !m_is_crash_before_write)
            write_next(target);
        if (!is_crash)
            return deliver(at, epoch, done);
        crash(at, false);
        schedule(duration{random(2'500'000)},
                 std::bind_front(&replica_cluster::start, this, at));
    }

    static auto write_next(host& target) -> void
    {
        auto& write = target.m_writes.front();
        auto& [identity, hard, saved, entries] = target.m_disk;
        hard = write.m_hard_state.value_or(hard);
        auto const from = write.m_truncate_from;
        while (from != 0 && !entries.empty() && entries.back().m_index >= from)
            entries.pop_back();
        std::ranges::move(write.m_entries, std::back_inserter(entries));
        target.m_writes.pop_front();
    }

    auto perform(std::size_t at, save_snapshot save) -> void
    {
        auto const finish_save = [this, at, epoch = m_hosts[at].m_epoch]
        {
            if (m_hosts[at].m_epoch == epoch)
                deliver(at, epoch, save_next(m_hosts[at]));
        };
        m_hosts[at].m_saves.push_back(std::move(save.m_snapshot));
        schedule(duration{500 + random(50'000)}, finish_save);
    }

    static auto save_next(host& target) -> snapshot_saved
    {
        target.m_disk.m_snapshot = std::move(target.m_saves.front());
        target.m_saves.pop_front();
        auto const last = target.m_disk.m_snapshot.m_last_index;
        auto& entries = target.m_disk.m_entries;
        while (!entries.empty() && entries.front().m_index <= last)
            entries.erase(entries.begin());
        return {last};
    }

    auto set_timer(std::size_t at) -> void
    {
        auto& target = m_hosts[at];
        auto const due = target.m_replica->next_deadline();
        if (due == never || due - target.m_clock_offset >= target.m_timer)
            return;
        target.m_timer = std::max(due - target.m_clock_offset, m_now);
        schedule(target.m_timer - m_now,
                 [this, at, epoch = target.m_epoch]
                 {
                     m_hosts[at].m_timer = never;
                     deliver(at, epoch, timer_fired{});
                 });
    }

    auto apply_committed(host& target, std::size_t at, effects& out) -> void
    {
        auto& applied = target.m_applied;
        if (auto installed = target.m_replica->take_installed_snapshot())
        {
            ++m_installed_snapshots;
            applied = std::move(installed->m_data);
        }
        for (auto const& entry : target.m_replica->take_committed())
        {
            auto const* change = std::get_if<expire_keys>(&entry.m_command);
            auto const value = change != nullptr ? change->m_before : 0;
            auto const committed = std::pair{entry.m_term, value};
            auto const known =
                m_committed.try_emplace(entry.m_index, committed);
            if (known.first->second != committed)
                m_violation = "a committed entry changed";
            if (change == nullptr)
                continue;
            applied += std::to_string(value) + ",";
            if (m_proposed[value] == std::pair{at, target.m_epoch})
                m_acknowledged.insert(value);
        }
        if (applied.size() > m_longest_applied.size() &&
            applied.starts_with(m_longest_applied))
            m_longest_applied = applied;
        if (!m_longest_applied.starts_with(applied))
            m_violation = "applied sequences differ";
        if (chance(0.01))
            target.m_replica->compact(target.m_replica->commit_index(), applied,
                                      out);
    }

    auto check_leaders() -> void
    {
        for (auto const& each : m_hosts)
        {
            if (!each.m_replica || !each.m_replica->is_leader())
                continue;
            auto const self = each.m_disk.m_identity;
            auto const term = each.m_replica->term();
            if (m_leaders.try_emplace(term, self).first->second != self)
                m_violation = "two leaders in one term";
        }
        if (std::ranges::count_if(m_hosts, is_serving()) > 1)
            m_violation = "two leaders with a quorum at one time";
    }

    [[nodiscard]] auto is_serving() const -> std::function<bool(host const&)>
    {
        return [this](host const& each)
        {
            return each.m_replica &&
                   each.m_replica->has_quorum(m_now + each.m_clock_offset);
        };
    }

    std::mt19937_64 m_random;
    replica_settings m_settings{.m_snapshot_part_bytes = 128,
                                .m_promotion_lag_limit = 5};
    std::multimap<time_point, std::function<void()>> m_events;
    std::uint64_t m_last_identity = 0;
    payload m_last_payload = 0;
    std::map<payload, std::pair<std::size_t, unsigned>> m_proposed;
    std::map<log_index, std::pair<term_number, payload>> m_committed;
};

} // namespace hickorylatch::core::testing

#endif
