#include "slope_processes.hpp"

#include "benchmark_leader.hpp"

#include "core/roles/agent.hpp"
#include "core/roles/entry.hpp"
#include "wire/codec.hpp"

#include <memory>
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

/// An entry with a lease and a configuration.
auto make_entry_with_lease() -> std::unique_ptr<core::entry>
{
    auto entry = std::make_unique<core::entry>();
    auto out = core::effects{};
    auto const leader = core::node_id{7};
    auto const now = core::time_point{1'000'000};
    entry->receive(now, leader,
                   core::configuration_changed{1, target_configuration(1)},
                   out);
    entry->receive(now, leader, core::renewed{now, 1, std::chrono::hours{1}, 1},
                   out);
    return entry;
}

/// An agent with a lease, a configuration and this many slots.
auto make_agent_with_lease(std::uint32_t slots) -> std::unique_ptr<core::agent>
{
    auto info = worker_info(0);
    info.m_slots = slots;
    auto agent = std::make_unique<core::agent>(info);
    auto out = core::effects{};
    auto random = core::random_source{};
    auto const leader = core::node_id{7};
    auto const now = core::time_point{1'000'000};
    agent->receive(now, leader,
                   core::configuration_changed{1, target_configuration(1)},
                   random, out);
    agent->receive(now, leader, core::renewed{now, 1, std::chrono::hours{1}, 1},
                   random, out);
    return agent;
}

auto make_start(std::uint64_t number) -> core::start
{
    auto const job = make_job(number, 1);
    auto start = core::start{};
    start.m_term = 1;
    start.m_attempt = {
        (core::submission_id{1} << core::submission_counter_bits) |
            (number + 1),
        1'000};
    start.m_service = core::worker_service;
    start.m_task = job.m_tasks[0];
    start.m_deadline_ms = 30'000;
    start.m_trace = job.m_trace;
    start.m_renewed = {core::time_point{1'000'000}, 1, std::chrono::hours{1},
                       1};
    return start;
}

auto encode_sent(core::effects const& out) -> std::size_t
{
    auto bytes = std::size_t{0};
    for (auto const& each : out)
    {
        if (auto const* sent = std::get_if<core::send>(&each))
            bytes += wire::encode(sent->m_message).size();
    }
    return bytes;
}

constexpr auto append_rounds = 50;

auto make_accept_submission(core::submission_id id, std::size_t tasks)
    -> core::accept_submission
{
    return {id, make_job(id, tasks),
            std::vector<core::node_id>(tasks, agent_node(1)), 1};
}

auto make_end_submission(core::submission_id id, std::size_t tasks)
    -> core::end_submission
{
    return {id,
            {core::run_state::ran},
            std::vector<core::task_answer>(tasks, make_answer()),
            2};
}

/// Both log entries of a job, acceptance and end, in one message.
auto make_append(core::submission_id id, std::size_t tasks)
    -> core::append_request
{
    auto request = core::append_request{};
    request.m_term = 3;
    request.m_entries = {{2 * id, 3, make_accept_submission(id, tasks)},
                         {2 * id + 1, 3, make_end_submission(id, tasks)}};
    return request;
}

} // namespace

auto retained_key_memory(std::size_t tasks, std::size_t count) -> double
{
    auto state = core::control_state{};
    auto const before = heap_bytes();
    for (auto id = core::submission_id{1}; id <= count; ++id)
    {
        state.apply({2 * id, 1, make_accept_submission(id, tasks)});
        state.apply({2 * id + 1, 1, make_end_submission(id, tasks)});
    }
    return heap_bytes() - before;
}

auto entry_memory(std::size_t count) -> double
{
    auto const entry = make_entry_with_lease();
    auto random = core::random_source{};
    auto out = core::effects{};
    auto const before = heap_bytes();
    for (auto number = std::size_t{0}; number < count; ++number)
    {
        entry->arrived(core::time_point{1'000'001},
                       {number + 1, make_request(number, false), 0}, random,
                       out);
        out.clear();
    }
    if (entry->pending_requests() != count)
        throw std::runtime_error{"the entry refused requests"};
    out = {};
    return heap_bytes() - before;
}

auto entry_cpu(std::size_t count) -> double
{
    auto const entry = make_entry_with_lease();
    auto random = core::random_source{};
    auto out = core::effects{};
    auto const now = core::time_point{1'000'001};
    auto requests = std::vector<core::request_arrived>{};
    auto results = std::vector<std::string>{};
    for (auto number = std::size_t{0}; number < count; ++number)
    {
        auto result = core::submit_result{};
        result.m_sequence = number + 1;
        result.m_verdict.m_run = core::run_state::ran;
        result.m_answers = {make_answer()};
        result.m_renewed = {now, 1, std::chrono::hours{1}, 1};
        results.push_back(encoded(result));
        requests.push_back({number + 1, make_request(number, false), 0});
    }
    auto const begin = cpu_us();
    for (auto const& each : requests)
    {
        entry->arrived(now, each, random, out);
        encode_sent(std::exchange(out, {}));
    }
    for (auto const& each : results)
    {
        entry->receive(now, core::node_id{7},
                       wire::decode_message(each).value(), out);
        out.clear();
    }
    return cpu_us() - begin;
}

auto agent_memory(std::size_t count) -> double
{
    auto const agent = make_agent_with_lease(1'000'000);
    auto random = core::random_source{};
    auto out = core::effects{};
    auto const before = heap_bytes();
    for (auto number = std::size_t{0}; number < count; ++number)
    {
        agent->receive(core::time_point{1'000'001}, core::node_id{7},
                       make_start(number), random, out);
        if (!std::holds_alternative<core::start_call>(out.at(0)))
            throw std::runtime_error{"the agent refused a start"};
        out.clear();
    }
    out = {};
    return heap_bytes() - before;
}

