#include "storage/benchmark_command.hpp"

#include "storage/commit_benchmark.hpp"
#include "storage/storage_error.hpp"

#include <boost/json.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <cxxopts.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <filesystem>
#include <iostream>
#include <limits>
#include <string_view>
#include <utility>
#include <vector>

namespace hickorylatch::storage
{

namespace
{

namespace fs = std::filesystem;
namespace json = boost::json;

constexpr auto task_counts = std::array<std::size_t, 3>{1, 100, 1400};
constexpr auto caller_counts = std::array<std::size_t, 3>{1, 8, 64};
constexpr auto unlimited = std::numeric_limits<std::size_t>::max();

/// Parsed command line.
struct benchmark_request
{
    fs::path m_folder;
    storage_options m_options;
    benchmark_load m_load;
    std::size_t m_rounds = 3;
    bool m_with_recovery = true;
};

[[nodiscard]] auto median(std::vector<double> values) -> double
{
    std::ranges::sort(values);
    return values[values.size() / 2];
}

/// Collects the results of all rounds of one commit mode.
class round_collector
{
public:
    auto add(commit_results const& results) -> void
    {
        m_rates.push_back(results.m_records_per_second);
        m_p50.push_back(results.m_p50_us);
        m_p99.push_back(results.m_p99_us);
    }

    [[nodiscard]] auto rate() const -> double
    {
        return median(m_rates);
    }

