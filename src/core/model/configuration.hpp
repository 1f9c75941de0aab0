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

/// One customer and what its account manager decided for it.
struct customer
{
    std::string m_name;
    std::string m_account_manager;
    priority m_priority = 0;
    /// Tasks in progress and queued at most; 0 for no quota.
    std::uint32_t m_quota = 0;
};
BOOST_DESCRIBE_STRUCT(customer, (),
                      (m_name, m_account_manager, m_priority, m_quota))

/// One service that endpoints announce.
struct service
{
    std::string m_name;
    /// Path prefixes whose requests are safe to run more than once. Empty: no
    /// request is.
    std::vector<std::string> m_idempotent_paths;
    /// Requests queued at most before new ones are refused.
    std::uint32_t m_queue_limit = 10'000;
    /// Deadline of a request that names none, in milliseconds.
    std::uint32_t m_default_deadline_ms = 30'000;
};
BOOST_DESCRIBE_STRUCT(service, (),
                      (m_name, m_idempotent_paths, m_queue_limit,
                       m_default_deadline_ms))

/// What operators have put in force, as one versioned record.
struct configuration
{
    configuration_version m_version = 0;
    std::vector<customer> m_customers;
    std::vector<service> m_services;
    /// Names of endpoints and workers that get no new work.
    std::vector<std::string> m_drained;
};
BOOST_DESCRIBE_STRUCT(configuration, (),
                      (m_version, m_customers, m_services, m_drained))

[[nodiscard]] auto find_customer(configuration const& config,
                                 std::string_view name) -> customer const*;
[[nodiscard]] auto find_service(configuration const& config,
                                std::string_view name) -> service const*;

/// True if a request with this path may safely run more than once.
[[nodiscard]] auto is_idempotent(service const& target, std::string_view path)
    -> bool;

} // namespace hickorylatch::core

#endif
