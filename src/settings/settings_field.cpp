#include "settings/settings_field.hpp"

#include <algorithm>
#include <array>
#include <stdexcept>

namespace hickorylatch::settings
{

namespace
{

using enum field_type;

constexpr auto required = presence::required;
constexpr auto optional = presence::optional;

constexpr auto kibibyte = std::int64_t{1024};
constexpr auto mebibyte = 1024 * kibibyte;
constexpr auto hour_ms = std::int64_t{3'600'000};

constexpr auto fields = std::to_array<settings_field>({
    {"name",
     name,
     required,
     "",
     "",
     "Name of the process in logs, status and "
     "the list of drained ones",
     {}},
    {"failure_domain",
     name,
     required,
     "",
     "",
     "Failure domain that the process is in",
     {}},
    {"control_addresses",
     addresses,
     required,
     "",
     "",
     "Control replicas to connect to first, at least one",
     {}},
    {"secret",
     text,
     optional,
     "empty",
     "",
     "Secret shared by all processes; empty is allowed only if every address "
     "in the file is a loopback address",
     {}},
    {"secret_file",
     file,
     optional,
     "empty",
     "",
     "File whose first line is the secret; excludes `secret`",
     {}},
    {"frame_limit_bytes",
     number,
     optional,
     "8388608",
     "bytes",
     "Largest frame between processes; the same for all of them",
     {128 * kibibyte, 256 * mebibyte}},
    {"client_connection_limit",
     number,
     optional,
     "4096",
     "connections",
     "HTTP connections of the process that are served at once at most, for all "
     "its addresses together",
     {16, 100'000}},
    {"client_memory_bytes",
     number,
     optional,
     "268435456",
     "bytes",
     "Bytes held for all HTTP connections of the process at most; at least "
     "twice `entry.body_limit_bytes` and 32768 more",
     {mebibyte, 4095 * mebibyte}},
    {"link_unsent_bytes",
     number,
     optional,
     "268435456",
     "bytes",
     "Unsent bytes of a link to another process at most; at least "
     "`frame_limit_bytes`",
     {128 * kibibyte, 4095 * mebibyte}},
    {"links_unsent_bytes",
     number,
     optional,
     "1073741824",
     "bytes",
     "Unsent bytes of all links to other processes at most; at least "
     "`link_unsent_bytes`",
     {128 * kibibyte, 4095 * mebibyte}},
    {"trace_file",
     file,
     optional,
     "empty",
     "",
     "File that spans are appended to; empty writes none",
     {}},

    {"log", section, optional, "defaults", "", "Log lines", {}},
    {"log.level",
     choice,
     optional,
     "info",
     "debug, info, warning, error",
     "Least severe level that is written",
     {}},
    {"log.file",
     file,
     optional,
     "empty",
     "",
     "File that log lines are appended to; empty writes to standard output",
     {}},

    {"tls",
     section,
     optional,
     "none",
     "",
     "Mutual TLS between processes; without it they use plain TCP",
     {}},
    {"tls.certificate_file",
     file,
     required,
     "",
     "",
     "Certificate chain of this process, PEM",
     {}},
    {"tls.key_file",
     file,
     required,
     "",
     "",
     "Private key of the certificate, PEM",
     {}},
    {"tls.authority_file",
     file,
     required,
     "",
     "",
     "Certificates of the authorities that sign the peers' certificates, PEM",
     {}},

    {"entry",
     section,
     optional,
     "none",
     "",
     "Entry role: callers' requests and operators' records",
     {}},
    {"entry.callers_address",
     listener,
     required,
     "",
     "",
     "Where callers' requests are accepted",
     {}},
    {"entry.operators_address",
     listener,
     required,
     "",
     "",
     "Where the operators' API is served",
     {}},
    {"entry.body_limit_bytes",
     number,
     optional,
     "1048576",
     "bytes",
     "Largest request body; at least 65536 less than `frame_limit_bytes`, "
     "because a body is forwarded in one frame",
     {kibibyte, 256 * mebibyte}},
    {"entry.connection_limit",
     number,
     optional,
     "1000",
     "connections",
     "Open callers' connections at most",
     {1, 100'000}},
    {"entry.header_timeout_ms",
     number,
     optional,
     "10000",
     "ms",
     "Time within which a request's headers must arrive",
     {1, hour_ms}},
    {"entry.awaits_workers_after_start",
     flag,
     optional,
     "false",
     "",
     "Holds step jobs that would be late while links to more workers open "
     "after "
     "the start; applies to entries that place step jobs themselves (`host "
     "entry`)",
     {}},
    {"entry.releases_callers_when_isolated",
     flag,
     optional,
     "false",
     "",
     "Closes clients' connections while the entry has lost contact with all "
     "workers; applies to entries that place step jobs themselves (`host "
     "entry`)",
     {}},

    {"control",
     section,
     optional,
     "none",
     "",
     "Control role: one replica of the replicated state",
     {}},
    {"control.listen_address",
     listener,
     required,
     "",
     "",
     "Where other processes connect",
     {}},
    {"control.operators_address",
     listener,
     required,
     "",
     "",
     "Where metrics, health and the founding of the group are served",
     {}},
    {"control.data_folder",
     file,
     required,
     "",
     "",
     "Folder of log, snapshots and identity",
     {}},
    {"control.key_retention_hours",
     number,
     optional,
     "24",
     "hours",
     "Time that keys of ended submissions are kept",
     {1, 8'760}},
    {"control.key_limit",
     number,
     optional,
     "1000000",
     "keys",
     "Keys kept at most",
     {1, 100'000'000}},
    {"control.snapshot_interval_entries",
     number,
     optional,
     "20000",
     "log entries",
     "Entries between two snapshots",
     {100, 10'000'000}},
    {"control.snapshot_interval_bytes",
     number,
     optional,
     "67108864",
     "bytes",
     "Bytes of content in the log between two snapshots",
     {65'536, 1'073'741'824}},
    {"control.segment_bytes",
     number,
     optional,
     "16777216",
     "bytes",
     "Size of one file of the log, reserved when it is created",
     {65'536, 1'073'741'824}},
    {"control.failure_domains",
     names,
     optional,
     "empty",
     "",
     "Failure domains that operators can evacuate; empty accepts every name",
     {}},
    {"control.fsync",
     flag,
     optional,
     "true",
     "",
     "Syncs every write before it counts; false is for tests only, because "
     "acceptances can be lost when a VM stops",
     {}},

    {"agent",
     section,
     optional,
     "none",
     "",
     "Agent role: announces one endpoint or worker and gates its starts",
     {}},
    {"agent.kind",
     choice,
     required,
     "",
     "endpoint, worker",
     "What the agent stands beside",
     {}},
    {"agent.service",
     name,
     optional,
     "none",
     "",
     "Service of the endpoint; required for an endpoint, not allowed for a "
     "worker",
     {}},
    {"agent.target_address",
     address,
     required,
     "",
     "",
     "Where the endpoint or worker accepts HTTP calls",
     {}},
    {"agent.operators_address",
     listener,
     required,
     "",
     "",
     "Where metrics and health are served",
     {}},
    {"agent.slots",
     number,
     optional,
     "`cores`",
     "calls",
     "Calls in progress at once at most; required for an endpoint",
     {1, 65'536}},
    {"agent.cores",
     number,
     optional,
     "0",
     "cores",
     "Processor cores of the worker; required for a worker",
     {1, 65'536}},
    {"agent.memory_mb",
     number,
     optional,
     "0",
     "MB",
     "Memory of the worker; required for a worker",
     {1, 1'000'000'000}},
    {"agent.accelerators",
     number,
     optional,
     "0",
     "accelerators",
     "Accelerators of the worker",
     {0, 65'536}},
    {"agent.rack",
     name,
     optional,
     "empty",
     "",
     "Rack within the failure domain; empty if it is not known",
     {}},
    {"agent.call_timeout_ms",
     number,
     optional,
     "30000",
     "ms",
     "Time after which a call counts as failed",
     {1, 24 * hour_ms}},
});

auto type_text(settings_field const& field) -> std::string
{
    switch (field.m_type)
    {
    case text:
        return "string";
    case name:
        return "name";
    case file:
        return "file path";
    case choice:
        return "one of " + std::string{field.m_unit};
    case address:
        return "ip:port";
    case listener:
        return "ip:port, port 0 for any";
    case addresses:
        return "array of ip:port";
    case names:
        return "array of names";
    case number:
        return "number from " + std::to_string(field.m_range.m_lowest) +
               " to " + std::to_string(field.m_range.m_highest);
    case flag:
        return "true or false";
    case section:
        return "object";
    }
    return "unknown";
}

auto table_row(settings_field const& field) -> std::string
{
    auto const unit =
        field.m_type == number ? std::string{field.m_unit} : std::string{"-"};
    auto const fallback = field.m_presence == required
                              ? std::string{"required"}
                              : std::string{field.m_default};
    auto line = std::string{"| `"};
    return line.append(field.m_path)
        .append("` | ")
        .append(type_text(field))
        .append(" | ")
        .append(unit)
        .append(" | ")
        .append(fallback)
        .append(" | ")
        .append(field.m_description)
        .append(" |\n");
}

} // namespace

auto settings_fields() -> std::span<settings_field const>
{
    return fields;
}

auto settings_field_at(std::string_view path) -> settings_field const&
{
    auto const* const found =
        std::ranges::find(fields, path, &settings_field::m_path);
    if (found == fields.end())
        throw std::logic_error{"no settings field " + std::string{path}};
    return *found;
}

auto settings_reference() -> std::string
{
    constexpr auto table_header = std::string_view{
        "\n| key | type | unit | default | meaning |\n|---|---|---|---|---|\n"};
    auto page = std::string{"### Process\n"};
    page += table_header;
    for (auto const& field : fields)
    {
        if (field.m_type == section)
        {
            page.append("\n### Section `").append(field.m_path).append("`\n");
            page += table_header;
        }
        page += table_row(field);
    }
    return page;
}

} // namespace hickorylatch::settings
