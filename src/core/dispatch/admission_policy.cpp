#include "core/dispatch/admission_policy.hpp"

#include <algorithm>

namespace hickorylatch::core
{

admission_policy::admission_policy(dispatch_state const& state)
    : m_state{&state}
{
}

auto admission_policy::check(time_point now, work_item const& item) const
    -> std::optional<verdict>
{
    auto const& present = m_state->agents().agents_of(item.m_service).m_present;
    // If no agent is known, agents of the service may not have announced
    // themselves yet.
    if (!present.empty() && !can_ever_run(item.m_service, demand_of(item)))
        return refused(reason::no_capacity);
    auto const use = m_state->customer(item.m_customer);
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
    auto const use = m_state->customer(customer);
    if (use.m_quota > 0 && use.m_tasks + tasks.size() > use.m_quota)
        return refused(reason::quota, {}, retry_after(worker_service));
    auto const* const workers = m_state->find_service(worker_service);
    if (workers != nullptr && workers->m_queue_limit &&
        workers->m_queued + tasks.size() > *workers->m_queue_limit)
        return refused(reason::queue_full, {}, retry_after(worker_service));
    auto const fits = [this](task const& wanted)
    {
        return can_ever_run(worker_service, demand_of(wanted));
    };
    if (!std::ranges::all_of(tasks, fits))
        return refused(reason::no_capacity);
    return std::nullopt;
}

auto admission_policy::is_full(std::string_view name) const -> bool
{
    auto const* const service = m_state->find_service(name);
    return service != nullptr && service->m_queue_limit &&
           service->m_queue.size() >= *service->m_queue_limit;
}

auto admission_policy::find_displaceable(std::string_view name,
                                         priority level) const
    -> queued_item const*
{
    auto const* const service = m_state->find_service(name);
    if (service == nullptr)
        return nullptr;
    auto const* const item = service->m_queue.displacement_candidate();
    return item != nullptr && item->m_item.m_priority < level ? item : nullptr;
}

auto admission_policy::retry_after(std::string_view name) const -> std::uint32_t
{
    constexpr auto default_delay_ms = std::uint32_t{1'000};
    constexpr auto min_delay_ms = std::int64_t{100};
    constexpr auto max_delay_ms = std::int64_t{30'000};
    auto const* const service = m_state->find_service(name);
    if (service == nullptr || service->m_run_times.mean() == duration{0})
        return default_delay_ms;
    // Time until a quarter of the queue has drained: short enough to keep the
    // slots busy, long enough that most retries are admitted.
    auto const time = time_to_drain(name, service->m_queued / 4);
    return static_cast<std::uint32_t>(
        std::clamp(time.count() / 1000, min_delay_ms, max_delay_ms));
}

auto admission_policy::can_ever_run(std::string_view service,
                                    demand const& wanted) const -> bool
{
    auto const& agents = m_state->agents();
    return std::ranges::any_of(agents.agents_of(service).m_present,
                               [&](node_id node)
                               {
                                   return agents.find(node)->fits_when_idle(
                                       wanted);
                               });
}

auto admission_policy::time_to_drain(std::string_view name,
                                     std::size_t items) const -> duration
{
    auto const* const service = m_state->find_service(name);
    auto const thousandths = m_state->agents().agents_of(name).m_capacity;
    if (service == nullptr || thousandths == 0)
        return duration{0};
    return service->m_run_times.mean() * static_cast<std::int64_t>(items) *
           1000 / static_cast<std::int64_t>(thousandths);
}

auto admission_policy::meets_deadline(time_point now,
                                      work_item const& item) const -> bool
{
    if (item.m_deadline == never)
        return true;
    if (item.m_deadline <= now)
        return false;
    auto const* const service = m_state->find_service(item.m_service);
    if (service == nullptr)
        return true;
    auto const budget = item.m_deadline - now;
    if (!m_state->agents().agents_of(item.m_service).m_free.empty())
        return service->m_run_times.lower_bound(item.m_run_time) <= budget;
    // One more than the items ahead, because a slot has to become free first.
    auto const ahead = service->m_queue.size_from(item.m_priority) + 1;
    return time_to_drain(item.m_service, ahead) +
               service->m_run_times.deadline_margin(item.m_run_time, budget) <=
           budget;
}

} // namespace hickorylatch::core
