#include "parse_result.hpp"
#include "settings/configuration_record.hpp"
#include "settings/job_record.hpp"
#include "settings/settings.hpp"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace core = hickorylatch::core;
namespace data = boost::unit_test::data;
namespace fs = std::filesystem;
using namespace hickorylatch::settings;

namespace
{

auto const users = {"tali-seri", "qurum"};

auto folder_of(std::string const& user) -> fs::path
{
    return fs::path{HICKORYLATCH_SOURCE_DIR} / "examples" / user;
}

auto read(fs::path const& path) -> std::string
{
    auto file = std::ifstream{path};
    BOOST_REQUIRE(file);
    return {std::istreambuf_iterator<char>{file}, {}};
}

/// Processes of the example by name.
auto processes_of(std::string const& user) -> std::map<std::string, settings>
{
    auto found = std::map<std::string, settings>{};
    for (auto const& item : fs::directory_iterator{folder_of(user)})
    {
        if (!item.is_regular_file())
            continue;
        auto const parsed = run_parse(
            [&]
            {
                return parse_settings(read(item.path()),
                                      item.path().filename().string());
            });
        BOOST_TEST(to_string(parsed.m_errors) == "");
        BOOST_REQUIRE(parsed.m_value.has_value());
        BOOST_TEST(parsed.m_value->m_name == item.path().stem().string());
        found.emplace(parsed.m_value->m_name, *parsed.m_value);
    }
    return found;
}

auto listeners_of(settings const& process) -> std::vector<std::string>
{
    if (process.m_entry)
        return {process.m_entry->m_callers_address,
                process.m_entry->m_operators_address};
    if (process.m_control)
        return {process.m_control->m_listen_address,
                process.m_control->m_operators_address};
    return {process.m_agent->m_target_address,
            process.m_agent->m_operators_address};
}

} // namespace

// Guards against examples that the program rejects or that cannot run together
// on one host.
BOOST_AUTO_TEST_CASE(every_process_parses_and_no_two_share_an_address)
{
    auto addresses = std::set<std::string>{};
    for (auto const* const user : users)
    {
        auto const processes = processes_of(user);
        auto listening = std::set<std::string>{};
        auto slots = 0U;
        for (auto const& [name, process] : processes)
        {
            for (auto const& address : listeners_of(process))
                BOOST_TEST(addresses.insert(address).second, address);
            if (process.m_control)
                listening.insert(process.m_control->m_listen_address);
            if (process.m_agent &&
                process.m_agent->m_kind == core::agent_kind::endpoint)
                slots += process.m_agent->m_slots;
        }
        BOOST_TEST(processes.size() == 26U);
        BOOST_TEST(slots == 80U);
        for (auto const& [name, process] : processes)
            BOOST_TEST((std::set<std::string>{
                            process.m_control_addresses.begin(),
                            process.m_control_addresses.end()} == listening),
                       name);
    }
}

BOOST_DATA_TEST_CASE(every_record_parses, data::make(users), user)
{
    auto const folder = folder_of(user) / "records";
    auto const config = run_parse(
        [&]
        {
            return parse_configuration_record(
                read(folder / "configuration.json"), {});
        });
    BOOST_TEST(to_string(config.m_errors) == "");
    BOOST_REQUIRE(config.m_value.has_value());
    auto const agent = processes_of(user).at("endpoint-01").m_agent;
    auto const* const service =
        core::find_service(config.m_value->m_configuration, agent->m_service);
    BOOST_REQUIRE(service != nullptr);
    for (auto const* const path : {"/reserve", "/pour", "/slot"})
        BOOST_TEST(!core::is_idempotent(*service, path), path);
    for (auto const version : {1U, 2U})
    {
        auto const name = "job-version-" + std::to_string(version) + ".json";
        auto const job = run_parse(
            [&]
            {
                return parse_job_record(read(folder / name));
            });
        BOOST_TEST(to_string(job.m_errors) == "");
        BOOST_REQUIRE(job.m_value.has_value());
        BOOST_TEST(job.m_value->m_schema_version == version);
        BOOST_TEST((core::find_customer(config.m_value->m_configuration,
                                        job.m_value->m_customer) != nullptr));
    }
}
