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
#include <vector>

namespace hickorylatch::test
{

/// What a caller or an operator was told.
struct told
{
    core::verdict m_verdict;
    std::vector<core::task_answer> m_answers;
    core::time_point m_at{0};
};

/// Durable part of one control replica.
struct fake_disk
{
    core::recovered_state m_state;
};

/// Chances of faults, in percent, and delays.
struct fault_plan
{
    /// Chance that a link breaks as a message is sent on it.
    unsigned m_break_per_mille = 0;
    core::duration m_delay_minimum = std::chrono::microseconds{200};
    core::duration m_delay_maximum = std::chrono::microseconds{500};
    core::duration m_sync_delay = std::chrono::milliseconds{3};
    core::log_index m_snapshot_interval = 20'000;
};

/// Several nodes in one process under virtual time, with links, disks and
/// endpoints faked at the interfaces of the reducer.
class fake_system
{
public:
    explicit fake_system(std::uint64_t seed, fault_plan plan = {});

    auto add_control(std::string const& name) -> void;
    auto add_entry(std::string const& name) -> void;
    auto add_agent(std::string const& name, core::agent_kind kind,
                   std::string const& service, std::uint32_t slots) -> void;
    /// Founds the group from all control replicas and puts a configuration
    /// with customer `acme` and service `desk` in force.
    auto found() -> void;

    /// Returns the exchange.
    auto submit(std::string const& entry, core::submission work)
        -> core::exchange_id;
    auto operate(std::string const& name, core::operation asked)
        -> core::exchange_id;
    auto stop(std::string const& name) -> void;
    /// Ends a process at once. Unsynced writes and running calls are lost.
    auto kill(std::string const& name) -> void;
    auto restart(std::string const& name) -> void;
    /// Drops all that travels between two processes from now on.
    auto cut(std::string const& one, std::string const& other, bool is_cut)
        -> void;
    auto freeze(std::string const& name, bool is_frozen) -> void;
    auto run_for(core::duration span) -> void;
    /// Runs until the condition holds. False if it does not within the span.
    auto run_until(std::function<bool()> const& is_done, core::duration span)
        -> bool;

    [[nodiscard]] auto answer(core::exchange_id exchange) const -> told const*;
    [[nodiscard]] auto operator_answer(core::exchange_id exchange) const
        -> core::operate_result const*;
    /// Messages of one type sent by all processes.
    [[nodiscard]] auto messages(std::string const& type) const -> unsigned;
    /// Writes to the log of a process that were synced.
    [[nodiscard]] auto syncs(std::string const& name) const -> unsigned;
    /// Log entries on the disk of a control replica, behind its snapshot.
    [[nodiscard]] auto stored_entries(std::string const& name) const
        -> std::size_t;
    [[nodiscard]] auto starts(std::string const& body) const -> unsigned;
    [[nodiscard]] auto node(std::string const& name) -> core::node&;
    [[nodiscard]] auto is_alive(std::string const& name) const -> bool;
    [[nodiscard]] auto leader() const -> std::string;
    [[nodiscard]] auto now() const -> core::time_point;
    [[nodiscard]] auto random() -> std::mt19937_64&;

    /// Run time of a task by its body; 100 ms unless set.
    std::function<core::duration(std::string const&)> m_run_time;
    /// Says whether a call succeeds, by agent name and body.
    std::function<bool(std::string const&, std::string const&)> m_succeeds;

private:
    struct process
    {
        std::unique_ptr<core::node> m_node;
        std::function<std::unique_ptr<core::node>()> m_make;
        std::shared_ptr<fake_disk> m_disk;
        std::uint64_t m_life = 0;
        std::uint64_t m_timer_life = 0;
        bool m_is_frozen = false;
        /// Events that came while it was frozen.
        std::vector<core::event> m_held_back;
    };

    auto start_process(std::string const& name) -> void;
    auto feed(std::string const& name, core::event const& incoming) -> void;
    auto carry_out(std::string const& name, core::effects& out) -> void;
    auto carry(std::string const& name, core::send& sent) -> void;
    auto carry(std::string const& name, core::append_log& write) -> void;
    auto carry(std::string const& name, core::save_snapshot& save) -> void;
    auto carry(std::string const& name, core::start_call& call) -> void;
    auto after(core::duration delay, std::string const& name,
               core::event incoming) -> void;
    auto link(std::string const& one, std::string const& other, bool is_up)
        -> void;
    auto break_link(std::string const& one, std::string const& other) -> void;
    [[nodiscard]] auto find(core::node_id node) const -> std::string;
    [[nodiscard]] auto is_cut(std::string const& one,
                              std::string const& other) const -> bool;

    std::mt19937_64 m_random;
    fault_plan m_plan;
    core::time_point m_now{0};
    std::multimap<core::time_point, std::function<void()>> m_agenda;
    std::map<std::string, process> m_processes;
    std::set<std::pair<std::string, std::string>> m_cuts;
    std::map<std::pair<std::string, std::string>, core::time_point> m_order;
    /// Counts the links that each pair has had; a broken link loses what
    /// travels on it.
    std::map<std::pair<std::string, std::string>, unsigned> m_links;
    std::map<core::exchange_id, told> m_told;
    std::map<core::exchange_id, core::operate_result> m_operator_told;
    std::map<std::string, unsigned> m_starts;
    std::map<std::string, unsigned> m_syncs;
    std::map<std::string, unsigned> m_messages;
    core::exchange_id m_exchange = 0;
};

/// A request to service `desk`; `/stock` is idempotent, `/reserve` is not.
[[nodiscard]] auto make_request(std::string const& path,
                                std::string const& body) -> core::submission;
/// A job whose tasks have the bodies `<key>/<number>`.
[[nodiscard]] auto make_job(std::string const& key, std::size_t tasks)
    -> core::submission;

} // namespace hickorylatch::test

#endif
