#include "emulator/load_command.hpp"

#include "emulator/command_line.hpp"
#include "emulator/load_client.hpp"
#include "net/error.hpp"
#include "net/process_signals.hpp"

#include <boost/leaf/handle_errors.hpp>

#include <iostream>
#include <utility>
#include <vector>

namespace hickorylatch::emulator
{

namespace leaf = boost::leaf;

namespace
{

auto milliseconds(cxxopts::ParseResult const& options, std::string const& name)
    -> core::duration
{
    return std::chrono::milliseconds{options[name].as<std::uint32_t>()};
}

auto parse_entry(std::string const& text) -> net::socket_address
{
    auto const invalid = [](net::error const& error) -> net::socket_address
    {
        reject(error.m_text);
    };
    auto const invalid_for_unknown_reason = [&]() -> net::socket_address
    {
        reject("invalid entry address");
    };
    return leaf::try_handle_all(
        [&]
        {
            return net::socket_address::parse(text);
        },
        invalid, invalid_for_unknown_reason);
}

auto parse_load_settings(cxxopts::ParseResult const& options) -> load_settings
{
    if (options.count("entry") == 0)
        reject("no entry given");
    auto settings = load_settings{};
    for (auto const& text : options["entry"].as<std::vector<std::string>>())
        settings.m_entries.push_back(parse_entry(text));
    settings.m_service = options["service"].as<std::string>();
    settings.m_customers = options["customer"].as<std::vector<std::string>>();
    settings.m_idempotent_path = options["idempotent-path"].as<std::string>();
    settings.m_other_path = options["other-path"].as<std::string>();
    settings.m_other_share = options["other-percent"].as<double>() / 100;
    settings.m_rate = options["rate"].as<double>();
    settings.m_count = options["count"].as<std::size_t>();
    settings.m_concurrency = options["concurrency"].as<std::size_t>();
    settings.m_deadline = milliseconds(options, "deadline-ms");
    settings.m_run_times = {milliseconds(options, "run-min-ms"),
                            milliseconds(options, "run-max-ms"),
                            options["long-share"].as<double>(),
                            milliseconds(options, "long-min-ms"),
                            milliseconds(options, "long-max-ms")};
    settings.m_seed = options["seed"].as<std::uint64_t>();
    settings.m_padding = options["padding"].as<std::size_t>();
    if (settings.m_rate <= 0 || settings.m_count == 0)
        reject("rate and count must be greater than 0");
    return settings;
}

auto run(cxxopts::ParseResult const& options) -> int
{
    auto const min_success_share = options["least-success"].as<double>();
    auto settings = parse_load_settings(options);
    auto loop = net::event_loop{};
    auto signals = net::process_signals{loop};
    auto client = load_client{loop, std::move(settings)};
    client.finished().connect(
        [&]
        {
            loop.stop();
        });
    auto is_stopping = false;
    signals.stop_requested().connect(
        [&]
        {
            if (std::exchange(is_stopping, true))
                return loop.stop();
            client.stop();
        });
    auto const started_at = loop.now();
    client.start();
    loop.run();
    auto const& report = client.report();
    std::cout << report.print(loop.now() - started_at) << std::flush;
    auto const required_successes =
        min_success_share *
        static_cast<double>(report.ended() + report.m_not_sent);
    auto const is_ok =
        report.m_mismatched == 0 && report.ended() > 0 &&
        static_cast<double>(report.succeeded()) >= required_successes;
    return is_ok ? exit_ok : exit_failed;
}

} // namespace

auto load_main(std::span<std::string const> arguments) -> int
{
    auto options = cxxopts::Options{
        "load", "Sends an open-loop load to the HTTP interface of entries"};
    auto add = options.add_options();
    auto const add_count =
        [&](char const* name, char const* help, char const* default_value)
    {
        add(name, help,
            cxxopts::value<std::uint32_t>()->default_value(default_value));
    };
    auto const add_number =
        [&](char const* name, char const* help, char const* default_value)
    {
        add(name, help, cxxopts::value<double>()->default_value(default_value));
    };
    auto const add_text =
        [&](char const* name, char const* help, char const* default_value)
    {
        add(name, help,
            cxxopts::value<std::string>()->default_value(default_value));
    };
    add("entry", "ip:port of an entry; may be repeated",
        cxxopts::value<std::vector<std::string>>());
    add("customer", "Customer names, separated by commas",
        cxxopts::value<std::vector<std::string>>()->default_value("load"));
    add("count", "Total number of requests",
        cxxopts::value<std::size_t>()->default_value("100"));
    add("concurrency",
        "Maximum number of open requests; further ones are not sent",
        cxxopts::value<std::size_t>()->default_value("1000"));
    add("padding", "Bytes of padding in each body",
        cxxopts::value<std::size_t>()->default_value("0"));
    add("seed", "Seed of arrivals, run times and paths",
        cxxopts::value<std::uint64_t>()->default_value("1"));
    add_text("service", "Service called", "order-desk");
    add_text("idempotent-path", "Path of idempotent requests", "check");
    add_text("other-path", "Path of all other requests", "book");
    add_number("other-percent", "Percentage of other requests", "20");
    add_number("rate", "Mean requests per second", "10");
    add_number("long-share", "Share of long tasks, 0 to 1", "0.02");
    add_number("least-success", "Share of requests that must succeed", "0");
    add_count("deadline-ms", "Deadline of each request; 0 for none", "0");
    add_count("run-min-ms", "Shortest usual run time", "50");
    add_count("run-max-ms", "Longest usual run time", "1000");
    add_count("long-min-ms", "Shortest run time of a long task", "2000");
    add_count("long-max-ms", "Longest run time of a long task", "6000");
    options.parse_positional("entry");
    options.positional_help("ip:port...");
    return run_command(options, arguments, run);
}

} // namespace hickorylatch::emulator
