#ifndef HICKORYLATCH_TESTS_CORE_FAKE_SYSTEM_HPP
#define HICKORYLATCH_TESTS_CORE_FAKE_SYSTEM_HPP

#include "core/roles/node.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace hickorylatch::test
{

/// The answer to a caller's request.
struct client_answer
{
    core::verdict m_verdict;
    std::vector<core::task_answer> m_answers;
    core::time_point m_at{0};
};

/// Durable state of one control replica.
struct fake_disk
{
    core::recovered_state m_state;
};

/// Probability of faults, and delays.
struct fault_plan
{
    /// Probability that a link breaks when a message is sent on it.
    unsigned m_link_break_per_mille = 0;
    core::duration m_delay_minimum = std::chrono::microseconds{200};
    core::duration m_delay_maximum = std::chrono::microseconds{500};
    core::duration m_sync_delay = std::chrono::milliseconds{3};
    core::log_index m_snapshot_interval = 20'000;
};

/// Several nodes in one process in virtual time. Links, disks and endpoints are
/// simulated by handling the effects of the reducer and feeding it events.
class fake_system
{
public:
    explicit fake_system(std::uint64_t seed, fault_plan plan = {});

    auto add_control(std::string const& name) -> void;
    auto add_entry(std::string const& name) -> void;
    auto add_agent(std::string const& name, core::agent_kind kind,
                   std::string const& service, std::uint32_t slots,
                   std::string const& failure_domain = {}) -> void;
    /// Founds the group with all control replicas and applies a configuration
    /// with the customers `acme` and `urgent` and the service `desk`.
    auto bootstrap() -> void;

    /// Sends a request to an entry. Returns the id to query the answer with.
    auto submit(std::string const& entry, core::submission work)
        -> core::exchange_id;
    auto operate(std::string const& name, core::operation asked)
        -> core::exchange_id;
    /// The operator closes the connection of an exchange.
    auto abandon(std::string const& name, core::exchange_id exchange) -> void;
    auto stop(std::string const& name) -> void;
    /// Ends a process immediately. Unsynced writes and running calls are lost.
    auto kill(std::string const& name) -> void;
    auto restart(std::string const& name) -> void;
    /// Starts or ends a network partition between two processes, in which all
    /// messages between them are lost. The end replaces the link by a new one.
    auto set_partition(std::string const& one, std::string const& other,
                       bool is_partitioned) -> void;
    auto freeze(std::string const& name, bool is_frozen) -> void;
    auto run_for(core::duration span) -> void;
    /// Runs until the condition holds. False if it doesn't within the span.
    auto run_until(std::function<bool()> const& is_done, core::duration span)
        -> bool;

    [[nodiscard]] auto answer(core::exchange_id exchange) const
        -> client_answer const*;
    [[nodiscard]] auto operator_answer(core::exchange_id exchange) const
        -> core::operate_result const*;
    /// Number of messages of one type sent by all processes.
    [[nodiscard]] auto message_count(std::string const& type) const -> unsigned;
    /// Number of log writes of a process that were synced.
    [[nodiscard]] auto sync_count(std::string const& name) const -> unsigned;
    /// Number of log entries after the snapshot on a control replica's disk.
    [[nodiscard]] auto stored_entry_count(std::string const& name) const
        -> std::size_t;
    [[nodiscard]] auto start_count(std::string const& body) const -> unsigned;
    [[nodiscard]] auto node(std::string const& name) -> core::node&;
    [[nodiscard]] auto is_alive(std::string const& name) const -> bool;
    [[nodiscard]] auto leader() const -> std::string;
    [[nodiscard]] auto now() const -> core::time_point;
    [[nodiscard]] auto random() -> std::mt19937_64&;

    /// Run time of a task by its body; 100 ms unless set.
    std::function<core::duration(std::string const&)> m_run_time;
    /// Decides whether a call succeeds, by agent name and body.
    std::function<bool(std::string const&, std::string const&)> m_succeeds;

private:
    struct process
    {
        std::unique_ptr<core::node> m_node;
        std::function<std::unique_ptr<core::node>()> m_create;
        std::shared_ptr<fake_disk> m_disk;
        std::uint64_t m_incarnation = 0;
        std::uint64_t m_timer_generation = 0;
        bool m_is_frozen = false;
        /// Events that arrived while the process was frozen, and when.
        std::vector<std::pair<core::time_point, core::event>> m_deferred_events;
    };

    auto start_process(std::string const& name) -> void;
    auto deliver(std::string const& name, core::event const& incoming) -> void;
    auto execute_effects(std::string const& name, core::effects& out) -> void;
    auto execute(std::string const& name, core::send& sent) -> void;
    auto execute(std::string const& name, core::append_log& write) -> void;
    auto execute(std::string const& name, core::save_snapshot& save) -> void;
    auto execute(std::string const& name, core::start_call& call) -> void;
    auto schedule(core::duration delay, std::string const& name,
                  core::event incoming) -> void;
    auto notify_link_change(std::string const& one, std::string const& other,
                            bool is_up) -> void;
    auto break_link(std::string const& one, std::string const& other) -> void;
    [[nodiscard]] auto find(core::node_id node) const -> std::string;
    [[nodiscard]] auto is_partitioned(std::string const& one,
                                      std::string const& other) const -> bool;

    std::mt19937_64 m_random;
    fault_plan m_plan;
    core::time_point m_now{0};
    std::multimap<core::time_point, std::function<void()>> m_scheduled_actions;
    std::map<std::string, process> m_processes;
    std::set<std::pair<std::string, std::string>> m_partitions;
    std::map<std::pair<std::string, std::string>, core::time_point>
        m_last_arrivals;
    /// Number of the current link of each pair of processes. Messages in
    /// transit on an earlier link are lost.
    std::map<std::pair<std::string, std::string>, unsigned> m_link_epochs;
    std::map<core::exchange_id, client_answer> m_client_answers;
    std::map<core::exchange_id, core::operate_result> m_operator_answers;
    std::map<std::string, unsigned> m_starts;
    std::map<std::string, unsigned> m_syncs;
    std::map<std::string, unsigned> m_messages;
    core::exchange_id m_exchange = 0;
    /// Exchanges whose operator has closed the connection.
    std::set<core::exchange_id> m_abandoned;
};

/// A request to service `desk`; `/stock` is idempotent, `/reserve` is not.
[[nodiscard]] auto make_request(std::string const& path,
                                std::string const& body) -> core::submission;
/// A job whose tasks have the bodies `<key>/<number>`.
[[nodiscard]] auto make_job(std::string const& key, std::size_t tasks)
    -> core::submission;

} // namespace hickorylatch::test

#endif
