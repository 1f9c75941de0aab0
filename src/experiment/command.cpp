#include "experiment/command.hpp"

#include "experiment/report.hpp"

#include <cxxopts.hpp>

#include <algorithm>
#include <array>
#include <iostream>
#include <numeric>
#include <stdexcept>
#include <vector>

namespace hickorylatch::experiment
{

namespace
{

constexpr auto policies =
    std::to_array({policy_kind::random, policy_kind::round_robin,
                   policy_kind::least_outstanding, policy_kind::two_choices,
                   policy_kind::entry_credits, policy_kind::central});

auto make_options() -> cxxopts::Options
{
    auto options = cxxopts::Options{
        "experiment", "Compares dispatch policies with an ideal queue"};
    auto const text = [](char const* value)
    {
        return cxxopts::value<std::string>()->default_value(value);
    };
    auto const number = [](char const* value)
    {
        return cxxopts::value<double>()->default_value(value);
    };
    options.add_options()(
        "policy", "policies, comma-separated, or all",
        cxxopts::value<std::vector<std::string>>()->default_value("central"))(
        "load", "offered loads in percent of capacity, comma-separated",
        cxxopts::value<std::vector<double>>()->default_value("90"))(
        "entries", "numbers of entries, comma-separated",
        cxxopts::value<std::vector<std::uint32_t>>()->default_value("5"))(
        "seeds", "number of seeds",
        number("8"))("seconds", "measured seconds of each run", number("600"))(
        "client-ms", "one-way network delay to clients in milliseconds",
        number("1"))("domains", "number of failure domains", number("4"))(
        "deadline", "seconds that clients wait", number("30"))(
        "queue-limit", "maximum number of queued requests", number("10000"))(
        "renew", "idle seconds before a lease is renewed", number("1"))(
        "burst", "factor of the arrival rate for 2 s",
        number("1"))("failing", "endpoint 0 fails every request immediately")(
        "straggler", "run time factor of endpoint 0", number("1"))(
        "declared-error", "factor by which declared run times are wrong",
        number("1"))("cancel", "share of requests cancelled at intervals",
                     number("0"))(
        "evacuate",
        "seconds for which the last failure domain is evacuated; the results "
        "include those of the same run without it",
        number("0"))("committed", "share of requests that need a commit",
                     number("0"))(
        "commit-ms", "duration of a commit in milliseconds", number("5"))(
        "ahead",
        "bind tasks to slots before they are predicted to become free")(
        "format", "text or json", text("text"))("help", "print this help");
    return options;
}

auto milliseconds(double count) -> duration
{
    return duration{static_cast<std::int64_t>(count * 1000)};
}

auto make_scenario(cxxopts::ParseResult const& parsed) -> scenario
{
    auto const number = [&parsed](char const* name)
    {
        return parsed[name].as<double>();
    };
    auto setup = scenario{};
    setup.m_seeds.resize(
        static_cast<std::size_t>(std::max(1.0, number("seeds"))));
    std::iota(setup.m_seeds.begin(), setup.m_seeds.end(), std::uint64_t{1});
    setup.m_measured_time = milliseconds(number("seconds") * 1000);
    setup.m_client_delay = milliseconds(number("client-ms"));
    setup.m_domains =
        static_cast<std::uint32_t>(std::max(1.0, number("domains")));
    setup.m_deadline = milliseconds(number("deadline") * 1000);
    setup.m_queue_limit = static_cast<std::uint32_t>(number("queue-limit"));
    setup.m_renew_after = milliseconds(std::max(0.1, number("renew")) * 1000);
    setup.m_burst_factor = number("burst");
    setup.m_has_failing_endpoint = parsed.count("failing") > 0;
    setup.m_straggler_factor = number("straggler");
    setup.m_declared_error = number("declared-error");
    setup.m_cancelled_share = number("cancel");
    setup.m_evacuation_length = milliseconds(number("evacuate") * 1000);
    setup.m_committed_share = number("committed");
    setup.m_binds_early = parsed.count("ahead") > 0;
    setup.m_commit_delay = milliseconds(number("commit-ms"));
    return setup;
}

auto parse_policies(std::vector<std::string> const& names)
    -> std::vector<policy_kind>
{
    auto kinds = std::vector<policy_kind>{};
    for (auto const& name : names)
    {
        if (name == "all")
            return {policies.begin(), policies.end()};
        auto const found = std::ranges::find(policies, name,
                                             [](policy_kind kind)
                                             {
                                                 return to_string(kind);
                                             });
        if (found == policies.end())
            throw std::invalid_argument{"unknown policy \"" + name + '"'};
        kinds.push_back(*found);
    }
    return kinds;
}

auto run_all(cxxopts::ParseResult const& parsed) -> void
{
    auto setup = make_scenario(parsed);
    auto const is_json = parsed["format"].as<std::string>() == "json";
    auto separator = "";
    if (is_json)
        std::cout << '[';
    for (auto const kind :
         parse_policies(parsed["policy"].as<std::vector<std::string>>()))
    {
        for (auto const load : parsed["load"].as<std::vector<double>>())
        {
            for (auto const entries :
                 parsed["entries"].as<std::vector<std::uint32_t>>())
            {
                if (load <= 0 || entries == 0)
                    throw std::invalid_argument{
                        "load and entries must be above 0"};
                if (setup.m_evacuation_length > duration{0} &&
                    kind != policy_kind::central)
                    throw std::invalid_argument{
                        "only the central policy can evacuate a domain"};
                setup.m_policy = kind;
                setup.m_load = load / 100;
                setup.m_entries = entries;
                auto const results = run(setup);
                std::cout << separator
                          << (is_json ? to_json(results) : to_text(results));
                separator = is_json ? ",\n" : "";
            }
        }
    }
    if (is_json)
        std::cout << "]\n";
}

} // namespace

auto experiment_main(std::span<std::string const> arguments) -> int
{
    auto values = std::vector<char const*>{};
    for (auto const& argument : arguments)
        values.push_back(argument.c_str());
    auto options = make_options();
    try
    {
        auto const parsed =
            options.parse(static_cast<int>(values.size()), values.data());
        if (parsed.count("help") > 0)
        {
            std::cout << options.help();
            return 0;
        }
        run_all(parsed);
        return 0;
    }
    catch (std::exception const& error)
    {
        std::cerr << "experiment: " << error.what() << '\n';
        return 2;
    }
}

} // namespace hickorylatch::experiment
