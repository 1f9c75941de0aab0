#include "settings/job_record.hpp"

#include "parse_result.hpp"
#include "settings/content_digest.hpp"

#include <boost/test/unit_test.hpp>

namespace core = hickorylatch::core;
using namespace hickorylatch::settings;

namespace
{

auto parse(std::string_view text) -> parse_result<core::submission>
{
    return run_parse(
        [&]
        {
            return parse_job_record(text);
        });
}

auto errors_of(std::string_view text) -> std::string
{
    return to_string(parse(text).m_errors);
}

/// A record with one task and additional fields in the record and the task.
auto record(int version, std::string const& fields = {},
            std::string const& task_fields = {}) -> std::string
{
    return R"({"schema_version": )" + std::to_string(version) +
           R"(, "key": "k", "customer": "c", "priority": 3,
               "submitted_at": 1000)" +
           fields + R"(, "tasks": [{"body": "b", "cores": 2, "memory_mb": 512,
               "run_time_ms": 300)" +
           task_fields + "}]}";
}

} // namespace

BOOST_AUTO_TEST_CASE(both_versions_are_read)
{
    auto const old = parse(record(1));
    BOOST_REQUIRE(old.m_value.has_value());
    BOOST_TEST(old.m_value->m_schema_version == 1U);
    BOOST_TEST((old.m_value->m_kind == core::submission_kind::job));
    BOOST_TEST(old.m_value->m_customer == "c");
    BOOST_TEST(old.m_value->m_submitted_at == 1000);
    BOOST_TEST(int{*old.m_value->m_priority} == 3);
    BOOST_TEST(old.m_value->m_tasks.at(0).m_cores == 2U);
    BOOST_TEST(old.m_value->m_tasks.at(0).m_run_time_ms == 300U);

    auto const newer =
        parse(record(2, R"(, "account_manager": "Aina", "deadline_ms": 5000,
               "must_understand": ["accelerators", "deadline_ms"])",
                     R"(, "accelerators": 4)"));
    BOOST_REQUIRE(newer.m_value.has_value());
    BOOST_TEST(newer.m_value->m_account_manager == "Aina");
    BOOST_TEST(newer.m_value->m_deadline_ms == 5000U);
    BOOST_TEST(newer.m_value->m_tasks.at(0).m_accelerators == 4U);
    BOOST_TEST(newer.m_value->m_unknown_fields == "");
}

// Guards against a field that is dropped because the schema version does not
// have it, although the operator depends on it.
BOOST_AUTO_TEST_CASE(unknown_fields_are_kept_or_rejected)
{
    auto const kept = parse(
        record(1, R"(, "z": {"y": 0.1, "x": [1]})", R"(, "accelerators": 4)"));
    BOOST_REQUIRE(kept.m_value.has_value());
    BOOST_TEST(kept.m_value->m_unknown_fields ==
               R"({"tasks":[{"accelerators":4}],"z":{"x":[1],"y":0.1}})");
    BOOST_TEST(kept.m_value->m_tasks.at(0).m_accelerators == 0U);
    for (auto const version : {1, 2})
        BOOST_TEST(errors_of(record(version,
                                    R"(, "z": 1, "must_understand": ["z"])")) ==
                   "job record: must_understand: field \"z\" is not known to "
                   "schema version " +
                       std::to_string(version));
    BOOST_TEST(
        errors_of(record(1, R"(, "must_understand": ["deadline_ms"])")) != "");
}

BOOST_AUTO_TEST_CASE(an_unknown_version_is_rejected)
{
    for (auto const version : {-1, 0, 3})
        BOOST_TEST(errors_of(record(version)).find("schema_version: ") !=
                   std::string::npos);
    BOOST_TEST(errors_of("{}") ==
               "job record: schema_version: required, but missing");
}

BOOST_AUTO_TEST_CASE(invalid_fields_are_rejected_with_their_path)
{
    BOOST_TEST(errors_of(record(1, "", R"(, "cores": 3)")) ==
               "job record: tasks[0].cores: duplicate key");
    BOOST_TEST(errors_of(record(1, R"(, "a": [[], {"b": 1, "b": 2}])")) ==
               "job record: a[1].b: duplicate key");
    BOOST_TEST(errors_of(R"({"schema_version": 2, "key": "", "customer": "c",
        "priority": 10, "submitted_at": 0, "deadline_ms": "5",
        "tasks": [{"body": "b", "cores": 0}, 7, {"run_time_ms": -1}]})") ==
               "job record: key: expected a string of 1 to 128 bytes without "
               "control characters or space at either end\n"
               "job record: priority: expected a number from 0 to 9\n"
               "job record: submitted_at: expected a number from 1 to "
               "253402300799999\n"
               "job record: deadline_ms: expected a number from 0 to 86400000\n"
               "job record: tasks[1]: expected an object\n"
               "job record: tasks[0].cores: expected a number from 1 to 65536\n"
               "job record: tasks[2].body: required, but missing\n"
               "job record: tasks[2].run_time_ms: expected a number from 0 to "
               "86400000");
}

