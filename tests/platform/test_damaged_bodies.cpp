#include "platform/configuration_body.hpp"
#include "platform/job_body.hpp"
#include "platform/parsed.hpp"
#include "platform/worker_body.hpp"

#include <boost/test/unit_test.hpp>

#include <array>
#include <cstdint>
#include <random>
#include <string>

namespace platform = hickorylatch::platform;

namespace
{

constexpr auto rounds = 20'000U;

auto const bodies = std::to_array<std::string>({
    R"({"spec":"s","bestEffort":true,"phases":[{"count":4,"cpu":500,)"
    R"("memMb":256,"estimatedMs":900,"dependsOn":[],"constraints":"a",)"
    R"("affinity":"r1-3","antiAffinity":2},{"count":2,"dependsOn":[0]}]})",
    R"({"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/a/",)"
    R"("timeoutMs":1500,"targetLatencyMs":60,"priority":2,"service":"s",)"
    R"("retries":3,"slackFactor":1.6}],"services":[{"name":"s",)"
    R"("enforcesCapacity":true}],"limits":{"maxBodyBytes":262144}})",
    R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":8,)"
    R"("state":"ready","capacity":{"cpu":16000,"memMb":32768,"gpu":0},)"
    R"("labels":["a","r1-3"],"clockMs":482113,"sequence":4,"born":1})",
    R"({"clockMs":482113,"born":1,"running":[["5c0e7a21d94b36f8.0.1.17",2,)"
    R"("00",41]],"ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})",
});

/// Replaces, inserts or removes a few parts of a body.
auto damage(std::string body, std::mt19937_64& random) -> std::string
{
    static auto const replacements = std::to_array<std::string>(
        {"null", "-1", "1e308", "18446744073709551616", "[]", "{}", "\"", "[[",
         "\"\\ud800\"", std::string(1, '\0'), "\xff"});
    auto const change_count = 1 + random() % 3;
    for (auto change = 0U; change < change_count; ++change)
    {
        auto const offset = random() % (body.size() + 1);
        auto const length = random() % 8;
        auto const& replacement = replacements[random() % replacements.size()];
        body.replace(offset, length,
                     random() % 3 == 0 ? std::string{} : replacement);
    }
    return body;
}

} // namespace

// Guards against an exception on an invalid body, which would end the process.
BOOST_AUTO_TEST_CASE(damaged_bodies_are_read_or_rejected)
{
    auto random = std::mt19937_64{11};
    auto rejected = 0U;
    for (auto round = 0U; round < rounds; ++round)
    {
        auto const body = damage(bodies[round % bodies.size()], random);
        auto const count_rejection = [&](auto const& result)
        {
            rejected += result.m_value ? 0 : 1;
        };
        BOOST_REQUIRE_NO_THROW(count_rejection(try_parse(
            [&]
            {
                return platform::parse_job("5c0e7a21d94b36f8", body);
            })));
        BOOST_REQUIRE_NO_THROW(count_rejection(try_parse(
            [&]
            {
                return platform::parse_configuration(body);
            })));
        BOOST_REQUIRE_NO_THROW(count_rejection(try_parse(
            [&]
            {
                return platform::parse_worker_report("i-1", body);
            })));
        BOOST_REQUIRE_NO_THROW(count_rejection(try_parse(
            [&]
            {
                return platform::parse_poll_answer(body);
            })));
        BOOST_REQUIRE_NO_THROW(
            static_cast<void>(platform::parse_worker_reply(body)));
    }
    // Each parser rejects the bodies of other calls as well as damaged ones.
    BOOST_TEST(rejected > rounds);
}
