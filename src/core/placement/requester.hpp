#ifndef HICKORYLATCH_CORE_PLACEMENT_REQUESTER_HPP
#define HICKORYLATCH_CORE_PLACEMENT_REQUESTER_HPP

#include "core/model/configuration.hpp"
#include "core/model/ids.hpp"
#include "core/model/message.hpp"
#include "core/model/time.hpp"
#include "core/placement/load_report_schedule.hpp"

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace hickorylatch::core
{

/// State of a process that orders runs: an entry, or the leader of the
/// control group.
struct requester
{
    /// Term in which it leads; 0 for an entry.
    term_number m_term = 0;
    /// Address where it accepts links.
    std::string m_address;
    /// When its link was chosen to be closed; `never` if it was not.
    time_point m_draining_since = never;
    bool m_is_connected = false;
    /// The worker was announced to it on this link.
    bool m_is_announced = false;
    /// Newest configuration that it was notified of on this link.
    configuration_version m_notified_version = 0;
    std::uint64_t m_last_order = 0;
    /// Its orders name the queues of their jobs.
    bool m_names_queues = false;
    load_report_schedule m_load_schedule;
    /// Its runs may continue until then.
    time_point m_contact_until{0};
    /// That time has passed, and its runs were ordered to stop.
    bool m_is_contact_expired = true;
    /// Sent again on every new link until it confirms them.
    std::deque<runs_ended> m_unconfirmed_ends;
    /// Ends that were not sent yet.
    std::vector<run_end> m_unsent_ends;
    std::vector<unmatched_end> m_unmatched_ends;
    /// Numbers in the worker's list of those unsent ends that the leader
    /// must record.
    std::vector<std::uint64_t> m_unsent_end_numbers;
};

} // namespace hickorylatch::core

#endif