    [[nodiscard]] auto to_json() const -> json::object
    {
        return {{"records_per_second", rate()},
                {"p50_us", median(m_p50)},
                {"p99_us", median(m_p99)}};
    }

private:
    std::vector<double> m_rates;
    std::vector<double> m_p50;
    std::vector<double> m_p99;
};

/// Runs a measurement in an empty folder that is removed afterwards.
template <typename Measure>
[[nodiscard]] auto in_scratch_folder(fs::path const& parent, Measure&& measure)
{
    auto const folder = parent / "measure-storage";
    fs::remove_all(folder);
    auto measured = measure(folder);
    fs::remove_all(folder);
    return measured;
}

/// Alternates between group commit and one sync per record, so that changes in
/// machine load affect both equally.
[[nodiscard]] auto compare_commits(benchmark_request const& request,
                                   std::size_t tasks, std::size_t callers)
    -> boost::leaf::result<json::object>
{
    auto grouped = round_collector{};
    auto single = round_collector{};
    for (auto round = std::size_t{0}; round < request.m_rounds; ++round)
    {
        for (auto* const collector : {&grouped, &single})
        {
            auto const max_group_size = collector == &grouped ? unlimited : 1;
            BOOST_LEAF_AUTO(results,
                            in_scratch_folder(request.m_folder,
                                              [&](fs::path const& folder)
                                              {
                                                  return measure_commit(
                                                      folder, request.m_options,
                                                      request.m_load, tasks,
                                                      callers, max_group_size);
                                              }));
            collector->add(results);
        }
    }
    return json::object{{"tasks", tasks},
                        {"callers", callers},
                        {"group_commit", grouped.to_json()},
                        {"one_sync_each", single.to_json()},
                        {"ratio", grouped.rate() / single.rate()}};
}

[[nodiscard]] auto sync_times(benchmark_request const& request)
    -> boost::leaf::result<json::object>
{
    constexpr auto writes = std::size_t{1000};
    BOOST_LEAF_AUTO(
        results, in_scratch_folder(request.m_folder,
                                   [&](fs::path const& folder)
                                   {
                                       fs::create_directory(folder);
                                       return measure_sync(
                                           folder, request.m_options, writes);
                                   }));
    return json::object{
        {"writes", writes},
        {"reserved_p50_us", results.m_reserved_p50_us},
        {"reserved_mean_us", results.m_reserved_mean_us},
        {"growing_p50_us", results.m_growing_p50_us},
        {"growing_mean_us", results.m_growing_mean_us},
        {"mean_ratio", results.m_growing_mean_us / results.m_reserved_mean_us}};
}

[[nodiscard]] auto log_sizes(std::size_t body_bytes) -> json::object
{
    auto jobs = json::array{};
    for (auto const tasks : task_counts)
        jobs.push_back(json::object{
            {"tasks", tasks}, {"bytes", acceptance_bytes(tasks, body_bytes)}});
    auto const large = acceptance_bytes(1400, body_bytes);
    auto const small = acceptance_bytes(100, body_bytes);
    return {{"body_bytes", body_bytes},
            {"bytes_per_job", std::move(jobs)},
            {"bytes_per_task", static_cast<double>(large - small) / 1300}};
}

[[nodiscard]] auto measure(benchmark_request const& request)
    -> boost::leaf::result<json::object>
{
    BOOST_LEAF_AUTO(syncs, sync_times(request));
    auto commits = json::array{};
    for (auto const tasks : task_counts)
    {
        for (auto const callers : caller_counts)
        {
            BOOST_LEAF_AUTO(compared, compare_commits(request, tasks, callers));
            commits.push_back(std::move(compared));
        }
    }
    auto const delay = request.m_options.m_sync_delay;
    auto measured =
        json::object{{"simulated_sync_delay_ms",
                      std::chrono::duration<double, std::milli>{delay}.count()},
                     {"sync", std::move(syncs)},
                     {"rounds", request.m_rounds},
                     {"round_ms", request.m_load.m_duration.count()},
                     {"commits", std::move(commits)},
                     {"log", log_sizes(request.m_load.m_body_bytes)}};
    if (!request.m_with_recovery)
        return measured;
    BOOST_LEAF_AUTO(recovery, in_scratch_folder(request.m_folder,
                                                [&](fs::path const& folder)
                                                {
                                                    return measure_recovery(
                                                        folder,
                                                        request.m_options,
                                                        request.m_load);
                                                }));
    measured["recovery"] =
        json::object{{"entries", request.m_load.m_entries},
                     {"snapshot_bytes", request.m_load.m_snapshot_bytes},
                     {"log_bytes", recovery.m_log_bytes},
                     {"slowest_cached_ms", recovery.m_cached_ms},
                     {"slowest_uncached_ms", recovery.m_uncached_ms}};
    return measured;
}

[[nodiscard]] auto parse(std::span<std::string const> arguments)
    -> benchmark_request
{
    auto options = cxxopts::Options{"measure-storage"};
    options.add_options()("folder", "Folder for scratch files",
                          cxxopts::value<std::string>()->default_value("."))(
        "round-ms", "Length of a round",
        cxxopts::value<std::uint32_t>()->default_value("1000"))(
        "rounds", "Rounds of each way of committing",
        cxxopts::value<std::size_t>()->default_value("3"))(
        "body-bytes", "Bytes in each task's body",
        cxxopts::value<std::size_t>()->default_value("64"))(
        "entries", "Entries after the snapshot; 0 to skip recovery",
        cxxopts::value<std::uint64_t>()->default_value("100000"))(
        "sync-delay-ms", "Simulated delay added to each sync",
        cxxopts::value<double>()->default_value("0"));
    auto raw = std::vector<char const*>{"measure-storage"};
    for (auto const& argument : arguments)
        raw.push_back(argument.c_str());
    auto const parsed = options.parse(static_cast<int>(raw.size()), raw.data());
    auto request = benchmark_request{};
    request.m_folder = parsed["folder"].as<std::string>();
    request.m_rounds =
        std::max<std::size_t>(1, parsed["rounds"].as<std::size_t>());
    request.m_load.m_duration =
        std::chrono::milliseconds{parsed["round-ms"].as<std::uint32_t>()};
    request.m_load.m_body_bytes = parsed["body-bytes"].as<std::size_t>();
    request.m_load.m_entries = parsed["entries"].as<std::uint64_t>();
    request.m_with_recovery = request.m_load.m_entries > 0;
    request.m_options.m_sync_delay = std::chrono::microseconds{
        static_cast<std::int64_t>(parsed["sync-delay-ms"].as<double>() * 1000)};
    return request;
}

} // namespace

auto storage_benchmark_main(std::span<std::string const> arguments) -> int
{
    auto request = benchmark_request{};
    try
    {
        request = parse(arguments);
    }
    catch (cxxopts::exceptions::exception const& error)
    {
        std::cerr << "measure-storage: " << error.what() << '\n';
        return 2;
    }
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<int>
        {
            BOOST_LEAF_AUTO(measured, measure(request));
            std::cout << json::serialize(measured) << '\n';
            return 0;
        },
        [](storage_error const& error) -> int
        {
            std::cerr << "measure-storage: " << to_string(error) << '\n';
            return 1;
        },
        []() -> int
        {
            std::cerr << "measure-storage: unknown error\n";
            return 1;
        });
}

} // namespace hickorylatch::storage
