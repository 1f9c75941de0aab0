#include "core/roles/control.hpp"

#include <boost/json.hpp>

#include <algorithm>

namespace hickorylatch::core
{

namespace
{

namespace json = boost::json;

auto to_hexadecimal(node_id node) -> std::string
{
    static constexpr auto digits = std::string_view{"0123456789abcdef"};
    auto text = std::string(16, '0');
    auto remaining = static_cast<std::uint64_t>(node);
    for (auto position = text.rbegin(); position != text.rend(); ++position)
    {
        *position = digits[remaining & 0xFU];
        remaining >>= 4U;
    }
    return text;
}

auto members_of(control const& source) -> json::array
{
    auto list = json::array{};
    for (auto const& replica : source.log().members())
        list.push_back({{"node", to_hexadecimal(replica.m_node)},
                        {"address", replica.m_address},
                        {"votes", replica.m_votes}});
    return list;
}

auto agents_of(control const& source, time_point now) -> json::array
{
    auto list = json::array{};
    auto const* leader = source.active_coordinator();
    if (leader == nullptr)
        return list;
    for (auto const& [node, link] : leader->agents())
    {
        auto const& info = link.m_info;
        auto const& drained = source.state().config().m_drained;
        auto const is_drained =
            std::ranges::find(drained, info.m_name) != drained.end();
        auto const is_evacuated = source.state().evacuated().m_current.contains(
            info.m_failure_domain);
        auto const* state = !link.m_is_connected ? "disconnected"
                            : info.m_leaving     ? "leaving"
                            : is_evacuated       ? "evacuated"
                            : is_drained         ? "drained"
                            : leader->task_dispatcher().is_on_probation(node)
                                ? "probation"
                                : "serving";
        auto const silence =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                now - link.m_last_heard_at);
        list.push_back(
            {{"name", info.m_name},
             {"incarnation", to_hexadecimal(node)},
             {"kind",
              info.m_kind == agent_kind::worker ? "worker" : "endpoint"},
             {"service", info.m_service},
             {"slots", info.m_slots},
             {"failure_domain", info.m_failure_domain},
             {"rack", info.m_rack},
             {"state", state},
             {"silent_ms", silence.count()}});
    }
    return list;
}

auto jobs_of(control const& source) -> json::array
{
    auto list = json::array{};
    for (auto const& [id, record] : source.state().submissions())
    {
        auto const& work = record.m_submission;
        if (work.m_kind != submission_kind::job)
            continue;
        list.push_back(
            {{"customer", work.m_customer},
             {"key", work.m_key},
             {"submitted_at", work.m_submitted_at},
             {"ended", record.m_has_ended},
             {"verdict", record.m_has_ended ? to_string(record.m_verdict.m_run)
                                            : "running"},
             {"reason", to_string(record.m_verdict.m_reason)}});
    }
    return list;
}

auto configuration_of(configuration const& config) -> json::object
{
    auto customers = json::array{};
    for (auto const& each : config.m_customers)
        customers.push_back({{"name", each.m_name},
                             {"account_manager", each.m_account_manager},
                             {"priority", each.m_priority},
                             {"quota", each.m_quota}});
    auto services = json::array{};
    for (auto const& each : config.m_services)
        services.push_back(
            {{"name", each.m_name},
             {"idempotent_paths", json::value_from(each.m_idempotent_paths)},
             {"queue_limit", each.m_queue_limit},
             {"default_deadline_ms", each.m_default_deadline_ms}});
    return {{"version", config.m_version},
            {"customers", std::move(customers)},
            {"services", std::move(services)},
            {"drained", json::value_from(config.m_drained)}};
}

auto evacuations_of(control const& source) -> json::object
{
    auto const& current = source.state().evacuated().m_current;
    return {{"revision", current.m_revision},
            {"failure_domains", json::value_from(current.m_failure_domains)}};
}

} // namespace

auto status_document(control const& source, time_point now,
                     std::string_view subject) -> std::string
{
    if (subject == "configuration")
        return json::serialize(configuration_of(source.state().config()));
    if (subject == "agents")
        return json::serialize(
            json::object{{"agents", agents_of(source, now)}});
    if (subject == "jobs")
        return json::serialize(json::object{{"jobs", jobs_of(source)}});
    if (subject == "evacuations")
        return json::serialize(evacuations_of(source));
    auto const& log = source.log();
    return json::serialize(json::object{
        {"node", to_hexadecimal(log.identity())},
        {"address", source.address()},
        {"cluster", to_hexadecimal(node_id{log.cluster()})},
        {"leader", to_hexadecimal(log.leader())},
        {"leading", source.is_leading(now)},
        {"term", log.term()},
        {"last_index", log.last_index()},
        {"commit_index", log.commit_index()},
        {"configuration_version", source.state().config().m_version},
        {"evacuations", evacuations_of(source)},
        {"members", members_of(source)},
        {"submissions", source.state().submissions().size()},
        {"live",
         source.active_coordinator() == nullptr
             ? 0
             : source.active_coordinator()->live_submissions().size()}});
}

} // namespace hickorylatch::core
