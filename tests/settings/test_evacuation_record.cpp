#include "settings/evacuation_record.hpp"

#include "parse_result.hpp"

#include <boost/test/unit_test.hpp>

#include <string>

namespace core = hickorylatch::core;
using namespace hickorylatch::settings;

namespace
{

auto parse(std::string_view text) -> parse_result<core::set_evacuation>
{
    return run_parse(
        [&]
        {
            return parse_evacuation_record(text);
        });
}

auto record(int version, std::string const& id, std::string const& domain,
            std::string const& evacuated) -> std::string
{
    return R"({"schema_version": )" + std::to_string(version) +
           R"(, "request_id": ")" + id + R"(", "failure_domain": ")" + domain +
           R"(", "evacuated": )" + evacuated + "}";
}

} // namespace

// Guards against a record of the older version that is refused or read
// differently while both are in use.
BOOST_AUTO_TEST_CASE(evacuation_records_of_both_versions_are_read)
{
    for (auto const version : {1, 2})
    {
        auto const parsed = parse(record(version, "r", "klang", "true"));
        BOOST_TEST(to_string(parsed.m_errors) == "");
        BOOST_REQUIRE(parsed.m_value.has_value());
        BOOST_TEST(parsed.m_value->m_failure_domain == "klang");
        BOOST_TEST(parsed.m_value->m_is_evacuated);
    }
}

// Guards against a resent record that is applied again, and against another
// command that is taken for a resent one.
BOOST_AUTO_TEST_CASE(a_resent_record_has_the_same_command_number)
{
    auto const number = [](std::string const& id, std::string const& domain,
                           std::string const& evacuated)
    {
        return parse(record(2, id, domain, evacuated)).m_value->m_number;
    };
    auto const first = number("r", "klang", "true");
    BOOST_TEST(number("r", "klang", "true") == first);
    BOOST_TEST(number("s", "klang", "true") != first);
    BOOST_TEST(number("r", "bayan", "true") != first);
    BOOST_TEST(number("r", "klang", "false") != first);
}

BOOST_AUTO_TEST_CASE(invalid_evacuation_records_are_refused)
{
    auto const errors = [](std::string const& text)
    {
        return to_string(parse(text).m_errors);
    };
    BOOST_TEST(errors(record(3, "r", "klang", "true")).find("schema_version") !=
               std::string::npos);
    auto const all = errors(R"({"schema_version": 1, "request_id": " ",
        "evacuated": "yes", "until": 5})");
    for (auto const* key :
         {"request_id", "failure_domain", "evacuated", "until"})
        BOOST_TEST(all.find(key) != std::string::npos, all);
    BOOST_TEST(errors("[]") != "");
}
