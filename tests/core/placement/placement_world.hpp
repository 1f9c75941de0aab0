#ifndef HICKORYLATCH_TESTS_CORE_PLACEMENT_PLACEMENT_WORLD_HPP
#define HICKORYLATCH_TESTS_CORE_PLACEMENT_PLACEMENT_WORLD_HPP

#include "core/model/random_source.hpp"
#include "core/placement/broker.hpp"
#include "core/placement/executor.hpp"
#include "worker_model/leased_worker.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace hickorylatch::test
{

/// The answer to a client.
struct job_outcome
{
    core::verdict m_verdict;
    core::job_state m_state = core::job_state::failed;
    core::time_point m_at{0};
    /// From the job's arrival.
    core::duration m_age{0};
};

/// How orders to a worker fail.
enum class order_fault : std::uint8_t
{
    none,
    silent,      ///< Orders are lost, and nothing is answered.
    late,        ///< Starts and stops get no answer and are executed later.
    lost_answer, ///< Orders are executed at once, without an answer.
    crash ///< The worker crashes as it begins a task, before it answers, and
          ///< starts again at once under its name.
};

/// Simulates entries with brokers and workers with executors in virtual time.
/// Links, clients and workers are fakes.
class placement_world
{
public:
    explicit placement_world(std::uint64_t seed = 1);

    /// Must be called first. Otherwise every agent has a link to every entry.
    auto let_agents_choose_entries() -> void;
    /// Must be called before entries are added.
    auto separate_interfering_tasks() -> void;
    auto add_entry(std::string const& name, std::string const& domain = {})
        -> void;
    /// Starts an entry process that has no links yet.
    auto start_entry(core::broker_settings settings) -> void;
    /// Opens the link from the worker's agent to the entry.
    auto open_link(std::string const& entry, std::string const& worker) -> void;
    auto add_worker(std::string const& name,
                    worker_model::leased_worker_settings settings = {},
                    std::vector<std::string> labels = {},
                    std::string const& domain = {}) -> void;
    /// Applies a configuration with queues "fast", "normal" and "slow", of
    /// ranks 0 to 2, at all entries and agents. The latency objective of a job
    /// is 1.6 times its run time plus `latency`.
    auto configure(std::uint64_t version = 1,
                   core::duration latency = std::chrono::seconds{20}) -> void;

    /// Delivers the set of evacuated failure domains to these entries, like a
    /// control replica that has links to no other process.
    auto evacuate(core::evacuations const& known,
                  std::vector<std::string> const& entries) -> void;

    /// Posts a job. Returns its exchange.
    auto submit(std::string const& entry, std::string const& queue,
                core::step_job job, core::duration client_wait)
        -> core::exchange_id;
    /// The same for a job that its client may have sent to another entry.
    auto resubmit(std::string const& entry, std::string const& queue,
                  core::step_job job, core::duration client_wait)
        -> core::exchange_id;
    auto abandon(core::exchange_id exchange) -> void;
    auto run_for(core::duration span) -> void;
    /// Runs until the job is answered; false if that takes longer than the
    /// span.
    auto run_until_answered(core::exchange_id exchange, core::duration span)
        -> bool;

    // Faults.
    auto cut(std::string const& entry, std::string const& worker, bool is_cut)
        -> void;
    auto kill_entry(std::string const& name) -> void;
    /// `percent` of the worker's orders fail in this way. A silent worker also
    /// sends no reports and answers no polls.
    auto set_fault(std::string const& worker, order_fault fault,
                   unsigned percent = 100) -> void;
    /// `percent` of the worker's polls get no answer.
    auto set_poll_loss(std::string const& worker, unsigned percent) -> void;
    /// The next `count` polls of the worker get no answer.
    auto lose_polls(std::string const& worker, unsigned count) -> void;
    /// Crashes the worker and starts a new incarnation under the same name.
    auto restart_worker(std::string const& name) -> void;
    auto drain_worker(std::string const& name) -> void;
    /// Replaces the worker's agent process; the worker keeps running.
    auto restart_agent(std::string const& name) -> void;
    auto worker(std::string const& name) -> worker_model::leased_worker&;

    [[nodiscard]] auto answer(core::exchange_id exchange) const
        -> job_outcome const*;
    [[nodiscard]] auto now() const -> core::time_point;
    [[nodiscard]] auto entry(std::string const& name) -> core::broker&;
    [[nodiscard]] auto agent(std::string const& name) -> core::executor&;
    /// Starts of a task while another worker had a run of it in progress.
    [[nodiscard]] auto double_runs() const -> unsigned;
    /// Starts that exceeded a worker's capacity.
    [[nodiscard]] auto overloads() const -> unsigned;
    [[nodiscard]] auto starts() const -> unsigned;
    /// All starts in their order, each with its time, worker, job and task.
    [[nodiscard]] auto started_runs() const -> std::vector<std::string> const&;
    /// Number of log lines with this event.
    [[nodiscard]] auto logged(std::string const& event) const -> unsigned;
    /// Number of messages of this type that were sent on all links.
    [[nodiscard]] auto sent(std::string const& type) const -> unsigned;
    /// Number of messages that name queues, which only the separation of
    /// interfering tasks needs.
    [[nodiscard]] auto sent_with_queues() const -> unsigned;
    /// How often entries closed their idle callers' connections.
    [[nodiscard]] auto idle_closings() const -> unsigned;
    /// Number of agents with an open link to the entry.
    [[nodiscard]] auto links_of(std::string const& entry) const -> unsigned;

private:
    struct entry_state
    {
        core::node_id m_node = core::no_node;
        std::string m_domain;
        std::unique_ptr<core::broker> m_broker;
        /// Next time at which the broker must be ticked.
        core::time_point m_due = core::never;
    };

    struct worker_state
    {
        core::node_id m_node = core::no_node;
        std::unique_ptr<core::executor> m_executor;
        std::unique_ptr<worker_model::leased_worker> m_worker;
        worker_model::leased_worker_settings m_settings;
        std::string m_domain;
        core::worker_report m_report;
        order_fault m_fault = order_fault::none;
        unsigned m_fault_percent = 100;
        unsigned m_lost_polls = 0;
        unsigned m_poll_loss_percent = 0;
        unsigned m_earlier_overloads = 0;
        unsigned m_earlier_starts = 0;
        /// Entries that the agent keeps links to, if agents choose entries.
        std::set<std::string> m_wanted;
        /// Next time at which the agent or the worker must be ticked.
        core::time_point m_due = core::never;
        /// Polls that wait at the worker, by the end of their wait.
        std::multimap<core::time_point, core::poll_runs> m_waiting_polls;
    };

    struct link_state
    {
        bool m_is_cut = false;
        bool m_is_up = false;
        /// Number of connects and disconnects; messages sent in an earlier
        /// epoch are lost.
        unsigned m_epoch = 0;
    };

    using link_key = std::pair<core::node_id, core::node_id>;

    auto post(std::string const& entry, std::string const& queue,
              core::step_job job, core::duration client_wait,
              bool may_be_resent) -> core::exchange_id;
    auto at(core::time_point when, std::function<void()> action) -> void;
    auto after(core::duration delay, std::function<void()> action) -> void;
    auto connect(std::string const& entry, std::string const& worker) -> void;
    auto disconnect(std::string const& entry, std::string const& worker)
        -> void;
    /// Connects the worker's agent to the entry, with retries.
    auto dial(std::string const& entry, std::string const& worker) -> void;
    auto keep_links(std::string const& worker, core::keep_links const& wanted)
        -> void;
    /// The list of entries that a control replica sends to agents.
    [[nodiscard]] auto known_entries() const -> core::process_list;
    auto execute(core::node_id from, core::effects& out) -> void;
    auto execute(worker_state& worker, core::effect const& effect) -> void;
    auto deliver(core::node_id from, core::node_id to, core::message message)
        -> void;
    auto start(worker_state& worker, core::start_run const& order) -> void;
    auto stop(worker_state& worker, core::stop_run const& order) -> void;
    auto answer_check(worker_state& worker, core::worker_target const& target)
        -> void;
    auto answer_polls(worker_state& worker) -> void;
    /// Draws how the next order to a worker fails.
    auto draw_fault(worker_state const& worker) -> order_fault;
    auto report(worker_state& worker) -> void;
    auto tick_due() -> void;
    static auto update_due(worker_state& worker) -> void;
    /// Null if no agent has this number.
    [[nodiscard]] auto find_worker(core::node_id node) -> worker_state*;
    [[nodiscard]] auto next_time() -> core::time_point;
    auto
    run_entry(core::node_id node,
              std::function<void(core::broker&, core::effects&)> const& event)
        -> void;
    auto
    run_agent(worker_state& worker,
              std::function<void(core::executor&, core::effects&)> const& event)
        -> void;

    core::random_source m_random;
    core::time_point m_now{std::chrono::seconds{10}};
    std::multimap<core::time_point, std::function<void()>> m_events;
    std::map<std::string, entry_state> m_entries;
    std::map<std::string, worker_state> m_workers;
    std::map<core::node_id, worker_state*> m_by_node;
    std::map<link_key, link_state> m_links;
    bool m_agents_choose_entries = false;
    bool m_separates_interfering_tasks = false;
    std::vector<std::string> m_started_runs;
    std::uint64_t m_last_node = 0;
    core::exchange_id m_last_exchange = 0;
    std::map<core::exchange_id, std::pair<std::string, core::time_point>>
        m_submitted;
    std::map<core::exchange_id, job_outcome> m_answers;
    std::map<std::string, unsigned> m_logged;
    std::map<std::string, unsigned, std::less<>> m_sent;
    unsigned m_double_runs = 0;
    unsigned m_sent_with_queues = 0;
    unsigned m_idle_closings = 0;
};

/// A job of one step. Tasks declare `declared` and take `actual`.
[[nodiscard]] auto make_job(std::string id, std::uint32_t tasks,
                            core::duration declared, core::duration actual,
                            std::uint32_t millicores = 6'000) -> core::step_job;

} // namespace hickorylatch::test

#endif
