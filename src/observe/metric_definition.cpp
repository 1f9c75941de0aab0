#include "observe/metric_definition.hpp"

#include <algorithm>

namespace hickorylatch::observe
{

namespace
{

using enum metric_kind;

constexpr auto definitions = std::to_array<metric_definition>({
    {"hickorylatch_bytes_total",
     counter,
     "Bytes sent and received on links between processes.",
     {"direction"}},
    {"hickorylatch_callers_released",
     gauge,
     "1 while an entry without contact to workers closes clients' "
     "connections.",
     {}},
    {"hickorylatch_client_bytes",
     gauge,
     "Bytes held for HTTP connections.",
     {}},
    {"hickorylatch_client_closings_total",
     counter,
     "HTTP connections closed because of a limit, by cause.",
     {"cause"}},
    {"hickorylatch_client_connections", gauge, "Open HTTP connections.", {}},
    {"hickorylatch_configuration_version",
     gauge,
     "Version of the configuration in force.",
     {}},
    {"hickorylatch_evacuated_domains",
     gauge,
     "Evacuated failure domains that this process knows of.",
     {}},
    {"hickorylatch_held_jobs_total",
     counter,
     "Jobs that an entry held after its start until it knew more workers.",
     {}},
    {"hickorylatch_interfering_queue_pairs",
     gauge,
     "Ordered pairs of queues whose tasks slow each other down.",
     {}},
    {"hickorylatch_is_leader",
     gauge,
     "1 if this control replica leads, else 0.",
     {}},
    {"hickorylatch_job_seconds",
     histogram,
     "Time from the arrival of a job to its answer.",
     {"queue", "state"}},
    {"hickorylatch_jobs_total",
     counter,
     "Jobs answered, by verdict.",
     {"verdict"}},
    {"hickorylatch_lease_age_seconds",
     gauge,
     "Time since the send time of the renewal that the lease counts from.",
     {}},
    {"hickorylatch_messages_total",
     counter,
     "Messages sent to other processes, by type.",
     {"type"}},
    {"hickorylatch_queue_seconds",
     histogram,
     "Time from arrival at the leader to the start of a task.",
     {"service", "priority"}},
    {"hickorylatch_queued", gauge, "Tasks that wait for a slot.", {"service"}},
    {"hickorylatch_refusals_total",
     counter,
     "Requests and jobs that were refused or failed.",
     {"verdict", "reason"}},
    {"hickorylatch_response_seconds",
     histogram,
     "Time from the arrival of a request to its answer.",
     {"service", "customer", "priority"}},
    {"hickorylatch_run_seconds",
     histogram,
     "Time from the start of a run at a worker to its successful end.",
     {}},
    {"hickorylatch_run_wait_seconds",
     histogram,
     "Time from the arrival of a run at its agent to its start.",
     {}},
    {"hickorylatch_running", gauge, "Tasks that hold a slot.", {"service"}},
    {"hickorylatch_runs_total",
     counter,
     "Runs that ended or were refused at an agent.",
     {"outcome"}},
    {"hickorylatch_starts_total", counter, "Tasks started.", {"service"}},
    {"hickorylatch_sync_seconds",
     histogram,
     "Duration of one sync of the log.",
     {}},
    {"hickorylatch_syncs_total", counter, "Syncs of the log.", {}},
    {"hickorylatch_wasted_messages_total",
     counter,
     "Messages that brought no answer nearer, by kind.",
     {"kind"}},
    {"hickorylatch_worker_evacuated",
     gauge,
     "1 if no more tasks are started at this agent's worker because its "
     "failure domain is evacuated, else 0.",
     {}},
});

static_assert(std::ranges::is_sorted(definitions, {},
                                     &metric_definition::m_name));

} // namespace

auto metric_definition::labels() const -> std::span<std::string_view const>
{
    auto const end = std::ranges::find(m_labels, std::string_view{});
    return {m_labels.begin(), end};
}

auto metric_definitions() -> std::span<metric_definition const>
{
    return definitions;
}

auto find_metric(std::string_view name) -> std::size_t
{
    auto const found = std::ranges::lower_bound(definitions, name, {},
                                                &metric_definition::m_name);
    if (found == definitions.end() || found->m_name != name)
        return definitions.size();
    return static_cast<std::size_t>(found - definitions.begin());
}

auto to_string(metric_kind kind) -> std::string_view
{
    switch (kind)
    {
    case counter:
        return "counter";
    case gauge:
        return "gauge";
    case histogram:
        return "histogram";
    }
    return "untyped";
}

} // namespace hickorylatch::observe
