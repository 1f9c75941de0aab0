#ifndef HICKORYLATCH_CORE_ROLES_CONTROL_HPP
#define HICKORYLATCH_CORE_ROLES_CONTROL_HPP

#include "core/jobs/job_runner.hpp"
#include "core/model/configuration_history.hpp"
#include "core/model/effect.hpp"
#include "core/model/random_source.hpp"
#include "core/placement/link_targets.hpp"
#include "core/replication/replica.hpp"
#include "core/roles/control_state.hpp"
#include "core/roles/coordinator.hpp"
#include "core/roles/membership_keeper.hpp"
#include "core/roles/pending_operations.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace hickorylatch::core
{

/// Turns the applied state into bytes for snapshots and back. The codec lives
/// outside of the core.
struct image_codec
{
    std::string (*m_encode)(control_image const&) = nullptr;
    /// Empty if the bytes are not an image.
    std::optional<control_image> (*m_decode)(std::string_view) = nullptr;
};

/// One control replica: its log, the applied state and, while it leads, the
/// coordinator.
class control
{
public:
    control(control_settings settings, replica_settings log_settings,
            recovered_state const& recovered, image_codec codec,
            std::string address, group_settings const& group = {});

    auto start(time_point now, std::uint64_t seed, effects& out) -> void;
    auto connected(time_point now, hello const& peer, random_source& random,
                   effects& out) -> void;
    auto disconnected(time_point now, node_id peer, random_source& random,
                      effects& out) -> void;
    auto receive(time_point now, node_id from, message const& incoming,
                 random_source& random, effects& out) -> void;
    auto arrived(time_point now, operation_arrived const& request,
                 random_source& random, effects& out) -> void;
    auto synced(time_point now, log_synced const& done, random_source& random,
                effects& out) -> void;
    auto saved(snapshot_saved const& done) -> void;
    auto clock(time_point now, clock_read const& reading, effects& out) -> void;
    /// Takes the control replicas that changed settings name.
    auto replace_seeds(time_point now, std::vector<std::string> const& seeds,
                       effects& out) -> void;
    /// Hands leadership over before this process ends.
    auto stop(time_point now, random_source& random, effects& out) -> void;
    auto tick(time_point now, random_source& random, effects& out) -> void;

    [[nodiscard]] auto identity() const -> node_id;
    /// Where other processes connect.
    [[nodiscard]] auto address() const -> std::string const&;
    [[nodiscard]] auto cluster() const -> std::uint64_t;
    /// True if the state ends with this process.
    [[nodiscard]] auto is_volatile() const -> bool;
    [[nodiscard]] auto is_leading(time_point now) const -> bool;
    [[nodiscard]] auto next_deadline(time_point now) const -> time_point;
    [[nodiscard]] auto state() const -> control_state const&;
    [[nodiscard]] auto log() const -> replica const&;
    /// Null unless this replica leads.
    [[nodiscard]] auto leader_work() const -> coordinator const*;

private:
    [[nodiscard]] auto context(time_point now, random_source& random,
                               effects& out) -> control_context;
    /// False if the message is not one of an entry.
    auto from_entry(control_context const& with, node_id from,
                    message const& incoming) -> bool;
    /// False if the message is not one that extends a lease or tells of work.
    auto from_agent(control_context const& with, node_id from,
                    message const& incoming) -> bool;
    auto operate(control_context const& with, operation_requester who,
                 operation const& asked) -> void;
    /// False if the message is not one of a replica to one that is volatile.
    auto from_replica(control_context const& with, node_id from,
                      message const& incoming) -> bool;
    /// False if the message does not ask for the configuration.
    auto from_follower(control_context const& with, node_id from,
                       message const& incoming) -> bool;
    /// False if the message is not one about runs of durable jobs.
    auto from_placement(control_context const& with, node_id from,
                        message const& incoming) -> bool;
    auto propose_change(control_context const& with, operation_requester who,
                        std::string const& request_id, command change) -> void;
    auto found(control_context const& with, operation_requester who,
               bootstrap_control_group const& order) -> void;
    auto answer_operator(effects& out, operation_requester who,
                         operate_result result) -> void;
    auto settle(control_context const& with) -> void;
    auto apply(control_context const& with, log_entry const& entry) -> void;
    [[nodiscard]] auto current_configuration() const -> configuration_changed;
    /// Tells the entries and agents that need a leader.
    auto broadcast(control_context const& with) -> void;
    /// Tells the processes that follow any replica of a new configuration.
    auto tell_followers(control_context const& with) -> void;
    auto follow_leadership(control_context const& with) -> void;
    auto compact(control_context const& with) -> void;
    /// Founds the group or changes its membership if that is due.
    auto keep_members(control_context const& with) -> void;
    auto settle_operations(control_context const& with) -> void;
    /// What agents are told of the other processes.
    [[nodiscard]] auto known_processes(time_point now) const -> process_list;
    /// Addresses of the replicas that others should follow.
    [[nodiscard]] auto listed_replicas() const -> std::vector<std::string>;
    /// Replica that operations are passed on to; `no_node` if there is none.
    [[nodiscard]] auto next_hop() const -> node_id;
    /// Keeps links to the other replicas.
    auto follow_members(control_context const& with) -> void;
    /// Tells processes that follow any replica where the others are.
    auto spread_processes(control_context const& with) -> void;
    /// Greets a process that follows any replica.
    auto greet_follower(control_context const& with, node_id peer) -> void;

    struct known_entry
    {
        std::string m_failure_domain;
        /// When its link was lost; `never` while it is open.
        time_point m_lost_at = never;
    };

    control_settings m_settings;
    replica m_replica;
    control_state m_state;
    configuration_history m_history;
    image_codec m_codec;
    std::string m_address;
    std::optional<coordinator> m_coordinator;
    /// While it leads a group that founds and repairs itself.
    std::unique_ptr<job_runner> m_job_runner;
    /// Term whose first entry is applied; the leader of it knows everything.
    term_number m_applied_term = 0;
    log_index m_applied = 0;
    log_index m_snapshot = 0;
    std::size_t m_bytes_since_snapshot = 0;
    unix_milliseconds m_wall = 0;
    std::map<node_id, hello> m_peers;
    std::multimap<std::string, operation_requester> m_operators;
    pending_operations m_pending;
    membership_keeper m_keeper;
    bool m_has_group_settings = false;
    bool m_is_volatile = false;
    /// This process has founded the group.
    bool m_is_founding = false;
    std::uint64_t m_membership_changes = 0;
    /// Entries by the address where they accept links.
    std::map<std::string, known_entry> m_entries;
    /// What agents were told last.
    process_list m_spread;
    /// Members that this replica keeps links to.
    process_list m_followed;
    /// What a replica told this one last, if this one is volatile.
    process_list m_told;
    link_targets m_links;
};

/// JSON text with what an operator asked to see.
[[nodiscard]] auto status_document(control const& shown, time_point now,
                                   std::string_view subject) -> std::string;

} // namespace hickorylatch::core

#endif
