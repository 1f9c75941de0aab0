#include "benchmark_leader.hpp"

#include "wire/codec.hpp"

#include <malloc.h>
#include <time.h>

#include <stdexcept>
#include <utility>
#include <variant>

namespace hickorylatch::benchmarks
{

namespace
{

constexpr auto wall_clock_time = core::unix_milliseconds{1'800'000'000'000};
constexpr auto body_bytes = std::size_t{100};

auto encode_image(core::control_image const& image) -> std::string
{
    return wire::encode(image);
}

auto decode_image(std::string_view bytes) -> std::optional<core::control_image>
{
    auto decoded = wire::decode_control_image(bytes);
    if (!decoded)
        return std::nullopt;
    return std::move(decoded.value());
}

auto new_replica_state() -> core::recovered_state
{
    auto state = core::recovered_state{};
    state.m_identity = core::node_id{0x1234567890ABCDEF};
    return state;
}

auto control_settings() -> core::control_settings
{
    auto settings = core::control_settings{};
    settings.m_key_limit = 10'000'000;
    return settings;
}

} // namespace

auto cpu_us() -> double
{
    auto time = timespec{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 +
           static_cast<double>(time.tv_nsec) / 1e3;
}

auto heap_bytes() -> double
{
    auto const heap = mallinfo2();
    return static_cast<double>(heap.uordblks + heap.hblkhd);
}

auto target_configuration(std::uint64_t version) -> core::configuration
{
    auto config = core::configuration{};
    config.m_version = version;
    for (auto number = 0; number < 160; ++number)
        config.m_customers.push_back({"customer-" + std::to_string(number),
                                      "manager-" + std::to_string(number % 40),
                                      static_cast<core::priority>(number % 10),
                                      1'000'000});
    for (auto number = 0; number < 20; ++number)
        config.m_services.push_back({"service-" + std::to_string(number),
                                     {"/stock", "/quote"},
                                     10'000'000,
                                     30'000'000});
    for (auto number = 0; number < 40; ++number)
        config.m_drained.push_back("region-0/drained-" +
                                   std::to_string(number));
    return config;
}

auto agent_node(std::uint64_t number) -> core::node_id
{
    return core::node_id{(number + 1) * 0x9E3779B97F4A7C15ULL};
}

auto worker_info(std::uint64_t number) -> core::agent_info
{
    auto info = core::agent_info{};
    info.m_node = agent_node(number);
    info.m_name = "region-0/worker-" + std::to_string(number);
    info.m_kind = core::agent_kind::worker;
    info.m_service = core::worker_service;
    info.m_slots = 64;
    info.m_cores = 64;
    info.m_memory_mb = 128 * 1024;
    info.m_accelerators = number % 2 == 0 ? 3 : 0;
    info.m_rack = "rack-" + std::to_string(number / 20);
    info.m_failure_domain = "domain-" + std::to_string(number % 40);
    return info;
}

auto make_request(std::uint64_t number, bool is_idempotent) -> core::submission
{
    auto submission = core::submission{};
    submission.m_service = "service-0";
    submission.m_path = is_idempotent ? "/stock/item" : "/reserve/item";
    submission.m_customer = "customer-" + std::to_string(number % 160);
    if (!is_idempotent)
        submission.m_key = "order-" + std::to_string(number);
    submission.m_submitted_at = wall_clock_time;
    submission.m_digest = 0x9E3779B97F4A7C15ULL * (number + 1);
    submission.m_deadline_ms = 30'000'000;
    submission.m_tasks.resize(1);
    submission.m_tasks[0].m_body = std::string(body_bytes, 'b');
    submission.m_trace = {std::string(32, 'a'), std::string(16, 'b')};
    return submission;
}

auto make_job(std::uint64_t number, std::size_t tasks) -> core::submission
{
    auto submission = make_request(number, false);
    submission.m_kind = core::submission_kind::job;
    submission.m_schema_version = 1;
    submission.m_service.clear();
    submission.m_path.clear();
    submission.m_account_manager = "manager-1";
    submission.m_tasks.resize(tasks);
    for (auto& each : submission.m_tasks)
    {
        each.m_body = std::string(body_bytes, 'b');
        each.m_memory_mb = 512;
        each.m_run_time_ms = 600;
    }
    return submission;
}

auto make_answer() -> core::task_answer
{
    return {true, 200, std::string(body_bytes, 'r')};
}

benchmark_leader::benchmark_leader()
    : m_control{control_settings(),
                core::replica_settings{},
                new_replica_state(),
                {encode_image, decode_image},
                "10.0.0.1:7000"}
{
    m_random.seed(1);
    m_control.clock(m_now, {wall_clock_time}, m_effects);
    m_control.start(m_now, m_random, m_effects);
    m_control.arrived(m_now, {1, core::bootstrap_control_group{1}}, m_random,
                      m_effects);
    execute_effects();
    for (auto step = 0; step < 100 && !m_control.is_leading(m_now); ++step)
        tick(std::chrono::milliseconds{100});
    if (!m_control.is_leading(m_now))
        throw std::runtime_error{"the replica does not lead its new group"};
    // A new leader accepts jobs only after its settling time.
    tick(std::chrono::milliseconds{200});
    change_configuration();
    if (version() != 1)
        throw std::runtime_error{"the configuration was not applied"};
}

auto benchmark_leader::connect_entry() -> void
{
    auto peer = core::hello{};
    peer.m_node = entry_node;
    peer.m_name = "entry-0";
    peer.m_needs_configuration = true;
    m_control.connected(m_now, peer, m_random, m_effects);
    execute_effects();
}

auto benchmark_leader::announce(core::agent_info const& info) -> void
{
    auto peer = core::hello{};
    peer.m_node = info.m_node;
    peer.m_role = core::role::agent;
    peer.m_name = info.m_name;
    peer.m_needs_configuration = true;
    m_control.connected(m_now, peer, m_random, m_effects);
    auto announcement = core::announce{};
    announcement.m_agent = info;
    announcement.m_sent_at = m_now;
    receive({info.m_node, wire::encode(core::message{announcement})});
}

auto benchmark_leader::add_workers(std::size_t count) -> void
{
    for (auto added = std::size_t{0}; added < count; ++added)
        announce(worker_info(m_agent_count++));
}

auto benchmark_leader::add_endpoints(std::size_t count, std::uint32_t slots)
    -> void
{
    for (auto added = std::size_t{0}; added < count; ++added)
    {
        auto info = worker_info(m_agent_count++);
        info.m_kind = core::agent_kind::endpoint;
        info.m_service = "service-0";
        info.m_slots = slots;
        announce(info);
    }
}

auto benchmark_leader::receive(frame const& incoming) -> void
{
    auto decoded = wire::decode_message(incoming.m_bytes);
    if (!decoded)
        throw std::runtime_error{"a message cannot be decoded"};
    m_control.receive(m_now, incoming.m_from, decoded.value(), m_random,
                      m_effects);
    execute_effects();
}

auto benchmark_leader::change_configuration() -> void
{
    auto change = core::change_configuration{};
    change.m_request_id = "change-" + std::to_string(++m_change_count);
    change.m_expected_version = version();
    change.m_configuration =
        target_configuration(change.m_expected_version + 1);
    m_control.arrived(m_now, {2, std::move(change)}, m_random, m_effects);
    execute_effects();
}

auto benchmark_leader::tick(core::duration after) -> void
{
    m_now += after;
    m_control.tick(m_now, m_random, m_effects);
    execute_effects();
}

auto benchmark_leader::execute_effects() -> void
{
    while (!m_effects.empty())
    {
        auto pending = std::exchange(m_effects, {});
        for (auto& each : pending)
        {
            if (auto* sent = std::get_if<core::send>(&each))
            {
                m_sent_bytes += wire::encode(sent->m_message).size();
                if (m_collects_sent)
                    m_sent.push_back(std::move(*sent));
            }
            else if (auto const* write = std::get_if<core::append_log>(&each))
            {
                for (auto const& entry : write->m_entries)
                    m_log_bytes += wire::encode(entry).size();
                m_control.synced(m_now, {write->m_write}, m_random, m_effects);
            }
            else if (auto const* save = std::get_if<core::save_snapshot>(&each))
                m_control.saved({save->m_snapshot.m_last_index});
        }
    }
}

auto benchmark_leader::now() const -> core::time_point
{
    return m_now;
}

auto benchmark_leader::term() const -> core::term_number
{
    return m_control.log().term();
}

auto benchmark_leader::version() const -> core::configuration_version
{
    return m_control.state().config().m_version;
}

auto benchmark_leader::log_bytes() const -> std::size_t
{
    return m_log_bytes;
}

auto benchmark_leader::sent_bytes() const -> std::size_t
{
    return m_sent_bytes;
}

} // namespace hickorylatch::benchmarks
