#include "settings/settings.hpp"

#include "parse_result.hpp"
#include "settings/address.hpp"
#include "settings/settings_field.hpp"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <iterator>

namespace core = hickorylatch::core;
using namespace hickorylatch::settings;

namespace
{

auto parse(std::string_view text) -> parse_result<settings>
{
    return run_parse(
        [&]
        {
            return parse_settings(text, "x.json");
        });
}

auto errors_of(std::string_view text) -> std::string
{
    return to_string(parse(text).m_errors);
}

auto with_agent(std::string const& fields) -> std::string
{
    return R"({"name": "a", "failure_domain": "d",
        "control_addresses": ["127.0.0.1:1"],
        "agent": {"target_address": "127.0.0.1:3",
                  "operators_address": "127.0.0.1:4", )" +
           fields + "}}";
}

} // namespace

// Guards against a default in the table that the parser does not use.
BOOST_AUTO_TEST_CASE(missing_fields_get_the_documented_defaults)
{
    auto const parsed = parse(R"({ // comments and trailing commas are allowed
        "name": "a", "failure_domain": "d",
        "control_addresses": ["127.0.0.1:1", "[::1]:2"],
        "entry": {"callers_address": "127.0.0.1:0",
                  "operators_address": "127.0.0.1:3"},
        "control": {"listen_address": "127.0.0.1:4", "data_folder": "data",
                    "operators_address": "127.0.0.1:5"},
        "agent": {"kind": "worker", "cores": 16, "memory_mb": 65536,
                  "target_address": "127.0.0.1:6",
                  "operators_address": "127.0.0.1:7"},
    })");
    BOOST_TEST(to_string(parsed.m_errors) == "");
    BOOST_REQUIRE(parsed.m_value.has_value());
    auto const& read = *parsed.m_value;
    auto const default_at = [](std::string_view path)
    {
        return std::string{settings_field_at(path).m_default};
    };
    auto const check = [&](std::string_view path, std::uint32_t value)
    {
        BOOST_TEST(default_at(path) == std::to_string(value), path);
    };
    check("frame_limit_bytes", read.m_frame_limit_bytes);
    check("client_connection_limit", read.m_client_connection_limit);
    check("client_memory_bytes", read.m_client_memory_bytes);
    check("link_unsent_bytes", read.m_link_unsent_bytes);
    check("links_unsent_bytes", read.m_links_unsent_bytes);
    check("entry.body_limit_bytes", read.m_entry->m_body_limit_bytes);
    check("entry.connection_limit", read.m_entry->m_connection_limit);
    check("entry.header_timeout_ms", read.m_entry->m_header_timeout_ms);
    check("control.key_retention_hours", read.m_control->m_key_retention_hours);
    check("control.key_limit", read.m_control->m_key_limit);
    check("control.snapshot_interval_entries",
          read.m_control->m_snapshot_interval_entries);
    check("control.snapshot_interval_bytes",
          read.m_control->m_snapshot_interval_bytes);
    check("control.segment_bytes", read.m_control->m_segment_bytes);
    check("agent.accelerators", read.m_agent->m_accelerators);
    check("agent.call_timeout_ms", read.m_agent->m_call_timeout_ms);
    BOOST_TEST(!read.m_entry->m_sparse.m_awaits_workers_after_start);
    BOOST_TEST(default_at("entry.awaits_workers_after_start") == "false");
    BOOST_TEST(!read.m_entry->m_sparse.m_releases_callers_when_isolated);
    BOOST_TEST(default_at("entry.releases_callers_when_isolated") == "false");
    BOOST_TEST(read.m_control->m_fsync);
    BOOST_TEST(read.m_agent->m_slots == 16U);
    BOOST_TEST(read.m_agent->m_service == core::worker_service);
    BOOST_TEST((read.m_log.m_level == core::log_level::info));
    BOOST_TEST(!read.m_tls.has_value());
}

// Guards against a parser that stops at the first error, so that operators
// need one run per error.
BOOST_AUTO_TEST_CASE(all_errors_are_reported_with_file_path_and_reason)
{
    auto const errors = errors_of(R"({
        "name": 5, "failure_domain": "d", "colour": "red",
        "control_addresses": ["127.0.0.1:1", "localhost:1", 7],
        "log": {"level": "loud"},
        "entry": {"callers_address": "127.0.0.1:65536",
                  "operators_address": "127.0.0.1:3",
                  "operators_address": "127.0.0.1:4",
                  "connection_limit": 1.5,
                  "body_limit_bytes": 8388608}})");
    for (auto const* const expected :
         {"x.json: name: expected a string", "x.json: colour: unknown key",
          "x.json: control_addresses[1]: expected ip:port with a port from 1 "
          "to 65535",
          "x.json: control_addresses[2]: expected a string",
          "x.json: log.level: expected one of debug, info, warning, error",
          "x.json: entry.callers_address: expected ip:port with a port from 0 "
          "to 65535",
          "x.json: entry.operators_address: duplicate key",
          "x.json: entry.connection_limit: expected a number from 1 to 100000",
          "x.json: entry.body_limit_bytes: expected at most 8323072"})
        BOOST_TEST(errors.find(expected) != std::string::npos,
                   expected << " is missing from\n"
                            << errors);
}

