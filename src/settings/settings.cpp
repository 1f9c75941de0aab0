#include "settings/settings.hpp"

#include "settings/address.hpp"
#include "settings/error_collector.hpp"
#include "settings/json_document.hpp"
#include "settings/object_reader.hpp"
#include "settings/settings_field.hpp"

#include <algorithm>
#include <array>
#include <set>
#include <span>
#include <utility>

namespace hickorylatch::settings
{

namespace
{

// Space in a frame for everything besides a body: names, keys, trace context
// and one agent for each task of the largest job.
constexpr auto frame_overhead_bytes = std::uint32_t{65'536};

// Space for the headers of two requests.
constexpr auto request_overhead_bytes = std::uint32_t{32'768};

/// Reads the fields of one section according to the table of settings fields.
/// Clears `all_loopback` if an address is not a loopback address.
class section_reader
{
public:
    section_reader(object_reader object, bool& all_loopback)
        : m_object(std::move(object)), m_all_loopback(&all_loopback)
    {
    }

    auto read(std::string_view key, std::string& out) -> void
    {
        auto const& field = field_at(key);
        switch (field.m_type)
        {
        case field_type::name:
            return m_object.read_name(key, field.m_presence, out);
        case field_type::address:
            return read_address(key, field.m_presence, 1, out);
        case field_type::listener:
            return read_address(key, field.m_presence, 0, out);
        default:
            m_object.read_string(key, field.m_presence, out);
            if (field.m_presence == presence::required && m_object.has(key) &&
                out.empty())
                m_object.fail(key, "expected a string that is not empty");
        }
    }

    auto read(std::string_view key, bool& out) -> void
    {
        m_object.read_bool(key, field_at(key).m_presence, out);
    }

    auto read(std::string_view key, std::uint32_t& out) -> void
    {
        auto const& field = field_at(key);
        m_object.read_number(key, field.m_presence, field.m_range, out);
    }

    auto read(std::string_view key, std::vector<std::string>& out) -> void
    {
        auto const& field = field_at(key);
        m_object.read_strings(key, field.m_presence, out);
        if (field.m_type == field_type::names)
            return check_names(key, out);
        for (auto index = std::size_t{0}; index < out.size(); ++index)
            check_address(join_path(key, index), 1, out[index]);
    }

    /// Reads a choice between names; the output is the position of the name.
    template <class Choice>
    auto read_choice(std::string_view key,
                     std::span<std::string_view const> names, Choice& out)
        -> void
    {
        auto const& field = field_at(key);
        auto chosen = std::string{};
        m_object.read_string(key, field.m_presence, chosen);
        if (chosen.empty() && !m_object.has(key))
            return;
        auto const found = std::ranges::find(names, chosen);
        if (found == names.end())
            return m_object.fail(key, "expected one of " +
                                          std::string{field.m_unit});
        out = static_cast<Choice>(found - names.begin());
    }

    /// Reader of a nested section. Empty if the file does not have it.
    auto section(std::string_view key) -> std::optional<section_reader>
    {
        auto inner = m_object.read_object(key, field_at(key).m_presence);
        if (!inner)
            return std::nullopt;
        return section_reader{std::move(*inner), *m_all_loopback};
    }

    auto object() -> object_reader&
    {
        return m_object;
    }

private:
    auto field_at(std::string_view key) const -> settings_field const&
    {
        return settings_field_at(join_path(m_object.path(), key));
    }

    auto read_address(std::string_view key, presence needed, int lowest_port,
                      std::string& out) -> void
    {
        m_object.read_string(key, needed, out);
        if (!out.empty() || m_object.has(key))
            check_address(key, lowest_port, out);
    }

    auto check_names(std::string_view key, std::span<std::string const> names)
        -> void
    {
        auto seen = std::set<std::string_view>{};
        for (auto index = std::size_t{0}; index < names.size(); ++index)
        {
            if (!is_name(names[index]))
                m_object.fail(join_path(key, index), "expected a name");
            if (!seen.insert(names[index]).second)
                m_object.fail(join_path(key, index),
                              "duplicate name \"" + names[index] + "\"");
        }
    }

    auto check_address(std::string_view key, int lowest_port,
                       std::string_view text) -> void
    {
        auto const parsed = parse_address(text);
        if (!parsed || parsed->m_port < lowest_port)
            return m_object.fail(key, "expected ip:port with a port from " +
                                          std::to_string(lowest_port) +
                                          " to 65535");
        *m_all_loopback = *m_all_loopback && is_loopback(*parsed);
    }

    object_reader m_object;
    bool* m_all_loopback;
};

auto read_log(section_reader in) -> log_settings
{
    static constexpr auto levels =
        std::to_array<std::string_view>({"debug", "info", "warning", "error"});
    auto out = log_settings{};
    in.read_choice("level", levels, out.m_level);
    in.read("file", out.m_file);
    in.object().reject_unknown_keys();
    return out;
}

auto read_tls(section_reader in) -> tls_settings
{
    auto out = tls_settings{};
    in.read("certificate_file", out.m_certificate_file);
    in.read("key_file", out.m_key_file);
    in.read("authority_file", out.m_authority_file);
    in.object().reject_unknown_keys();
    return out;
}

auto read_entry(section_reader in, std::uint32_t frame_limit) -> entry_settings
{
    auto out = entry_settings{};
    in.read("callers_address", out.m_callers_address);
    in.read("operators_address", out.m_operators_address);
    in.read("body_limit_bytes", out.m_body_limit_bytes);
    in.read("connection_limit", out.m_connection_limit);
    in.read("header_timeout_ms", out.m_header_timeout_ms);
    in.read("awaits_workers_after_start",
            out.m_sparse.m_awaits_workers_after_start);
    in.read("releases_callers_when_isolated",
            out.m_sparse.m_releases_callers_when_isolated);
    in.object().reject_unknown_keys();
    auto const highest = frame_limit - frame_overhead_bytes;
    if (out.m_body_limit_bytes > highest)
        in.object().fail("body_limit_bytes",
                         "expected at most " + std::to_string(highest) +
                             ", which is frame_limit_bytes less " +
                             std::to_string(frame_overhead_bytes));
    return out;
}

auto read_control(section_reader in) -> control_settings
{
    auto out = control_settings{};
    in.read("listen_address", out.m_listen_address);
    in.read("operators_address", out.m_operators_address);
    in.read("data_folder", out.m_data_folder);
    in.read("key_retention_hours", out.m_key_retention_hours);
    in.read("key_limit", out.m_key_limit);
    in.read("snapshot_interval_entries", out.m_snapshot_interval_entries);
    in.read("snapshot_interval_bytes", out.m_snapshot_interval_bytes);
    in.read("segment_bytes", out.m_segment_bytes);
    in.read("failure_domains", out.m_failure_domains);
    in.read("fsync", out.m_fsync);
    in.object().reject_unknown_keys();
    return out;
}

auto check_endpoint(object_reader& object, agent_settings const& agent) -> void
{
    if (!object.has("service"))
        object.fail("service", "required for an endpoint, but missing");
    else if (!is_service_name(agent.m_service) ||
             agent.m_service == core::worker_service)
        object.fail("service", "expected 1 to 64 letters, digits, '.', '_' or "
                               "'-', other than \"" +
                                   std::string{core::worker_service} + "\"");
    if (!object.has("slots"))
        object.fail("slots", "required for an endpoint, but missing");
}

auto check_worker(object_reader& object, agent_settings& agent) -> void
{
    if (object.has("service"))
        object.fail("service", "not allowed for a worker");
    if (!object.has("cores"))
        object.fail("cores", "required for a worker, but missing");
    if (!object.has("memory_mb"))
        object.fail("memory_mb", "required for a worker, but missing");
    agent.m_service = core::worker_service;
    if (!object.has("slots"))
        agent.m_slots = agent.m_cores;
}

auto read_agent(section_reader in) -> agent_settings
{
    static constexpr auto kinds =
        std::to_array<std::string_view>({"endpoint", "worker"});
    auto out = agent_settings{};
    in.read_choice("kind", kinds, out.m_kind);
    in.read("service", out.m_service);
    in.read("target_address", out.m_target_address);
    in.read("operators_address", out.m_operators_address);
    in.read("slots", out.m_slots);
    in.read("cores", out.m_cores);
    in.read("memory_mb", out.m_memory_mb);
    in.read("accelerators", out.m_accelerators);
    in.read("rack", out.m_rack);
    in.read("call_timeout_ms", out.m_call_timeout_ms);
    in.object().reject_unknown_keys();
    if (out.m_kind == core::agent_kind::endpoint)
        check_endpoint(in.object(), out);
    else
        check_worker(in.object(), out);
    return out;
}

auto read_settings(section_reader in) -> settings
{
    auto out = settings{};
    in.read("name", out.m_name);
    in.read("failure_domain", out.m_failure_domain);
    in.read("control_addresses", out.m_control_addresses);
    in.read("secret", out.m_secret);
    in.read("secret_file", out.m_secret_file);
    in.read("frame_limit_bytes", out.m_frame_limit_bytes);
    in.read("client_connection_limit", out.m_client_connection_limit);
    in.read("client_memory_bytes", out.m_client_memory_bytes);
    in.read("link_unsent_bytes", out.m_link_unsent_bytes);
    in.read("links_unsent_bytes", out.m_links_unsent_bytes);
    in.read("trace_file", out.m_trace_file);
    if (auto log = in.section("log"))
        out.m_log = read_log(std::move(*log));
    if (auto tls = in.section("tls"))
        out.m_tls = read_tls(std::move(*tls));
    if (auto entry = in.section("entry"))
        out.m_entry = read_entry(std::move(*entry), out.m_frame_limit_bytes);
    if (auto control = in.section("control"))
        out.m_control = read_control(std::move(*control));
    if (auto agent = in.section("agent"))
        out.m_agent = read_agent(std::move(*agent));
    in.object().reject_unknown_keys();
    return out;
}

auto check_memory_limits(object_reader& root, settings const& parsed) -> void
{
    auto const body_limit =
        parsed.m_entry ? std::uint64_t{parsed.m_entry->m_body_limit_bytes} : 0;
    auto const lowest = body_limit * 2 + request_overhead_bytes;
    if (parsed.m_client_memory_bytes < lowest)
        root.fail("client_memory_bytes",
                  "expected at least " + std::to_string(lowest) +
                      ", which is twice entry.body_limit_bytes and " +
                      std::to_string(request_overhead_bytes));
    if (parsed.m_link_unsent_bytes < parsed.m_frame_limit_bytes)
        root.fail("link_unsent_bytes", "expected at least frame_limit_bytes");
    if (parsed.m_links_unsent_bytes < parsed.m_link_unsent_bytes)
        root.fail("links_unsent_bytes", "expected at least link_unsent_bytes");
}

auto check_field_combinations(object_reader& root, settings const& parsed,
                              bool all_loopback) -> void
{
    if (root.has("control_addresses") && parsed.m_control_addresses.empty())
        root.fail("control_addresses", "expected at least one address");
    if (!root.has("entry") && !root.has("control") && !root.has("agent"))
        root.fail({}, "expected at least one of the roles entry, control and "
                      "agent");
    check_memory_limits(root, parsed);
    if (!parsed.m_secret.empty() && !parsed.m_secret_file.empty())
        root.fail("secret_file", "not allowed together with secret");
    if (parsed.m_secret.empty() && parsed.m_secret_file.empty() &&
        !all_loopback)
        root.fail("secret", "required unless every address is a loopback "
                            "address");
}

} // namespace

auto parse_settings(std::string_view text, std::string_view file_name)
    -> boost::leaf::result<settings>
{
    auto errors = error_collector{file_name};
    auto const document =
        json_document{text, json_syntax::with_comments, errors};
    auto root = document.root();
    if (!root)
        return boost::leaf::new_error(errors.take());
    auto all_loopback = true;
    auto parsed = read_settings(section_reader{*root, all_loopback});
    check_field_combinations(*root, parsed, all_loopback);
    if (errors.has_errors())
        return boost::leaf::new_error(errors.take());
    return parsed;
}

} // namespace hickorylatch::settings
