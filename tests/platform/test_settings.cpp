#include "platform/parsed.hpp"
#include "platform/settings.hpp"
#include "platform/settings_source.hpp"

#include <boost/test/unit_test.hpp>

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <string>

namespace platform = hickorylatch::platform;

namespace
{

auto const example_text = std::string{R"(
nodeName = "edge-klang-1"
role = "entry"
serves = ["edge","control"]
ip = "10.1.0.13"
zone = "klang"
portRange = [7720,7735]
seeds = ["10.1.0.13:8166","10.2.0.30:8166"]
bootstrap = true
dataDir = "/data/entry"
app = "10.1.0.13:8165"
unknownField = 7
[listenAddrs]
frontend = "10.1.0.13:8161"
readiness = "10.1.0.13:8167"
controlPlane = "10.1.0.13:8166"
[limits]
cpuShare = 0.5
cores = 1
[faultTolerance]
machines = 2
[bounds]
maxHoldMs = 1000
spreadFactor = 1.5
[zones.klang]
racks = 2
[zones.bayan]
racks = 3
)"};

auto parse_settings(std::string const& text) -> parsed<platform::host_settings>
{
    return try_parse(
        [&]
        {
            return platform::parse_host_settings(text);
        });
}

auto convert(platform::host_settings const& host, platform::duty target_duty)
    -> parsed<hickorylatch::settings::settings>
{
    return try_parse(
        [&]
        {
            return platform::to_process_settings(host, target_duty);
        });
}

} // namespace

