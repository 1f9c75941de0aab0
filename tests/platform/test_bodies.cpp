#include "core/model/queue_index.hpp"
#include "platform/configuration_body.hpp"
#include "platform/job_body.hpp"
#include "platform/parsed.hpp"
#include "platform/worker_api.hpp"
#include "platform/worker_body.hpp"

#include <boost/test/unit_test.hpp>

#include <string>

namespace core = hickorylatch::core;
namespace platform = hickorylatch::platform;

namespace
{

auto parse_job(std::string const& body) -> parsed<core::step_job>
{
    return try_parse(
        [&]
        {
            return platform::parse_job("5c0e7a21d94b36f8", body);
        });
}

auto parse_configuration(std::string const& body) -> parsed<core::configuration>
{
    return try_parse(
        [&]
        {
            return platform::parse_configuration(body);
        });
}

auto parse_report(std::string const& body) -> parsed<core::worker_report>
{
    return try_parse(
        [&]
        {
            return platform::parse_worker_report("i-1", body);
        });
}

auto parse_poll_answer(std::string const& body) -> parsed<core::runs_polled>
{
    return try_parse(
        [&]
        {
            return platform::parse_poll_answer(body);
        });
}

auto const two_routes = std::string{
    R"({"version":7,"routes":[)"
    R"({"name":"r1","host":"h","pathPrefix":"/a/","timeoutMs":1500,)"
    R"("targetLatencyMs":60,"priority":2,"service":"s","retries":3,)"
    R"("slackFactor":1.6},)"
    R"({"name":"r2","host":"h","pathPrefix":"/a/b/","service":"s"}],)"
    R"("services":[{"name":"s","enforcesCapacity":true}],"limits":{}})"};

auto replace_first(std::string text, std::string const& from,
                   std::string const& to) -> std::string
{
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

BOOST_AUTO_TEST_CASE(job_fields_are_translated)
{
    auto const result =
        parse_job(R"({"spec":"x","phases":[{"count":4,"cpu":500,"memMb":256,)"
                  R"("estimatedMs":900,"affinity":"r1-3"},{"cpu":2000,"gpu":1,)"
                  R"("dependsOn":[0],"constraints":"b","antiAffinity":2}],)"
                  R"("bestEffort":true})");
    BOOST_REQUIRE_MESSAGE(result.m_value, result.m_error);
    auto const& parsed_job = *result.m_value;
    BOOST_TEST(!parsed_job.m_is_durable);
    BOOST_TEST(parsed_job.m_unsupported_feature.empty());
    BOOST_TEST(parsed_job.m_body == "x");
    BOOST_TEST(parsed_job.m_steps.size() == 2U);
    BOOST_TEST(parsed_job.m_steps[0].m_count == 4U);
    BOOST_TEST(parsed_job.m_steps[0].m_needs.m_millicores == 500U);
    BOOST_TEST(parsed_job.m_steps[0].m_declared_ms == 900U);
    BOOST_TEST(parsed_job.m_steps[0].m_data_rack == "r1-3");
    BOOST_TEST(parsed_job.m_steps[1].m_count == 1U);
    BOOST_TEST(parsed_job.m_steps[1].m_needs.m_accelerators == 1U);
    BOOST_TEST(parsed_job.m_steps[1].m_depends_on.front() == 0U);
    BOOST_TEST(parsed_job.m_steps[1].m_required_label == "b");
    BOOST_TEST(parsed_job.m_steps[1].m_worker_limit == 2U);
}

BOOST_AUTO_TEST_CASE(jobs_are_durable_by_default)
{
    BOOST_TEST(parse_job(R"({"spec":"x","phases":[{"cpu":1}]})")
                   .m_value->m_is_durable);
}

// Guards against running a job without a feature that it requires.
BOOST_AUTO_TEST_CASE(unsupported_features_are_reported)
{
    auto const gang = parse_job(
        R"({"spec":"x","phases":[{"cpu":1,"gang":true}],"bestEffort":true})");
    BOOST_TEST(gang.m_value->m_unsupported_feature == "gang");
    auto const disabled = parse_job(
        R"({"spec":"x","phases":[{"cpu":1,"gang":false}],"repeatCount":0})");
    BOOST_TEST(disabled.m_value->m_unsupported_feature.empty());
}

BOOST_AUTO_TEST_CASE(invalid_jobs_are_errors)
{
    for (auto const* body :
         {"", "[]", "{", R"({"spec":"x"})", R"({"spec":1,"phases":[{}]})",
          R"({"spec":"x","phases":[{"count":-1}]})",
          R"({"spec":"x","phases":[{"count":0}]})",
          R"({"spec":"x","phases":[{"dependsOn":[0]}]})",
          R"({"spec":"x","phases":[{"count":4000000000}]})",
          R"({"spec":"x","phases":[7]})"})
        BOOST_TEST(!parse_job(body).m_value, body);
}

BOOST_AUTO_TEST_CASE(configuration_fields_are_translated)
{
    auto const result = parse_configuration(two_routes);
    BOOST_REQUIRE_MESSAGE(result.m_value, result.m_error);
    auto const& config = *result.m_value;
    BOOST_TEST(config.m_version == 7U);
    BOOST_TEST(config.m_document == two_routes);
    BOOST_TEST(core::find_service(config, "s")->m_enforces_capacity);
    auto const* queue = core::queue_index{config}.find(config, "h", "/a/x");
    BOOST_REQUIRE(queue != nullptr);
    BOOST_TEST(queue->m_rank == 2U);
    BOOST_TEST(queue->m_failure_limit == 3U);
    BOOST_TEST(queue->m_slack_factor == 1.6);
    BOOST_TEST(core::queue_index{config}.find(config, "h", "/a/b/x")->m_name ==
               "r2");
    BOOST_TEST(core::queue_index{config}.find(config, "other", "/a/x") ==
               nullptr);
    BOOST_TEST(core::queue_index{config}.find(config, "h", "/c") == nullptr);
}

// Guards against installing a configuration that can't be applied.
BOOST_AUTO_TEST_CASE(invalid_configurations_are_errors)
{
    auto const invalid_bodies = {
        two_routes.substr(0, two_routes.size() - 1),
        replace_first(two_routes, R"("version":7)", R"("version":0)"),
        replace_first(two_routes, R"("version":7)", R"("version":"7")"),
        replace_first(two_routes, R"("service":"s","retries")",
                      R"("service":"t","retries")"),
        replace_first(two_routes, R"("/a/b/")", R"("/a/")"),
        replace_first(two_routes, R"("timeoutMs":1500)", R"("timeoutMs":0)"),
        replace_first(two_routes, R"("routes")", R"("roads")"),
        replace_first(two_routes, R"("priority":2)", R"("priority":"high")"),
        replace_first(two_routes, R"("limits":{})", R"("limits":7)")};
    for (auto const& body : invalid_bodies)
        BOOST_TEST(!parse_configuration(body).m_value, body);
}

BOOST_AUTO_TEST_CASE(worker_reports_are_translated)
{
    auto const result = parse_report(
        R"({"service":"s","address":"10.128.0.9:8080","zone":"z","slots":8,)"
        R"("state":"draining","capacity":{"cpu":16000,"memMb":32768,"gpu":2},)"
        R"("labels":["a","r1-3"],"clockMs":482113,"sequence":4,"born":17})");
    BOOST_REQUIRE_MESSAGE(result.m_value, result.m_error);
    BOOST_TEST(!result.m_value->m_is_accepting);
    BOOST_TEST(result.m_value->m_capacity.m_millicores == 16'000U);
    BOOST_TEST(result.m_value->m_labels.back() == "r1-3");
    BOOST_TEST(result.m_value->m_incarnation == 17);
}

// Guards against invalid reports from other senders that would overwrite the
// known state of a worker.
BOOST_AUTO_TEST_CASE(invalid_worker_reports_are_errors)
{
    for (auto const* body :
         {"", "\xff\xfe", "[]", R"({"service":"s","state":"ready"})",
          R"({"service":"s","state":"busy","capacity":{},"sequence":1})",
          R"({"service":7,"state":"ready","capacity":{},"sequence":1})",
          R"({"service":"s","state":"ready","capacity":{"cpu":"x"},)"
          R"("sequence":1})",
          R"({"service":"s","state":"ready","capacity":{},"sequence":0})"})
        BOOST_TEST(!parse_report(body).m_value, body);
}

// Guards against an agent that ends when another process writes a report with
// very deep nesting, a number out of range or an invalid port.
BOOST_AUTO_TEST_CASE(odd_worker_reports_do_no_harm)
{
    auto const make_body = [](std::string const& member)
    {
        return R"({"service":"s","state":"ready","capacity":{"cpu":1},)"
               R"("sequence":1,"clockMs":1,"born":17,)" +
               member + "}";
    };
    auto constexpr depth = std::size_t{100'000};
    auto const nested = std::string(depth, '[') + std::string(depth, ']');
    for (auto const& member :
         {"\"address\":" + nested, std::string{R"("born":1e300)"},
          std::string{R"("born":36893488147419103232)"},
          std::string{R"("clockMs":1e999)"},
          std::string{R"("sequence":36893488147419103232)"},
          std::string{R"("capacity":{"cpu":4294967296})"}})
        BOOST_TEST(!parse_report(make_body(member)).m_value,
                   member.substr(0, 40));
    // The address is not used: an agent knows that of its worker.
    BOOST_TEST(
        !!parse_report(make_body(R"("address":"10.0.0.1:99999")")).m_value);
}

BOOST_AUTO_TEST_CASE(poll_answers_are_translated)
{
    auto const result = parse_poll_answer(
        R"({"clockMs":482113,"born":5,"running":[)"
        R"(["5c0e7a21d94b36f8.0.1.17",2,"00000bb87a21d94b",41,3]],)"
        R"("ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""],)"
        R"([59,"5c0e7a21d94b36f8.0.1.8",1,"lapsed",""]]})");
    BOOST_REQUIRE_MESSAGE(result.m_value, result.m_error);
    BOOST_TEST(result.m_value->m_incarnation == 5);
    auto const& running = result.m_value->m_running.front();
    BOOST_TEST(running.m_job_id == "5c0e7a21d94b36f8");
    BOOST_TEST(running.m_task.m_step == 1U);
    BOOST_TEST(running.m_task.m_task == 17U);
    BOOST_TEST(running.m_run == 2U);
    auto const& ends = result.m_value->m_ended;
    BOOST_TEST(ends.size() == 2U);
    BOOST_TEST(ends[0].m_number == 58U);
    BOOST_TEST((ends[0].m_outcome == core::run_outcome::succeeded));
    BOOST_TEST((ends[1].m_outcome == core::run_outcome::lapsed));
}

BOOST_AUTO_TEST_CASE(invalid_poll_answers_are_errors)
{
    for (auto const* body :
         {R"({"running":[["x",1]]})", R"({"running":[["a.0.1.2"]]})",
          R"({"running":[["a.0.1.2.3",1]]})", R"({"running":7})",
          R"({"ended":[["a.0.1.2",1,"done"]]})",
          R"({"ended":[[1,"a.0.1.-2",1,"done",""]]})"})
        BOOST_TEST(!parse_poll_answer(body).m_value, body);
}

BOOST_AUTO_TEST_CASE(orders_are_serialized_with_the_platforms_names)
{
    auto start = core::start_run{};
    start.m_target = {"i-1", 7};
    start.m_run = {"5c0e7a21d94b36f8", {1, 17}, 2};
    start.m_body = "x\"y";
    start.m_lease_until_ms = 486'000;
    BOOST_TEST(platform::serialize_start(start) ==
               R"({"task":"5c0e7a21d94b36f8.0.1.17","run":2,"spec":"x\"y",)"
               R"("deadlineMs":486000,"fencingToken":7})");
    auto poll = core::poll_runs{};
    poll.m_target = {"i-1", 7};
    poll.m_acknowledged = 57;
    BOOST_TEST(platform::serialize_poll(poll) ==
               R"({"fencingToken":7,"ackCursor":57})");
}

// Guards against "not run" for an order that the worker failed while it
// executed it: only some statuses promise that it did nothing.
BOOST_AUTO_TEST_CASE(an_unexpected_status_leaves_the_order_unknown)
{
    auto const answer = [](core::run_state state, std::uint16_t status)
    {
        auto result = hickorylatch::net::http_result{};
        result.m_run = state;
        result.m_answer.m_status = status;
        return platform::to_answer(result, platform::worker_reply{});
    };
    using enum core::run_state;
    for (auto const status : {302, 404, 408, 500, 502, 504})
        BOOST_TEST(!core::is_rejection(
            answer(ran, static_cast<std::uint16_t>(status))));
    for (auto const status : {400, 409, 421, 429, 503})
        BOOST_TEST(core::is_rejection(
            answer(ran, static_cast<std::uint16_t>(status))));
    // The check of the connection failed, and the order was never sent.
    for (auto const status : {0, 200, 421, 500, 503})
        BOOST_TEST(core::is_rejection(
            answer(not_run, static_cast<std::uint16_t>(status))));
    BOOST_TEST((answer(may_have_run, 0) == core::worker_answer::unknown));
}
