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
    /// Notes the claim. Returns the entry that has the job if it is another
    /// one; the claimant is next then. Otherwise returns `no_node`, and the
    /// claimant has the job.
    auto claim(time_point now, node_id from, claim_job const& wanted)
        -> node_id;
    /// The entry gave the job up, or its runs have ended in any case. Returns
    /// the entry that has the job now, `no_node` if none was next.
    auto pass_on(node_id holder, std::string_view job_id) -> node_id;
    /// Jobs of the entry that another one waits for.
    [[nodiscard]] auto wanted_of(node_id holder) const
        -> std::vector<std::string>;
    [[nodiscard]] auto size() const -> std::size_t;

private:
    struct claim_state
    {
        node_id m_holder = no_node;
        node_id m_next = no_node;
        time_point m_until{0};
    };

    auto expire(time_point now) -> void;

    std::map<std::string, claim_state, std::less<>> m_claims;
    std::set<std::pair<time_point, std::string>> m_by_end;
};

} // namespace hickorylatch::core

#endif
