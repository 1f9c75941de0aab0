#include "settings/configuration_record.hpp"

#include "settings/error_collector.hpp"
#include "settings/json_document.hpp"
#include "settings/object_reader.hpp"
#include "settings/record_schema.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <limits>
#include <set>
#include <span>
#include <utility>

namespace hickorylatch::settings
{

namespace
{

constexpr auto required = presence::required;
constexpr auto optional = presence::optional;

constexpr auto max_quota = std::int64_t{1'000'000'000};
constexpr auto max_queue_limit = std::int64_t{10'000'000};
constexpr auto day_ms = std::int64_t{86'400'000};
// Leaves room for the new configuration, whose version is the expected one + 1.
constexpr auto max_version = std::numeric_limits<std::int64_t>::max() - 1;

/// Adds an error for each duplicate name.
class unique_name_checker
{
public:
    auto add(object_reader& in, std::string const& name) -> void
    {
        if (!name.empty() && !m_names.insert(name).second)
            in.fail("name", "duplicate name \"" + name + "\"");
    }

private:
    std::set<std::string> m_names;
};

auto read_customer(object_reader& in, std::uint32_t version,
                   core::configuration const& current) -> core::customer
{
    auto out = core::customer{};
    in.read_name("name", required, out.m_name);
    in.read_number("priority", required, {0, core::highest_priority},
                   out.m_priority);
    in.read_number("quota", optional, {0, max_quota}, out.m_quota);
    if (version >= schema_version_2)
        in.read_string("account_manager", required, out.m_account_manager);
    else if (auto const* const known = core::find_customer(current, out.m_name))
        out.m_account_manager = known->m_account_manager;
    in.reject_unknown_keys();
    return out;
}

auto check_idempotent_paths(object_reader& in,
                            std::span<std::string const> paths) -> void
{
    auto seen = std::set<std::string_view>{};
    for (auto index = std::size_t{0}; index < paths.size(); ++index)
    {
        auto const key = join_path("idempotent_paths", index);
        if (!paths[index].starts_with('/'))
            in.fail(key, "expected a path that starts with \"/\"");
        if (!seen.insert(paths[index]).second)
            in.fail(key, "duplicate path \"" + paths[index] + "\"");
    }
}

auto read_service(object_reader& in) -> core::service
{
    auto out = core::service{};
    in.read_name("name", required, out.m_name);
    if (!out.m_name.empty() &&
        (!is_service_name(out.m_name) || out.m_name == core::worker_service))
        in.fail("name", "expected 1 to 64 letters, digits, '.', '_' or '-', "
                        "other than \"" +
                            std::string{core::worker_service} + "\"");
    in.read_strings("idempotent_paths", optional, out.m_idempotent_paths);
    check_idempotent_paths(in, out.m_idempotent_paths);
    in.read_number("queue_limit", optional, {1, max_queue_limit},
                   out.m_queue_limit);
    in.read_number("default_deadline_ms", optional, {1, day_ms},
                   out.m_default_deadline_ms);
    in.reject_unknown_keys();
    return out;
}

auto read_drained(object_reader& in) -> std::vector<std::string>
{
    auto drained = std::vector<std::string>{};
    in.read_strings("drained", optional, drained);
    auto seen = std::set<std::string_view>{};
    for (auto index = std::size_t{0}; index < drained.size(); ++index)
    {
        auto const key = join_path("drained", index);
        if (!is_name(drained[index]))
            in.fail(key, "expected the name of an endpoint or worker");
        if (!seen.insert(drained[index]).second)
            in.fail(key, "duplicate name \"" + drained[index] + "\"");
    }
    return drained;
}

auto read_change(object_reader& in, std::uint32_t version,
                 core::configuration const& current)
    -> core::change_configuration
{
    auto out = core::change_configuration{};
    in.read_name("request_id", required, out.m_request_id);
    in.read_number("expected_version", required, {0, max_version},
                   out.m_expected_version);
    out.m_configuration.m_version = out.m_expected_version + 1;
    auto customers = unique_name_checker{};
    for (auto& customer : in.read_objects("customers", required))
    {
        auto& added = out.m_configuration.m_customers.emplace_back(
            read_customer(customer, version, current));
        customers.add(customer, added.m_name);
    }
    auto services = unique_name_checker{};
    for (auto& service : in.read_objects("services", required))
    {
        auto& added =
            out.m_configuration.m_services.emplace_back(read_service(service));
        services.add(service, added.m_name);
    }
    out.m_configuration.m_drained = read_drained(in);
    in.reject_unknown_keys();
    return out;
}

auto print(core::customer const& customer, std::uint32_t version)
    -> boost::json::object
{
    auto printed = boost::json::object{{"name", customer.m_name},
                                       {"priority", customer.m_priority},
                                       {"quota", customer.m_quota}};
    if (version >= schema_version_2)
        printed["account_manager"] = customer.m_account_manager;
    return printed;
}

auto print(std::span<std::string const> texts) -> boost::json::array
{
    auto printed = boost::json::array{};
    for (auto const& text : texts)
        printed.emplace_back(text);
    return printed;
}

auto print(core::service const& service) -> boost::json::object
{
    return {{"name", service.m_name},
            {"idempotent_paths", print(service.m_idempotent_paths)},
            {"queue_limit", service.m_queue_limit},
            {"default_deadline_ms", service.m_default_deadline_ms}};
}

} // namespace

auto parse_configuration_record(std::string_view json,
                                core::configuration const& current)
    -> boost::leaf::result<core::change_configuration>
{
    auto errors = error_collector{"configuration record"};
    auto const document = json_document{json, json_syntax::strict, errors};
    auto root = document.root();
    if (!root)
        return boost::leaf::new_error(errors.take());
    auto const version = read_schema_version(*root);
    if (version == 0)
        return boost::leaf::new_error(errors.take());
    auto parsed = read_change(*root, version, current);
    if (version < schema_version_2 &&
        parsed.m_expected_version > current.m_version)
        errors.add_retryable(
            "expected_version",
            "newer than version " + std::to_string(current.m_version) +
                " known here, so account managers can't be kept; send again");
    if (errors.has_errors())
        return boost::leaf::new_error(errors.take());
    return parsed;
}

auto print_configuration_record(core::configuration const& config,
                                std::uint32_t schema_version) -> std::string
{
    auto const version = printable_schema_version(schema_version);
    auto customers = boost::json::array{};
    for (auto const& customer : config.m_customers)
        customers.emplace_back(print(customer, version));
    auto services = boost::json::array{};
    for (auto const& service : config.m_services)
        services.emplace_back(print(service));
    return boost::json::serialize(
        boost::json::object{{"schema_version", version},
                            {"expected_version", config.m_version},
                            {"customers", std::move(customers)},
                            {"services", std::move(services)},
                            {"drained", print(config.m_drained)}});
}

} // namespace hickorylatch::settings
