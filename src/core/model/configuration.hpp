#ifndef HICKORYLATCH_CORE_MODEL_CONFIGURATION_HPP
#define HICKORYLATCH_CORE_MODEL_CONFIGURATION_HPP

#include "core/model/ids.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hickorylatch::core
{

/// Priority of a customer's work: 0 is the least urgent, 9 the most.
using priority = std::uint8_t;

inline constexpr auto highest_priority = priority{9};

/// One customer with the priority and quota set by its account manager.
struct customer
{
    std::string m_name;
    std::string m_account_manager;
    priority m_priority = 0;
    /// Maximum number of tasks in progress and queued; 0 for no quota.
    std::uint32_t m_quota = 0;
};
BOOST_DESCRIBE_STRUCT(customer, (),
                      (m_name, m_account_manager, m_priority, m_quota))

/// One service that endpoints announce.
struct service
{
    std::string m_name;
    /// Path prefixes of idempotent requests. If empty, no request is
    /// idempotent.
    std::vector<std::string> m_idempotent_paths;
    /// Maximum number of queued requests; further ones are refused.
    std::uint32_t m_queue_limit = 10'000;
    /// Deadline of a request that has none, in milliseconds.
    std::uint32_t m_default_deadline_ms = 30'000;
    /// The service's workers refuse runs that exceed their capacity. Otherwise
    /// they start every run that they are ordered to.
    bool m_enforces_capacity = false;
};
BOOST_DESCRIBE_STRUCT(service, (),
                      (m_name, m_idempotent_paths, m_queue_limit,
                       m_default_deadline_ms, m_enforces_capacity))

/// A queue for step jobs. Maps a host and a path prefix to the workers of one
/// service.
struct job_queue
{
    std::string m_name;
    std::string m_host;
    std::string m_path_prefix;
    std::string m_service;
    /// Order of service between queues; 0 is served first.
    std::uint32_t m_rank = 0;
    /// Maximum time to the answer, in milliseconds.
    std::uint32_t m_timeout_ms = 0;
    /// A job is on time if it ends within the run time of its critical path
    /// multiplied by `m_slack_factor`, plus `m_latency_ms`.
    double m_slack_factor = 1.0;
    std::uint32_t m_latency_ms = 0;
    /// Number of failed runs of one task after which its job fails.
    std::uint32_t m_failure_limit = 1;
    /// Feature that the queue requires and this version does not support; empty
    /// if there is none.
    std::string m_unsupported_feature;

    auto operator==(job_queue const&) const -> bool = default;
};
BOOST_DESCRIBE_STRUCT(job_queue, (),
                      (m_name, m_host, m_path_prefix, m_service, m_rank,
                       m_timeout_ms, m_slack_factor, m_latency_ms,
                       m_failure_limit, m_unsupported_feature))

/// The versioned configuration of the system, set by operators.
struct configuration
{
    configuration_version m_version = 0;
    std::vector<customer> m_customers;
    std::vector<service> m_services;
    /// Names of drained endpoints and workers, which get no new work.
    std::vector<std::string> m_drained;
    std::vector<job_queue> m_queues;
    /// The original document as the operator sent it, for reading it back;
    /// empty if it was not sent through a platform adapter.
    std::string m_document;
};
BOOST_DESCRIBE_STRUCT(configuration, (),
                      (m_version, m_customers, m_services, m_drained, m_queues,
                       m_document))

[[nodiscard]] auto find_customer(configuration const& config,
                                 std::string_view name) -> customer const*;
[[nodiscard]] auto find_service(configuration const& config,
                                std::string_view name) -> service const*;

/// True if a request with this path can safely run more than once.
[[nodiscard]] auto is_idempotent(service const& target, std::string_view path)
    -> bool;

} // namespace hickorylatch::core

#endif