auto agent_cpu(std::size_t count) -> double
{
    auto const agent = make_agent_with_lease(64);
    auto random = core::random_source{};
    auto out = core::effects{};
    auto const now = core::time_point{1'000'001};
    auto frames = std::vector<std::pair<core::attempt_id, std::string>>{};
    for (auto number = std::size_t{0}; number < count; ++number)
    {
        auto const start = make_start(number);
        frames.emplace_back(start.m_attempt, encoded(start));
    }
    auto const begin = cpu_us();
    for (auto const& [attempt, bytes] : frames)
    {
        agent->receive(now, core::node_id{7},
                       wire::decode_message(bytes).value(), random, out);
        agent->call_finished(
            now, {attempt, {core::run_state::ran}, make_answer()}, out);
        auto const forget =
            encoded(core::forget{1, std::vector<core::attempt_id>{attempt}});
        agent->receive(now, core::node_id{7},
                       wire::decode_message(forget).value(), random, out);
        encode_sent(std::exchange(out, {}));
    }
    return cpu_us() - begin;
}

auto apply_configuration_cpu(std::size_t count) -> double
{
    auto const agent = make_agent_with_lease(64);
    auto random = core::random_source{};
    auto out = core::effects{};
    auto frames = std::vector<std::string>{};
    for (auto number = std::size_t{0}; number < count; ++number)
        frames.push_back(encoded(
            core::configuration_changed{1, target_configuration(number + 2)}));
    auto const begin = cpu_us();
    for (auto const& each : frames)
        agent->receive(core::time_point{1'000'001}, core::node_id{7},
                       wire::decode_message(each).value(), random, out);
    return cpu_us() - begin;
}

auto append_cpu(std::size_t tasks) -> double
{
    auto const request = core::message{make_append(1, tasks)};
    auto bytes = std::size_t{0};
    auto const begin = cpu_us();
    for (auto round = 0; round < append_rounds; ++round)
        bytes += wire::encode(request).size();
    auto const cpu_time = cpu_us() - begin;
    if (bytes == 0)
        throw std::runtime_error{"nothing was encoded"};
    return cpu_time / append_rounds;
}

auto follower_cpu(std::size_t tasks) -> double
{
    auto state = core::control_state{};
    auto frames = std::vector<std::string>{};
    for (auto round = 0; round < append_rounds; ++round)
        frames.push_back(encoded(
            make_append(static_cast<core::submission_id>(round) + 1, tasks)));
    auto const begin = cpu_us();
    for (auto const& each : frames)
    {
        auto const decoded = wire::decode_message(each);
        for (auto const& entry :
             std::get<core::append_request>(decoded.value()).m_entries)
        {
            std::ignore = wire::encode(entry);
            state.apply(entry);
        }
    }
    auto const cpu_time = cpu_us() - begin;
    if (state.submissions().size() != frames.size())
        throw std::runtime_error{"entries were not applied"};
    return cpu_time / append_rounds;
}

auto message_bytes() -> json::object
{
    auto out = json::object{};
    auto const now = core::time_point{3'600'000'000};
    auto const renewal = core::renewed{now, 3, std::chrono::seconds{3}, 14'000};
    auto const add_size = [&](auto content)
    {
        auto const message = core::message{std::move(content)};
        out[core::message_name(message)] = wire::encode(message).size();
    };
    auto hello = core::hello{};
    hello.m_node = agent_node(1);
    hello.m_name = "region-0/worker-1";
    hello.m_cluster = 0x1234567890ABCDEF;
    hello.m_secret = std::string(32, 's');
    add_size(hello);
    add_size(core::submit{100'000, make_request(1, false), now, 3, 1});
    add_size(core::cancel{100'000});
    add_size(core::submit_result{
        100'000, {core::run_state::ran}, {make_answer()}, renewal});
    add_size(core::not_leader{100'000, agent_node(1), 1});
    add_size(core::operate{100'000, core::query_status{"status"}});
    add_size(core::operate_result{100'000, {core::run_state::ran}, 14'000, {}});
    add_size(core::announce{worker_info(1), {}, {}, now, {}});
    auto const replica = core::member{agent_node(2), "10.0.0.1:7000", true};
    add_size(core::welcome{
        renewal, target_configuration(14'000), {replica, replica, replica}});
    auto start = make_start(1);
    start.m_renewed = renewal;
    add_size(start);
    add_size(core::finished{
        start.m_attempt, {core::run_state::ran}, make_answer(), now});
    add_size(core::stop_attempt{3, start.m_attempt});
    add_size(core::forget{3, {start.m_attempt}});
    add_size(core::renew{now, 32'000, 65'536});
    add_size(renewal);
    add_size(core::configuration_changed{3, target_configuration(14'000)});
    add_size(core::vote_request{3, 1'000'000, 3, false, now, false});
    add_size(core::vote_reply{3, true, false, now});
    add_size(core::append_request{3, 1'000'000, 3, {}, 1'000'000, now});
    add_size(core::append_reply{3, true, 1'000'000, now, false});
    add_size(core::install_snapshot{3,
                                    1'000'000,
                                    3,
                                    0,
                                    std::string(std::size_t{1} << 18U, 'x'),
                                    false,
                                    now,
                                    0x1234567890ABCDEF,
                                    {replica, replica, replica}});
    add_size(core::install_reply{3, 1'000'000, 1U << 18U, now});
    add_size(
        core::found_group{0x1234567890ABCDEF, {replica, replica, replica}});
    add_size(core::hand_over{3});
    return out;
}

} // namespace hickorylatch::benchmarks
