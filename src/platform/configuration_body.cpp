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

auto parse_service(json::object const& object, json_reader& parent)
    -> core::service
{
    auto in = json_reader{object};
    auto service = core::service{};
    service.m_name = in.string("name");
    service.m_enforces_capacity = in.boolean("enforcesCapacity");
    if (service.m_name.empty())
        in.add_error("name", "is missing");
    if (in.first_error())
        parent.add_error("services", *in.first_error());
    return service;
}

/// Parses a queue, which the platform calls a "route".
auto parse_queue(json::object const& object, json_reader& parent)
    -> core::job_queue
{
    auto in = json_reader{object};
    auto queue = core::job_queue{};
    queue.m_name = in.string("name");
    queue.m_host = in.string("host");
    queue.m_path_prefix = in.string("pathPrefix");
    queue.m_service = in.string("service");
    queue.m_rank = in.count("priority");
    queue.m_timeout_ms = in.count("timeoutMs");
    queue.m_latency_ms = in.count("targetLatencyMs");
    queue.m_slack_factor = in.number("slackFactor", 1.0);
    // "retries" is the limit of failed runs, including the first run.
    queue.m_failure_limit = std::max(in.count("retries", 1), std::uint32_t{1});
    if (in.has("placementAdvisor") && in.object("placementAdvisor") != nullptr)
        queue.m_unsupported_feature = "placementAdvisor";
    if (in.has("timeoutMs") && queue.m_timeout_ms == 0)
        in.add_error("timeoutMs", "is 0");
    if (queue.m_path_prefix.empty())
        in.add_error("pathPrefix", "is missing");
    if (in.first_error())
        parent.add_error("routes", queue.m_name + ": " + *in.first_error());
    return queue;
}

auto validate(core::configuration const& config, json_reader& reader) -> void
{
    auto host_prefixes =
        std::set<std::pair<std::string_view, std::string_view>>{};
    for (auto const& queue : config.m_queues)
    {
        if (core::find_service(config, queue.m_service) == nullptr)
            reader.add_error("routes", queue.m_name + ": unknown service " +
                                           queue.m_service);
        if (!host_prefixes.emplace(queue.m_host, queue.m_path_prefix).second)
            reader.add_error("routes",
                             queue.m_name +
                                 ": another one has this host and prefix");
    }
}

template <typename Item, typename Parse>
auto parse_objects(json_reader& in, std::string_view name,
                   std::vector<Item>& out, Parse const& parse) -> void
{
    auto const* items = in.array(name);
    if (items == nullptr)
    {
        in.add_error(name, "is missing");
        return;
    }
    for (auto const& item : *items)
    {
        if (!item.is_object())
        {
            in.add_error(name, "holds something else than objects");
            return;
        }
        out.push_back(parse(item.as_object(), in));
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
        in.add_error("version", "is missing or not positive");
    config.m_version = static_cast<core::configuration_version>(
        std::max(version, std::int64_t{0}));
    parse_objects(in, "services", config.m_services, parse_service);
    parse_objects(in, "routes", config.m_queues, parse_queue);
    static_cast<void>(in.object("limits"));
    validate(config, in);
    if (in.first_error())
        return boost::leaf::new_error(body_error{*in.first_error()});
    config.m_document = text;
    return config;
}

} // namespace hickorylatch::platform
