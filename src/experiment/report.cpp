#include "experiment/report.hpp"

#include <boost/json.hpp>

#include <iomanip>
#include <sstream>
#include <string_view>
#include <utility>

namespace hickorylatch::experiment
{

namespace
{

/// The scalar results in the order of printing.
auto scalar_results(report const& results)
    -> std::vector<std::pair<std::string_view, estimate>>
{
    auto values = std::vector<std::pair<std::string_view, estimate>>{
        {"ideal_slowdown", results.m_ideal_slowdown},
        {"net_slowdown", results.m_net_slowdown},
        {"net_ratio", results.m_net_ratio},
        {"gross_ratio", results.m_gross_ratio},
        {"top_priority_ratio", results.m_top_priority_ratio},
        {"goodput", results.m_goodput},
        {"in_time", results.m_in_time},
        {"refused", results.m_refused},
        {"failed", results.m_failed},
        {"late", results.m_late},
        {"wasted_per_request", results.m_all_wasted}};
    if (results.m_undisturbed)
    {
        values.emplace_back("undisturbed_in_time",
                            results.m_undisturbed->m_in_time);
        values.emplace_back("undisturbed_refused",
                            results.m_undisturbed->m_refused);
    }
    return values;
}

auto to_json_object(estimate const& value) -> boost::json::object
{
    return {{"mean", value.m_mean}, {"ci95", value.m_half_width}};
}

auto print(std::ostream& out, std::string_view name, estimate const& value)
    -> void
{
    out << "  " << std::left << std::setw(24) << name << value.m_mean << " +- "
        << value.m_half_width << '\n';
}

} // namespace

auto to_text(report const& results) -> std::string
{
    auto out = std::ostringstream{};
    auto const& setup = results.m_scenario;
    out << std::fixed << std::setprecision(4);
    out << "policy=" << to_string(setup.m_policy) << " load=" << setup.m_load
        << " entries=" << setup.m_entries << " seeds=" << setup.m_seeds.size()
        << " requests=" << results.m_requests << '\n';
    for (auto const& [name, value] : scalar_results(results))
        print(out, name, value);
    for (auto const& [kind, value] : results.m_wasted)
        print(out, "wasted: " + kind, value);
    for (auto const& [priority, ratios] : results.m_response_ratios)
    {
        for (auto const& [name, value] : ratios)
            print(out, "response p" + std::to_string(priority) + " at " + name,
                  value);
    }
    return out.str();
}

auto to_json(report const& results) -> std::string
{
    auto const& setup = results.m_scenario;
    auto out = boost::json::object{{"policy", to_string(setup.m_policy)},
                                   {"load", setup.m_load},
                                   {"entries", setup.m_entries},
                                   {"seeds", setup.m_seeds.size()},
                                   {"requests", results.m_requests}};
    for (auto const& [name, value] : scalar_results(results))
        out[name] = to_json_object(value);
    auto wasted = boost::json::object{};
    for (auto const& [kind, value] : results.m_wasted)
        wasted[kind] = to_json_object(value);
    out["wasted"] = std::move(wasted);
    auto responses = boost::json::object{};
    for (auto const& [priority, ratios] : results.m_response_ratios)
    {
        auto& ratios_of_priority =
            responses[std::to_string(priority)].emplace_object();
        for (auto const& [name, value] : ratios)
            ratios_of_priority[name] = to_json_object(value);
    }
    out["response_ratios"] = std::move(responses);
    return boost::json::serialize(out);
}

} // namespace hickorylatch::experiment
