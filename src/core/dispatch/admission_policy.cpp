#include "core/dispatch/admission_policy.hpp"

#include <algorithm>

namespace hickorylatch::core
{

admission_policy::admission_policy(work_ledger const& ledger)
    : m_ledger{&ledger}
{
}

auto admission_policy::check(time_point now, work_item const& item) const
    -> std::optional<verdict>
{
    auto const& present = m_ledger->agents().of(item.m_service).m_present;
    // Without any agent the service may just not have announced itself yet.
    if (!present.empty() && !could_run(item.m_service, demand_of(item)))
        return refused(reason::no_capacity);
    auto const use = m_ledger->customer(item.m_customer);
    if (use.m_quota > 0 && use.m_tasks >= use.m_quota)
        return refused(reason::quota, {}, retry_after(item.m_service));
    if (!meets_deadline(now, item))
        return refused(reason::deadline, {}, retry_after(item.m_service));
    return std::nullopt;
}

auto admission_policy::check(std::string_view customer,
                             std::span<task const> tasks) const
    -> std::optional<verdict>
{
    auto const use = m_ledger->customer(customer);
    if (use.m_quota > 0 && use.m_tasks + tasks.size() > use.m_quota)
        return refused(reason::quota, {}, retry_after(worker_service));
    auto const* const workers = m_ledger->find_service(worker_service);
    if (workers != nullptr && workers->m_limit &&
        workers->m_queued + tasks.size() > *workers->m_limit)
        return refused(reason::queue_full, {}, retry_after(worker_service));
    auto const fits = [this](task const& wanted)
    {
        return could_run(worker_service, demand_of(wanted));
    };
    if (!std::ranges::all_of(tasks, fits))
        return refused(reason::no_capacity);
    return std::nullopt;
}

auto admission_policy::is_full(std::string_view name) const -> bool
{
    auto const* const service = m_ledger->find_service(name);
    return service != nullptr && service->m_limit &&
           service->m_queue.size() >= *service->m_limit;
}

auto admission_policy::dispensable(std::string_view name, priority level) const
    -> queued_item const*
{
    auto const* const service = m_ledger->find_service(name);
    if (service == nullptr)
        return nullptr;
    auto const* const item = service->m_queue.most_dispensable();
    return item != nullptr && item->m_item.m_priority < level ? item : nullptr;
}

auto admission_policy::retry_after(std::string_view name) const -> std::uint32_t
{
    constexpr auto unknown = std::uint32_t{1'000};
    constexpr auto least = std::int64_t{100};
    constexpr auto most = std::int64_t{30'000};
    auto const* const service = m_ledger->find_service(name);
    if (service == nullptr || service->m_times.mean() == duration{0})
        return unknown;
    // A quarter of the queue drains: soon enough to keep the slots in use, late
    // enough that most resends are not refused again.
    auto const time = time_to_drain(name, service->m_queued / 4);
    return static_cast<std::uint32_t>(
        std::clamp(time.count() / 1000, least, most));
}

auto admission_policy::could_run(std::string_view service,
                                 demand const& wanted) const -> bool
{
    auto const& agents = m_ledger->agents();
    return std::ranges::any_of(agents.of(service).m_present,
                               [&](node_id node)
                               {
                                   return agents.find(node)->could_hold(wanted);
                               });
}

auto admission_policy::time_to_drain(std::string_view name,
                                     std::size_t items) const -> duration
{
    auto const* const service = m_ledger->find_service(name);
    auto const thousandths = m_ledger->agents().of(name).m_capacity;
    if (service == nullptr || thousandths == 0)
        return duration{0};
    return service->m_times.mean() * static_cast<std::int64_t>(items) * 1000 /
           static_cast<std::int64_t>(thousandths);
}

auto admission_policy::meets_deadline(time_point now,
                                      work_item const& item) const -> bool
{
    if (item.m_deadline == never)
        return true;
    if (item.m_deadline <= now)
        return false;
    auto const* const service = m_ledger->find_service(item.m_service);
    if (service == nullptr)
        return true;
    auto const budget = item.m_deadline - now;
    if (!m_ledger->agents().of(item.m_service).m_free.empty())
        return service->m_times.least(item.m_run_time) <= budget;
    // One more than those ahead: a slot has to free up first.
    auto const ahead = service->m_queue.size_from(item.m_priority) + 1;
    return time_to_drain(item.m_service, ahead) +
               service->m_times.margin(item.m_run_time, budget) <=
           budget;
}

} // namespace hickorylatch::core
