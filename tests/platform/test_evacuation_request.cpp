#include "platform/evacuation_request.hpp"

#include <boost/leaf/handle_errors.hpp>
#include <boost/test/unit_test.hpp>

#include <optional>
#include <string>

namespace core = hickorylatch::core;
namespace platform = hickorylatch::platform;

namespace
{

/// What a request asks for, or the status of its rejection.
struct outcome
{
    std::optional<core::set_evacuation> m_change;
    std::uint16_t m_status = 0;
};

auto parse(std::string method, std::string path, std::string body = {})
    -> outcome
{
    auto request = hickorylatch::net::http_request{};
    request.m_method = std::move(method);
    request.m_path = std::move(path);
    request.m_body = std::move(body);
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<outcome>
        {
            BOOST_LEAF_AUTO(change, platform::parse_evacuation(request));
            return outcome{std::move(change), 0};
        },
        [](platform::rejected_request const& rejected)
        {
            return outcome{std::nullopt, rejected.m_status};
        },
        []
        {
            return outcome{};
        });
}

auto status_of(core::verdict const& verdict) -> int
{
    return platform::make_evacuation_answer(verdict).m_status;
}

} // namespace

BOOST_AUTO_TEST_CASE(evacuation_requests_are_parsed)
{
    auto const evacuated = parse("POST", "/api/evacuate/klang");
    BOOST_REQUIRE(evacuated.m_change.has_value());
    BOOST_TEST(evacuated.m_change->m_failure_domain == "klang");
    BOOST_TEST(evacuated.m_change->m_is_evacuated);
    // Numbered by the replica: each request of the platform is a new command.
    BOOST_TEST(evacuated.m_change->m_number == 0U);
    auto const restored = parse("DELETE", "/api/evacuate/bayan%20lepas");
    BOOST_REQUIRE(restored.m_change.has_value());
    BOOST_TEST(restored.m_change->m_failure_domain == "bayan lepas");
    BOOST_TEST(!restored.m_change->m_is_evacuated);
}

// Guards against a status that makes the platform repeat an invalid call or
// give up a valid one.
BOOST_AUTO_TEST_CASE(invalid_evacuation_requests_have_a_definite_status)
{
    for (auto const* method : {"GET", "PUT", "HEAD", "PATCH", ""})
        BOOST_TEST(parse(method, "/api/evacuate/klang").m_status == 400);
    for (auto const* path :
         {"/api/evacuate", "/api/evacuate/", "/api/evacuate/%",
          "/api/evacuate/%4", "/api/evacuate/%zz", "/api/evacuate/%+1"})
        BOOST_TEST(parse("POST", path).m_status == 400, path);
    BOOST_TEST(parse("POST", "/api/evacuate/klang", std::string(1'025, ' '))
                   .m_status == 413);
    BOOST_TEST(parse("POST", "/api/evacuate/klang", std::string(1'024, ' '))
                   .m_change.has_value());
}

BOOST_AUTO_TEST_CASE(other_paths_are_no_evacuation_requests)
{
    BOOST_TEST(platform::is_evacuation_path("/api/evacuate"));
    BOOST_TEST(platform::is_evacuation_path("/api/evacuate/klang"));
    BOOST_TEST(!platform::is_evacuation_path("/api/evacuated"));
    BOOST_TEST(!platform::is_evacuation_path("/api/config"));
}

// Guards against a definite refusal of a command that may be stored.
BOOST_AUTO_TEST_CASE(only_an_unknown_domain_is_refused_definitely)
{
    auto ran = core::verdict{};
    ran.m_run = core::run_state::ran;
    BOOST_TEST(status_of(ran) == 200);
    BOOST_TEST(status_of(core::refused(core::reason::invalid)) == 400);
    BOOST_TEST(status_of(core::refused(core::reason::queue_full)) == 503);
    BOOST_TEST(status_of(core::uncertain(core::reason::no_leader)) == 503);
    BOOST_TEST(status_of(core::uncertain(core::reason::invalid)) == 503);
    auto const answer = platform::make_evacuation_answer(
        core::refused(core::reason::invalid, "no such failure domain: x"));
    BOOST_TEST(answer.m_body == R"({"error":"no such failure domain: x"})");
}
