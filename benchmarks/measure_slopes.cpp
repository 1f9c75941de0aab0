#include "benchmark_leader.hpp"
#include "slope_processes.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <exception>
#include <iostream>
#include <span>
#include <stdexcept>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace hickorylatch::benchmarks
{

namespace
{

namespace json = boost::json;

/// One size and the value measured for it.
struct sample
{
    double m_size = 0;
    double m_value = 0;
};

/// Fits a line to the samples by least squares.
auto fit(std::string_view unit, std::span<sample const> samples) -> json::object
{
    auto const count = static_cast<double>(samples.size());
    auto x = 0.0;
    auto y = 0.0;
    auto points = json::array{};
    for (auto const& each : samples)
    {
        x += each.m_size / count;
        y += each.m_value / count;
        points.push_back(
            json::object{{"size", each.m_size}, {"value", each.m_value}});
    }
    auto xx = 0.0;
    auto xy = 0.0;
    auto yy = 0.0;
    for (auto const& each : samples)
    {
        xx += (each.m_size - x) * (each.m_size - x);
        xy += (each.m_size - x) * (each.m_value - y);
        yy += (each.m_value - y) * (each.m_value - y);
    }
    auto const slope = xy / xx;
    return {{"unit", unit},
            {"slope", slope},
            {"intercept", y - slope * x},
            {"r_squared", yy == 0 ? 1.0 : xy * xy / (xx * yy)},
            {"samples", points}};
}

/// Measures at each size and fits a line to the results.
template <typename Measure>
auto slope(std::string_view unit, std::span<std::size_t const> sizes,
           Measure measure) -> json::object
{
    auto samples = std::vector<sample>{};
    for (auto const size : sizes)
        samples.push_back({static_cast<double>(size), measure(size)});
    return fit(unit, samples);
}

/// Minimum of three runs, because interference by other programs only adds
/// time.
template <typename Measure>
auto min_of_three(Measure measure)
{
    return [measure](std::size_t size) -> double
    {
        return std::min({measure(size), measure(size), measure(size)});
    };
}

auto submit_frame(benchmark_leader const& leader, std::uint64_t number,
                  core::submission submission) -> frame
{
    auto request = core::submit{};
    request.m_sequence = number + 1;
    request.m_submission = std::move(submission);
    request.m_sent_at = leader.now();
    request.m_term = leader.term();
    request.m_copy = 1;
    return {entry_node, encoded(request)};
}

/// Reports of success for all starts that the leader has just sent.
auto finished_frames(benchmark_leader& leader) -> std::vector<frame>
{
    auto reports = std::vector<frame>{};
    for (auto const& [agent, start] : leader.take_sent<core::start>())
        reports.push_back({agent, encoded(core::finished{start.m_attempt,
                                                         {core::run_state::ran},
                                                         make_answer(),
                                                         leader.now()})});
    return reports;
}

auto receive_cpu(benchmark_leader& leader, std::span<frame const> frames)
    -> double
{
    auto const begin = cpu_us();
    for (auto const& each : frames)
        leader.receive(each);
    return cpu_us() - begin;
}

/// CPU time of a leader for the submissions and the reports on their tasks.
/// There must be a free slot for each task.
auto run_cpu(benchmark_leader& leader, std::span<frame const> submissions)
    -> double
{
    leader.m_collects_sent = true;
    std::ignore = leader.take_sent<core::start>();
    auto cpu_time = receive_cpu(leader, submissions);
    auto const reports = finished_frames(leader);
    cpu_time += receive_cpu(leader, reports);
    auto answers = std::size_t{0};
    for (auto const& [entry, result] : leader.take_sent<core::submit_result>())
        answers += result.m_verdict.m_run == core::run_state::ran;
    if (answers != submissions.size())
        throw std::runtime_error{"only " + std::to_string(answers) + " of " +
                                 std::to_string(submissions.size()) +
                                 " submissions ran"};
    return cpu_time;
}

auto request_cpu(std::size_t endpoints, std::size_t count, bool is_idempotent)
    -> double
{
    auto leader = benchmark_leader{};
    leader.m_collects_sent = false;
    leader.connect_entry();
    leader.add_endpoints(endpoints, 64);
    auto frames = std::vector<frame>{};
    for (auto number = std::size_t{0}; number < count; ++number)
        frames.push_back(
            submit_frame(leader, number, make_request(number, is_idempotent)));
    return run_cpu(leader, frames);
}

/// CPU time of a leader for jobs. Also stores the bytes that were logged and
/// sent per job in `bytes`, if given.
auto jobs_cpu(std::size_t jobs, std::size_t tasks, std::size_t workers,
              json::object* bytes = nullptr) -> double
{
    auto leader = benchmark_leader{};
    leader.m_collects_sent = false;
    leader.connect_entry();
    leader.add_workers(workers);
    auto frames = std::vector<frame>{};
    for (auto number = std::size_t{0}; number < jobs; ++number)
        frames.push_back(submit_frame(leader, number, make_job(number, tasks)));
    auto const log_before = leader.log_bytes();
    auto const sent_before = leader.sent_bytes();
    auto const cpu_time = run_cpu(leader, frames);
    if (bytes != nullptr)
        *bytes = {{"log_bytes_per_job",
                   static_cast<double>(leader.log_bytes() - log_before) /
                       static_cast<double>(jobs)},
                  {"sent_bytes_per_job",
                   static_cast<double>(leader.sent_bytes() - sent_before) /
                       static_cast<double>(jobs)}};
    return cpu_time;
}

auto leader_memory() -> json::object
{
    auto out = json::object{};
    out["per_worker"] =
        slope("bytes", std::vector<std::size_t>{1'000, 4'000, 9'000, 18'000},
              [](std::size_t count)
              {
                  auto leader = benchmark_leader{};
                  leader.m_collects_sent = false;
                  auto const before = heap_bytes();
                  leader.add_workers(count);
                  return heap_bytes() - before;
              });
    auto const live_job_memory = [](std::size_t tasks)
    {
        return [tasks](std::size_t jobs)
        {
            auto leader = benchmark_leader{};
            leader.m_collects_sent = false;
            leader.connect_entry();
            leader.add_workers(1'000);
            auto const before = heap_bytes();
            for (auto number = std::size_t{0}; number < jobs; ++number)
                leader.receive(
                    submit_frame(leader, number, make_job(number, tasks)));
            return heap_bytes() - before;
        };
    };
    out["per_live_job_of_1_task"] =
        slope("bytes", std::vector<std::size_t>{1'000, 4'000, 16'000},
              live_job_memory(1));
    out["per_live_job_of_100_tasks"] = slope(
        "bytes", std::vector<std::size_t>{20, 100, 400}, live_job_memory(100));
    out["per_live_job_of_1400_tasks"] = slope(
        "bytes", std::vector<std::size_t>{2, 10, 40}, live_job_memory(1'400));
    auto const sizes = std::vector<std::size_t>{1, 100, 1'400};
    out["per_live_task"] = slope("bytes", sizes,
                                 [&](std::size_t tasks)
                                 {
                                     return (live_job_memory(tasks)(22) -
                                             live_job_memory(tasks)(2)) /
                                            20;
                                 });
    return out;
}

/// CPU time of a leader for one lease renewal by each of its workers.
auto renewal_cpu(std::size_t count) -> double
{
    auto leader = benchmark_leader{};
    leader.m_collects_sent = false;
    leader.add_workers(count);
    auto frames = std::vector<frame>{};
    for (auto number = std::size_t{0}; number < count; ++number)
        frames.push_back({agent_node(number),
                          encoded(core::renew{leader.now(), 10'000, 20'000})});
    return receive_cpu(leader, frames);
}

auto configuration_change_cpu(std::size_t count) -> double
{
    auto leader = benchmark_leader{};
    leader.m_collects_sent = false;
    leader.add_workers(count);
    auto const begin = cpu_us();
    leader.change_configuration();
    return cpu_us() - begin;
}

/// CPU time of a leader for one idle tick with this many workers. It ticks
/// every 20 ms, as the coordinator does.
auto tick_cpu(std::size_t workers) -> double
{
    auto leader = benchmark_leader{};
    leader.m_collects_sent = false;
    leader.add_workers(workers);
    constexpr auto rounds = 100;
    auto const begin = cpu_us();
    for (auto round = 0; round < rounds; ++round)
        leader.tick(std::chrono::milliseconds{20});
    return (cpu_us() - begin) / rounds;
}

/// CPU time of a leader for the announcement of one worker on a new link, while
/// this many tasks are live.
auto announcement_cpu(std::size_t tasks) -> double
{
    auto leader = benchmark_leader{};
    leader.m_collects_sent = false;
    leader.connect_entry();
    leader.add_workers(1'000);
    for (auto number = std::size_t{0}; number < tasks / 100; ++number)
        leader.receive(submit_frame(leader, number, make_job(number, 100)));
    constexpr auto announced_count = std::size_t{50};
    auto const begin = cpu_us();
    leader.add_workers(announced_count);
    return (cpu_us() - begin) / announced_count;
}

auto leader_cpu() -> json::object
{
    auto out = json::object{};
    auto const counts = std::vector<std::size_t>{2'000, 8'000, 16'000};
    auto const requests = [&](std::size_t endpoints, bool is_idempotent)
    {
        return slope("us", counts,
                     min_of_three(
                         [=](std::size_t count)
                         {
                             return request_cpu(endpoints, count,
                                                is_idempotent);
                         }));
    };
    out["per_idempotent_start_1000_agents"] = requests(1'000, true);
    out["per_committed_start_1000_agents"] = requests(1'000, false);
    out["per_committed_start_18000_agents"] = requests(18'000, false);
    auto const jobs = [](std::size_t tasks, std::size_t workers)
    {
        return min_of_three(
            [=](std::size_t count)
            {
                return jobs_cpu(count, tasks, workers);
            });
    };
    out["per_job_of_1_task"] = slope("us", counts, jobs(1, 1'000));
    out["per_job_of_100_tasks"] =
        slope("us", std::vector<std::size_t>{20, 80, 160}, jobs(100, 1'000));
    out["per_job_of_1400_tasks"] =
        slope("us", std::vector<std::size_t>{3, 10, 20}, jobs(1'400, 1'000));
    out["per_job_of_1400_tasks_18000_workers"] =
        slope("us", std::vector<std::size_t>{3, 10, 20}, jobs(1'400, 18'000));
    out["per_renewal"] =
        slope("us", std::vector<std::size_t>{1'000, 9'000, 18'000},
              min_of_three(renewal_cpu));
    out["configuration_change_per_process"] =
        slope("us", std::vector<std::size_t>{1'000, 4'000, 9'000, 18'000},
              min_of_three(configuration_change_cpu));
    out["tick_per_worker"] =
        slope("us", std::vector<std::size_t>{1'000, 9'000, 18'000},
              min_of_three(tick_cpu));
    out["announcement_per_live_task"] =
        slope("us", std::vector<std::size_t>{1'000, 10'000, 50'000},
              min_of_three(announcement_cpu));
    return out;
}

auto log_bytes() -> json::object
{
    auto out = json::object{};
    for (auto const tasks :
         {std::size_t{1}, std::size_t{100}, std::size_t{1'400}})
    {
        auto bytes = json::object{};
        jobs_cpu(10, tasks, 1'000, &bytes);
        out["job_of_" + std::to_string(tasks)] = bytes;
    }
    return out;
}

auto measure() -> json::object
{
    auto out = json::object{};
    out["message_bytes"] = message_bytes();
    out["bytes_per_job"] = log_bytes();
    auto memory = leader_memory();
    auto const counts = std::vector<std::size_t>{2'000, 8'000, 32'000};
    auto const large_job_counts = std::vector<std::size_t>{10, 40, 160};
    memory["per_kept_key_of_1_task"] =
        slope("bytes", counts,
              [](std::size_t count)
              {
                  return retained_key_memory(1, count);
              });
    memory["per_kept_key_of_1400_tasks"] =
        slope("bytes", large_job_counts,
              [](std::size_t count)
              {
                  return retained_key_memory(1'400, count);
              });
    memory["entry_per_waiting_request"] = slope("bytes", counts, entry_memory);
    memory["agent_per_running_attempt"] =
        slope("bytes", std::vector<std::size_t>{64, 640, 6'400}, agent_memory);
    out["memory"] = memory;
    auto cpu = leader_cpu();
    cpu["entry_per_request"] = slope("us", counts, min_of_three(entry_cpu));
    cpu["agent_per_start"] = slope("us", counts, min_of_three(agent_cpu));
    auto const tasks = std::vector<std::size_t>{1, 100, 1'400};
    cpu["append_per_task_at_leader_per_follower"] =
        slope("us", tasks, min_of_three(append_cpu));
    cpu["append_per_task_at_follower"] =
        slope("us", tasks, min_of_three(follower_cpu));
    cpu["configuration_change_at_a_process"] =
        slope("us", std::vector<std::size_t>{100, 400, 1'600},
              min_of_three(apply_configuration_cpu));
    out["cpu"] = cpu;
    return out;
}

} // namespace

} // namespace hickorylatch::benchmarks

auto main() -> int
{
    try
    {
        std::cout << boost::json::serialize(hickorylatch::benchmarks::measure())
                  << '\n';
    }
    catch (std::exception const& error)
    {
        std::cerr << "measure-slopes: " << error.what() << '\n';
        return 1;
    }
    return 0;
}
