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
#include "core/roles/membership_planner.hpp"
#include "core/roles/pending_operations.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace hickorylatch::core
{

/// Encodes and decodes the applied state for snapshots. The implementation is
/// outside of the core.
struct image_codec
{
    std::string (*m_encode)(control_image const&) = nullptr;
    /// Empty if the bytes are not a valid image.
    std::optional<control_image> (*m_decode)(std::string_view) = nullptr;
};

/// One control replica: its log, the applied state and, while it is the leader,
/// the coordinator.
class control
{
public:
    control(control_settings settings, replica_settings log_settings,
            recovered_state const& recovered, image_codec codec,
            std::string address, group_settings const& group = {});

    auto start(time_point now, random_source& random, effects& out) -> void;
    auto connected(time_point now, hello const& peer, random_source& random,
                   effects& out) -> void;
    auto disconnected(time_point now, node_id peer, random_source& random,
                      effects& out) -> void;
    auto receive(time_point now, node_id from, message const& incoming,
                 random_source& random, effects& out) -> void;
    auto arrived(time_point now, operation_arrived const& request,
                 random_source& random, effects& out) -> void;
    /// The operator has closed its connection.
    auto abandoned(exchange_id exchange) -> void;
    auto checked(time_point now, exchange_checked const& answer,
                 random_source& random, effects& out) -> void;
    auto synced(time_point now, log_synced const& done, random_source& random,
                effects& out) -> void;
    auto saved(snapshot_saved const& done) -> void;
    auto clock(time_point now, clock_read const& reading, effects& out) -> void;
    /// Replaces the seed addresses after the settings were reloaded.
    auto replace_seeds(time_point now, std::vector<std::string> const& seeds,
                       effects& out) -> void;
    /// Transfers leadership before this process exits.
    auto stop(time_point now, random_source& random, effects& out) -> void;
    auto tick(time_point now, random_source& random, effects& out) -> void;

    [[nodiscard]] auto identity() const -> node_id;
    /// Address where other processes connect.
    [[nodiscard]] auto address() const -> std::string const&;
    [[nodiscard]] auto cluster() const -> std::uint64_t;
    /// True if the state is held in memory only and lost with this process.
    [[nodiscard]] auto is_volatile() const -> bool;
    [[nodiscard]] auto is_leading(time_point now) const -> bool;
    [[nodiscard]] auto next_deadline(time_point now) const -> time_point;
    [[nodiscard]] auto state() const -> control_state const&;
    [[nodiscard]] auto log() const -> replica const&;
    /// Null unless this replica is the leader.
    [[nodiscard]] auto active_coordinator() const -> coordinator const*;

private:
    [[nodiscard]] auto make_context(time_point now, random_source& random,
                                    effects& out) -> control_context;
    /// Handles a submission, an operation or a cancellation. False for other
    /// messages.
    auto handle_entry_message(control_context const& context, node_id from,
                              message const& incoming) -> bool;
    /// Handles an announcement, a task result or a lease renewal. False for
    /// other messages.
    auto handle_agent_message(control_context const& context, node_id from,
                              message const& incoming) -> bool;
    auto operate(control_context const& context, operation_requester who,
                 operation const& requested, duration waited = duration{0})
        -> void;
    /// Handles the process list that a replica sends to a volatile one. False
    /// for other messages.
    auto handle_process_list(control_context const& context, node_id from,
                             message const& incoming) -> bool;
    /// Handles a request for the configuration. False for other messages.
    auto handle_configuration_fetch(control_context const& context,
                                    node_id from, message const& incoming)
        -> bool;
    /// Handles messages about runs of durable jobs. False for other messages.
    auto handle_run_message(control_context const& context, node_id from,
                            message const& incoming) -> bool;
    auto propose_change(control_context const& context, operation_requester who,
                        std::string const& request_id, command change) -> void;
    auto bootstrap_group(control_context const& context,
                         operation_requester who,
                         bootstrap_control_group const& request) -> void;
    auto answer_operator(effects& out, operation_requester who,
                         operate_result result) -> void;
    /// Applies what was committed and emits the resulting effects. Called at
    /// the end of each event.
    auto advance(control_context const& context) -> void;
    auto apply(control_context const& context, log_entry const& entry) -> void;
    /// Verdict if the operation is an evacuation command and is not accepted.
    [[nodiscard]] auto check_evacuation(operation_requester who,
                                        operation const& requested) const
        -> std::optional<verdict>;
    /// Logs the evacuations and sends them to all entries and agents.
    auto evacuations_changed(control_context const& context) -> void;
    /// Sends the evacuations to this peer if it needs them.
    auto send_evacuations(control_context const& context, hello const& peer)
        -> void;
    [[nodiscard]] auto current_configuration() const -> configuration_changed;
    /// Sends the configuration to the processes that get it from the leader
    /// only.
    auto broadcast_configuration(control_context const& context) -> void;
    /// Sends a patch or notice of a new configuration to the processes that
    /// get it from any replica.
    auto notify_subscribers(control_context const& context) -> void;
    auto update_leadership(control_context const& context) -> void;
    auto compact(control_context const& context) -> void;
    /// Founds the group or proposes a change of its membership if one is due.
    auto maintain_membership(control_context const& context) -> void;
    auto advance_operations(control_context const& context) -> void;
    /// The list of processes that is sent to agents.
    [[nodiscard]] auto known_processes(time_point now) const -> process_list;
    /// Addresses of the replicas that other processes should connect to.
    [[nodiscard]] auto control_addresses() const -> std::vector<std::string>;
    /// Replica that operations are forwarded to; `no_node` if there is none.
    [[nodiscard]] auto next_hop() const -> node_id;
    /// Updates the links to the other replicas after a change of membership.
    auto update_member_links(control_context const& context) -> void;
    /// Sends a changed process list to the processes that follow any replica
    /// and to volatile replicas.
    auto send_process_lists(control_context const& context) -> void;
    /// Sends the process list and the configuration version to a newly
    /// connected process.
    auto send_initial_state(control_context const& context, node_id peer)
        -> void;

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
    /// Null unless this replica is the leader and has group settings.
    std::unique_ptr<job_runner> m_job_runner;
    /// Last term whose first entry is applied. The leader of this term has the
    /// whole committed state.
    term_number m_applied_term = 0;
    log_index m_applied_index = 0;
    log_index m_snapshot_index = 0;
    std::size_t m_bytes_since_snapshot = 0;
    unix_milliseconds m_wall_clock = 0;
    std::map<node_id, hello> m_peers;
    std::multimap<std::string, operation_requester> m_change_waiters;
    pending_operations m_pending;
    membership_planner m_membership_planner;
    bool m_has_group_settings = false;
    bool m_is_volatile = false;
    /// This process has started to found the group.
    bool m_has_begun_founding = false;
    std::uint64_t m_membership_changes = 0;
    /// Entries by the address where they accept links.
    std::map<std::string, known_entry> m_entries;
    /// Process list that was last sent to agents.
    process_list m_sent_processes;
    /// Members that this replica keeps links to.
    process_list m_linked_members;
    /// Process list last received from a replica, if this one is volatile.
    process_list m_received_processes;
    link_targets m_links;
};

/// JSON document on the subject that an operator queries: `configuration`,
/// `agents`, `jobs`, `evacuations`; for any other subject the status of the
/// replica.
[[nodiscard]] auto status_document(control const& source, time_point now,
                                   std::string_view subject) -> std::string;

} // namespace hickorylatch::core

#endif
