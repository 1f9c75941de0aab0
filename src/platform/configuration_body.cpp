#include "platform/configuration_body.hpp"

#include "platform/json_reader.hpp"

#include <boost/json.hpp>

#include <set>
#include <string>
#include <utility>

namespace hickorylatch::platform
{

namespace
{

namespace json = boost::json;

auto parse_service(json::object const& from, json_reader& faults)
    -> core::service
{
    auto in = json_reader{from};
    auto service = core::service{};
    service.m_name = in.text("name");
    // The platform's "enforcesCapacity".
    service.m_enforces_capacity = in.flag("enforcesCapacity");
    if (service.m_name.empty())
        in.fail("name", "is missing");
    if (in.fault())
        faults.fail("services", *in.fault());
    return service;
}

/// A "route" of the platform is a queue here.
auto parse_queue(json::object const& from, json_reader& faults)
    -> core::job_queue
{
    auto in = json_reader{from};
    auto queue = core::job_queue{};
    queue.m_name = in.text("name");
    queue.m_host = in.text("host");
    queue.m_path_prefix = in.text("pathPrefix");
    queue.m_service = in.text("service");
    queue.m_rank = in.count("priority");
    queue.m_timeout_ms = in.count("timeoutMs");
    queue.m_latency_ms = in.count("targetLatencyMs");
    queue.m_slack_factor = in.fraction("slackFactor", 1.0);
    // "retries" counts failed runs, the first one included.
    queue.m_failure_limit = std::max(in.count("retries", 1), std::uint32_t{1});
    if (in.has("placementAdvisor") && in.object("placementAdvisor") != nullptr)
        queue.m_unsupported_feature = "placementAdvisor";
    if (in.has("timeoutMs") && queue.m_timeout_ms == 0)
        in.fail("timeoutMs", "is 0");
    if (queue.m_path_prefix.empty())
        in.fail("pathPrefix", "is missing");
    if (in.fault())
        faults.fail("routes", queue.m_name + ": " + *in.fault());
    return queue;
}

auto check(core::configuration const& config, json_reader& faults) -> void
{
    auto places = std::set<std::pair<std::string_view, std::string_view>>{};
    for (auto const& queue : config.m_queues)
    {
        if (core::find_service(config, queue.m_service) == nullptr)
            faults.fail("routes",
                        queue.m_name + ": unknown service " + queue.m_service);
        if (!places.emplace(queue.m_host, queue.m_path_prefix).second)
            faults.fail("routes", queue.m_name +
                                      ": another one has this host and prefix");
    }
}

template <typename Item, typename Parse>
auto parse_all(json_reader& in, std::string_view name, std::vector<Item>& out,
               Parse const& parse) -> void
{
    auto const* list = in.array(name);
    if (list == nullptr)
    {
        in.fail(name, "is missing");
        return;
    }
    for (auto const& each : *list)
    {
        if (!each.is_object())
        {
            in.fail(name, "holds something else than objects");
            return;
        }
        out.push_back(parse(each.as_object(), in));
    }
}

} // namespace

auto parse_configuration(std::string_view text)
    -> boost::leaf::result<core::configuration>
{
    BOOST_LEAF_AUTO(record, parse_object(text));
    auto in = json_reader{record};
    auto config = core::configuration{};
    auto const version = in.integer("version");
    if (version <= 0)
        in.fail("version", "is missing or not positive");
    config.m_version = static_cast<core::configuration_version>(
        std::max(version, std::int64_t{0}));
    parse_all(in, "services", config.m_services, parse_service);
    parse_all(in, "routes", config.m_queues, parse_queue);
    static_cast<void>(in.object("limits"));
    check(config, in);
    if (in.fault())
        return boost::leaf::new_error(body_error{*in.fault()});
    config.m_document = text;
    return config;
}

} // namespace hickorylatch::platform
