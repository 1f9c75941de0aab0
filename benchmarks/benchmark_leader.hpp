#ifndef HICKORYLATCH_BENCHMARKS_BENCHMARK_LEADER_HPP
#define HICKORYLATCH_BENCHMARKS_BENCHMARK_LEADER_HPP

#include "core/roles/control.hpp"
#include "wire/codec.hpp"

#include <cstddef>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace hickorylatch::benchmarks
{

/// CPU time of this process in microseconds.
[[nodiscard]] auto cpu_us() -> double;
/// Bytes allocated on the heap and not freed.
[[nodiscard]] auto heap_bytes() -> double;

/// A configuration of the size that the system is designed for: 160 customers,
/// 20 services with 2 idempotent paths each, 40 drained names.
[[nodiscard]] auto target_configuration(std::uint64_t version)
    -> core::configuration;
[[nodiscard]] auto worker_info(std::uint64_t node) -> core::agent_info;
/// A request for service 0; it is committed before it runs unless it is
/// idempotent.
[[nodiscard]] auto make_request(std::uint64_t number, bool is_idempotent)
    -> core::submission;
/// A job with bodies of 100 bytes.
[[nodiscard]] auto make_job(std::uint64_t number, std::size_t tasks)
    -> core::submission;
/// The answer of a task, with a body of 100 bytes.
[[nodiscard]] auto make_answer() -> core::task_answer;

template <typename Message>
[[nodiscard]] auto encoded(Message content) -> std::string
{
    return wire::encode(core::message{std::move(content)});
}

/// Encoded message with its sender.
struct frame
{
    core::node_id m_from = core::no_node;
    std::string m_bytes;
};

/// A control replica that is the only voter of its group and is called directly
/// instead of by a process. Every message and log write is encoded; a write is
/// reported as synced immediately.
class benchmark_leader
{
public:
    /// Founds the group and applies `target_configuration`.
    benchmark_leader();

    auto connect_entry() -> void;
    /// Connects and announces workers.
    auto add_workers(std::size_t count) -> void;
    /// Connects and announces endpoints of service 0.
    auto add_endpoints(std::size_t count, std::uint32_t slots) -> void;
    auto receive(frame const& incoming) -> void;
    auto change_configuration() -> void;
    auto tick(core::duration after) -> void;

    /// Returns the messages of one type among those collected since the last
    /// call, and discards all others.
    template <typename Message>
    [[nodiscard]] auto take_sent()
        -> std::vector<std::pair<core::node_id, Message>>
    {
        auto taken = std::vector<std::pair<core::node_id, Message>>{};
        for (auto const& each : m_sent)
        {
            if (auto const* found = std::get_if<Message>(&each.m_message))
                taken.emplace_back(each.m_to, *found);
        }
        m_sent.clear();
        return taken;
    }
    /// Whether sent messages are collected for `take_sent`; they are encoded in
    /// any case.
    bool m_collects_sent = true;

    [[nodiscard]] auto now() const -> core::time_point;
    [[nodiscard]] auto term() const -> core::term_number;
    [[nodiscard]] auto version() const -> core::configuration_version;
    /// Bytes of log entries encoded so far.
    [[nodiscard]] auto log_bytes() const -> std::size_t;
    /// Bytes of messages encoded so far.
    [[nodiscard]] auto sent_bytes() const -> std::size_t;

private:
    auto announce(core::agent_info const& info) -> void;
    auto execute_effects() -> void;

    core::control m_control;
    core::random_source m_random;
    core::time_point m_now{1'000'000};
    core::effects m_effects;
    std::vector<core::send> m_sent;
    std::uint64_t m_change_count = 0;
    std::uint64_t m_agent_count = 0;
    std::size_t m_log_bytes = 0;
    std::size_t m_sent_bytes = 0;
};

inline constexpr auto entry_node = core::node_id{0x7E57E57E57E57E5};

/// The node of worker or endpoint `number`, as large as a random incarnation.
[[nodiscard]] auto agent_node(std::uint64_t number) -> core::node_id;

} // namespace hickorylatch::benchmarks

#endif