// Guards against small entries that receive as many load messages as large ones
// and have no processor time left for their jobs.
BOOST_AUTO_TEST_CASE(small_entries_receive_fewer_loads)
{
    auto host = parse_settings(example_text);
    BOOST_REQUIRE_MESSAGE(host.m_value, host.m_error);
    host.m_value->m_processor_share = 0.12;
    auto const entry = convert(*host.m_value, platform::duty::entry);
    BOOST_REQUIRE_MESSAGE(entry.m_value, entry.m_error);
    BOOST_TEST(entry.m_value->m_broker->m_placement.m_loads_per_s == 1'920U);
}

// Guards against a control process that accepts the evacuation of a failure
// domain that does not exist.
BOOST_AUTO_TEST_CASE(the_zones_are_the_known_failure_domains)
{
    auto const host = parse_settings(example_text);
    BOOST_REQUIRE_MESSAGE(host.m_value, host.m_error);
    auto const control = convert(*host.m_value, platform::duty::control);
    BOOST_REQUIRE_MESSAGE(control.m_value, control.m_error);
    BOOST_TEST(control.m_value->m_control->m_failure_domains ==
               (std::vector<std::string>{"bayan", "klang"}));
    auto const text = example_text.substr(0, example_text.find("[zones"));
    auto const without = parse_settings(text);
    BOOST_REQUIRE_MESSAGE(without.m_value, without.m_error);
    BOOST_TEST(without.m_value->m_failure_domains.empty());
}

// Guards against entries that hold jobs after their start without the option
// that asks for it: more jobs were refused with it on a measured day.
BOOST_AUTO_TEST_CASE(no_contract_enables_waits_for_workers)
{
    for (auto const* const contracts : {"", "contracts = [\"jobs\"]\n",
                                        "contracts = [\"jobs\",\"health\"]\n"})
    {
        auto const host = parse_settings(contracts + example_text);
        BOOST_REQUIRE_MESSAGE(host.m_value, host.m_error);
        auto const entry = convert(*host.m_value, platform::duty::entry);
        BOOST_REQUIRE_MESSAGE(entry.m_value, entry.m_error);
        auto const& sparse = entry.m_value->m_broker->m_sparse;
        BOOST_TEST(!sparse.m_awaits_workers_after_start);
    }
}

// Guards against entries that close connections in deployments that do not rely
// on what an entry reports about itself.
BOOST_AUTO_TEST_CASE(the_health_contract_enables_the_release_of_callers)
{
    auto const releases = [](std::string const& contracts)
    {
        auto const host = parse_settings(contracts + example_text);
        BOOST_REQUIRE_MESSAGE(host.m_value, host.m_error);
        auto const entry = convert(*host.m_value, platform::duty::entry);
        BOOST_REQUIRE_MESSAGE(entry.m_value, entry.m_error);
        auto const& sparse = entry.m_value->m_broker->m_sparse;
        return sparse.m_releases_callers_when_isolated;
    };
    BOOST_TEST(!releases(""));
    BOOST_TEST(!releases("contracts = [\"jobs\"]\n"));
    BOOST_TEST(releases("contracts = [\"jobs\",\"health\"]\n"));
}

BOOST_AUTO_TEST_CASE(platform_settings_are_translated)
{
    auto const host = parse_settings(example_text);
    BOOST_REQUIRE_MESSAGE(host.m_value, host.m_error);
    BOOST_TEST(host.m_value->m_failure_domain == "klang");
    BOOST_TEST(host.m_value->m_spread_factor == 1.5);
    auto const entry = convert(*host.m_value, platform::duty::entry);
    BOOST_REQUIRE_MESSAGE(entry.m_value, entry.m_error);
    BOOST_TEST(entry.m_value->m_broker->m_listen_address == "10.1.0.13:7721");
    BOOST_TEST(entry.m_value->m_control_addresses.back() == "10.2.0.30:7720");
    // Half a core could process more loads than placement benefits from.
    BOOST_TEST(entry.m_value->m_broker->m_placement.m_loads_per_s == 3'000U);
    auto const control = convert(*host.m_value, platform::duty::control);
    BOOST_REQUIRE_MESSAGE(control.m_value, control.m_error);
    BOOST_TEST(control.m_value->m_control->m_listen_address ==
               "10.1.0.13:7720");
    // A majority must remain after two machines are lost.
    BOOST_TEST(control.m_value->m_control->m_group.m_voters == 5U);
    BOOST_TEST(control.m_value->m_control->m_group.m_is_first_start);
    auto const agent = convert(*host.m_value, platform::duty::agent);
    BOOST_TEST(agent.m_value->m_executor->m_lease_ms == 1000U);
}

// Guards against limits that honest clients meet on the smallest machine, and
// against limits that its memory or descriptors do not allow.
BOOST_AUTO_TEST_CASE(client_limits_follow_memory_and_descriptors)
{
    auto host = *parse_settings(example_text).m_value;
    auto const defaults = *convert(host, platform::duty::entry).m_value;
    BOOST_TEST(defaults.m_client_memory_bytes == 268'435'456U);
    BOOST_TEST(defaults.m_client_connection_limit == 4'096U);
    auto text = example_text;
    text.replace(text.find("cores = 1"), 9,
                 "cores = 1\nmemoryMb = 128\nmaxFds = 4096");
    host = *parse_settings(text).m_value;
    BOOST_TEST(host.m_memory_mb == 128U);
    BOOST_TEST(host.m_descriptors == 4'096U);
    auto const small = *convert(host, platform::duty::agent).m_value;
    // 64 connections with the largest headers and bodies.
    BOOST_TEST(small.m_client_memory_bytes > 64U * (16'384U + 262'144U));
    BOOST_TEST(small.m_client_memory_bytes == 21'333'333U);
    BOOST_TEST(small.m_client_connection_limit == 1'948U);
    BOOST_TEST(small.m_link_unsent_bytes == 16'000'000U);
    BOOST_TEST(small.m_links_unsent_bytes == 32'000'000U);
    host.m_memory_mb = 64;
    host.m_descriptors = 400;
    auto const smallest = *convert(host, platform::duty::entry).m_value;
    BOOST_TEST(smallest.m_client_memory_bytes == 10'666'666U);
    BOOST_TEST(smallest.m_client_connection_limit == 100U);
    BOOST_TEST(smallest.m_link_unsent_bytes == 8'388'608U);
}

// Guards against a replica that votes although its state is lost when its
// process exits.
BOOST_AUTO_TEST_CASE(a_control_process_without_a_disk_is_volatile)
{
    auto host = *parse_settings(example_text).m_value;
    BOOST_TEST(!convert(host, platform::duty::control)
                    .m_value->m_control->m_group.m_is_volatile);
    host.m_data_folder.clear();
    auto const control = convert(host, platform::duty::control);
    BOOST_REQUIRE_MESSAGE(control.m_value, control.m_error);
    BOOST_TEST(control.m_value->m_control->m_group.m_is_volatile);
    BOOST_TEST(control.m_value->m_control->m_data_folder.empty());
}

BOOST_AUTO_TEST_CASE(incomplete_settings_are_errors)
{
    BOOST_TEST(!parse_settings("").m_value);
    BOOST_TEST(!parse_settings("nodeName = ").m_value);
    BOOST_TEST(
        !parse_settings("nodeName = \"a\"\nip = \"10.0.0.1\"\n").m_value);
    auto host = *parse_settings(example_text).m_value;
    host.m_worker_address.clear();
    BOOST_TEST(!convert(host, platform::duty::agent).m_value);
    host.m_clients_address.clear();
    BOOST_TEST(!convert(host, platform::duty::entry).m_value);
}

// Guards against missing a change of the seeds that came without a signal, and
// against using a file that is only partly written.
BOOST_AUTO_TEST_CASE(changed_settings_file_is_read_once)
{
    auto const file = std::filesystem::temp_directory_path() /
                      ("hickorylatch-host-" + std::to_string(getpid()));
    auto const write = [&](std::string const& text)
    {
        std::ofstream{file} << text;
    };
    auto source = platform::settings_source{file.string(), {}};
    auto const change = [&]
    {
        return try_parse(
            [&]
            {
                return source.read_change();
            });
    };
    write(example_text);
    BOOST_TEST(try_parse(
                   [&]
                   {
                       return source.read();
                   })
                   .m_value.has_value());
    BOOST_TEST(!change().m_value.value().has_value());
    write(example_text.substr(0, 40));
    BOOST_TEST(!change().m_value.has_value());
    BOOST_TEST(!change().m_value.value().has_value());
    auto changed_text = example_text;
    changed_text.replace(changed_text.find("10.2.0.30"), 9, "10.3.0.36");
    write(changed_text);
    auto const changed = change().m_value.value();
    BOOST_REQUIRE(changed.has_value());
    BOOST_TEST(platform::seed_link_addresses(*changed).back() ==
               "10.3.0.36:7720");
    std::filesystem::remove(file);
}
