#ifndef HICKORYLATCH_SETTINGS_SETTINGS_HPP
#define HICKORYLATCH_SETTINGS_SETTINGS_HPP

#include "core/model/effect.hpp"
#include "core/model/group_settings.hpp"
#include "core/model/message.hpp"
#include "settings/parse_errors.hpp"

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hickorylatch::settings
{

/// Level and destination of log lines.
struct log_settings
{
    /// Minimum severity of the lines that are written. Default: info.
    core::log_level m_level = core::log_level::info;
    /// File that log lines are appended to. Default: empty, standard output.
    std::string m_file;
};

/// Files for mutual TLS on the links between processes, in PEM form.
struct tls_settings
{
    /// Certificate chain of this process. Required.
    std::string m_certificate_file;
    /// Private key of the certificate. Required.
    std::string m_key_file;
    /// Certificates of the authorities that sign the peers' certificates.
    /// Required.
    std::string m_authority_file;
};

/// Admission of step jobs at an entry that sees few workers. Applies to entries
/// that place step jobs themselves.
struct sparse_entry_settings
{
    /// Holds jobs that would be late while links to more workers open after the
    /// start. Default: false.
    bool m_awaits_workers_after_start = false;
    /// Closes clients' connections while no worker can be reached. Default:
    /// false.
    bool m_releases_callers_when_isolated = false;
};

/// The entry role: callers' HTTP requests and operators' records.
struct entry_settings
{
    /// "ip:port" where callers' requests are accepted. Required.
    std::string m_callers_address;
    /// "ip:port" of the operators' API. Required.
    std::string m_operators_address;
    /// Maximum size of a request body in bytes. Default: 1 MiB. At least 64 KiB
    /// less than the frame limit, because a body is forwarded in one frame.
    std::uint32_t m_body_limit_bytes = 1'048'576;
    /// Maximum number of open connections from callers. Default: 1000.
    std::uint32_t m_connection_limit = 1'000;
    /// Time within which a request's headers must arrive, in milliseconds.
    /// Default: 10000.
    std::uint32_t m_header_timeout_ms = 10'000;
    sparse_entry_settings m_sparse = {};
};

/// Placement of the tasks of step jobs on workers. Set by adapters only.
struct placement_settings
{
    /// Factor on the run time of a task outside the rack with its data.
    double m_spread_factor = 1.0;
    /// Longest lease that a worker grants, in milliseconds.
    std::uint32_t m_lease_ms = 1'000;
    /// Maximum rate of load messages from all agents, per second. Limits the
    /// processor time spent on them.
    std::uint32_t m_loads_per_s = 3'000;
    /// Prefers, among workers with room, those whose runs do not slow the task
    /// down and are not slowed down by it.
    bool m_separate_interfering_tasks = false;
};

/// The control role: one replica of the replicated state.
struct control_settings
{
    /// "ip:port" where other processes connect. Required.
    std::string m_listen_address;
    /// `m_listen_address` as other processes reach it, if that differs. Set by
    /// adapters only.
    std::string m_advertised_address = {};
    /// "ip:port" of metrics, health and the creation of the group. Required.
    std::string m_operators_address;
    /// Folder of log, snapshots and identity. Required.
    std::string m_data_folder;
    /// How long the keys of ended submissions are kept, in hours. Default: 24.
    std::uint32_t m_key_retention_hours = 24;
    /// Maximum number of keys. Default: 1000000.
    std::uint32_t m_key_limit = 1'000'000;
    /// Log entries between two snapshots. Default: 20000.
    std::uint32_t m_snapshot_interval_entries = 20'000;
    /// Bytes of content in the log between two snapshots. Default: 64 MiB.
    std::uint32_t m_snapshot_interval_bytes = 67'108'864;
    /// Size of a log segment in bytes, preallocated when it is created.
    /// Default: 16 MiB.
    std::uint32_t m_segment_bytes = 16'777'216;
    /// Failure domains that operators can evacuate. Default: empty, every name
    /// is accepted.
    std::vector<std::string> m_failure_domains = {};
    /// Syncs every write before it is acknowledged. Default: true. False is for
    /// tests only: acceptances can be lost when a VM stops.
    bool m_fsync = true;
    /// Automatic creation and repair of the group. Set by adapters only;
    /// otherwise operators do both.
    core::group_settings m_group = {};
    /// Placement of durable step jobs while this replica leads.
    placement_settings m_placement = {};
    /// How long the state of an ended step job can be queried, in seconds. Set
    /// by adapters only.
    std::uint32_t m_job_retention_s = 120;
};

/// The broker role: accepts step jobs and places them on workers directly. Set
/// by adapters only.
struct broker_settings
{
    /// "ip:port" where agents connect.
    std::string m_listen_address;
    /// `m_listen_address` as agents reach it, if that differs.
    std::string m_advertised_address;
    /// "ip:port" of metrics and health.
    std::string m_operators_address;
    placement_settings m_placement;
    /// Accepts step jobs that must survive this process and forwards them to
    /// the control group. Otherwise they are refused.
    bool m_takes_durable_jobs = false;
    sparse_entry_settings m_sparse = {};
};

/// The executor role: runs tasks of step jobs at one worker. Set by adapters
/// only.
struct executor_settings
{
    /// "ip:port" of metrics and health.
    std::string m_operators_address;
    /// Longest lease that the worker grants, in milliseconds.
    std::uint32_t m_lease_ms = 1'000;
};

/// The agent role: announces one endpoint or worker and controls when calls to
/// it start.
struct agent_settings
{
    /// What the agent manages: "endpoint" or "worker". Required.
    core::agent_kind m_kind = core::agent_kind::endpoint;
    /// Service of the endpoint. Required for an endpoint, not allowed for a
    /// worker, where it is set to `core::worker_service`.
    std::string m_service;
    /// "ip:port" where the endpoint or worker accepts HTTP calls. Required.
    std::string m_target_address;
    /// "ip:port" of metrics and health. Required.
    std::string m_operators_address;
    /// Maximum number of concurrent calls. Required for an endpoint; the
    /// default for a worker is its number of cores.
    std::uint32_t m_slots = 0;
    /// Processor cores of the worker. Required for a worker; default: 0.
    std::uint32_t m_cores = 0;
    /// Memory of the worker in MB. Required for a worker; default: 0.
    std::uint32_t m_memory_mb = 0;
    /// Accelerators of the worker. Default: 0.
    std::uint32_t m_accelerators = 0;
    /// Rack within the failure domain. Default: empty, unknown.
    std::string m_rack;
    /// Time after which a call is considered failed, in milliseconds. Default:
    /// 30000.
    std::uint32_t m_call_timeout_ms = 30'000;
};

/// Settings of one `hickorylatch serve` process. At least one role is set.
struct settings
{
    /// Name of the process in logs, status and the list of drained processes.
    /// Required.
    std::string m_name;
    /// Failure domain of the process. Required.
    std::string m_failure_domain;
    /// "ip:port" of the control replicas to connect to initially. Required.
    std::vector<std::string> m_control_addresses;
    /// Secret shared by all processes. Default: empty, allowed only if every
    /// address in the settings is a loopback address.
    std::string m_secret;
    /// File whose first line is the secret; not allowed together with
    /// `m_secret`. Read by the program. Default: empty.
    std::string m_secret_file;
    /// Maximum size of a frame between processes, in bytes. Default: 8 MiB.
    std::uint32_t m_frame_limit_bytes = 8'388'608;
    /// Maximum number of served HTTP connections, for all addresses of the
    /// process together. Default: 4096.
    std::uint32_t m_client_connection_limit = 4'096;
    /// Maximum number of bytes held for all HTTP connections together. Default:
    /// 256 MiB. At least twice the size of a callers' request.
    std::uint32_t m_client_memory_bytes = 268'435'456;
    /// Maximum number of unsent bytes of one link to another process. Default:
    /// 256 MiB. At least the frame limit.
    std::uint32_t m_link_unsent_bytes = 268'435'456;
    /// Maximum number of unsent bytes of all links together. Default: 1 GiB. At
    /// least `m_link_unsent_bytes`.
    std::uint32_t m_links_unsent_bytes = 1'073'741'824;
    /// Log level and file.
    log_settings m_log;
    /// File that spans are appended to. Default: empty, no spans.
    std::string m_trace_file;
    /// Source IP of links to other processes. Set by adapters only; default:
    /// empty, chosen by the kernel.
    std::string m_source_ip = {};
    /// TLS between processes. Default: none, plain TCP.
    std::optional<tls_settings> m_tls;
    /// Entry role. Default: none.
    std::optional<entry_settings> m_entry;
    /// Control role. Default: none.
    std::optional<control_settings> m_control;
    /// Agent role. Default: none.
    std::optional<agent_settings> m_agent;
    /// Broker role. Default: none.
    std::optional<broker_settings> m_broker = std::nullopt;
    /// Executor role. Default: none.
    std::optional<executor_settings> m_executor = std::nullopt;
};

/// Parses settings from JSON with comments and trailing commas. Files named in
/// the settings are not read. Errors: `parse_errors` with every error found,
/// each with the file name, the path within the file and the reason.
[[nodiscard]] auto parse_settings(std::string_view text,
                                  std::string_view file_name)
    -> boost::leaf::result<settings>;

} // namespace hickorylatch::settings

#endif
