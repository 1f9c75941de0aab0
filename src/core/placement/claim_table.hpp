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

/// Which entry has each job, as far as entries told this agent. Lost with the
/// agent's process.
class claim_table
{
public:
    struct outcome
    {
        /// The entry that has the job now.
        node_id m_holder = no_node;
        /// An entry that is to give the job up; `no_node` if none is.
        node_id m_to_yield = no_node;
    };

    /// Notes the claim. An entry that asks is next where another one has the
    /// job. Of two that have begun already the later one keeps it, unless the
    /// other one had asked and is in contact.
    auto claim(time_point now, node_id from, claim_job const& wanted)
        -> outcome;
    /// The entry gave the job up, or its runs have ended in any case. Returns
    /// the entry that has the job now, `no_node` if none was next.
    auto pass_on(node_id holder, std::string_view job_id) -> node_id;
    /// Jobs of the entry that another one waits for.
    [[nodiscard]] auto wanted_of(node_id holder) const
        -> std::vector<std::string>;

    /// The link to an entry was opened or lost.
    auto connected(node_id entry) -> void;
    auto disconnected(time_point now, node_id entry) -> void;
    /// When the entry was last in contact.
    [[nodiscard]] auto last_contact(time_point now, node_id entry) const
        -> time_point;

private:
    struct claim_state
    {
        node_id m_holder = no_node;
        node_id m_next = no_node;
        /// The holder had asked first.
        bool m_has_asked = false;
        time_point m_until{0};
    };

    auto expire(time_point now) -> void;

    std::map<std::string, claim_state, std::less<>> m_claims;
    std::set<std::pair<time_point, std::string>> m_by_end;
    /// When links to entries were lost that may have claims.
    std::map<node_id, time_point> m_lost;
};

} // namespace hickorylatch::core

#endif
