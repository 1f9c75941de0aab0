#ifndef HICKORYLATCH_TESTS_CORE_DISPATCHER_FIXTURE_HPP
#define HICKORYLATCH_TESTS_CORE_DISPATCHER_FIXTURE_HPP

#include "core/dispatch/dispatcher.hpp"

#include <string>
#include <vector>

namespace hickorylatch::core
{

/// A dispatcher with helpers that add agents and items.
struct dispatcher_fixture
{
    static constexpr auto second = duration{1'000'000};

    auto add_endpoint(std::uint64_t node, std::uint32_t slots) -> void
    {
        auto info = agent_info{};
        info.m_node = node_id{node};
        info.m_name = "endpoint-" + std::to_string(node);
        info.m_service = "desk";
        info.m_slots = slots;
        m_dispatcher.add_agent(m_now, info, {});
    }

    auto add_worker(std::uint64_t node, std::uint32_t cores,
                    std::uint32_t accelerators = 0, std::string domain = "a",
                    std::string rack = "r",
                    std::vector<attempt_id> running = {}) -> void
    {
        auto info = agent_info{};
        info.m_node = node_id{node};
        info.m_name = "worker-" + std::to_string(node);
        info.m_kind = agent_kind::worker;
        info.m_service = worker_service;
        info.m_slots = 100;
        info.m_cores = cores;
        info.m_memory_mb = 1000;
        info.m_accelerators = accelerators;
        info.m_failure_domain = domain;
        info.m_rack = rack;
        m_dispatcher.add_agent(m_now, info, running);
    }

    static auto request(std::uint32_t task, priority level = 0,
                        std::string customer = "c") -> work_item
    {
        auto item = work_item{};
        item.m_attempt = {volatile_submission_bit, task};
        item.m_service = "desk";
        item.m_customer = customer;
        item.m_priority = level;
        return item;
    }

    static auto job_task(std::uint32_t task, std::uint32_t cores,
                         node_id allotted) -> work_item
    {
        auto item = work_item{};
        item.m_attempt = {1, task};
        item.m_service = worker_service;
        item.m_customer = "c";
        item.m_cores = cores;
        item.m_allotted = allotted;
        return item;
    }

    auto add(work_item item) -> std::optional<verdict>
    {
        return m_dispatcher.enqueue(m_now, std::move(item));
    }

    /// Binds the next attempt and returns its task number; -1 if none can
    /// start.
    auto bind_next() -> int
    {
        auto const bound = m_dispatcher.bind_next(m_now);
        if (!bound)
            return -1;
        m_agent = bound->m_agent;
        return static_cast<int>(bound->m_attempt.m_task);
    }

    auto finish(std::uint32_t task,
                attempt_outcome outcome = attempt_outcome::succeeded) -> void
    {
        m_dispatcher.finish(m_now, {volatile_submission_bit, task}, outcome);
    }

    dispatcher m_dispatcher;
    time_point m_now{1'000'000'000};
    /// Agent of the last bound attempt.
    node_id m_agent = no_node;
};

} // namespace hickorylatch::core

#endif
