#ifndef HICKORYLATCH_CORE_PLACEMENT_WORKER_DIRECTORY_HPP
#define HICKORYLATCH_CORE_PLACEMENT_WORKER_DIRECTORY_HPP

#include "core/model/job.hpp"
#include "core/model/message.hpp"
#include "core/model/random_source.hpp"
#include "core/model/time.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hickorylatch::core
{

/// A task that looks for a worker.
struct placement_request
{
    std::string_view m_service;
    std::uint32_t m_rank = 0;
    job_step const* m_step = nullptr;
    /// Expected run time on a worker of common speed.
    duration m_expected{0};
    /// Agents to leave out: the task failed there, or the step has as many
    /// tasks there as it may.
    std::span<node_id const> m_avoided;
};

/// A worker that a task should go to.
struct placement_choice
{
    node_id m_agent = no_node;
    duration m_wait{0};
    duration m_run{0};
    /// Tasks like this one for which there is room now.
    std::uint32_t m_room = 0;
    /// Time between two ends of such tasks at a worker that is full of them.
    duration m_turnover{0};
    /// What choices are compared by; a time.
    duration m_cost{0};
};

/// Where a job is claimed.
struct claim_place
{
    /// Name of the worker beside the agent; empty if no agent is known.
    std::string_view m_worker;
    /// The agent's process that was known last.
    node_id m_agent = no_node;
};

/// What one entry knows of the workers: what their agents announced and what it
/// ordered since.
class worker_directory
{
public:
    /// How much longer a task runs away from the rack with its data.
    auto set_spread_factor(double factor) -> void;

    auto connected(node_id agent) -> void;
    auto disconnected(time_point now, node_id agent) -> void;
    auto announce(time_point now, node_id agent,
                  worker_announcement const& news) -> void;
    auto update(time_point now, node_id agent, worker_load const& load) -> void;
    /// Notes a run that was ordered, until a load takes it into account.
    /// Returns the number for the order to the agent, which counts from 1 on
    /// each link.
    auto next_order(node_id agent) -> std::uint64_t;
    auto ordered(node_id agent, std::uint64_t order, resources const& needs,
                 duration expected) -> void;
    /// Takes back what was noted with this number, the last of the agent.
    auto retract(node_id agent, std::uint64_t order) -> void;

    /// The agent had no room for a run: there is none until its next load.
    auto mark_full(node_id agent) -> void;

    /// A worker on which the task is expected to end early, drawn by room and
    /// cost; none if there is no usable worker that could ever run it.
    [[nodiscard]] auto choose(time_point now, placement_request const& wanted,
                              random_source& random) const
        -> std::optional<placement_choice>;
    /// The workers where a task would find room soonest, at most `count`, in
    /// order of their waits. Leaves out workers on trial.
    [[nodiscard]] auto soonest(time_point now, placement_request const& wanted,
                               std::size_t count, random_source& random) const
        -> std::vector<placement_choice>;
    /// True if the agent takes runs now.
    [[nodiscard]] auto is_usable(time_point now, node_id agent) const -> bool;
    /// True if some worker of the service takes runs now.
    [[nodiscard]] auto has_usable(time_point now,
                                  std::string_view service) const -> bool;
    [[nodiscard]] auto has_any_usable(time_point now) const -> bool;
    /// Run time at this worker over the one expected anywhere; 1 is common.
    [[nodiscard]] auto slowness(node_id agent) const -> double;
    /// Number of the last order on the present link; 0 if there is none.
    [[nodiscard]] auto last_order(node_id agent) const -> std::uint64_t;
    [[nodiscard]] auto is_connected(node_id agent) const -> bool;
    /// Name of the agent's worker; empty if it is not known.
    [[nodiscard]] auto worker_name(node_id agent) const -> std::string_view;
    /// Time since the agent's last load; 0 if it is not known.
    [[nodiscard]] auto load_age(time_point now, node_id agent) const
        -> duration;
    [[nodiscard]] auto size() const -> std::size_t;
    /// The agent at which entries claim the job, the same for all entries that
    /// know the same agents of their failure domain; others are chosen only if
    /// it has none. One whose link was lost shortly before counts, too: links
    /// of different entries are lost at different times.
    [[nodiscard]] auto claim_agent(time_point now, std::string_view job_id,
                                   std::string_view failure_domain) const
        -> claim_place;

private:
    /// A run that was ordered and is not in the last load.
    struct unseen_run
    {
        std::uint64_t m_order = 0;
        resources m_needs;
        duration m_expected{0};
    };

    struct view
    {
        bool m_is_connected = false;
        bool m_is_announced = false;
        worker_announcement m_news;
        worker_load m_load;
        time_point m_heard{0};
        std::uint64_t m_last_order = 0;
        std::deque<unseen_run> m_unseen;
    };

    [[nodiscard]] static auto is_usable(time_point now, view const& worker)
        -> bool;
    /// True if the worker may run the task at all.
    [[nodiscard]] static auto takes(time_point now, node_id agent,
                                    view const& worker,
                                    placement_request const& wanted) -> bool;
    /// Workers for such a task whose agents accept at least so much.
    [[nodiscard]] auto candidates(time_point now,
                                  placement_request const& wanted,
                                  acceptance least) const
        -> std::vector<placement_choice>;
    /// Draws one of the choices by their room and cost.
    [[nodiscard]] static auto draw(std::span<placement_choice const> from,
                                   duration expected, double scale_part,
                                   random_source& random) -> placement_choice;
    /// Room that is left by the last load and the orders since.
    [[nodiscard]] static auto free_room(view const& worker) -> resources;
    [[nodiscard]] auto assess(view const& worker,
                              placement_request const& wanted) const
        -> placement_choice;
    [[nodiscard]] static auto wait_time(view const& worker,
                                        placement_request const& wanted,
                                        resources const& room) -> duration;

    /// An agent that may be chosen for claims, by the name of its worker.
    struct claim_candidate
    {
        node_id m_agent = no_node;
        std::string m_failure_domain;
        time_point m_lost_at = never;
    };

    double m_spread_factor = 1.0;
    std::map<node_id, view> m_workers;
    std::map<std::string, claim_candidate, std::less<>> m_claim_agents;
};

} // namespace hickorylatch::core

#endif