// Guards against an unknown field that can't be serialized again: Boost.JSON
// reads such a number as infinite.
BOOST_AUTO_TEST_CASE(numbers_out_of_range_are_rejected_in_unknown_fields)
{
    BOOST_TEST(errors_of(record(1, R"(, "z": [1, 1e999])")) ==
               "job record: z[1]: number out of range (exponent overflow)");
}

BOOST_AUTO_TEST_CASE(the_number_of_tasks_is_bounded)
{
    auto const with_tasks = [](std::size_t count)
    {
        auto text = std::string{R"({"schema_version": 1, "key": "k",
            "customer": "c", "submitted_at": 1, "tasks": [)"};
        for (auto task = std::size_t{0}; task < count; ++task)
            text += task == 0 ? R"({"body": ""})" : R"(, {"body": ""})";
        return text + "]}";
    };
    BOOST_TEST(errors_of(with_tasks(0)) ==
               "job record: tasks: expected 1 to 1400 tasks");
    BOOST_TEST(errors_of(with_tasks(1400)) == "");
    BOOST_TEST(errors_of(with_tasks(1401)) != "");
}

// Guards against a change of the digest, which would turn resends to an
// upgraded process into key conflicts. The constant was computed independently
// of this code.
BOOST_AUTO_TEST_CASE(the_digest_is_stable_and_covers_the_content)
{
    auto const digest = [](std::string const& text)
    {
        return parse(text).m_value.value().m_digest;
    };
    auto const first = digest(record(1));
    BOOST_TEST(first == std::uint64_t{18225649959737374384U});
    BOOST_TEST(first == digest(record(2)));
    BOOST_TEST(digest(record(1, R"(, "x": 1, "y": 2)")) ==
               digest(record(1, R"(, "y": 2, "x": 1)")));
    auto changed = *parse(record(1)).m_value;
    changed.m_key = "other";
    changed.m_submitted_at = 7;
    changed.m_deadline_ms = 7;
    changed.m_trace.m_trace = "t";
    BOOST_TEST(content_digest(changed) == first);
    for (auto const& text :
         {record(1, R"(, "x": 1)"), record(2, R"(, "account_manager": "a")"),
          record(2, "", R"(, "accelerators": 1)")})
        BOOST_TEST(digest(text) != first);
    changed.m_tasks.at(0).m_body = "bb";
    BOOST_TEST(content_digest(changed) != first);
}

// Guards against an answer that is not valid JSON when a worker returns binary
// data.
BOOST_AUTO_TEST_CASE(answers_with_binary_bodies_are_printed_as_json)
{
    auto const answers = std::vector<core::task_answer>{
        {true, 200, "ok \"1\""}, {false, 0, "\xff"}, {true, 200, "a\xff\x01z"}};
    BOOST_TEST(
        print_job_answer({core::run_state::ran, core::reason::none, "", 0},
                         answers, 1) ==
        R"({"schema_version":1,"verdict":"ran","reason":"none","detail":"",)"
        R"("retry_after_ms":0,"answers":[)"
        R"({"succeeded":true,"status":200,"body":"ok \"1\""},)"
        R"({"succeeded":false,"status":0,"body_base64":"/w=="},)"
        R"({"succeeded":true,"status":200,"body_base64":"Yf8Beg=="}]})");
    BOOST_TEST(
        print_job_answer(core::refused(core::reason::quota, "", 5), {}, 2) ==
        R"({"schema_version":2,"verdict":"not_run","reason":"quota",)"
        R"("detail":"","retry_after_ms":5,"answers":[]})");
}

// Guards against an unhandled exception: a number beyond the range of a double
// is read as infinity, which cannot be serialized as JSON again.
BOOST_AUTO_TEST_CASE(numbers_out_of_range_are_errors)
{
    for (auto const* number : {"0.6E4442", "[1, -1e999]"})
    {
        auto const field = std::string{R"(, "size": )"} + number;
        for (auto const& text : {record(1, field), record(1, {}, field)})
            BOOST_TEST(errors_of(text).find("exponent overflow") !=
                       std::string::npos);
    }
}