// Guards against a misspelt or repeated name of a failure domain.
BOOST_AUTO_TEST_CASE(failure_domains_are_unique_names)
{
    auto const with_domains = [](std::string const& domains)
    {
        return R"({"name": "a", "failure_domain": "d",
            "control_addresses": ["127.0.0.1:1"],
            "control": {"listen_address": "127.0.0.1:4", "data_folder": "data",
                        "operators_address": "127.0.0.1:5",
                        "failure_domains": )" +
               domains + "}}";
    };
    auto const parsed = parse(with_domains(R"(["klang", "bayan"])"));
    BOOST_TEST(to_string(parsed.m_errors) == "");
    BOOST_TEST(parsed.m_value->m_control->m_failure_domains ==
               (std::vector<std::string>{"klang", "bayan"}));
    auto const errors = errors_of(with_domains(R"(["klang", " ", "klang"])"));
    BOOST_TEST(errors.find("failure_domains[1]: expected a name") !=
               std::string::npos);
    BOOST_TEST(errors.find("failure_domains[2]: duplicate name") !=
               std::string::npos);
}

// Guards against limits on memory that close the connection of a single request
// or the link of a single frame.
BOOST_AUTO_TEST_CASE(memory_limits_hold_the_largest_message)
{
    auto const errors = errors_of(R"({
        "name": "a", "failure_domain": "d",
        "control_addresses": ["127.0.0.1:1"],
        "client_memory_bytes": 2097152, "links_unsent_bytes": 5000000,
        "link_unsent_bytes": 6000000,
        "entry": {"callers_address": "127.0.0.1:0",
                  "operators_address": "127.0.0.1:3"}})");
    for (auto const* const expected :
         {"x.json: client_memory_bytes: expected at least 2129920",
          "x.json: link_unsent_bytes: expected at least frame_limit_bytes",
          "x.json: links_unsent_bytes: expected at least link_unsent_bytes"})
        BOOST_TEST(errors.find(expected) != std::string::npos,
                   expected << " is missing from\n"
                            << errors);
}

BOOST_AUTO_TEST_CASE(invalid_syntax_is_reported_with_its_position)
{
    BOOST_TEST(errors_of("{\n  \"name\": ]}") ==
               "x.json: line 2, column 11: syntax error");
    BOOST_TEST(errors_of("[]") == "x.json: expected an object");
    BOOST_TEST(errors_of("{} {}").find("extra data") != std::string::npos);
    BOOST_TEST(errors_of("").find("incomplete") != std::string::npos);
}

// Guards against a process that anyone on the network can join.
BOOST_AUTO_TEST_CASE(an_empty_secret_needs_loopback_addresses)
{
    auto const text = [](std::string const& address, std::string const& more)
    {
        return R"({"name": "a", "failure_domain": "d", "control_addresses": [")" +
               address + R"("], "control": {"listen_address": "127.0.0.1:1",
               "operators_address": "127.0.0.1:2", "data_folder": "f"})" +
               more + "}";
    };
    BOOST_TEST(errors_of(text("127.0.0.1:1", "")) == "");
    BOOST_TEST(errors_of(text("10.0.0.1:1", "")) ==
               "x.json: secret: required unless every address is a loopback "
               "address");
    BOOST_TEST(errors_of(text("10.0.0.1:1", R"(, "secret": "s")")) == "");
    BOOST_TEST(errors_of(text("10.0.0.1:1", R"(, "secret_file": "s")")) == "");
    BOOST_TEST(
        !errors_of(text("10.0.0.1:1", R"(, "secret": "s", "secret_file": "s")"))
             .empty());
}

// Guards against an agent that announces an endpoint or worker without
// capacity.
BOOST_AUTO_TEST_CASE(an_agent_needs_the_fields_of_its_kind)
{
    BOOST_TEST(errors_of(with_agent(
                   R"("kind": "endpoint", "service": "s", "slots": 8)")) == "");
    BOOST_TEST(errors_of(with_agent(R"("kind": "endpoint")")) ==
               "x.json: agent.service: required for an endpoint, but missing\n"
               "x.json: agent.slots: required for an endpoint, but missing");
    BOOST_TEST(
        errors_of(
            with_agent(
                R"("kind": "endpoint", "service": "workers", "slots": 8)"))
            .find("agent.service: expected") != std::string::npos);
    BOOST_TEST(errors_of(with_agent(R"("kind": "worker", "service": "s")")) ==
               "x.json: agent.service: not allowed for a worker\n"
               "x.json: agent.cores: required for a worker, but missing\n"
               "x.json: agent.memory_mb: required for a worker, but missing");
    BOOST_TEST(errors_of(R"({"name": "a", "failure_domain": "d",
                             "control_addresses": ["127.0.0.1:1"]})")
                   .find("at least one of the roles") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(addresses_are_numeric)
{
    BOOST_TEST(parse_address("[fe80::1]:80")->m_ip == "fe80::1");
    BOOST_TEST(is_loopback({"127.9.9.9", 1}));
    BOOST_TEST(is_loopback({"::1", 1}));
    BOOST_TEST(!is_loopback({"::2", 1}));
    for (auto const* const invalid :
         {"", "1.2.3.4", "1.2.3.4:", "1.2.3:1", "1.2.3.4:-1", "1.2.3.4:+1",
          "1.2.3.4:1 ", "::1:80", "[1.2.3.4]:80", "name:80"})
        BOOST_TEST(!parse_address(invalid).has_value(), invalid);
}

// Guards against a reference page that differs from the parser. The page must
// contain the output of settings_reference().
BOOST_AUTO_TEST_CASE(the_reference_page_lists_every_key)
{
    auto file = std::ifstream{HICKORYLATCH_SOURCE_DIR "/docs/settings.md"};
    auto const page = std::string{std::istreambuf_iterator<char>{file}, {}};
    BOOST_TEST((page.find(settings_reference()) != std::string::npos),
               "docs/settings.md must contain:\n"
                   << settings_reference());
}
