#ifndef HICKORYLATCH_CORE_PLACEMENT_HELD_JOBS_HPP
#define HICKORYLATCH_CORE_PLACEMENT_HELD_JOBS_HPP

#include "core/model/configuration.hpp"
#include "core/model/event.hpp"
#include "core/model/time.hpp"

#include <cstddef>
#include <functional>
#include <string_view>
#include <vector>

namespace hickorylatch::core
{

/// A request that an entry holds until it can decide about it.
struct held_job
{
    time_point m_since{0};
    job_arrived m_request;
    /// No other entry has runs of the job: its claim was granted, or it needs
    /// none.
    bool m_is_claimed = false;
};

/// Order in which held jobs are decided about; lower is earlier.
struct held_job_order
{
    /// Its latency objective can't be kept any more.
    bool m_is_late = false;
    std::uint32_t m_rank = 0;
    /// When the job must have ended to keep its objective.
    time_point m_due{0};

    auto operator<=>(held_job_order const&) const = default;
};

/// `objective` is the job's latency objective from its arrival.
[[nodiscard]] auto order_of(time_point now, held_job const& job,
                            job_queue const& queue, duration objective)
    -> held_job_order;

/// Requests that arrived before an entry could serve them, in order of their
/// arrival.
class held_jobs
{
public:
    /// False if there is no room for one more.
    [[nodiscard]] auto has_room() const -> bool;
    auto add(held_job job) -> void;
    /// Removes the request: its client has disconnected.
    auto abandon(exchange_id exchange) -> void;
    /// Removes and returns the requests for this job.
    auto take(std::string_view job_id) -> std::vector<held_job>;
    /// Removes and returns all requests in order of arrival.
    auto take_all() -> std::vector<held_job>;
    [[nodiscard]] auto contains(std::string_view job_id) const -> bool;
    [[nodiscard]] auto empty() const -> bool;

private:
    std::vector<held_job> m_jobs;
};

/// Sorts by the order of each job; jobs of the same order keep their sequence.
auto sort_held_jobs(std::vector<held_job>& jobs,
                    std::function<held_job_order(held_job const&)> const& order)
    -> void;

} // namespace hickorylatch::core

#endif
