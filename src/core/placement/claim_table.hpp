#ifndef HICKORYLATCH_CORE_PLACEMENT_CLAIM_TABLE_HPP
#define HICKORYLATCH_CORE_PLACEMENT_CLAIM_TABLE_HPP

#include "core/model/ids.hpp"
#include "core/model/message.hpp"
#include "core/model/time.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hickorylatch::core
{

/// Which entry holds each job, according to the claims sent to this agent. Kept
/// in memory only.
class claim_table
{
public:
    struct outcome
    {
        /// The entry that holds the job now.
        node_id m_holder = no_node;
        /// An entry that must yield the job; `no_node` if none must.
        node_id m_to_yield = no_node;
    };

    /// Records a claim. If another entry holds the job, an entry that awaits a
    /// grant becomes the next holder. If both entries have already started the
    /// job, the later claim wins, unless the holder had awaited its grant and
    /// is connected.
    auto claim(time_point now, node_id from, claim_job const& wanted)
        -> outcome;
    /// Transfers a job that its holder has yielded, or whose runs have
    /// certainly ended, to the next holder. Returns that one; `no_node` if
    /// there is none.
    auto transfer(node_id holder, std::string_view job_id) -> node_id;
    /// Jobs held by the entry that another entry waits for.
    [[nodiscard]] auto contested_jobs(node_id holder) const
        -> std::vector<std::string>;

    auto connected(node_id entry) -> void;
    auto disconnected(time_point now, node_id entry) -> void;
    /// When the entry was last connected; `now` if it is connected.
    [[nodiscard]] auto last_contact(time_point now, node_id entry) const
        -> time_point;

private:
    struct claim_state
    {
        node_id m_holder = no_node;
        node_id m_next_holder = no_node;
        /// The holder claimed the job with a request for a grant.
        bool m_has_awaited_grant = false;
        time_point m_expires_at{0};
    };

    auto expire(time_point now) -> void;

    std::map<std::string, claim_state, std::less<>> m_claims;
    std::set<std::pair<time_point, std::string>> m_by_expiry;
    /// When the links to entries that may hold claims were lost.
    std::map<node_id, time_point> m_disconnected_at;
};

} // namespace hickorylatch::core

#endif
