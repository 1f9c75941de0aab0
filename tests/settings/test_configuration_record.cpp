#include "settings/configuration_record.hpp"

#include "parse_result.hpp"

#include <boost/test/unit_test.hpp>

namespace core = hickorylatch::core;
using namespace hickorylatch::settings;

namespace
{

auto parse(std::string_view text, core::configuration const& current = {})
    -> parse_result<core::change_configuration>
{
    return run_parse(
        [&]
        {
            return parse_configuration_record(text, current);
        });
}

auto example() -> core::configuration
{
    return {4,
            {{"a", "Aina", 9, 100}, {"b", "Budi", 0, 0}},
            {{"order-desk", {"/stock", "/quote"}, 500, 2000}},
            {"worker-3"}};
}

/// The printed record with a request ID, as an operator would submit it.
auto printed_change(core::configuration const& config, std::uint32_t version)
    -> std::string
{
    return R"({"request_id": "r",)" +
           print_configuration_record(config, version).substr(1);
}

} // namespace

BOOST_AUTO_TEST_CASE(a_printed_record_can_be_submitted_again)
{
    auto const read = parse(printed_change(example(), 2));
    BOOST_TEST(to_string(read.m_errors) == "");
    BOOST_REQUIRE(read.m_value.has_value());
    BOOST_TEST(read.m_value->m_request_id == "r");
    BOOST_TEST(read.m_value->m_expected_version == 4U);
    auto const& config = read.m_value->m_configuration;
    BOOST_TEST(config.m_version == 5U);
    BOOST_TEST(config.m_customers.at(0).m_account_manager == "Aina");
    BOOST_TEST(int{config.m_customers.at(0).m_priority} == 9);
    BOOST_TEST(config.m_customers.at(0).m_quota == 100U);
    BOOST_TEST(config.m_services.at(0).m_idempotent_paths ==
                   example().m_services.at(0).m_idempotent_paths,
               boost::test_tools::per_element());
    BOOST_TEST(config.m_services.at(0).m_queue_limit == 500U);
    BOOST_TEST(config.m_services.at(0).m_default_deadline_ms == 2000U);
    BOOST_TEST(config.m_drained.at(0) == "worker-3");
}

// Guards against records of version 1, which have no account managers, that
// erase them.
BOOST_AUTO_TEST_CASE(a_record_of_version_1_keeps_account_managers)
{
    auto const text = printed_change(example(), 1);
    BOOST_TEST(text.find("account_manager") == std::string::npos);
    auto const read = parse(text, example());
    BOOST_REQUIRE(read.m_value.has_value());
    auto const& customers = read.m_value->m_configuration.m_customers;
    BOOST_TEST(customers.at(0).m_account_manager == "Aina");
    BOOST_TEST(customers.at(1).m_account_manager == "Budi");

    auto older = example();
    older.m_version = 3;
    auto const refused = parse(text, older);
    BOOST_TEST(refused.m_errors.m_may_retry);
    BOOST_TEST(to_string(refused.m_errors).find("expected_version: newer") !=
               std::string::npos);
    auto newer = example();
    newer.m_version = 5;
    BOOST_TEST(parse(text, newer).m_value.has_value());
}

BOOST_AUTO_TEST_CASE(invalid_records_are_rejected_with_every_reason)
{
    auto const read = parse(R"({"schema_version": 1, "request_id": "r",
        "expected_version": 0, "colour": 1,
        "customers": [{"name": "a", "priority": 10},
                      {"name": "a", "priority": 1, "account_manager": "m"}],
        "services": [{"name": "workers"},
                     {"name": "s", "idempotent_paths": ["x", "/y", "/y"]},
                     {"name": "s", "queue_limit": 0}],
        "drained": ["e", "e"]})");
    BOOST_TEST(!read.m_errors.m_may_retry);
    BOOST_TEST(
        to_string(read.m_errors, "\n") ==
        "configuration record: customers[0].priority: expected a number from "
        "0 to 9\n"
        "configuration record: customers[1].account_manager: unknown key\n"
        "configuration record: customers[1].name: duplicate name \"a\"\n"
        "configuration record: services[0].name: expected 1 to 64 letters, "
        "digits, '.', '_' or '-', other than \"workers\"\n"
        "configuration record: services[1].idempotent_paths[0]: expected a "
        "path that starts with \"/\"\n"
        "configuration record: services[1].idempotent_paths[2]: duplicate path "
        "\"/y\"\n"
        "configuration record: services[2].queue_limit: expected a number from "
        "1 to 10000000\n"
        "configuration record: services[2].name: duplicate name \"s\"\n"
        "configuration record: drained[1]: duplicate name \"e\"\n"
        "configuration record: colour: unknown key");
    BOOST_TEST(to_string(parse(R"({"schema_version": 9})").m_errors) ==
               "configuration record: schema_version: schema version is not "
               "understood; versions 1 to 2 are");
}
