#include "slope_processes.hpp"

#include "slope_leader.hpp"

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

/// An entry with a lease.
auto ready_entry() -> std::unique_ptr<core::entry>
{
    auto made = std::make_unique<core::entry>();
    auto out = core::effects{};
    auto const leader = core::node_id{7};
    auto const now = core::time_point{1'000'000};
    made->receive(now, leader,
                  core::configuration_changed{1, target_configuration(1)}, out);
    made->receive(now, leader, core::renewed{now, 1, std::chrono::hours{1}, 1},
                  out);
    return made;
}

/// An agent with a lease and this many slots.
auto ready_agent(std::uint32_t slots) -> std::unique_ptr<core::agent>
{
    auto info = worker_info(0);
    info.m_slots = slots;
    auto made = std::make_unique<core::agent>(info);
    auto out = core::effects{};
    auto random = core::random_source{};
    auto const leader = core::node_id{7};
    auto const now = core::time_point{1'000'000};
    made->receive(now, leader,
                  core::configuration_changed{1, target_configuration(1)},
                  random, out);
    made->receive(now, leader, core::renewed{now, 1, std::chrono::hours{1}, 1},
                  random, out);
    return made;
}

auto make_start(std::uint64_t number) -> core::start
{
    auto const work = make_job(number, 1);
    auto order = core::start{};
    order.m_term = 1;
    order.m_attempt = {
        (core::submission_id{1} << core::submission_counter_bits) |
            (number + 1),
        1'000};
    order.m_service = core::worker_service;
    order.m_task = work.m_tasks[0];
    order.m_deadline_ms = 30'000;
    order.m_trace = work.m_trace;
    order.m_renewed = {core::time_point{1'000'000}, 1, std::chrono::hours{1},
                       1};
    return order;
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

auto make_acceptance(core::submission_id id, std::size_t tasks)
    -> core::accept_submission
{
    return {id, make_job(id, tasks),
            std::vector<core::node_id>(tasks, agent_node(1)), 1};
}

auto make_end(core::submission_id id, std::size_t tasks) -> core::end_submission
{
    return {id,
            {core::run_state::ran},
            std::vector<core::task_answer>(tasks, make_answer()),
            2};
}

/// Both entries of a job in one message.
auto make_append(core::submission_id id, std::size_t tasks)
    -> core::append_request
{
    auto request = core::append_request{};
    request.m_term = 3;
    request.m_entries = {{2 * id, 3, make_acceptance(id, tasks)},
                         {2 * id + 1, 3, make_end(id, tasks)}};
    return request;
}

} // namespace

auto kept_key_memory(std::size_t tasks, std::size_t count) -> double
{
    auto state = core::control_state{};
    auto const before = heap_bytes();
    for (auto id = core::submission_id{1}; id <= count; ++id)
    {
        state.apply({2 * id, 1, make_acceptance(id, tasks)});
        state.apply({2 * id + 1, 1, make_end(id, tasks)});
    }
    return heap_bytes() - before;
}

auto entry_memory(std::size_t count) -> double
{
    auto const entry = ready_entry();
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
    if (entry->waiting() != count)
        throw std::runtime_error{"the entry refused requests"};
    out = {};
    return heap_bytes() - before;
}

auto entry_cpu(std::size_t count) -> double
{
    auto const entry = ready_entry();
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
    auto const agent = ready_agent(1'000'000);
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
    auto const agent = ready_agent(64);
    auto random = core::random_source{};
    auto out = core::effects{};
    auto const now = core::time_point{1'000'001};
    auto frames = std::vector<std::pair<core::attempt_id, std::string>>{};
    for (auto number = std::size_t{0}; number < count; ++number)
    {
        auto const order = make_start(number);
        frames.emplace_back(order.m_attempt, encoded(order));
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

auto applied_changes_cpu(std::size_t count) -> double
{
    auto const agent = ready_agent(64);
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
    auto const spent = cpu_us() - begin;
    if (bytes == 0)
        throw std::runtime_error{"nothing was encoded"};
    return spent / append_rounds;
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
    auto const spent = cpu_us() - begin;
    if (state.submissions().size() != frames.size())
        throw std::runtime_error{"entries were not applied"};
    return spent / append_rounds;
}

auto message_bytes() -> json::object
{
    auto out = json::object{};
    auto const now = core::time_point{3'600'000'000};
    auto const grant = core::renewed{now, 3, std::chrono::seconds{3}, 14'000};
    auto const note = [&](auto content)
    {
        auto const whole = core::message{std::move(content)};
        out[core::message_name(whole)] = wire::encode(whole).size();
    };
    auto greeting = core::hello{};
    greeting.m_node = agent_node(1);
    greeting.m_name = "region-0/worker-1";
    greeting.m_cluster = 0x1234567890ABCDEF;
    greeting.m_secret = std::string(32, 's');
    note(greeting);
    note(core::submit{100'000, make_request(1, false), now, 3, 1});
    note(core::cancel{100'000});
    note(core::submit_result{
        100'000, {core::run_state::ran}, {make_answer()}, grant});
    note(core::not_leader{100'000, agent_node(1), 1});
    note(core::operate{100'000, core::query_status{"status"}});
    note(core::operate_result{100'000, {core::run_state::ran}, 14'000, {}});
    note(core::announce{worker_info(1), {}, {}, now, {}});
    auto const replica = core::member{agent_node(2), "10.0.0.1:7000", true};
    note(core::welcome{
        grant, target_configuration(14'000), {replica, replica, replica}});
    auto order = make_start(1);
    order.m_renewed = grant;
    note(order);
    note(core::finished{
        order.m_attempt, {core::run_state::ran}, make_answer(), now});
    note(core::stop_attempt{3, order.m_attempt});
    note(core::forget{3, {order.m_attempt}});
    note(core::renew{now, 32'000, 65'536});
    note(grant);
    note(core::configuration_changed{3, target_configuration(14'000)});
    note(core::vote_request{3, 1'000'000, 3, false, now, false});
    note(core::vote_reply{3, true, false, now});
    note(core::append_request{3, 1'000'000, 3, {}, 1'000'000, now});
    note(core::append_reply{3, true, 1'000'000, now, false});
    note(core::install_snapshot{3,
                                1'000'000,
                                3,
                                0,
                                std::string(std::size_t{1} << 18U, 'x'),
                                false,
                                now,
                                0x1234567890ABCDEF,
                                {replica, replica, replica}});
    note(core::install_reply{3, 1'000'000, 1U << 18U, now});
    note(core::found_group{0x1234567890ABCDEF, {replica, replica, replica}});
    note(core::hand_over{3});
    return out;
}

} // namespace hickorylatch::benchmarks
